//! Command-line tool for operators.

mod check;
mod cli;
mod client;
mod commands;
mod error;
mod exit_codes;
mod output;

use clap::Parser;

use crate::cli::Cli;
use crate::exit_codes::ExitCode;

fn main() -> std::process::ExitCode {
    let cli = Cli::parse();
    let code = match commands::run(&cli) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cowslip: {error}");
            error.exit_code()
        }
    };
    ExitCode::into(code)
}
