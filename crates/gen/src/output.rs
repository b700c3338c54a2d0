//! Writes a generated file, or compares it with the existing one.

use std::fs;
use std::path::Path;

use snafu::{ResultExt, ensure};

use crate::error::{Error, FileSnafu, StaleSnafu};

/// Writes `text` to `path`; if `check` is set, fails if the file differs instead.
pub(crate) fn write_or_check(path: &Path, text: &str, check: bool) -> Result<(), Error> {
    if !check {
        return fs::write(path, text).context(FileSnafu { path });
    }
    let existing = fs::read_to_string(path).context(FileSnafu { path })?;
    ensure!(existing == text, StaleSnafu { path });
    Ok(())
}
