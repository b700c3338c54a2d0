//! Bodies of HTTP requests and responses.

use std::pin::pin;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_util::future;
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

use crate::whole_body::WholeBody;

/// Maximum number of chunks buffered for a slow reader; when the buffer is full, the sender waits.
const MAX_BUFFERED_CHUNKS: usize = 16;
/// Size of a unit in which larger chunks are counted, in bytes, and most units that are buffered; the
/// last chunk may be larger.
const UNIT_BYTES: usize = 4_096;
const MAX_BUFFERED_UNITS: usize = 16;

/// Error of a body whose source failed: the connection is closed before the body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the source of the body failed before its end"))]
pub struct BodyAborted;

type Chunk = Result<Frame<Bytes>, BodyAborted>;

/// A body that is either complete in memory or streamed in chunks.
pub type Body = Either<WholeBody, StreamBody<Receiver<Chunk>>>;

/// Sending half of a streamed body.
#[derive(Clone, Debug)]
pub struct ChunkSender {
    chunks: Sender<Chunk>,
    /// Holds a message for each unit of large chunks that the reader has not taken.
    units: Sender<()>,
    taken_units: Receiver<()>,
}

impl ChunkSender {
    /// Sends a chunk and waits while the channel is full; returns `false` if the reader is dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        if bytes.len() <= UNIT_BYTES {
            return self.chunks.send(Ok(Frame::data(bytes))).await.is_ok();
        }
        let count = (bytes.len() / UNIT_BYTES).min(MAX_BUFFERED_UNITS);
        let mut chunk = LargeChunk { bytes, taken_units: self.taken_units.clone(), count: 0 };
        while chunk.count < count {
            let taking = pin!(self.units.send(()));
            let closing = pin!(self.chunks.closed());
            if let future::Either::Right(_) = future::select(taking, closing).await {
                return false;
            }
            chunk.count += 1;
        }
        self.chunks.send(Ok(Frame::data(Bytes::from_owner(chunk)))).await.is_ok()
    }

    /// Ends the body with an error, so that the reader cannot take it for complete.
    pub async fn abort(&self) {
        // If the reader is dropped, nothing needs the error.
        let _ = self.chunks.send(Err(BodyAborted)).await;
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// A chunk that returns its units when it is dropped.
struct LargeChunk {
    bytes: Bytes,
    taken_units: Receiver<()>,
    count: usize,
}

impl AsRef<[u8]> for LargeChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for LargeChunk {
    fn drop(&mut self) {
        for _ in 0..self.count {
            let _ = self.taken_units.try_recv();
        }
    }
}

/// Returns an empty body.
#[must_use]
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// Returns a body with the given content.
pub fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Either::Left(WholeBody::new(bytes.into()))
}

/// Creates a streamed body and its sending half.
#[must_use]
pub fn body_channel() -> (ChunkSender, Body) {
    let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    let (units, taken_units) = async_channel::bounded(MAX_BUFFERED_UNITS);
    let sender = ChunkSender { chunks: sender, units, taken_units };
    (sender, Either::Right(StreamBody::new(receiver)))
}
