//! An HTTP/1.1 client that knows whether a byte of a request can have been sent.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use snafu::ResultExt;
use socket2::SockRef;

use crate::body::Body;
use crate::error::{ConnectSnafu, Error, HttpSnafu, TimedOutSnafu, TooLargeSnafu};

/// Idle connections kept per address.
const MAX_IDLE: usize = 64;
/// Rest of a connection before its next request, so that surplus bytes after an answer are seen
/// first and end it.
const REST: Duration = Duration::from_millis(10);

/// How a [`Client`] connects.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// How long the kernel resends unacknowledged data.
    pub user_timeout: Duration,
}

/// An exchange that failed.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(Error),
    /// Bytes of the request may have been sent.
    MaybeSent(Error),
}

/// Connections to many addresses, reused when idle.
#[derive(Clone, Debug)]
pub struct Client {
    options: ClientOptions,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    usable_from: Instant,
    usable_until: Option<Instant>,
}

impl Idle {
    fn is_open(&self, now: Instant) -> bool {
        !self.sender.is_closed() && self.usable_until.is_none_or(|until| now < until)
    }
}

/// A single connection that is not shared.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self { options, idle: Rc::default() }
    }

    /// Opens a connection that nothing else uses.
    ///
    /// # Errors
    /// Returns an error when no connection comes about.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let after = self.options.connect_timeout;
        let tcp = compio::time::timeout(after, TcpStream::connect(address))
            .await
            .map_err(|_| TimedOutSnafu { after }.build())?
            .context(ConnectSnafu { address })?;
        let _ = tcp.set_nodelay(true);
        SockRef::from(&tcp)
            .set_tcp_user_timeout(Some(self.options.user_timeout))
            .context(ConnectSnafu { address })?;
        let (sender, connection) =
            http1::handshake(HyperStream::new_plain(tcp)).await.context(HttpSnafu)?;
        compio::runtime::spawn(async move {
            // The sender of a request gets the error of its connection.
            let _ = connection.await;
        })
        .detach();
        Ok(Connection { sender })
    }

    /// Sends a request over an idle or a new connection and waits for the head of the response.
    ///
    /// The connection is kept for the next request once the response is read to its end.
    ///
    /// # Errors
    /// [`SendError`] tells whether a byte can have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        let (response, connection) = self.send_on_connection(address, request).await?;
        self.put_idle(address, connection, Duration::ZERO, None);
        Ok(response)
    }

    /// Like [`Client::send`], but the connection is the asker's to [`Client::return_to_pool`] or to drop.
    ///
    /// # Errors
    /// [`SendError`] tells whether a byte can have been sent.
    pub async fn send_on_connection(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            match connection.try_send(request).await {
                Ok(response) => return Ok((response, connection)),
                // An idle connection that the other side had closed: nothing was written.
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

    /// Keeps a connection whose response was read to its end, for at most `reuse_for`.
    pub fn return_to_pool(&self, address: SocketAddr, connection: Connection, reuse_for: Duration) {
        self.put_idle(address, connection, REST, Some(reuse_for));
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| idle.is_open(now));
        let is_usable = |idle: &Idle| idle.sender.is_ready() && idle.usable_from <= now;
        // The one that was used last: the others may lapse.
        let index = kept.iter().rposition(is_usable)?;
        Some(Connection { sender: kept.remove(index).sender })
    }

    fn put_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        rest: Duration,
        reuse_for: Option<Duration>,
    ) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if !idle.contains_key(&address) {
            // Addresses come and go with upstreams: a new one is the time to let old ones go.
            idle.retain(|_, kept| {
                kept.retain(|idle| idle.is_open(now));
                !kept.is_empty()
            });
        }
        let kept = idle.entry(address).or_default();
        kept.retain(|idle| idle.is_open(now));
        if kept.len() < MAX_IDLE {
            kept.push(Idle {
                sender: connection.sender,
                usable_from: now + rest,
                usable_until: reuse_for.map(|time| now + time),
            });
        }
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`] tells whether a byte can have been sent.
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
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message();
            (unsent, Error::Http { source: error.into_error() })
        })
    }
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
/// Returns [`Error::TooLarge`] for a longer body or one that breaks off.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Error> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(source) => Err(Error::Http { source: *source }),
            Err(_) => TooLargeSnafu { limit_bytes }.fail(),
        },
    }
}
