//! Encoding of log entries, each of which holds the records of one group commit.

use cowslip_name::Name;
use cowslip_proto as proto;

use crate::codec::{from_json, to_json};
use crate::error::{CodecError, VersionSnafu};
use crate::record::{DecodedRecord, record_from_proto};

/// Record format that this program writes, and the only one that it decodes.
pub const LOG_ENTRY_VERSION: u32 = 1;

/// A decoded entry of the log.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// Instance that appended the entry.
    pub writer: Name,
    /// Unix time of the writer's clock in milliseconds, for the audit trail only.
    pub written_at_ms: u64,
    /// Records in log order, each as stored and as decoded for the decision crates.
    pub records: Vec<(proto::Record, DecodedRecord)>,
}

/// Decodes a log entry.
///
/// # Errors
/// Returns an error when the entry is malformed or of an unsupported format. Every instance refuses
/// the same entries, so such an entry has no effect anywhere.
pub fn decode_log_entry(body: &str) -> Result<LogEntry, CodecError> {
    let entry: proto::LogEntry = from_json(body.as_bytes())?;
    if entry.version != LOG_ENTRY_VERSION {
        return VersionSnafu { version: entry.version }.fail();
    }
    let records = entry
        .records
        .into_iter()
        .map(|record| record_from_proto(&record).map(|decoded| (record, decoded)))
        .collect::<Result<_, _>>()?;
    Ok(LogEntry { writer: entry.writer, written_at_ms: entry.written_at_ms, records })
}

/// Encodes a log entry in the format [`LOG_ENTRY_VERSION`].
#[must_use]
pub fn encode_log_entry(writer: &Name, written_at_ms: u64, records: Vec<proto::Record>) -> String {
    let writer = writer.clone();
    to_json(&proto::LogEntry { version: LOG_ENTRY_VERSION, writer, written_at_ms, records })
}
