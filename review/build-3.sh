#!/usr/bin/env bash
# Builds the stand-ins of this review's cases into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
