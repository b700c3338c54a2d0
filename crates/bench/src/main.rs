//! Benchmarks: state size and processing time of the crates that do no I/O, simulations of
//! policies, and the overhead of an entry instance.

mod allowances;
mod capacity;
mod cli;
mod fixtures;
mod markdown;
mod measurement;
mod overhead;
mod policy;

use std::alloc::System;
use std::process::ExitCode;

use clap::Parser;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::cli::{Cli, Command};

/// Counts allocated bytes for the memory columns.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Capacity => {
            capacity::run();
            ExitCode::SUCCESS
        }
        Command::Policy(args) => {
            policy::run(&args);
            ExitCode::SUCCESS
        }
        Command::Path(args) => match overhead::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("cowslip-bench: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
