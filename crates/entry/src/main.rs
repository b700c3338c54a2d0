//! Daemon that runs one entry instance.

mod cli;

use std::process::ExitCode;

use clap::Parser;
use cowslip_entry::Config;

use crate::cli::Cli;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let cli = Cli::parse();
    let config = match Config::load(&cli.settings) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("cowslip-entry: {error}");
            return cowslip_entry::ExitCode::BadSettings.into();
        }
    };
    if cli.check {
        println!("{}: ok", cli.settings.display());
        return cowslip_entry::ExitCode::Success.into();
    }
    match cowslip_entry::run(config) {
        Ok(()) => cowslip_entry::ExitCode::Success.into(),
        Err(error) => {
            eprintln!("cowslip-entry: {error}");
            cowslip_entry::ExitCode::Failure.into()
        }
    }
}
