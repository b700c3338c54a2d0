//! HTTP/1.1 server with one task per connection.

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
use crate::fair_stream::FairStream;

/// Smallest read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Most fields of a header block; its size in bytes is the limit that usually applies.
const MAX_HEADER_FIELDS: usize = 1_024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits of a server on its clients.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Largest header block, in bytes.
    pub max_header_bytes: usize,
    /// Longest wait for the header block of the next request.
    pub idle_timeout: Duration,
}

/// Listens on `address`.
///
/// # Errors
/// Returns [`Error::Listen`] if the address is in use or not local.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves connections until `stop` closes, then finishes the requests in flight and returns.
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
    let (connection_guard, all_done) = async_channel::bounded::<()>(1);
    while let Some(tcp) = accept(&listener, &stop).await {
        if connection_guard.sender_count() > limits.max_connections {
            continue;
        }
        let connection =
            serve_connection(tcp, limits, stop.clone(), handler.clone(), connection_guard.clone());
        compio::runtime::spawn(connection).detach();
    }
    drop(listener);
    drop(connection_guard);
    let _ = all_done.recv().await;
}

/// Accepts the next connection; returns `None` once `stop` closes.
pub(crate) async fn accept(listener: &TcpListener, stop: &Receiver<()>) -> Option<TcpStream> {
    loop {
        let accepted = pin!(listener.accept());
        let stopped = pin!(stop.recv());
        match select(accepted, stopped).await {
            Either::Left((Ok((tcp, _)), _)) => return Some(tcp),
            // A connection was reset early, or the process has no free descriptor until another
            // one closes.
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return None,
        }
    }
}

async fn serve_connection<H, F>(
    tcp: TcpStream,
    limits: ServerLimits,
    stop: Receiver<()>,
    handler: H,
    connection_guard: async_channel::Sender<()>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let service = service_fn(move |request| handler(request).map(Ok::<Response<Body>, Infallible>));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(FairStream::new(HyperStream::new_plain(tcp)), service);
    let mut connection = pin!(connection);
    let stopped = pin!(stop.recv());
    // An error concerns this client only: it disconnected, or violated the protocol and got an
    // error response.
    if let Either::Right(_) = select(connection.as_mut(), stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    drop(connection_guard);
}
