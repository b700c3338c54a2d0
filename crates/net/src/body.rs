//! Bodies of HTTP requests and responses.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

use crate::whole_body::WholeBody;

/// Maximum number of chunks buffered for a slow reader; when the buffer is full, the sender waits.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Error of a body whose source failed: the connection is closed before the body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the source of the body failed before its end"))]
pub struct BodyAborted;

type Chunk = Result<Frame<Bytes>, BodyAborted>;

/// A body that is either complete in memory or streamed in chunks.
pub type Body = Either<WholeBody, StreamBody<Receiver<Chunk>>>;

/// Sending half of a streamed body.
#[derive(Clone, Debug)]
pub struct ChunkSender(Sender<Chunk>);

impl ChunkSender {
    /// Sends a chunk and waits while the channel is full; returns `false` if the reader is dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Ok(Frame::data(bytes))).await.is_ok()
    }

    /// Ends the body with an error, so that the reader cannot take it for complete.
    pub async fn abort(&self) {
        // If the reader is dropped, nothing needs the error.
        let _ = self.0.send(Err(BodyAborted)).await;
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
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
    (ChunkSender(sender), Either::Right(StreamBody::new(receiver)))
}
