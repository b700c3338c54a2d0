//! HTTP/1.1 server with one task per connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cowslip_budget::ConnectionPhase;
use cyper_core::{CompioTimer, HyperStream};
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use snafu::ResultExt;

use crate::body::Body;
use crate::connection::{Caller, Connections, ServedConnection};
use crate::error::{Error, ListenSnafu};
use crate::fair_stream::{FairStream, Observer};
use crate::memory::Memory;

/// Smallest read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Most fields of a header block; its size in bytes is the limit that usually applies.
const MAX_HEADER_FIELDS: usize = 1_024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits of a server on its clients.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; for a further one, the one that has been idle for longest
    /// is closed.
    pub max_connections: usize,
    /// Largest header block, in bytes.
    pub max_header_bytes: usize,
    /// Longest wait for the header block of the next request.
    pub idle_timeout: Duration,
    /// Longest time for which a caller may read nothing of a response that is ready.
    pub unread_timeout: Duration,
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
    let connections = Connections::new(limits.max_connections, None);
    let handler = move |request, _: Rc<ServedConnection>| handler(request);
    serve(listener, limits, connections, stop, handler).await;
}

/// Like [`serve_http`], for callers whose bodies and responses use the memory of `memory`.
pub async fn serve_callers<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    memory: Memory,
    stop: Receiver<()>,
    handler: H,
) where
    H: Fn(Request<Incoming>, Caller) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let connections = Connections::new(limits.max_connections, Some(memory.clone()));
    let handler =
        move |request, connection| handler(request, Caller::new(connection, memory.clone()));
    serve(listener, limits, connections, stop, handler).await;
}

async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    connections: Connections,
    stop: Receiver<()>,
    handler: H,
) where
    H: Fn(Request<Incoming>, Rc<ServedConnection>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Every connection holds a clone of the sender: the channel closes when the last one ends.
    let (connection_guard, all_done) = async_channel::bounded::<()>(1);
    compio::runtime::spawn(connections.clone().sweep(limits.unread_timeout)).detach();
    while let Some((tcp, address)) = accept(&listener, &stop).await {
        let (close, closed) = async_channel::bounded(1);
        let connection = Rc::new(ServedConnection::new(address.ip(), close));
        if !connections.admit(&connection) {
            continue;
        }
        let signals = ConnectionSignals { stop: stop.clone(), closed };
        let (handler, guard) = (handler.clone(), connection_guard.clone());
        compio::runtime::spawn(async move {
            serve_connection(tcp, limits, connection, signals, handler).await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    drop(connection_guard);
    let _ = all_done.recv().await;
}

/// Accepts the next connection; returns `None` once `stop` closes.
pub(crate) async fn accept(
    listener: &TcpListener,
    stop: &Receiver<()>,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = pin!(listener.accept());
        let stopped = pin!(stop.recv());
        match select(accepted, stopped).await {
            Either::Left((Ok(accepted), _)) => return Some(accepted),
            // A connection was reset early, or the process has no free descriptor until another
            // one closes.
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return None,
        }
    }
}

/// What ends a connection.
struct ConnectionSignals {
    /// Closes when the server finishes its requests and takes no further ones.
    stop: Receiver<()>,
    /// Gets a message when the connection gives way to others.
    closed: Receiver<()>,
}

async fn serve_connection<H, F>(
    tcp: TcpStream,
    limits: ServerLimits,
    connection: Rc<ServedConnection>,
    signals: ConnectionSignals,
    handler: H,
) where
    H: Fn(Request<Incoming>, Rc<ServedConnection>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let stream = FairStream::new(HyperStream::new_plain(tcp), Observer::Served(connection.clone()));
    let service = service_fn(move |request: Request<Incoming>| {
        let has_arrived = request.body().is_end_stream();
        connection.set_phase(if has_arrived {
            ConnectionPhase::Busy
        } else {
            ConnectionPhase::Receiving
        });
        let served = connection.clone();
        handler(request, connection.clone()).map(move |response| {
            served.set_phase(ConnectionPhase::Busy);
            Ok::<_, Infallible>(
                response.map(|body| ServedBody { body: Box::pin(body), connection: served }),
            )
        })
    });
    let serving = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(stream, service);
    let mut serving = pin!(serving);
    let stopped = pin!(signals.stop.recv());
    let mut closed = pin!(signals.closed.recv());
    // An error concerns this client only: it disconnected, or violated the protocol and got an
    // error response.
    match select(serving.as_mut(), select(stopped, closed.as_mut())).await {
        Either::Right((Either::Left(_), _)) => {
            serving.as_mut().graceful_shutdown();
            let _ = select(serving, closed).await;
        }
        Either::Left(_) | Either::Right((Either::Right(_), _)) => {}
    }
}

/// The body of a response; the connection is idle when it has been sent.
struct ServedBody {
    body: Pin<Box<Body>>,
    connection: Rc<ServedConnection>,
}

impl hyper::body::Body for ServedBody {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.connection.set_phase(ConnectionPhase::Idle);
    }
}
