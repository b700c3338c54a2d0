//! Messages to the hub.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use cowslip_authority::UsableLease;
use cowslip_era::{EraStatement, StoreEra};
use cowslip_fleet::{
    Authorized, CapacityOrder, Failure, Prompt, RoleOrder, SendOutcome, StopSchedule, Upstream,
};
use cowslip_membership::StoreRetry;
use cowslip_name::Name;
use cowslip_poison::{RequestDigest, SegmentId};
use cowslip_proto as proto;
pub(crate) use cowslip_task::ReplySender;
use cowslip_usage::{StartCounts, StartWindows};

use crate::platform::{Page, Topic};

/// A notification or a request to the hub; requests carry the channel for their reply. `id` is the
/// id of an assignment.
#[derive(Debug)]
pub(crate) enum HubMessage {
    /// Runs the hub's periodic work.
    Tick,
    /// Checks a request's route and API key before its body is read.
    Authorize { query: RouteQuery, reply: ReplySender<Result<AuthorizedRequest, Rejection>> },
    /// Places an authorized request on an upstream.
    Place { request: Box<UnplacedRequest>, reply: ReplySender<Result<Assignment, Rejection>> },
    /// Delivers the reply of a broker to the call in flight, `None` if there was none.
    Reserved { broker: Name, reply: Option<proto::ReservationReply> },
    /// Handles the reservations of an instance.
    Reserve { request: proto::ReservationRequest, reply: ReplySender<proto::ReservationReply> },
    /// Reassigns a request to another upstream.
    Retry { id: u64, reason: RetryReason, reply: ReplySender<Result<Arc<Upstream>, Rejection>> },
    /// Acquires one retry from the shared retry budget; the reply is false if it is used up.
    AcquireRetry { id: u64, reply: ReplySender<bool> },
    /// Asks for a second upstream for a request whose first one is slow; the reply is `None` if it is
    /// not sent again.
    Hedge { id: u64, reply: ReplySender<Option<Arc<Upstream>>> },
    /// Reports that one of the two sends of a hedged request failed.
    HedgedSendFailed { id: u64, is_second: bool, failure: Failure },
    /// Reports that the prefill of a request ended, successfully or not; the reply is the upstream
    /// that serves the request.
    PrefillEnded {
        id: u64,
        has_succeeded: bool,
        reply: ReplySender<Result<Arc<Upstream>, Rejection>>,
    },
    /// Reports that this upstream runs the request, and for how long the connection of a stream has
    /// been open.
    RequestStarted { id: u64, upstream: Arc<str>, connection_age: Option<Duration> },
    /// Reports that an upstream sent a complete, successful response.
    RequestSucceeded { id: u64 },
    /// Reports that the connection of a stream ended between two events, which a crash does too.
    StreamEndUnproven { id: u64, upstream: Arc<Upstream> },
    /// Reports that nothing listens on an upstream's address.
    UpstreamRefused { upstream: Arc<str> },
    /// Ends the assignment, whatever its result.
    RequestEnded { id: u64 },
    /// Reports the outcome of one send, and how long its connection stays in the pool, if it does.
    SendEnded { upstream: Arc<str>, outcome: SendOutcome, keep_alive: Option<Duration> },
    /// Reports that the connection to an upstream broke while it may have run the request.
    UpstreamLost { id: u64, upstream: Arc<str>, started_at_ms: u64 },
    /// Reports what an upstream stated about itself in a response.
    Stated(UpstreamStatement),
    /// Reports what a response of the store states about its era. The reply is the highest known era,
    /// or `None` if the response is to be dropped.
    EraStated { era: EraStatement, reply: ReplySender<Option<StoreEra>> },
    /// Reports each later era of the store to a task that holds a position or a call in it.
    WatchRestores { watcher: Sender<StoreEra> },
    /// Delivers records of a topic; a list holds the newest record of every key.
    Records { topic: Topic, era: StoreEra, page: Page, is_list: bool },
    /// Reports whether a topic can be read.
    StoreState { topic: Topic, is_up: bool },
    /// Asks whether and how this instance reads a topic of the store.
    ReadMode { topic: Topic, reply: ReplySender<ReadMode> },
    /// Asks for how to read the store after consecutive failures.
    StoreRetry { failures: u32, spread_permille: u64, reply: ReplySender<StoreRetry> },
    /// Builds the next feed request to a peer; the reply also holds the state of the link that
    /// applies once the peer has received the request.
    BuildFeed { to: Name, link: LinkState, reply: ReplySender<(proto::FeedRequest, LinkState)> },
    /// Handles a feed request from a peer.
    HandleFeed { feed: Box<proto::FeedRequest>, reply: ReplySender<proto::FeedReply> },
    /// Applies a peer's reply to a feed request. The peer has received the finalized windows up to the
    /// version `sent_finalized`.
    ApplyFeed { from: Name, feed: Box<proto::FeedReply>, sent_finalized: u64 },
    /// Reports that an exchange with a peer failed.
    FeedFailed { peer: Name },
    /// Sets the lease that this instance holds, if it holds one. The reply is the highest known era of
    /// the store.
    SetLease { lease: Option<UsableLease>, reply: ReplySender<StoreEra> },
    /// Asks for the fencing token of an unexpired lease of this instance.
    Fence { reply: ReplySender<Option<u64>> },
    /// Asks for the orders that the lease holder should place.
    Plan { reply: ReplySender<PlannedOrders> },
    /// Takes the request starts that changed since they were last written.
    TakeStarts { reply: ReplySender<Vec<(Arc<str>, StartWindows)>> },
    /// Reports whether the write of the taken starts succeeded.
    StartsWritten { is_written: bool },
    /// Takes the quarantine if the store lacks it and this instance writes it.
    TakeQuarantine { reply: ReplySender<Option<proto::QuarantineEntry>> },
    /// Reports that the write of the taken quarantine failed.
    QuarantineNotWritten,
    /// Asks for all request starts that this instance knows, by the key of their records.
    KnownStarts { reply: ReplySender<BTreeMap<Arc<str>, StartWindows>> },
    /// Remembers windows that are finalized in the store.
    WindowsFinalized { windows: StartWindows },
    /// Remembers windows that were finalized in earlier eras of the store.
    EarlierWindowsFinalized { windows: StartWindows },
    /// Asks for the finalized counts of a window; the reply is `None` if they are not known.
    FinalizedWindow { window: u64, reply: ReplySender<Option<StartCounts>> },
    /// Asks for the newest finalized windows, at most `count`.
    NewestFinalized { count: usize, reply: ReplySender<StartWindows> },
    /// Asks for a reply once a peer that reads the store knows all finalized windows.
    ConfirmFinalized { reply: ReplySender<()> },
    /// Asks for the cluster time, in milliseconds.
    ClusterTime { reply: ReplySender<u64> },
    /// Asks whether this instance accepts new connections.
    Ready { reply: ReplySender<bool> },
    /// Reports that shutdown has begun.
    Stop { schedule: StopSchedule },
}

/// How this instance reads a topic of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadMode {
    /// Feeders read it for this instance.
    Skip,
    /// Keep the position, but do not read until a read of the upstreams' entries succeeds.
    Wait,
    /// Continue from the last read.
    Continue,
    /// Read the newest record of each key first, since the known entries come from a feeder.
    Restart,
}

/// A peer: another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

/// Replaces the list of peers to exchange feeds with.
#[derive(Debug)]
pub(crate) struct SetPeers {
    pub(crate) peers: Vec<Peer>,
}

/// Call to a broker of allowances.
#[derive(Debug)]
pub(crate) struct ReservationCall {
    pub(crate) broker: Peer,
    pub(crate) request: proto::ReservationRequest,
}

/// How far the two sides of a link have exchanged their changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    /// Position in the peer's changes up to which this instance has received them.
    pub(crate) received_cursor: Option<proto::FeedCursor>,
    /// Version of the request starts up to which the peer has received them.
    pub(crate) sent_starts: u64,
    /// Version up to which the peer has received the request starts that this instance counted.
    pub(crate) sent_own_starts: u64,
    /// Version of the suspects up to which the peer has received them.
    pub(crate) sent_suspects: u64,
    /// Version of the finalized windows up to which the peer has received them.
    pub(crate) sent_finalized: u64,
    /// Whether the peer has records of upstreams' entries that did not fit into its last reply.
    pub(crate) lacks_roster: bool,
}

/// The parts of a request's head that decide its route and workspace.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery {
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) key: Option<String>,
}

/// A request whose route and key are valid.
#[derive(Clone, Debug)]
pub(crate) struct AuthorizedRequest {
    pub(crate) authorized: Authorized,
    pub(crate) max_body_bytes: usize,
}

/// An authorized request that has no upstream yet.
#[derive(Clone, Debug)]
pub(crate) struct UnplacedRequest {
    /// Id of its assignment, which ends with [`HubMessage::RequestEnded`].
    pub(crate) id: u64,
    pub(crate) attempt_id: Arc<str>,
    pub(crate) authorized: Authorized,
    pub(crate) prompt: Option<Prompt>,
    /// Tokens of prompt and response, if the request states them.
    pub(crate) stated_tokens: Option<u64>,
    /// Ids of the prompt segments that other requests may share.
    pub(crate) shared_segments: Arc<[SegmentId]>,
    pub(crate) malformed_segments: usize,
    pub(crate) request_digest: RequestDigest,
    /// Local clock time at which the request times out, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// The upstreams that a request was placed on.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    /// Runs the prefill first, if that is disaggregated.
    pub(crate) prefill_upstream: Option<Arc<Upstream>>,
    /// Serves the request.
    pub(crate) upstream: Arc<Upstream>,
    /// Time in milliseconds after which the first send counts as slow; `None` if it is not hedged.
    pub(crate) hedge_after_ms: Option<u64>,
}

/// What a response states about its upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamStatement {
    /// Upstream that the request was sent to, as its entry was known.
    pub(crate) upstream: Arc<Upstream>,
    /// Time since the connection was opened.
    pub(crate) connection_age: Duration,
    /// Whether the upstream is leaving.
    pub(crate) is_leaving: bool,
    /// Time for which the upstream wants no further requests, in milliseconds.
    pub(crate) hold_ms: Option<u64>,
    pub(crate) refusal: Option<UpstreamRefusal>,
}

/// Why an upstream did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamRefusal {
    /// It takes no work at present.
    NotRun,
    /// Its identity or role differs from its entry.
    Misdirected,
}

/// Why a request needs another upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryReason {
    /// The request did not reach the upstream.
    NotArrived,
    /// The upstream stated that it did not run the request.
    NotRun,
    /// The upstream did not run the request, since it does not meet the caller's condition.
    Unmet,
    /// The upstream may have run the request.
    MayHaveRun,
}

/// Why a request is rejected, or not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rejection {
    /// This instance has no declared configuration yet.
    NotReady,
    /// No route of this version of the configuration matches the host and path.
    NoRoute { version: u64 },
    /// The API key belongs to no workspace of this version of the configuration.
    BadKey { version: u64 },
    /// No upstream accepts work.
    NoUpstream,
    /// All upstreams that accept work want none from this instance for this time.
    AllHold { retry_after_ms: u64 },
    /// The request exceeds the allowance of its workspace.
    OverAllowance { retry_after_ms: u64 },
    /// Too many upstreams were lost while they ran the request.
    Quarantined,
    /// The route's attempts or the shared retry budget are used up.
    NoRetries,
    /// This instance stops before the request would be sure to end.
    Stopping,
}

/// Orders that the lease holder places.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedOrders {
    pub(crate) capacity: Vec<CapacityOrder>,
    pub(crate) roles: Vec<RoleOrder>,
}
