//! Messages to the hub.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{Authorized, CapacityOrder, Prompt, RoleOrder, SendOutcome, Upstream};
use cowslip_name::Name;
use cowslip_poison::RequestDigest;
use cowslip_proto as proto;
pub(crate) use cowslip_task::ReplySender;
use cowslip_usage::StartWindows;

use crate::platform::{Page, Topic};

/// Everything that the owner of the state is told or asked.
#[derive(Debug)]
pub(crate) enum HubMessage {
    /// Time passes.
    Tick,
    /// May this request run?
    Admit { question: Question, reply: ReplySender<Result<Admitted, Refusal>> },
    /// Where does it run?
    Begin { wanted: Box<Wanted>, reply: ReplySender<Result<Grant, Refusal>> },
    /// It needs another upstream.
    Again { grant: u64, why: Again, reply: ReplySender<Result<Arc<Upstream>, Refusal>> },
    /// Takes a repeat for it, if the shared budget has one.
    TakeRepeat { grant: u64, reply: ReplySender<bool> },
    /// Its prompt is read, or will not be; the reply is who answers now.
    PromptRead { grant: u64, reply: ReplySender<Result<Arc<Upstream>, Refusal>> },
    /// It has begun to run.
    Started { grant: u64 },
    /// It was answered well, to the end.
    Answered { grant: u64 },
    /// It is over.
    End { grant: u64 },
    /// What became of a send, and how long its connection is kept.
    Outcome { upstream: Arc<str>, outcome: SendOutcome, kept_for: Option<Duration> },
    /// An upstream was lost while it ran the request.
    Lost { grant: u64, upstream: Arc<str> },
    /// An upstream is not what its entry says.
    Misdirected { upstream: Arc<str> },
    /// Records of a topic; a list holds the newest one of every key.
    Records { topic: Topic, page: Page, is_list: bool },
    /// Whether a topic can be read.
    StoreState { topic: Topic, is_up: bool },
    /// Whether this instance has to read a topic of the store itself.
    Reads { topic: Topic, reply: ReplySender<Reads> },
    /// What this instance tells and asks another, and the state of the link once that has arrived.
    OwnFeed { link: LinkState, reply: ReplySender<(proto::FeedRequest, LinkState)> },
    /// Another instance asks.
    Feed { request: Box<proto::FeedRequest>, reply: ReplySender<proto::FeedReply> },
    /// Another instance's answer.
    FeedAnswer { from: Name, answer: Box<proto::FeedReply> },
    /// The fencing number under which this instance may act until a time.
    Authority { fence: Option<Held> },
    /// Asks for that fencing number.
    Fence { reply: ReplySender<Option<u64>> },
    /// What is to be ordered?
    Plan { reply: ReplySender<Plans> },
    /// Starts to be written, if any changed.
    TakeStarts { reply: ReplySender<Vec<(Arc<str>, StartWindows)>> },
    /// They were written, or not.
    StartsWritten { is_written: bool },
    /// All starts that are known here, by the key of their records.
    KnownStarts { reply: ReplySender<BTreeMap<Arc<str>, StartWindows>> },
    /// Estimate of the time of day.
    TrueTime { reply: ReplySender<u64> },
    /// Whether new connections may come.
    Ready { reply: ReplySender<bool> },
    /// Shutdown began.
    Stop,
}

/// Whether a topic is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reads {
    /// Others read it for this instance.
    Not,
    /// On from the last read.
    On,
    /// All of it again: what is known is not from this instance's own reads.
    Anew,
}

/// Another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

/// The newest list of instances to exchange with.
#[derive(Debug)]
pub(crate) struct LinkCommand {
    pub(crate) peers: Vec<Peer>,
}

/// How far the two sides of a link have told each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    /// What the other side has told.
    pub(crate) seen: Option<proto::FeedCursor>,
    /// Number of the newest change of starts that the other side has been told.
    pub(crate) told_starts: u64,
    /// The same of suspicions.
    pub(crate) told_suspects: u64,
}

/// A request as far as its head tells.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) key: Option<String>,
}

/// A request that may run.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) allowed: Authorized,
    pub(crate) max_body_bytes: usize,
}

/// A request before it is placed.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) attempt_id: Arc<str>,
    pub(crate) allowed: Authorized,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) request_digest: RequestDigest,
}

/// The right to run a request.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) id: u64,
    /// Reads the prompt first, if that is apart.
    pub(crate) prefill_upstream: Option<Arc<Upstream>>,
    /// Answers.
    pub(crate) upstream: Arc<Upstream>,
}

/// Why a request needs another upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Again {
    /// The request did not arrive.
    NotArrived,
    /// The upstream stated that it was not run.
    NotRun,
    /// It may have run, and may run again.
    MayHaveRun,
}

/// Why a request is not run, or not any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NotReady,
    /// No route has this host and path.
    NoRoute,
    /// No workspace holds the key.
    BadKey,
    /// No upstream takes work.
    NoUpstream,
    /// Too many upstreams were lost with it.
    Poison,
    /// It was sent as often as its route allows, or the shared budget is used up.
    NoRepeat,
}

/// Authority as the hub tells it on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Held {
    pub(crate) fence: u64,
    pub(crate) until_ms: u64,
}

/// What the holder orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plans {
    pub(crate) capacity: Vec<CapacityOrder>,
    pub(crate) roles: Vec<RoleOrder>,
}
