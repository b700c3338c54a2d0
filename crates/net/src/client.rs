//! HTTP/1.1 client that reports whether any byte of a failed request may have been sent.
//!
//! A response without a length fails if its connection ends before the server has acknowledged the
//! whole request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use snafu::ResultExt;
use socket2::SockRef;

use crate::body::Body;
use crate::error::{ConnectSnafu, Error, HttpSnafu, TimedOutSnafu};
use crate::fair_stream::{FairStream, Observer};
use crate::response_head::check_head;
use crate::response_reader::ResponseReader;
use crate::sending::{RequestBody, SendProgress};

/// Largest head of a response, in bytes; also bounds the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 65_536;
/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Delay before a returned connection is reused. Surplus bytes after a response arrive within this
/// time, and `hyper` then closes the connection before it can carry another request.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Time without a response after which a request that is given up casts doubt on its connection.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Timeouts of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest time for which the kernel resends unacknowledged data (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// Longest idle time of a connection that [`Client::send`] reuses. An idle connection can go
    /// silent without a sign, so the limit bounds how long ago that may have happened.
    pub max_idle: Duration,
}

/// Failure of a request, by whether any byte of it may have been sent.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(Error),
    /// Bytes of the request may have been sent.
    MaybeSent(Error),
}

/// HTTP/1.1 client with a pool of idle connections per address.
#[derive(Clone, Debug)]
pub struct Client {
    options: ClientOptions,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A pooled connection.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    usable_from: Instant,
    usable_until: Instant,
}

impl IdleConnection {
    fn is_open(&self, now: Instant) -> bool {
        !self.connection.sender.is_closed() && now < self.usable_until
    }
}

/// Watches a request on a reused connection. If the request is given up without a response, the
/// connections that have been idle since before it was sent may be silent as well, and are closed.
struct SilenceGuard<'a> {
    client: &'a Client,
    address: SocketAddr,
    sent_at: Instant,
    is_armed: bool,
}

impl<'a> SilenceGuard<'a> {
    fn new(client: &'a Client, address: SocketAddr) -> Self {
        Self { client, address, sent_at: Instant::now(), is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed && self.sent_at.elapsed() >= SILENT_AFTER {
            self.client.close_idle_since_before(self.address, self.sent_at);
        }
    }
}

/// A connection that carries one request at a time and is not shared.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    progress: Rc<SendProgress>,
    connected_at: Instant,
}

impl Client {
    /// Creates a client with an empty pool.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self { options, idle: Rc::default() }
    }

    /// Opens a connection outside the pool.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be opened in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let after = self.options.connect_timeout;
        let tcp = compio::time::timeout(after, TcpStream::connect(address))
            .await
            .map_err(|_| TimedOutSnafu { after }.build())?
            .context(ConnectSnafu { address })?;
        let connected_at = Instant::now();
        let _ = tcp.set_nodelay(true);
        SockRef::from(&tcp)
            .set_tcp_user_timeout(Some(self.options.user_timeout))
            .context(ConnectSnafu { address })?;
        let progress = Rc::new(SendProgress::new());
        let reader = ResponseReader::new(tcp.clone(), progress.clone());
        let stream = HyperStream::new_plain((reader, tcp));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FairStream::new(stream, Observer::Sending(progress.clone())))
            .await
            .context(HttpSnafu)?;
        compio::runtime::spawn(async move {
            // The sender of a request gets the error of its connection.
            let _ = connection.await;
        })
        .detach();
        Ok(Connection { sender, progress, connected_at })
    }

    /// Sends a request over a pooled or new connection and waits for the head of the response.
    ///
    /// The connection returns to the pool and is reused once the response is read to its end.
    ///
    /// # Errors
    /// Returns a [`SendError`] that says whether any byte of the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        let (response, connection) = self.send_on_connection(address, request).await?;
        self.put_idle(address, connection, Duration::ZERO, self.options.max_idle);
        Ok(response)
    }

    /// Like [`Client::send`], but hands the connection to the caller, which passes it to
    /// [`Client::return_to_pool`] or drops it.
    ///
    /// # Errors
    /// Returns a [`SendError`] that says whether any byte of the request may have been sent.
    pub async fn send_on_connection(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            let silence = SilenceGuard::new(self, address);
            let result = connection.try_send(request).await;
            silence.disarm();
            match result {
                Ok(response) => return Ok((response, connection)),
                // The server had closed the idle connection: nothing was sent.
                Err((Some(unsent), _)) => request = unsent,
                Err((None, error)) => return Err(SendError::MaybeSent(error)),
            }
        }
        let mut connection = self.connect(address).await.map_err(SendError::NotSent)?;
        match connection.try_send(request).await {
            Ok(response) => Ok((response, connection)),
            Err((Some(_), error)) => Err(SendError::NotSent(error)),
            Err((None, error)) => Err(SendError::MaybeSent(error)),
        }
    }

    /// Puts a connection whose response was read to its end back into the pool, which may reuse it
    /// for at most `reuse_for`.
    pub fn return_to_pool(&self, address: SocketAddr, connection: Connection, reuse_for: Duration) {
        self.put_idle(address, connection, REUSE_DELAY, reuse_for);
    }

    /// Closes the idle connections to `address`, so that the next request opens a new one.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections to `address` that have been idle since before `time`.
    fn close_idle_since_before(&self, address: SocketAddr, time: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&address) {
            connections.retain(|idle| idle.idle_since >= time);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.is_open(now));
        let is_usable =
            |idle: &IdleConnection| idle.connection.sender.is_ready() && idle.usable_from <= now;
        // Reuses the most recently returned connection, so that the others can expire.
        let index = connections.iter().rposition(is_usable)?;
        Some(connections.remove(index).connection)
    }

    fn put_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        reuse_delay: Duration,
        reuse_for: Duration,
    ) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if !idle.contains_key(&address) {
            // Upstreams change their addresses, so each new address triggers the removal of the
            // addresses without an open connection.
            idle.retain(|_, connections| {
                connections.retain(|idle| idle.is_open(now));
                !connections.is_empty()
            });
        }
        let connections = idle.entry(address).or_default();
        connections.retain(|idle| idle.is_open(now));
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                usable_from: now + reuse_delay,
                usable_until: now + reuse_for,
            });
        }
    }
}

impl Connection {
    /// Returns the time since the server accepted the connection.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.connected_at.elapsed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// Returns a [`SendError`] that says whether any byte of the request may have been sent.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        self.try_send(request).await.map_err(|(unsent, error)| match unsent {
            Some(_) => SendError::NotSent(error),
            None => SendError::MaybeSent(error),
        })
    }

    async fn try_send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, (Option<Request<Body>>, Error)> {
        let request = request.map(|body| RequestBody::new(body, self.progress.clone()));
        let response = self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().map(|request| request.map(RequestBody::into_inner));
            (unsent, Error::Http { source: error.into_error() })
        })?;
        let (head, body) = response.into_parts();
        check_head(&head).map_err(|error| (None, error))?;
        Ok(Response::from_parts(head, body))
    }
}
