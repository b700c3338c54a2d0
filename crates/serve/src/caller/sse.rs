//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
/// Terminators of an event: an empty line, with LF or CRLF line ends.
const EVENT_TERMINATORS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// Buffers the bytes of an incomplete event, and holds the id of the newest complete event.
#[derive(Debug, Default)]
pub(super) struct SseFramer {
    bytes: BytesMut,
    last_id: Option<String>,
}

impl SseFramer {
    /// Appends a chunk and returns the bytes of all events that are complete now.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        // A terminator may begin in the last bytes of the previous chunk.
        let scan_start = self.bytes.len().saturating_sub(3);
        self.bytes.extend_from_slice(chunk);
        let end = EVENT_TERMINATORS
            .iter()
            .filter_map(|terminator| end_of_last(&self.bytes[scan_start..], terminator))
            .max()
            .map(|at| scan_start + at)?;
        let events = self.bytes.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the id of the newest complete event.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the size of the incomplete event, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Drops the bytes of an incomplete event.
    pub(super) fn discard_partial(&mut self) {
        self.bytes.clear();
    }
}

fn end_of_last(bytes: &[u8], terminator: &[u8]) -> Option<usize> {
    bytes
        .windows(terminator.len())
        .rposition(|window| window == terminator)
        .map(|at| at + terminator.len())
}

fn last_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
}
