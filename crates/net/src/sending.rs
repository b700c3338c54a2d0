//! How far a client has sent the request on its connection.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use pin_project_lite::pin_project;

use crate::body::Body;

/// Progress of the newest request on a connection, as its body and the connection's stream see it.
#[derive(Debug)]
pub(crate) struct SendProgress {
    /// Whether `hyper` has the whole body.
    has_whole_body: Cell<bool>,
    /// Whether the operating system has all that `hyper` has.
    is_flushed: Cell<bool>,
}

impl SendProgress {
    /// Returns the progress on a new connection, where nothing remains to be sent.
    pub(crate) fn new() -> Self {
        Self { has_whole_body: Cell::new(true), is_flushed: Cell::new(true) }
    }

    pub(crate) fn set_flushed(&self, is_flushed: bool) {
        self.is_flushed.set(is_flushed);
    }

    /// Returns whether the operating system has the whole request.
    pub(crate) fn is_sent(&self) -> bool {
        self.has_whole_body.get() && self.is_flushed.get()
    }
}

pin_project! {
    /// The body of a request, which reports when `hyper` has taken the whole of it.
    #[derive(Debug)]
    pub(crate) struct RequestBody {
        #[pin]
        body: Body,
        progress: Rc<SendProgress>,
    }
}

impl RequestBody {
    pub(crate) fn new(body: Body, progress: Rc<SendProgress>) -> Self {
        Self { body, progress }
    }

    pub(crate) fn into_inner(self) -> Body {
        self.body
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let mut this = self.project();
        let polled = this.body.as_mut().poll_frame(context);
        let has_ended = matches!(polled, Poll::Ready(None)) || this.body.is_end_stream();
        this.progress.has_whole_body.set(has_ended);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
