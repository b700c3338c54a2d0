//! Checks settings and ticket files without an instance.

use std::fs;
use std::path::Path;

use cowslip_codec::{ENTRY_SETTING_SECTIONS, load_settings, parse_ticket, ticket_from_proto};
use cowslip_proto as proto;
use snafu::ResultExt;

use crate::error::{Error, FileKindSnafu, ReadFileSnafu, TicketSnafu};

/// Returns all errors of a settings or ticket file.
pub(crate) fn check_file(path: &Path) -> Result<Vec<String>, Error> {
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("ini") => {
            let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
            let loaded =
                load_settings::<cowslip_proto::EntrySettings>(&text, &[], ENTRY_SETTING_SECTIONS);
            let errors = loaded.err().unwrap_or_default();
            Ok(errors.iter().map(ToString::to_string).collect())
        }
        Some("json") => check_ticket(path),
        _ => FileKindSnafu { path }.fail(),
    }
}

fn check_ticket(path: &Path) -> Result<Vec<String>, Error> {
    let ticket = match read_ticket(path) {
        Err(Error::Ticket { source, .. }) => return Ok(vec![source.to_string()]),
        other => other?,
    };
    Ok(match ticket_from_proto(&ticket) {
        Ok(ticket) => cowslip_config::validate(&ticket).iter().map(ToString::to_string).collect(),
        Err(error) => vec![error.to_string()],
    })
}

/// Reads a ticket file.
pub(crate) fn read_ticket(path: &Path) -> Result<proto::Ticket, Error> {
    let bytes = fs::read(path).context(ReadFileSnafu { path })?;
    parse_ticket(&bytes).context(TicketSnafu { path })
}
