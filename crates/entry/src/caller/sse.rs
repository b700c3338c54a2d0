//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const DONE_DATA: &[u8] = b"data: [DONE]";

/// One whole event, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SseEvent {
    pub(crate) bytes: Bytes,
    /// Number of the event's token, if it carries one.
    pub(crate) token: Option<u64>,
    pub(crate) is_done: bool,
}

/// Received bytes that are not split into events yet.
#[derive(Debug, Default)]
pub(crate) struct SseBuffer {
    bytes: BytesMut,
}

impl SseBuffer {
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn len_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Removes the next whole event from the buffer.
    pub(crate) fn next_event(&mut self) -> Option<SseEvent> {
        let at = self.bytes.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let bytes = self.bytes.split_to(at + EVENT_END.len()).freeze();
        let mut token = None;
        let mut is_done = false;
        for line in bytes.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                token = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
            }
            is_done |= line == DONE_DATA;
        }
        Some(SseEvent { bytes, token, is_done })
    }
}
