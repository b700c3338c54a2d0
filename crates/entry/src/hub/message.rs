//! Messages to the hub.

use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_authority::{Target, TargetState, Term};
use cowslip_idempotency::{CallerReply, SendResult};
use cowslip_membership::ListedMember;
use cowslip_name::Name;
use cowslip_proto as proto;
use cowslip_state::OrderAction;
pub(crate) use cowslip_task::ReplySender;

/// Messages to the hub, which owns the state of the instance. A `grant` field is a [`Grant::id`].
#[derive(Debug)]
pub(crate) enum HubMessage {
    /// Runs the periodic work.
    Tick,
    /// Delivers the page of a read that was sent at `sent_at_ms`, `None` if the read failed; the
    /// reply is the offset of the next read.
    LogPage { sent_at_ms: u64, page: Option<proto::LogPage>, reply: ReplySender<u64> },
    /// Delivers the platform's list of instances.
    InstanceList(Vec<ListedMember>),
    /// Gets this instance's heartbeat and the number of its newest upstream loss.
    OwnHeartbeat { reply: ReplySender<(proto::Heartbeat, u64)> },
    /// Delivers a peer's heartbeat; the reply is this instance's heartbeat.
    Heartbeat { heartbeat: proto::Heartbeat, reply: ReplySender<proto::Heartbeat> },
    /// Delivers a peer's reply to a heartbeat that was sent at `sent_at_ms` and carried all losses
    /// up to `acked_loss`; the reply is the offset to read from if the peer is ahead.
    HeartbeatReply {
        sent_at_ms: u64,
        acked_loss: u64,
        heartbeat: proto::Heartbeat,
        reply: ReplySender<Option<u64>>,
    },
    /// Gets log entries for a peer.
    Tail { from_offset: u64, reply: ReplySender<Vec<proto::RawLogEntry>> },
    /// Delivers log entries from a peer.
    PeerEntries(Vec<proto::RawLogEntry>),
    /// Acquires an upstream for a request.
    Acquire { request: AcquireRequest, reply: ReplySender<AcquireResult> },
    /// Releases a grant.
    Release { grant: u64, outcome: UpstreamOutcome, usage: RequestUsage },
    /// Records that the first token of a request has arrived.
    FirstToken { grant: u64 },
    /// Releases a grant and acquires another upstream for its request.
    Reassign { grant: u64, outcome: UpstreamOutcome, reply: ReplySender<AcquireResult> },
    /// Begins a call that is not safe to retry and carries an idempotency key.
    BeginIdempotentCall {
        grant: u64,
        idempotency_key: Arc<str>,
        digest: [u8; 32],
        reply: ReplySender<CallAction>,
    },
    /// Reports the result of the one attempt at a call; the reply is the response to the caller.
    CallAttempted { grant: u64, result: SendResult, reply: ReplySender<CallAction> },
    /// Lists the models that the bearer may call.
    Models { bearer: Option<String>, reply: ReplySender<Result<Vec<Name>, AdmissionError>> },
    /// Applies an operator's ticket, or evaluates it if `dry_run` is set.
    Ticket { ticket: Box<proto::Ticket>, dry_run: bool, reply: ReplySender<proto::TicketReply> },
    /// Gets the configured state of an object.
    Object { key: proto::ObjectKey, reply: ReplySender<Option<proto::ObjectState>> },
    /// Checks whether requests are admitted; the error is the reason if not.
    Ready { reply: ReplySender<Result<(), String>> },
    /// Gets the status of the instance.
    Status { reply: ReplySender<proto::StatusReport> },
    /// Gets the newest lines of the audit trail.
    Audit { reply: ReplySender<proto::AuditPage> },
    /// Checks the lease before the fenced writer connects.
    BeforeConnect { write: FencedWrite, reply: ReplySender<cowslip_authority::OrderGuardStep> },
    /// Checks the lease and the target's state before the fenced writer writes.
    BeforeWrite {
        write: FencedWrite,
        target_state: TargetState,
        reply: ReplySender<cowslip_authority::OrderGuardStep>,
    },
    /// Reports the end of a fenced write; `is_done` if the target's state showed it as applied.
    FencedWriteEnded { write: FencedWrite, is_done: bool },
    /// Begins the shutdown; the reply follows once a release of the lease is queued for the log.
    Stop { reply: ReplySender<()> },
    /// Appends the remaining usage at shutdown; the reply is whether all of it is in the log.
    FlushUsage { reply: ReplySender<bool> },
}

/// Route that a request names, before authorization.
#[derive(Clone, Debug)]
pub(crate) enum RequestedRoute {
    /// A model, by name.
    Model(String),
    /// A path of a service, by the service's name.
    Service { service: String, method: String, path: String },
    /// A path that may be an open route, which needs no API key.
    Open { method: String, path: String },
}

/// A request that needs an upstream.
#[derive(Clone, Debug)]
pub(crate) struct AcquireRequest {
    pub(crate) bearer: Option<String>,
    pub(crate) route: RequestedRoute,
    pub(crate) prompt_tokens: u64,
    /// Expected tokens of the prompt and the response.
    pub(crate) cost_tokens: u64,
    pub(crate) digest: [u8; 32],
}

/// A slot of an upstream that one request holds.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Unique within the instance.
    pub(crate) id: u64,
    pub(crate) upstream: Name,
    pub(crate) address: SocketAddr,
    pub(crate) is_idempotent: bool,
}

/// Reply to an [`AcquireRequest`].
#[derive(Clone, Debug)]
pub(crate) enum AcquireResult {
    Granted(Grant),
    Refused(AdmissionError),
}

/// Reason why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionError {
    InvalidApiKey,
    NotAllowed,
    NotFound,
    TooManyInFlight,
    NoCapacity,
    NotReady,
    PoisonRequest,
    LogUnavailable,
}

/// Usage of one request, counted for its workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RequestUsage {
    /// Whether the caller got a response, or part of one.
    pub(crate) has_response: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
}

/// Result of sending a request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamOutcome {
    /// The upstream responded, or the caller disconnected.
    Finished,
    /// No connection could be opened.
    Unreachable,
    /// The response was an error or carried another call's ID.
    Failed,
    /// The connection was lost while the request was in flight.
    Lost,
}

/// Next action of a handler whose call is not safe to retry.
#[derive(Clone, Debug)]
pub(crate) enum CallAction {
    /// Send the request to the upstream, once.
    Send,
    /// Respond to the caller.
    Respond(CallerReply),
}

/// A write that only the lease holder of `term` may send.
#[derive(Clone, Debug)]
pub(crate) struct FencedWrite {
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) address: SocketAddr,
    pub(crate) kind: FencedWriteKind,
}

/// Content of a fenced write.
#[derive(Clone, Debug)]
pub(crate) enum FencedWriteKind {
    /// A role order to an upstream.
    Order { target: Target, action: OrderAction },
    /// A usage window to the platform.
    Report { rows: Vec<proto::UsageRow> },
}

/// Records to append to the log.
#[derive(Debug)]
pub(crate) struct AppendRequest {
    /// Records, in log order.
    pub(crate) records: Vec<proto::Record>,
    /// Whether the records need a separate entry, as snapshot chunks do.
    pub(crate) needs_separate_entry: bool,
}

/// Commands to the task that keeps the links to peers.
#[derive(Debug)]
pub(crate) enum PeerCommand {
    /// Replace the list of peers.
    SetPeers(Vec<ListedMember>),
    /// Send a heartbeat to every peer now.
    HeartbeatNow,
}
