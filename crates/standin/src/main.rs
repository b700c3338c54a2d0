//! Runs one stand-in as a process.

mod cli;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Cli, Command};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Platform(args) => cowslip_standin::run_platform(args.into()),
        Command::Engine(args) => cowslip_standin::run_engine(args.into()),
        Command::Service(args) => cowslip_standin::run_service(args.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cowslip-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
