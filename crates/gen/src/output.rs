//! Writes a generated file, or compares it with the committed one.

use std::fs;
use std::path::Path;

use snafu::{ResultExt, ensure};

use crate::error::{Error, FileSnafu, StaleSnafu};

/// Writes `text` to `path`; with `check` fails when the file differs.
pub(crate) fn put(path: &Path, text: &str, check: bool) -> Result<(), Error> {
    if !check {
        return fs::write(path, text).context(FileSnafu { path });
    }
    let committed = fs::read_to_string(path).context(FileSnafu { path })?;
    ensure!(committed == text, StaleSnafu { path });
    Ok(())
}
