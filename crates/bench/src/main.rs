//! Measurements: slopes of the decision crates, and the added cost of an entry instance.

mod capacity;
mod cli;
mod fleet;
mod output;
mod path;
mod policy;
mod slope;

use std::alloc::System;
use std::process::ExitCode;

use clap::Parser;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::cli::{Cli, Kind};

/// Counts what is allocated, for the memory columns.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    match Cli::parse().kind {
        Kind::Capacity => {
            capacity::run();
            ExitCode::SUCCESS
        }
        Kind::Policy(args) => {
            policy::run(&args);
            ExitCode::SUCCESS
        }
        Kind::Path(args) => match path::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("cowslip-bench: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
