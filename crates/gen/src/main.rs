//! Generates Rust types, the table of settings and the settings page from the schema folders.

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
use crate::schema::SchemaMode;

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
    let definitions = schema::load(&cli.root.join("schema"), SchemaMode::Strict)?;
    let platform = schema::load(&cli.root.join("platform/schema"), SchemaMode::Lenient)?;
    let setting_list = settings::from_schema(&definitions)?;
    let files = [
        ("crates/proto/src/generated.rs", rust::types(&definitions)?),
        ("crates/proto/src/setting_table.rs", settings::table(&setting_list)?),
        ("platform/src/generated.rs", rust::types(&platform)?),
        ("docs/SETTINGS.md", settings::page(&setting_list)),
    ];
    files
        .iter()
        .try_for_each(|(path, text)| output::write_or_check(&cli.root.join(path), text, cli.check))
}
