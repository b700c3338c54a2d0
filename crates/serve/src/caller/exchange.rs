//! One exchange of a request and a response with an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_fleet::{Failure, Framing, Interruption, Progress, ResponseKind, Upstream, check_end};
use cowslip_net::{Client, Connection, Error, SendError, read_body, read_response_body};
use http::response::Parts;
use hyper::body::{Body, Incoming};

use super::shared::Shared;
use crate::events::{Event, event};
use crate::hub::{HubMessage, UpstreamRefusal, UpstreamStatement};
use crate::platform::{
    CallerRequest, ExecutionStatus, Operation, Platform, ResponseHead, UpstreamRequest,
};

/// Keep-alive time of connections whose upstream states none.
const DEFAULT_KEEP_ALIVE_MS: u64 = 2_000;
/// Part of an upstream's keep-alive time in which its connection is reused, in percent: a request
/// must not be sent while the upstream closes the connection.
const KEEP_ALIVE_PERCENT: u64 = 60;
/// Largest buffered response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4_194_304; // far above the responses of services without streams
/// Largest body of a refusal, and the time within which it is read so that the connection can be
/// reused.
const MAX_REFUSAL_BYTES: usize = 65_536;
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Why a response without a body is not whole.
pub(super) const EMPTY_UNTIL_CLOSE: &str =
    "the connection closed after the head, and the response states no length";

/// A response whose body has not been read yet.
pub(super) struct UpstreamResponse {
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    pub(super) framing: Framing,
    connection: UpstreamConnection,
}

/// The body of a response, and the connection that it arrives on.
pub(super) struct UpstreamBody {
    pub(super) incoming: Incoming,
    pub(super) framing: Framing,
    pub(super) connection: UpstreamConnection,
}

/// The connection that a response arrives on.
pub(super) struct UpstreamConnection {
    address: std::net::SocketAddr,
    connection: Connection,
    /// Time in which the connection may be reused; `None` if it closes.
    keep_alive: Option<Duration>,
}

impl UpstreamConnection {
    /// Returns the time since the upstream accepted the connection.
    pub(super) fn age(&self) -> Duration {
        self.connection.age()
    }

    /// Puts the connection into the pool once its response was read to the end. Returns the time
    /// for which the pool keeps it.
    pub(super) fn return_to_pool(self, client: &Client) -> Option<Duration> {
        if let Some(keep_alive) = self.keep_alive {
            client.return_to_pool(self.address, self.connection, keep_alive);
        }
        self.keep_alive
    }
}

impl UpstreamResponse {
    /// Splits the response into its head, and its body with the connection that it arrives on.
    pub(super) fn split(self) -> (Parts, UpstreamBody) {
        let Self { parts, body: incoming, framing, connection } = self;
        (parts, UpstreamBody { incoming, framing, connection })
    }
}

/// Sends a request and waits for the head of its response.
pub(super) async fn exchange<P>(
    shared: &Shared<P>,
    caller_request: &CallerRequest,
    upstream_request: &UpstreamRequest<'_>,
) -> Result<UpstreamResponse, Failure>
where
    P: Platform,
{
    let (platform, client) = (&shared.platform, &shared.client);
    let upstream = upstream_request.upstream;
    let failed = |is_sent: bool, interruption: Interruption, why: &str| {
        let failure = Failure::of_interruption(is_sent, interruption);
        log_failure(caller_request, upstream, failure, why);
        failure
    };
    let request = platform
        .upstream_request(caller_request, upstream_request)
        .map_err(|error| failed(false, Interruption::Malformed, &error.to_string()))?;
    let sent = client.send_on_connection(upstream.address, request).await;
    if matches!(&sent, Err(SendError::NotSent(error)) if error.is_refused()) {
        let upstream = upstream.id.clone();
        shared.hub.send(HubMessage::UpstreamRefused { upstream }).await;
    }
    let (response, connection) = sent.map_err(|error| {
        let (is_sent, error) = match error {
            SendError::NotSent(error) => (false, error),
            SendError::MaybeSent(error) => (true, error),
        };
        failed(is_sent, interruption(&error), &error.to_string())
    })?;
    let (parts, body) = response.into_parts();
    let head = platform.decode_response_head(&parts);
    if let Some(statement) = statement(caller_request, upstream, &connection, &head) {
        shared.hub.send(HubMessage::Stated(statement)).await;
    }
    let checked = check_response(caller_request, upstream_request.operation, &head);
    if let Err((interruption, why)) = checked {
        let failure = failed(true, interruption, why);
        if failure.is_not_run() {
            // The connection can be reused once the short body of the refusal was read.
            let connection = upstream_connection(upstream, connection, &head);
            compio::runtime::spawn(read_to_end(body, connection, client.clone())).detach();
        }
        return Err(failure);
    }
    let connection = upstream_connection(upstream, connection, &head);
    let framing = framing(&parts, &body);
    Ok(UpstreamResponse { parts, body, framing, connection })
}

/// Returns what a response states about the upstream; `None` if it states nothing or belongs to
/// another request. One that is from another upstream only shows that the entry is outdated.
fn statement(
    caller_request: &CallerRequest,
    upstream: &Arc<Upstream>,
    connection: &Connection,
    head: &ResponseHead,
) -> Option<UpstreamStatement> {
    let refusal = match head.execution {
        ExecutionStatus::NotRun => Some(UpstreamRefusal::NotRun),
        ExecutionStatus::Misdirected if !caller_request.head.has_condition => {
            Some(UpstreamRefusal::Misdirected)
        }
        _ => None,
    };
    let is_from_upstream = head.execution != ExecutionStatus::Misdirected;
    let is_leaving = is_from_upstream && head.is_leaving;
    let hold_ms = head.hold_ms.filter(|_| is_from_upstream);
    let has_statement = is_leaving || hold_ms.is_some() || refusal.is_some();
    (has_statement && is_for_attempt(caller_request, head)).then(|| UpstreamStatement {
        upstream: upstream.clone(),
        connection_age: connection.age(),
        is_leaving,
        hold_ms,
        refusal,
    })
}

fn is_for_attempt(caller_request: &CallerRequest, head: &ResponseHead) -> bool {
    head.attempt_id.as_deref() == Some(&*caller_request.head.attempt_id)
}

/// Checks that a response belongs to this request and comes from the intended upstream.
fn check_response(
    caller_request: &CallerRequest,
    operation: Operation<'_>,
    head: &ResponseHead,
) -> Result<(), (Interruption, &'static str)> {
    if !is_for_attempt(caller_request, head) {
        return Err((Interruption::Foreign, "the response names another attempt"));
    }
    match head.execution {
        ExecutionStatus::Ran => Ok(()),
        // Upstreams stamp only responses that are meant for callers.
        ExecutionStatus::MissingStamp if matches!(operation, Operation::Prefill) => Ok(()),
        ExecutionStatus::MissingStamp => {
            Err((Interruption::Foreign, "the response has no stamp of an upstream"))
        }
        ExecutionStatus::BodyAltered => {
            Err((Interruption::Foreign, "the body was altered in transit"))
        }
        ExecutionStatus::NotRun => {
            Err((Interruption::Refused, "the upstream did not run the request"))
        }
        ExecutionStatus::Misdirected if caller_request.head.has_condition => {
            Err((Interruption::Unmet, "the upstream does not meet the caller's condition"))
        }
        ExecutionStatus::Misdirected => {
            Err((Interruption::Misdirected, "the request was meant for another upstream or role"))
        }
    }
}

fn upstream_connection(
    upstream: &Upstream,
    connection: Connection,
    head: &ResponseHead,
) -> UpstreamConnection {
    let keep_alive_ms =
        head.keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS) * KEEP_ALIVE_PERCENT / 100;
    let keep_alive = (!head.closes_connection).then(|| Duration::from_millis(keep_alive_ms));
    UpstreamConnection { address: upstream.address, connection, keep_alive }
}

async fn read_to_end(body: Incoming, connection: UpstreamConnection, client: Client) {
    // Otherwise the connection is closed, and the next request opens a new one.
    let reading = compio::time::timeout(REFUSAL_TIMEOUT, read_body(body, MAX_REFUSAL_BYTES));
    if matches!(reading.await, Ok(Ok(_))) {
        let _ = connection.return_to_pool(&client);
    }
}

/// Head and body of a complete response, and the keep-alive time of its connection.
pub(super) type BufferedResponse = (Parts, Bytes, Option<Duration>);

/// Reads the body of a response to its end.
pub(super) async fn buffer_response(
    caller_request: &CallerRequest,
    upstream: &Upstream,
    client: &Client,
    response: UpstreamResponse,
) -> Result<BufferedResponse, Failure> {
    let (parts, body) = response.split();
    let result = read_response_body(body.incoming, MAX_RESPONSE_BYTES, &caller_request.account)
        .await
        .map_err(|error| (Failure::of_interruption(true, interruption(&error)), error.to_string()))
        .and_then(|bytes| {
            let progress = if bytes.is_empty() { Progress::Empty } else { Progress::Inside };
            check_end(ResponseKind::Buffered, body.framing, progress)
                .map(|()| bytes)
                .map_err(|failure| (failure, EMPTY_UNTIL_CLOSE.to_owned()))
        });
    match result {
        Ok(bytes) => Ok((parts, bytes, body.connection.return_to_pool(client))),
        Err((failure, why)) => {
            log_failure(caller_request, upstream, failure, &why);
            Err(failure)
        }
    }
}

/// Returns why an exchange with this error was interrupted.
pub(super) fn interruption(error: &Error) -> Interruption {
    match error {
        Error::NoMemory => Interruption::NoMemory,
        error if error.is_disconnect() => Interruption::Disconnected,
        _ => Interruption::Malformed,
    }
}

/// Returns how the end of a body is marked.
fn framing(parts: &Parts, body: &Incoming) -> Framing {
    if body.size_hint().exact().is_some() {
        Framing::Length
    } else if parts.headers.contains_key("transfer-encoding") {
        Framing::Chunked
    } else {
        Framing::ConnectionEnd
    }
}

/// Logs a send that yielded no usable response.
pub(super) fn log_failure(
    caller_request: &CallerRequest,
    upstream: &Upstream,
    failure: Failure,
    why: &str,
) {
    event!(
        Event::SendFailed,
        request = caller_request.head.attempt_id,
        upstream = upstream.id,
        outcome = format_args!("{failure:?}"),
        why = why
    );
}
