//! Generates Rust types and the settings page from the schema folder.

mod cli;
mod error;
mod output;
mod rust;
mod schema;
mod settings;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;
use crate::error::Error;
use crate::schema::Owner;

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cowslip-gen: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<(), Error> {
    let definitions = schema::load(&cli.root.join("schema"), Owner::Own)?;
    let platform = schema::load(&cli.root.join("platform/schema"), Owner::Other)?;
    let rows = settings::rows(&definitions)?;
    let files = [
        ("crates/proto/src/generated.rs", rust::types(&definitions)?),
        ("crates/proto/src/setting_table.rs", settings::table(&rows)?),
        ("platform/src/generated.rs", rust::types(&platform)?),
        ("docs/SETTINGS.md", settings::page(&rows)),
    ];
    files.iter().try_for_each(|(path, text)| output::put(&cli.root.join(path), text, cli.check))
}
