//! A body that is complete in memory.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Most bytes that are handed to `hyper` at a time: it may hold several parts until they are written.
const PART_BYTES: usize = 32_768;

/// A body in memory, sent in parts.
#[derive(Clone, Debug)]
pub struct WholeBody {
    remaining: Bytes,
}

impl WholeBody {
    pub(crate) fn new(bytes: Bytes) -> Self {
        Self { remaining: bytes }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.remaining.len().min(PART_BYTES);
        let part = self.remaining.split_to(size);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
