//! Runs one stand-in.

mod cli;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Cli, Kind};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match cli.kind {
        Kind::Platform(args) => cowslip_standin::run_platform(args.into()),
        Kind::Engine(args) => cowslip_standin::run_engine(args.into()),
        Kind::Service(args) => cowslip_standin::run_service(args.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cowslip-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
