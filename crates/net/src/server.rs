//! An HTTP/1.1 server: one task per connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use async_channel::Receiver;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use snafu::ResultExt;

use crate::body::Body;
use crate::error::{Error, ListenSnafu};

/// Smallest buffer that `hyper` takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Limits on the other side.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Size of a header block.
    pub max_header_bytes: usize,
    /// Longest wait for the header block of the next request.
    pub idle_timeout: Duration,
}

/// Listens on `address`.
///
/// # Errors
/// Returns [`Error::Listen`] when the address is taken or not ours.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Accepts until `stop` closes, then lets open requests finish and returns when all are done.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: Receiver<()>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Every connection holds a clone of the sender: the channel closes when the last one ends.
    let (alive, all_done) = async_channel::bounded::<()>(1);
    while let Some(tcp) = accept(&listener, &stop).await {
        if alive.sender_count() > limits.max_connections {
            continue;
        }
        let connection = connection(tcp, limits, stop.clone(), handler.clone(), alive.clone());
        compio::runtime::spawn(connection).detach();
    }
    drop(listener);
    drop(alive);
    let _ = all_done.recv().await;
}

/// The next connection, `None` once `stop` closes.
pub(crate) async fn accept(listener: &TcpListener, stop: &Receiver<()>) -> Option<TcpStream> {
    loop {
        let accepted = pin!(listener.accept());
        let stopped = pin!(stop.recv());
        match select(accepted, stopped).await {
            Either::Left((Ok((tcp, _)), _)) => return Some(tcp),
            // A failed accept concerns one connection only, such as one that was reset early.
            Either::Left((Err(_), _)) => {}
            Either::Right(_) => return None,
        }
    }
}

async fn connection<H, F>(
    tcp: TcpStream,
    limits: ServerLimits,
    stop: Receiver<()>,
    handler: H,
    alive: async_channel::Sender<()>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let service = service_fn(move |request| handler(request).map(Ok::<Response<Body>, Infallible>));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(HyperStream::new_plain(tcp), service);
    let mut connection = pin!(connection);
    let stopped = pin!(stop.recv());
    // An error here is the other side's: it is gone, or broke the protocol and was told so.
    if let Either::Right(_) = select(connection.as_mut(), stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    drop(alive);
}
