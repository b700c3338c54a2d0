#!/usr/bin/env bash
# Builds the stand-ins of this review's cases into target/review-3; case 14 uses those of the second
# review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
rustc --edition 2024 -O -o target/review-3/review-2 review/standins-2/main.rs
