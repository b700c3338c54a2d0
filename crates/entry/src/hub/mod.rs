//! The task that owns the folded state and every decision of the instance.

mod access;
mod billing;
mod calls;
mod log;
mod message;
mod orders;
mod peers;
mod requests;
mod sharing;
mod status;
mod tickets;

use std::collections::{BTreeSet, VecDeque};

use async_channel::{Receiver, Sender};
use cowslip_authority::{Holder, LeaseTimes, LogLease, Term};
use cowslip_config::{Admission, Freshness, PeerReachability};
use cowslip_membership::Members;
use cowslip_name::Name;
use cowslip_poison::Suspects;
use cowslip_proto as proto;
use cowslip_scheduling::{FairQueue, RetryBudget};
use cowslip_state::{SnapshotAssembler, State};
use cowslip_task::send_reply;

use crate::config::Config;
use crate::events::Event;
use crate::metrics::Metrics;
use cowslip_clock::Clock;

pub(crate) use message::{
    Begun, CallStep, Ending, Errand, ErrandTask, Goal, Grant, HubMessage, LinkCommand, Refusal,
    ReplySender, Spent, Wanted, WriteJob,
};

use billing::Billing;
use calls::Calls;
use requests::Requests;
use sharing::Sharing;
use tickets::PendingTicket;

/// Suspicious requests that are remembered.
const REMEMBERED_SUSPECTS: usize = 4_096;
/// Size of the newest entries kept for instances that cannot read the log.
const KEPT_ENTRY_BYTES: usize = 8_388_608;
/// Newest lines of the audit trail kept for operators.
const KEPT_AUDIT_LINES: usize = 1_000;

/// Channels from the hub to the tasks around it.
#[derive(Clone, Debug)]
pub(crate) struct Outlets {
    /// Records for the log; when full the record is refused, which its waiter is told.
    pub(crate) records: Sender<WriteJob>,
    /// Orders and reports to send; when full they wait for the next tick.
    pub(crate) errands: Sender<Errand>,
    /// Lists and nudges; when full, a newer list follows with the next poll and the links are
    /// about to beat anyway.
    pub(crate) links: Sender<LinkCommand>,
}

/// How the log is read.
#[derive(Debug)]
enum Reading {
    /// Entries are folded in order.
    Folding,
    /// A snapshot is looked for, from this offset on.
    Scanning { next_offset: u64, assembler: SnapshotAssembler },
}

/// The owner of the state.
#[derive(Debug)]
pub(crate) struct Hub {
    config: Config,
    clock: Clock,
    me: Holder,
    outlets: Outlets,
    metrics: Metrics,
    state: State,
    next_offset: u64,
    reading: Reading,
    last_snapshot_offset: u64,
    freshness: Freshness,
    members: Members,
    lease: LogLease,
    reported_term: Option<Term>,
    reported_admission: Option<Admission>,
    requests: Requests,
    fair_queue: FairQueue,
    retries: RetryBudget,
    suspects: Suspects,
    sharing: Sharing,
    calls: Calls,
    pending_tickets: Vec<PendingTicket>,
    active_orders: BTreeSet<Name>,
    billing: Billing,
    entries: VecDeque<proto::RawLogEntry>,
    entries_bytes: usize,
    audit: VecDeque<proto::AuditLine>,
    is_stopping: bool,
}

impl Hub {
    /// A hub that knows nothing yet.
    pub(crate) fn new(config: Config, clock: Clock, outlets: Outlets, metrics: Metrics) -> Self {
        let settings = &config.settings;
        let me =
            Holder { instance: settings.instance.name.clone(), incarnation: fastrand::u64(..) };
        let times = LeaseTimes {
            lease_ms: settings.authority.lease_ms,
            renew_every_ms: settings.authority.renew_every_ms,
            drift_margin_ms: settings.authority.drift_margin_ms,
            silence_ms: settings.authority.silence_ms,
        };
        let scope = settings.authority.scope.clone();
        let lease = LogLease::new(scope, me.clone(), times, clock.now_ms());
        let members = Members::new(me.instance.clone(), settings.config.member_timeout_ms);
        let poison_limit = settings.limits.poison_limit as usize;
        Self {
            freshness: Freshness::new(settings.config.stale_limit_ms),
            suspects: Suspects::new(poison_limit, REMEMBERED_SUSPECTS),
            config,
            clock,
            me,
            outlets,
            metrics,
            state: State::default(),
            next_offset: 0,
            reading: Reading::Folding,
            last_snapshot_offset: 0,
            members,
            lease,
            reported_term: None,
            reported_admission: None,
            requests: Requests::default(),
            fair_queue: FairQueue::default(),
            retries: RetryBudget::default(),
            sharing: Sharing::default(),
            calls: Calls::default(),
            pending_tickets: Vec::new(),
            active_orders: BTreeSet::new(),
            billing: Billing::default(),
            entries: VecDeque::new(),
            entries_bytes: 0,
            audit: VecDeque::new(),
            is_stopping: false,
        }
    }

    /// Handles messages until all senders are gone.
    pub(crate) async fn run(mut self, inbox: Receiver<HubMessage>) {
        while let Ok(message) = inbox.recv().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: HubMessage) {
        match message {
            HubMessage::Tick => self.on_tick(),
            HubMessage::Page { sent_at_ms, page, reply } => {
                send_reply(&reply, self.on_page(sent_at_ms, page));
            }
            HubMessage::List(rows) => self.on_list(rows),
            HubMessage::OwnHeartbeat { reply } => {
                send_reply(&reply, (self.own_heartbeat(), self.sharing.newest_loss()));
            }
            HubMessage::Heartbeat { heartbeat, reply } => {
                self.on_heartbeat(&heartbeat);
                send_reply(&reply, self.own_heartbeat());
            }
            HubMessage::HeartbeatAnswer { sent_at_ms, told_loss, heartbeat, reply } => {
                self.on_told(&heartbeat.from.instance, told_loss);
                send_reply(&reply, self.on_heartbeat_answer(sent_at_ms, &heartbeat));
            }
            HubMessage::Tail { from_offset, reply } => send_reply(&reply, self.tail(from_offset)),
            HubMessage::PeerEntries(entries) => self.on_peer_entries(entries),
            HubMessage::Begin { wanted, reply } => self.on_begin(&wanted, reply),
            HubMessage::End { grant, ending, spent } => self.on_end(grant, ending, spent),
            HubMessage::FirstToken { grant } => self.on_first_token(grant),
            HubMessage::Move { grant, ending, reply } => self.on_move(grant, ending, reply),
            HubMessage::CallStart { grant, idempotency_key, digest, reply } => {
                self.on_call_start(grant, idempotency_key, digest, reply);
            }
            HubMessage::CallSent { grant, result, reply } => {
                self.on_call_sent(grant, result, &reply);
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
            HubMessage::BeforeConnect { errand, reply } => {
                send_reply(&reply, self.before_connect(&errand));
            }
            HubMessage::BeforeWrite { errand, view, reply } => {
                send_reply(&reply, self.before_write(&errand, view));
            }
            HubMessage::ErrandEnded { errand, is_done } => {
                self.on_errand_ended(&errand, is_done);
            }
            HubMessage::Stop { reply } => self.on_stop(&reply),
            HubMessage::Settle { reply } => send_reply(&reply, self.settle_usage()),
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.members.on_tick(now_ms);
        self.tick_lease(now_ms);
        self.tick_admission(now_ms);
        self.tick_requests(now_ms);
        self.tick_sharing(now_ms);
        self.tick_calls(now_ms);
        self.tick_tickets(now_ms);
        self.tick_orders(now_ms);
        self.tick_billing(now_ms);
        self.tick_snapshot(now_ms);
        let lag_ms = self.freshness.age_ms(now_ms).unwrap_or(0);
        self.metrics.gauges(self.requests.in_flight() as u64, lag_ms);
    }

    fn contact(&self, now_ms: u64) -> PeerReachability {
        PeerReachability {
            listed: self.members.listed_count(),
            reached_not_ahead: self.members.count_at_or_below(now_ms, self.next_offset),
        }
    }

    fn admission(&self, now_ms: u64) -> Admission {
        self.freshness.admission(now_ms, self.contact(now_ms))
    }

    fn tick_admission(&mut self, now_ms: u64) {
        let admission = self.admission(now_ms);
        if self.reported_admission == Some(admission) {
            return;
        }
        self.reported_admission = Some(admission);
        let offset = self.next_offset;
        let (event, why) = match admission {
            Admission::Admit => (Event::Ready, "log is read".to_owned()),
            Admission::AdmitStale => (Event::AdmissionStale, format!("at offset {offset}")),
            Admission::Stop(reason) => (Event::AdmissionStopped, format!("{reason:?}")),
        };
        event.emit(&self.me.instance, format_args!("{why}"));
    }
}
