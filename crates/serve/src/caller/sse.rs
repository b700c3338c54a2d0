//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
/// Ends of an event: an empty line, with either kind of line end.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// Bytes of which no whole event came yet, and the id of the newest whole event.
#[derive(Debug, Default)]
pub(super) struct EventCutter {
    bytes: BytesMut,
    last_id: Option<String>,
}

impl EventCutter {
    /// Takes a chunk and gives all events that are whole now.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        // An end may begin in the bytes that came before.
        let seen = self.bytes.len().saturating_sub(3);
        self.bytes.extend_from_slice(chunk);
        let end = EVENT_ENDS
            .iter()
            .filter_map(|mark| last_end(&self.bytes[seen..], mark))
            .max()
            .map(|at| seen + at)?;
        let whole = self.bytes.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the newest whole event.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Size of what waits, in bytes.
    pub(super) fn len_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Whether bytes of an unfinished event wait.
    pub(super) fn is_torn(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub(super) fn cut(&mut self) {
        self.bytes.clear();
    }
}

fn last_end(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    bytes.windows(mark.len()).rposition(|window| window == mark).map(|at| at + mark.len())
}

fn last_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
}
