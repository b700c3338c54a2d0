//! The read half of a client's connection, which tells a proper end from a connection that broke.

use std::future::poll_fn;
use std::io;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::task::Poll;

use compio::BufResult;
use compio::buf::IoBufMut;
use compio::io::AsyncRead;
use compio::net::TcpStream;

use crate::sending::SendProgress;

/// Reads responses from a connection.
///
/// A response without a length is whole when the connection ends. The end of the server's side does
/// not show that the connection works: a reset may follow once the rest of the request arrives, or
/// the failed write of the request has already taken the error of the socket. So an end before the
/// server has acknowledged the whole request is an error.
#[derive(Debug)]
pub(crate) struct ResponseReader {
    tcp: TcpStream,
    progress: Rc<SendProgress>,
}

impl ResponseReader {
    pub(crate) fn new(tcp: TcpStream, progress: Rc<SendProgress>) -> Self {
        Self { tcp, progress }
    }

    async fn check_request_received(&self) -> io::Result<()> {
        if !self.progress.is_sent() {
            // The last write may be done without its writer having been polled since.
            yield_once().await;
        }
        if let Some(error) = self.tcp.take_error()? {
            return Err(error);
        }
        if self.progress.is_sent() && unacknowledged_bytes(&self.tcp)? == 0 {
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "the server ended the connection before it had received the whole request",
        ))
    }
}

impl AsyncRead for ResponseReader {
    async fn read<B>(&mut self, buffer: B) -> BufResult<usize, B>
    where
        B: IoBufMut,
    {
        match self.tcp.read(buffer).await {
            BufResult(Ok(0), buffer) => {
                BufResult(self.check_request_received().await.map(|()| 0), buffer)
            }
            read => read,
        }
    }
}

/// Lets the rest of the task run once.
async fn yield_once() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Returns the number of written bytes that the other side has not acknowledged. The end of its side
/// acknowledges all that had arrived before, so nothing is left after it has read the whole request.
fn unacknowledged_bytes(tcp: &TcpStream) -> io::Result<libc::c_int> {
    let mut count: libc::c_int = 0;
    // SAFETY: the descriptor is open while `tcp` exists, and this request writes one `c_int`.
    let result = unsafe { libc::ioctl(tcp.as_raw_fd(), libc::TIOCOUTQ, &raw mut count) };
    if result == 0 { Ok(count) } else { Err(io::Error::last_os_error()) }
}
