//! The task that owns the replayed state of the instance and makes all its decisions.

mod authorization;
mod idempotent_calls;
mod log_replay;
mod message;
mod orders;
mod peers;
mod quarantine;
mod requests;
mod status;
mod suspect_gossip;
mod tickets;
mod usage;

use std::collections::{BTreeSet, VecDeque};

use async_channel::{Receiver, Sender};
use cowslip_authority::{Holder, LeaseTimes, LogLease, Term};
use cowslip_config::{Admission, Freshness, PeerReachability};
use cowslip_membership::Members;
use cowslip_name::Name;
use cowslip_poison::Quarantine;
use cowslip_proto as proto;
use cowslip_scheduling::{FairQueue, RetryBudget};
use cowslip_state::{SnapshotAssembler, State};
use cowslip_task::send_reply;

use crate::config::Config;
use crate::events::Event;
use crate::metrics::Metrics;
use cowslip_clock::Clock;

pub(crate) use message::{
    AcquireRequest, AcquireResult, AdmissionError, AppendRequest, CallAction, FencedWrite,
    FencedWriteKind, Grant, HubMessage, PeerCommand, ReplySender, RequestUsage, RequestedRoute,
    UpstreamOutcome,
};

use idempotent_calls::IdempotentCalls;
use quarantine::{Incarnations, suspect_limits};
use requests::Requests;
use suspect_gossip::SuspectGossip;
use tickets::PendingTicket;
use usage::UsageReporter;

/// Total size of the newest log entries, in bytes, kept for peers that cannot read the log.
const KEPT_ENTRY_BYTES: usize = 8_388_608;
/// Number of audit lines kept in memory; the oldest are dropped first.
const KEPT_AUDIT_LINES: usize = 1_000;

/// Channels from the hub to other tasks of the instance.
#[derive(Clone, Debug)]
pub(crate) struct OutboundChannels {
    /// Records for the log. When the channel is full, the record is refused and its request fails.
    pub(crate) records: Sender<AppendRequest>,
    /// Orders and usage reports. When the channel is full, they are sent at a later tick.
    pub(crate) fenced_writes: Sender<FencedWrite>,
    /// Commands to the peer links. A command may be dropped when the channel is full: a newer list
    /// follows with the next poll, and heartbeats are sent periodically.
    pub(crate) peers: Sender<PeerCommand>,
}

/// Mode in which log entries are processed.
#[derive(Debug)]
enum ReplayMode {
    /// Entries are applied in order.
    Replaying,
    /// Entries were missed: the log is searched for a snapshot from `next_offset` on.
    SeekingSnapshot { next_offset: u64, assembler: SnapshotAssembler },
}

/// State of the instance.
#[derive(Debug)]
pub(crate) struct Hub {
    config: Config,
    clock: Clock,
    own_id: Holder,
    outbound: OutboundChannels,
    metrics: Metrics,
    state: State,
    next_offset: u64,
    replay_mode: ReplayMode,
    last_snapshot_offset: u64,
    freshness: Freshness,
    members: Members,
    lease: LogLease,
    reported_term: Option<Term>,
    reported_admission: Option<Admission>,
    requests: Requests,
    fair_queue: FairQueue,
    retry_budget: RetryBudget,
    quarantine: Quarantine,
    incarnations: Incarnations,
    suspect_gossip: SuspectGossip,
    calls: IdempotentCalls,
    pending_tickets: Vec<PendingTicket>,
    active_orders: BTreeSet<Name>,
    usage_reporter: UsageReporter,
    recent_entries: VecDeque<proto::RawLogEntry>,
    recent_entries_bytes: usize,
    audit_lines: VecDeque<proto::AuditLine>,
    is_stopping: bool,
}

impl Hub {
    /// Creates a hub with empty state.
    pub(crate) fn new(
        config: Config,
        clock: Clock,
        outbound: OutboundChannels,
        metrics: Metrics,
    ) -> Self {
        let settings = &config.settings;
        let own_id =
            Holder { instance: settings.instance.name.clone(), incarnation: fastrand::u64(..) };
        let times = LeaseTimes {
            lease_ms: settings.authority.lease_ms,
            renew_every_ms: settings.authority.renew_every_ms,
            drift_margin_ms: settings.authority.drift_margin_ms,
            silence_ms: settings.authority.silence_ms,
        };
        let scope = settings.authority.scope.clone();
        let lease = LogLease::new(scope, own_id.clone(), times, clock.now_ms());
        let members = Members::new(own_id.instance.clone(), settings.config.member_timeout_ms);
        let poison_limit = settings.limits.poison_limit as usize;
        Self {
            freshness: Freshness::new(settings.config.stale_limit_ms),
            quarantine: Quarantine::new(suspect_limits(poison_limit)),
            incarnations: Incarnations::default(),
            config,
            clock,
            own_id,
            outbound,
            metrics,
            state: State::default(),
            next_offset: 0,
            replay_mode: ReplayMode::Replaying,
            last_snapshot_offset: 0,
            members,
            lease,
            reported_term: None,
            reported_admission: None,
            requests: Requests::default(),
            fair_queue: FairQueue::default(),
            retry_budget: RetryBudget::default(),
            suspect_gossip: SuspectGossip::default(),
            calls: IdempotentCalls::default(),
            pending_tickets: Vec::new(),
            active_orders: BTreeSet::new(),
            usage_reporter: UsageReporter::default(),
            recent_entries: VecDeque::new(),
            recent_entries_bytes: 0,
            audit_lines: VecDeque::new(),
            is_stopping: false,
        }
    }

    /// Handles messages until all senders are dropped.
    pub(crate) async fn run(mut self, inbox: Receiver<HubMessage>) {
        while let Ok(message) = inbox.recv().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: HubMessage) {
        match message {
            HubMessage::Tick => self.on_tick(),
            HubMessage::LogPage { sent_at_ms, page, reply } => {
                send_reply(&reply, self.on_log_page(sent_at_ms, page));
            }
            HubMessage::InstanceList(rows) => self.on_instance_list(rows),
            HubMessage::OwnHeartbeat { reply } => {
                send_reply(&reply, (self.own_heartbeat(), self.suspect_gossip.newest_loss()));
            }
            HubMessage::Heartbeat { heartbeat, reply } => {
                self.on_heartbeat(&heartbeat);
                send_reply(&reply, self.own_heartbeat());
            }
            HubMessage::HeartbeatReply { sent_at_ms, acked_loss, heartbeat, reply } => {
                self.on_loss_acked(&heartbeat.from.instance, acked_loss);
                send_reply(&reply, self.on_heartbeat_reply(sent_at_ms, &heartbeat));
            }
            HubMessage::Tail { from_offset, reply } => send_reply(&reply, self.tail(from_offset)),
            HubMessage::PeerEntries(entries) => self.on_peer_entries(entries),
            HubMessage::Acquire { request, reply } => self.acquire(&request, reply),
            HubMessage::Release { grant, outcome, usage } => self.release(grant, outcome, usage),
            HubMessage::FirstToken { grant } => self.on_first_token(grant),
            HubMessage::Reassign { grant, outcome, reply } => self.reassign(grant, outcome, reply),
            HubMessage::BeginIdempotentCall { grant, idempotency_key, digest, reply } => {
                self.begin_idempotent_call(grant, idempotency_key, digest, reply);
            }
            HubMessage::CallAttempted { grant, result, reply } => {
                self.on_call_attempted(grant, result, &reply);
            }
            HubMessage::Models { bearer, reply } => {
                send_reply(&reply, self.models(bearer.as_deref()));
            }
            HubMessage::Ticket { ticket, dry_run, reply } => {
                self.on_ticket(*ticket, dry_run, reply);
            }
            HubMessage::Object { key, reply } => send_reply(&reply, self.object(&key)),
            HubMessage::Ready { reply } => send_reply(&reply, self.readiness().map(drop)),
            HubMessage::Status { reply } => send_reply(&reply, self.status()),
            HubMessage::Audit { reply } => send_reply(&reply, self.audit_page()),
            HubMessage::BeforeConnect { write, reply } => {
                send_reply(&reply, self.before_connect(&write));
            }
            HubMessage::BeforeWrite { write, target_state, reply } => {
                send_reply(&reply, self.before_write(&write, target_state));
            }
            HubMessage::FencedWriteEnded { write, is_done } => {
                self.on_fenced_write_ended(&write, is_done);
            }
            HubMessage::Stop { reply } => self.on_stop(&reply),
            HubMessage::FlushUsage { reply } => send_reply(&reply, self.flush_remaining_usage()),
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.members.on_tick(now_ms);
        self.tick_lease(now_ms);
        self.tick_admission(now_ms);
        self.tick_requests(now_ms);
        self.tick_suspect_gossip(now_ms);
        self.tick_calls(now_ms);
        self.tick_tickets(now_ms);
        self.tick_orders(now_ms);
        self.tick_usage(now_ms);
        self.tick_snapshot(now_ms);
        let lag_ms = self.freshness.age_ms(now_ms).unwrap_or(0);
        self.metrics.set_gauges(self.requests.in_flight() as u64, lag_ms);
    }

    fn peer_reachability(&self, now_ms: u64) -> PeerReachability {
        PeerReachability {
            listed: self.members.listed_count(),
            reached_not_ahead: self.members.count_at_or_below(now_ms, self.next_offset),
        }
    }

    fn admission(&self, now_ms: u64) -> Admission {
        self.freshness.admission(now_ms, self.peer_reachability(now_ms))
    }

    fn tick_admission(&mut self, now_ms: u64) {
        let admission = self.admission(now_ms);
        if self.reported_admission == Some(admission) {
            return;
        }
        self.reported_admission = Some(admission);
        let offset = self.next_offset;
        let (event, details) = match admission {
            Admission::Admit => (Event::Ready, "log is current".to_owned()),
            Admission::AdmitStale => (Event::AdmissionStale, format!("at offset {offset}")),
            Admission::Stop(reason) => (Event::AdmissionStopped, format!("{reason:?}")),
        };
        event.emit(&self.own_id.instance, format_args!("{details}"));
    }
}
