//! Requests between instances: one HTTP/2 connection, one stream per request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::{FutureExt, TryFutureExt};
use h2::client::SendRequest;
use h2::{RecvStream, client, server};
use http::{Request, Response, StatusCode};
use snafu::ResultExt;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::error::{
    BuildRequestSnafu, ConnectSnafu, Error, H2Snafu, NoMemorySnafu, StatusSnafu, TimedOutSnafu,
    TooLargeSnafu,
};
use crate::server::accept;

/// Largest header block of a request or response between instances, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 16_384;
/// Most requests of a peer that are served at the same time.
const MAX_STREAMS: u32 = 32;
/// Time for which the server keeps a connection without a new request open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the body of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Most open connections of peers; further ones are closed at once.
const MAX_CONNECTIONS: usize = 2_048;
/// Most bytes of all requests that are being read; further ones are refused.
const MAX_READING_BYTES: usize = 16_777_216;

/// HTTP/2 connection to a peer.
#[derive(Debug)]
pub struct PeerConnection {
    sender: SendRequest<Bytes>,
    timeout: Duration,
}

impl PeerConnection {
    /// Connects to `address`; the connection attempt and each request may take `timeout`.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be opened in time.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let connect = async {
            let tcp = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
            let _ = tcp.set_nodelay(true);
            let io = HyperStream::new_plain(tcp).compat();
            client::Builder::new()
                .max_header_list_size(MAX_HEADER_LIST_BYTES)
                .handshake(io)
                .await
                .context(H2Snafu)
        };
        let (sender, connection) = with_timeout(timeout, connect).await?;
        compio::runtime::spawn(async move {
            // Each stream gets the error of its connection.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender, timeout })
    }

    /// Sends `body` to `path` and reads a response of at most `limit_bytes`.
    ///
    /// # Errors
    /// Returns an error if the peer refuses the request or does not respond in time.
    pub async fn call(&self, path: &str, body: Bytes, limit_bytes: usize) -> Result<Bytes, Error> {
        with_timeout(self.timeout, self.send_request_and_read(path, body, limit_bytes)).await
    }

    async fn send_request_and_read(
        &self,
        path: &str,
        body: Bytes,
        limit_bytes: usize,
    ) -> Result<Bytes, Error> {
        let request = Request::post(path).body(()).context(BuildRequestSnafu)?;
        let mut sender = self.sender.clone().ready().await.context(H2Snafu)?;
        let (response, mut stream) = sender.send_request(request, false).context(H2Snafu)?;
        stream.send_data(body, true).context(H2Snafu)?;
        let response = response.await.context(H2Snafu)?;
        let status = response.status();
        if status != StatusCode::OK {
            return StatusSnafu { status: status.as_u16() }.fail();
        }
        read_stream(response.into_body(), limit_bytes, &Rc::default()).await
    }
}

async fn with_timeout<T, F>(after: Duration, work: F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    match compio::time::timeout(after, work).await {
        Ok(result) => result,
        Err(_) => TimedOutSnafu { after }.fail(),
    }
}

/// Bytes of requests that are being read.
type ReadingBytes = Rc<Cell<usize>>;

/// Counts the bytes of one request until it has been read or given up.
struct ReadingGuard<'a> {
    total: &'a ReadingBytes,
    own_bytes: usize,
}

impl ReadingGuard<'_> {
    /// Adds bytes; returns `false` if there are too many.
    fn add(&mut self, bytes: usize) -> bool {
        self.own_bytes += bytes;
        self.total.set(self.total.get() + bytes);
        self.total.get() <= MAX_READING_BYTES
    }
}

impl Drop for ReadingGuard<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own_bytes);
    }
}

async fn read_stream(
    mut stream: RecvStream,
    limit_bytes: usize,
    reading_bytes: &ReadingBytes,
) -> Result<Bytes, Error> {
    let mut content = Vec::new();
    let mut guard = ReadingGuard { total: reading_bytes, own_bytes: 0 };
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.context(H2Snafu)?;
        if content.len() + chunk.len() > limit_bytes {
            return TooLargeSnafu { limit_bytes }.fail();
        }
        if !guard.add(chunk.len()) {
            return NoMemorySnafu.fail();
        }
        content.extend_from_slice(&chunk);
        let _ = stream.flow_control().release_capacity(chunk.len());
    }
    Ok(content.into())
}

/// Serves requests of peers until `stop` closes.
///
/// `handler` gets the path and body and returns the body of the response, or an error status.
pub async fn serve_peers<H, F>(
    listener: TcpListener,
    limit_bytes: usize,
    stop: Receiver<()>,
    handler: H,
) where
    H: Fn(String, Bytes) -> F + Clone + 'static,
    F: Future<Output = Result<Bytes, StatusCode>> + 'static,
{
    let connections = Rc::new(());
    let reading_bytes = ReadingBytes::default();
    while let Some((tcp, _)) = accept(&listener, &stop).await {
        if Rc::strong_count(&connections) > MAX_CONNECTIONS {
            continue;
        }
        let (handler, reading_bytes) = (handler.clone(), reading_bytes.clone());
        let connection_guard = connections.clone();
        compio::runtime::spawn(async move {
            // An error concerns this peer only: it disconnected or violated the protocol.
            let _ = serve_connection(tcp, limit_bytes, reading_bytes, handler).await;
            drop(connection_guard);
        })
        .detach();
    }
}

async fn serve_connection<H, F>(
    tcp: TcpStream,
    limit_bytes: usize,
    reading_bytes: ReadingBytes,
    handler: H,
) -> Result<(), Error>
where
    H: Fn(String, Bytes) -> F + Clone + 'static,
    F: Future<Output = Result<Bytes, StatusCode>> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let io = HyperStream::new_plain(tcp).compat();
    let handshake = server::Builder::new()
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(io);
    let mut connection = with_timeout(IDLE_TIMEOUT, handshake.map_err(into_error)).await?;
    loop {
        // An idle connection is closed, as its peer may be gone.
        let accepting = connection.accept().map(Ok);
        let Some(accepted) = with_timeout(IDLE_TIMEOUT, accepting).await? else { return Ok(()) };
        let (request, mut respond) = accepted.context(H2Snafu)?;
        let (handler, reading_bytes) = (handler.clone(), reading_bytes.clone());
        compio::runtime::spawn(async move {
            let path = request.uri().path().to_owned();
            let reading = read_stream(request.into_body(), limit_bytes, &reading_bytes);
            let result = match with_timeout(REQUEST_TIMEOUT, reading).await {
                Ok(body) => handler(path, body).await,
                Err(Error::TimedOut { .. }) => Err(StatusCode::REQUEST_TIMEOUT),
                Err(Error::NoMemory) => Err(StatusCode::SERVICE_UNAVAILABLE),
                Err(_) => Err(StatusCode::PAYLOAD_TOO_LARGE),
            };
            let (status, body) = match result {
                Ok(body) => (StatusCode::OK, body),
                Err(status) => (status, Bytes::new()),
            };
            let mut head = Response::new(());
            *head.status_mut() = status;
            // A failed send means that the peer has disconnected.
            if let Ok(mut stream) = respond.send_response(head, false) {
                let _ = stream.send_data(body, true);
            }
        })
        .detach();
    }
}

fn into_error(source: h2::Error) -> Error {
    Error::H2 { source }
}
