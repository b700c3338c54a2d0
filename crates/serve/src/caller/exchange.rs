//! One exchange with an upstream, and what it shows.

use std::time::Duration;

use bytes::Bytes;
use cowslip_fleet::{SendOutcome, Upstream};
use cowslip_net::{Client, Connection, SendError, read_body};
use http::response::Parts;
use hyper::body::Incoming;

use crate::events::{Event, event};
use crate::platform::{
    CallerRequest, ExecutionStatus, Operation, Platform, ResponseHead, UpstreamRequest,
};

/// Reuse of a connection where the upstream does not say how long it keeps one.
const DEFAULT_KEEP_MS: u64 = 2_000;
/// Part of the time that an upstream keeps a connection in which it is reused: a request must not
/// cross the upstream's close.
const KEEP_PART_PERCENT: u64 = 60;
/// Largest whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16_777_216; // far above what plain services send

/// Why an upstream gave no answer to the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// No byte of the request was sent.
    NotArrived,
    /// The upstream stated that the request was not run.
    NotRun,
    /// The same, since it is another upstream or has another role.
    Misdirected,
    /// The connection broke: the request may have run, and the upstream may be lost.
    Broken,
    /// The answer is not one to this request, or not whole: the request may have run.
    Spoilt,
}

impl Failure {
    /// Whether the upstream is known not to have run the request.
    pub(super) fn is_not_run(self) -> bool {
        matches!(self, Self::NotArrived | Self::NotRun | Self::Misdirected)
    }

    /// What a failure says of the upstream.
    pub(super) fn outcome(self) -> SendOutcome {
        match self {
            Self::NotArrived | Self::Broken => SendOutcome::ConnectionFailed,
            Self::NotRun | Self::Misdirected => SendOutcome::Refused,
            Self::Spoilt => SendOutcome::Failed,
        }
    }
}

/// An answer whose body is still to be read.
pub(super) struct Reply {
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    connection: UpstreamConnection,
}

/// The connection of an answer.
pub(super) struct UpstreamConnection {
    address: std::net::SocketAddr,
    exchange: Connection,
    keep_for: Option<Duration>,
}

impl UpstreamConnection {
    /// Keeps the connection after its answer was read to the end; tells for how long.
    pub(super) fn keep(self, client: &Client) -> Option<Duration> {
        if let Some(keep_for) = self.keep_for {
            client.return_to_pool(self.address, self.exchange, keep_for);
        }
        self.keep_for
    }
}

impl Reply {
    /// Parts the answer from its connection.
    pub(super) fn split(self) -> (Parts, Incoming, UpstreamConnection) {
        (self.parts, self.body, self.connection)
    }
}

/// Sends a request and waits for the head of its answer.
pub(super) async fn exchange<E>(
    platform: &E,
    client: &Client,
    call: &CallerRequest,
    outgoing: &UpstreamRequest<'_>,
) -> Result<Reply, Failure>
where
    E: Platform,
{
    let upstream = outgoing.upstream;
    let request = platform.upstream_request(call, outgoing).map_err(|error| {
        note(call, upstream, Failure::NotArrived, &error.to_string());
        Failure::NotArrived
    })?;
    let sent = client.send_on_connection(upstream.address, request).await;
    let (response, exchange) = sent.map_err(|sent| {
        let (failure, error) = match sent {
            SendError::NotSent(error) => (Failure::NotArrived, error),
            SendError::MaybeSent(error) => (Failure::Broken, error),
        };
        note(call, upstream, failure, &error.to_string());
        failure
    })?;
    let (parts, body) = response.into_parts();
    let head = platform.decode_response_head(&parts);
    if let Err((failure, why)) = check(call, outgoing.operation, &head) {
        note(call, upstream, failure, why);
        if matches!(failure, Failure::NotRun | Failure::Misdirected) {
            // The connection is sound, and its short body is read before the next request.
            let connection = connection(upstream, exchange, &head);
            compio::runtime::spawn(drain(body, connection, client.clone())).detach();
        }
        return Err(failure);
    }
    let connection = connection(upstream, exchange, &head);
    Ok(Reply { parts, body, connection })
}

/// Whether an answer is one to this call, and one of an upstream.
fn check(
    call: &CallerRequest,
    operation: Operation<'_>,
    head: &ResponseHead,
) -> Result<(), (Failure, &'static str)> {
    if head.attempt_id.as_deref() != Some(&*call.head.attempt_id) {
        return Err((Failure::Spoilt, "the answer names another attempt"));
    }
    match head.execution {
        ExecutionStatus::Ran => Ok(()),
        // Only answers for callers bear the mark.
        ExecutionStatus::MissingStamp if matches!(operation, Operation::Prefill) => Ok(()),
        ExecutionStatus::MissingStamp => {
            Err((Failure::Spoilt, "the answer bears no upstream's mark"))
        }
        ExecutionStatus::BodyAltered => Err((Failure::Spoilt, "the body was changed on the way")),
        ExecutionStatus::NotRun => Err((Failure::NotRun, "the upstream did not run it")),
        ExecutionStatus::Misdirected => {
            Err((Failure::Misdirected, "another upstream or role was expected"))
        }
    }
}

fn connection(
    upstream: &Upstream,
    exchange: Connection,
    head: &ResponseHead,
) -> UpstreamConnection {
    let keep_ms = head.keep_alive_ms.unwrap_or(DEFAULT_KEEP_MS) * KEEP_PART_PERCENT / 100;
    let keep_for = (!head.closes_connection).then(|| Duration::from_millis(keep_ms));
    UpstreamConnection { address: upstream.address, exchange, keep_for }
}

async fn drain(body: Incoming, connection: UpstreamConnection, client: Client) {
    if read_body(body, MAX_ANSWER_BYTES).await.is_ok() {
        let _ = connection.keep(&client);
    }
}

/// A whole answer, and how long its connection is kept.
pub(super) type Whole = (Parts, Bytes, Option<Duration>);

/// Reads a whole answer.
pub(super) async fn read_whole(
    call: &CallerRequest,
    upstream: &Upstream,
    client: &Client,
    reply: Reply,
) -> Result<Whole, Failure> {
    let (parts, body, connection) = reply.split();
    match read_body(body, MAX_ANSWER_BYTES).await {
        Ok(bytes) => Ok((parts, bytes, connection.keep(client))),
        Err(error) => {
            note(call, upstream, Failure::Spoilt, &error.to_string());
            Err(Failure::Spoilt)
        }
    }
}

fn note(call: &CallerRequest, upstream: &Upstream, failure: Failure, why: &str) {
    event!(
        Event::SendFailed,
        request = call.head.attempt_id,
        upstream = upstream.id,
        outcome = format_args!("{failure:?}"),
        why = why
    );
}
