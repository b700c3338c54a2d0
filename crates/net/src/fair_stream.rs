//! A stream that yields to other tasks although data is always available.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};

use crate::connection::ServedConnection;
use crate::sending::SendProgress;

/// Successive reads that succeed at once before the stream yields.
const MAX_READY_READS: u32 = 2; // up to 128 KiB, some milliseconds of parsing

/// What a stream reports its reads and writes to.
#[derive(Debug)]
pub(crate) enum Observer {
    /// Gets to know when bytes arrive, and whether the other side reads what is written.
    Served(Rc<ServedConnection>),
    /// Gets to know whether all that was written has left the process.
    Sending(Rc<SendProgress>),
}

/// Wraps a connection's stream. `hyper` reads on in one poll as long as bytes arrive that complete
/// no message, so a server that sends interim responses without end would stop all other tasks of
/// the thread.
#[derive(Debug)]
pub(crate) struct FairStream<S> {
    inner: S,
    ready_reads: u32,
    observer: Observer,
}

impl<S> FairStream<S> {
    pub(crate) fn new(inner: S, observer: Observer) -> Self {
        Self { inner, ready_reads: 0, observer }
    }

    fn record_write<T>(&self, polled: Poll<T>) -> Poll<T> {
        match &self.observer {
            Observer::Served(connection) => connection.set_unread(polled.is_pending()),
            Observer::Sending(progress) => progress.set_flushed(false),
        }
        polled
    }

    fn record_flush(&self, polled: Poll<io::Result<()>>) -> Poll<io::Result<()>> {
        match &self.observer {
            Observer::Served(connection) => connection.set_unread(polled.is_pending()),
            Observer::Sending(progress) => {
                // `hyper` flushes only when it has written all that it has.
                progress.set_flushed(matches!(polled, Poll::Ready(Ok(()))));
            }
        }
        polled
    }
}

impl<S> Read for FairStream<S>
where
    S: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ready_reads >= MAX_READY_READS {
            self.ready_reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.ready_reads = if polled.is_ready() { self.ready_reads + 1 } else { 0 };
        if let (Poll::Ready(Ok(())), Observer::Served(connection)) = (&polled, &self.observer) {
            connection.on_read();
        }
        Poll::Ready(ready!(polled))
    }
}

impl<S> Write for FairStream<S>
where
    S: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.record_write(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(context);
        self.record_flush(polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
