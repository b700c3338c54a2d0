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

/// Everything that the owner of the state is told or asked.
#[derive(Debug)]
pub(crate) enum HubMessage {
    /// Time passes.
    Tick,
    /// The log answered a read that was sent at `sent_at_ms`; the reply is the next read's start.
    Page { sent_at_ms: u64, page: Option<proto::LogPage>, reply: ReplySender<u64> },
    /// The platform's list.
    List(Vec<ListedMember>),
    /// Asks for this instance's own report and the number of its newest loss.
    OwnHeartbeat { reply: ReplySender<(proto::Heartbeat, u64)> },
    /// A heartbeat from another instance; the reply is the own one.
    Heartbeat { heartbeat: proto::Heartbeat, reply: ReplySender<proto::Heartbeat> },
    /// Another instance's answer to a heartbeat that was sent at `sent_at_ms` and told it of all
    /// losses up to `told_loss`.
    HeartbeatAnswer {
        sent_at_ms: u64,
        told_loss: u64,
        heartbeat: proto::Heartbeat,
        reply: ReplySender<Option<u64>>,
    },
    /// Another instance asks for entries.
    Tail { from_offset: u64, reply: ReplySender<Vec<proto::RawLogEntry>> },
    /// Another instance's entries.
    PeerEntries(Vec<proto::RawLogEntry>),
    /// A caller wants to run a request.
    Begin { wanted: Wanted, reply: ReplySender<Begun> },
    /// A granted request has ended.
    End { grant: u64, ending: Ending, spent: Spent },
    /// The first token of a granted request has arrived.
    FirstToken { grant: u64 },
    /// A granted request needs another upstream.
    Move { grant: u64, ending: Ending, reply: ReplySender<Begun> },
    /// A granted call that may not be repeated carries an idempotency key.
    CallStart {
        grant: u64,
        idempotency_key: Arc<str>,
        digest: [u8; 32],
        reply: ReplySender<CallStep>,
    },
    /// What became of the call's bytes; the reply is what the caller is told.
    CallSent { grant: u64, result: SendResult, reply: ReplySender<CallStep> },
    /// Models that the bearer may call.
    Models { bearer: Option<String>, reply: ReplySender<Result<Vec<Name>, Refusal>> },
    /// An operator's ticket.
    Ticket { ticket: Box<proto::Ticket>, dry_run: bool, reply: ReplySender<proto::TicketReply> },
    /// An operator asks for the state of an object.
    Object { key: proto::ObjectKey, reply: ReplySender<Option<proto::ObjectState>> },
    /// A balancer asks whether requests are admitted; the answer is the reason if not.
    Ready { reply: ReplySender<Result<(), String>> },
    /// An operator asks for the status.
    Status { reply: ReplySender<proto::StatusReport> },
    /// An operator asks for the newest changes.
    Audit { reply: ReplySender<proto::AuditPage> },
    /// The sender asks before it connects.
    BeforeConnect { errand: Errand, reply: ReplySender<cowslip_authority::OrderGuardStep> },
    /// The sender asks before it writes.
    BeforeWrite {
        errand: Errand,
        view: TargetState,
        reply: ReplySender<cowslip_authority::OrderGuardStep>,
    },
    /// The sender is through with an errand.
    ErrandEnded { errand: Errand, is_done: bool },
    /// Shutdown began; the reply comes when the term is given up.
    Stop { reply: ReplySender<()> },
    /// Asks, after the last request, whether all usage is in the log.
    Settle { reply: ReplySender<bool> },
}

/// What a request is for.
#[derive(Clone, Debug)]
pub(crate) enum Goal {
    /// A model by name.
    Model(String),
    /// A call of a plain service by name.
    Service { service: String, method: String, path: String },
    /// A path that may need no key.
    Open { method: String, path: String },
}

/// A request before it is granted.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) bearer: Option<String>,
    pub(crate) goal: Goal,
    pub(crate) prompt_tokens: u64,
    /// Expected tokens of prompt and answer.
    pub(crate) cost_tokens: u64,
    pub(crate) digest: [u8; 32],
}

/// The right to run a request at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) id: u64,
    pub(crate) upstream: Name,
    pub(crate) address: SocketAddr,
    pub(crate) is_idempotent: bool,
}

/// Answer to a wish to run.
#[derive(Clone, Debug)]
pub(crate) enum Begun {
    Granted(Grant),
    Refused(Refusal),
}

/// Why nothing was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    BadKey,
    NotAllowed,
    NotFound,
    TooMany,
    NoCapacity,
    NotReady,
    Poison,
    LogDown,
}

/// What a request has used, to be counted for its workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Spent {
    /// Whether the caller got an answer, or part of one.
    pub(crate) is_answered: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
}

/// How the use of an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ending {
    /// The upstream did its part, or the caller left.
    Finished,
    /// No connection came about.
    Unreachable,
    /// The upstream answered with a failure or to another call.
    Failed,
    /// The connection broke while the request ran.
    Lost,
}

/// Step of a call that may not be repeated.
#[derive(Clone, Debug)]
pub(crate) enum CallStep {
    /// Send the request once.
    Send,
    /// Answer the caller.
    Tell(CallerReply),
}

/// Something that the holder of a term has to send.
#[derive(Clone, Debug)]
pub(crate) struct Errand {
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) address: SocketAddr,
    pub(crate) task: ErrandTask,
}

/// What is sent.
#[derive(Clone, Debug)]
pub(crate) enum ErrandTask {
    /// An order to an upstream.
    Order { target: Target, action: OrderAction },
    /// A usage window to the platform.
    Report { rows: Vec<proto::UsageRow> },
}

/// Records that go into one entry.
#[derive(Debug)]
pub(crate) struct WriteJob {
    /// The records, in order.
    pub(crate) records: Vec<proto::Record>,
    /// Whether they fill an entry of their own.
    pub(crate) is_alone: bool,
}

/// What the links are told.
#[derive(Debug)]
pub(crate) enum LinkCommand {
    /// The newest list of other instances.
    List(Vec<ListedMember>),
    /// Beat now.
    Nudge,
}
