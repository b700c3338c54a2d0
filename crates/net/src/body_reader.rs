//! Reads bodies into memory.

use std::pin::pin;

use async_channel::Receiver;
use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::ResultExt;

use crate::error::{Error, HttpSnafu, NoMemorySnafu, TooLargeSnafu};
use crate::memory::{Account, Holder};

/// Size of the segments in which a body is kept while it arrives, in bytes.
const SEGMENT_BYTES: usize = 65_536;

/// Reads a body of at most `limit_bytes` from a sender that needs no further bound.
///
/// # Errors
/// Returns [`Error::TooLarge`] for a longer body and [`Error::Http`] for an incomplete one.
pub async fn read_body(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, Error> {
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(chunk) = frame.context(HttpSnafu)?.into_data() else { continue };
        if segments.total_bytes + chunk.len() > limit_bytes {
            return TooLargeSnafu { limit_bytes }.fail();
        }
        segments.push(&chunk);
    }
    Ok(segments.join().into())
}

/// Reads the body of a request into memory of the caller's account. The memory is returned when the
/// last copy of the result is dropped.
///
/// # Errors
/// Returns [`Error::TooLarge`] for a body that is longer or announced as such, of which nothing is
/// read, [`Error::NoMemory`] if others need the memory, and [`Error::Http`] for an incomplete body.
pub async fn read_request_body(
    body: Incoming,
    limit_bytes: usize,
    account: &Account,
) -> Result<Bytes, Error> {
    if body.size_hint().lower() > limit_bytes as u64 {
        return TooLargeSnafu { limit_bytes }.fail();
    }
    let (holder, evict, evicted) = account.request_holder();
    let reading = pin!(read_held(body, limit_bytes, holder, &evict));
    let evicting = pin!(wait_for(&evicted));
    match select(reading, evicting).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => NoMemorySnafu.fail(),
    }
}

/// Reads the body of a response into memory of the caller's account, which is returned when the
/// caller has read it. The connection to the caller is closed if others need the memory before.
///
/// # Errors
/// Returns [`Error::TooLarge`] for a longer body, [`Error::NoMemory`] if there is no memory, and
/// [`Error::Http`] for an incomplete body.
pub async fn read_response_body(
    body: Incoming,
    limit_bytes: usize,
    account: &Account,
) -> Result<Bytes, Error> {
    let (mut holder, close_connection) = account.response_holder();
    let announced_bytes = usize::try_from(body.size_hint().exact().unwrap_or(0)).unwrap_or(0);
    // Several responses that wait for their last steps would wait for each other.
    if announced_bytes <= limit_bytes && !holder.reserve(announced_bytes, &close_connection).await {
        return NoMemorySnafu.fail();
    }
    read_held(body, limit_bytes, holder, &close_connection).await
}

async fn wait_for(signal: &Receiver<()>) {
    if signal.recv().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn read_held(
    mut body: Incoming,
    limit_bytes: usize,
    mut holder: Holder,
    evict: &async_channel::Sender<()>,
) -> Result<Bytes, Error> {
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(chunk) = frame.context(HttpSnafu)?.into_data() else { continue };
        let total_bytes = segments.total_bytes + chunk.len();
        if total_bytes > limit_bytes {
            return TooLargeSnafu { limit_bytes }.fail();
        }
        if !holder.reserve(total_bytes, evict).await {
            return NoMemorySnafu.fail();
        }
        segments.push(&chunk);
    }
    holder.complete();
    let bytes = segments.join();
    if holder.is_open() {
        return Ok(Bytes::from_owner(HeldBytes { bytes, _holder: holder }));
    }
    Ok(bytes.into())
}

/// Bytes whose memory is returned when they are dropped.
struct HeldBytes {
    bytes: Vec<u8>,
    _holder: Holder,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that arrives. Chunks are copied, since each one keeps the whole read buffer that it arrived
/// in, and a body may consist of tiny ones. One buffer for all would be held twice whenever it grows.
#[derive(Default)]
struct Segments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    total_bytes: usize,
}

impl Segments {
    fn push(&mut self, mut chunk: &[u8]) {
        self.total_bytes += chunk.len();
        while !chunk.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let (part, rest) = chunk.split_at(chunk.len().min(SEGMENT_BYTES - self.last.len()));
            let needed_bytes = self.last.len() + part.len();
            if needed_bytes > self.last.capacity() {
                let capacity = needed_bytes.max(2 * self.last.capacity()).min(SEGMENT_BYTES);
                self.last.reserve_exact(capacity - self.last.len());
            }
            self.last.extend_from_slice(part);
            chunk = rest;
        }
    }

    fn join(mut self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        self.full.push(self.last);
        self.full.concat()
    }
}
