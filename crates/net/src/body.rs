//! Bodies of responses and requests.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

/// Chunks that may wait for a slow reader.
const CHUNKS_IN_FLIGHT: usize = 16;

/// The source of a body broke off; the connection ends without the body's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the source of the body broke off"))]
pub struct BodyAborted;

type Chunk = Result<Frame<Bytes>, BodyAborted>;

/// A body that is known whole, or comes chunk by chunk.
pub type Body = Either<Full<Bytes>, StreamBody<Receiver<Chunk>>>;

/// The writing side of a streamed body.
#[derive(Clone, Debug)]
pub struct ChunkSender(Sender<Chunk>);

impl ChunkSender {
    /// Sends a chunk, waiting while the channel is full; `false` when the reader is gone.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Ok(Frame::data(bytes))).await.is_ok()
    }

    /// Ends the body so that the reader cannot take it for complete.
    pub async fn abort(&self) {
        // A reader that is gone needs no sign.
        let _ = self.0.send(Err(BodyAborted)).await;
    }

    /// Resolves once the reader is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// An empty body.
#[must_use]
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// A whole body.
pub fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// A streamed body and its writing side.
#[must_use]
pub fn body_channel() -> (ChunkSender, Body) {
    let (sender, receiver) = async_channel::bounded(CHUNKS_IN_FLIGHT);
    (ChunkSender(sender), Either::Right(StreamBody::new(receiver)))
}
