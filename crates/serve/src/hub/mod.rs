//! The task that owns the state of the instance and makes all of its decisions.

mod allowances;
mod era;
mod feed;
mod finalized;
mod grants;
mod hedging;
mod instances;
mod message;
mod prefills;
mod quarantine;
mod records;
mod requests;
mod reservations;
mod statements;
mod unproven_ends;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use cowslip_authority::{Holder, UsableLease};
use cowslip_clock::{Clock, unix_ms};
use cowslip_codec::{holder_to_proto, request_starts_key};
use cowslip_era::{EraTracker, StoreEra};
use cowslip_fleet::{
    DeclaredConfig, RetryBudget, SendOutcome, StopSchedule, UpstreamChange, UpstreamHealth,
    UpstreamRegistry, plan_capacity, plan_roles,
};
use cowslip_hedging::Hedging;
use cowslip_membership::{FeedRole, FeedTopology, StoreEvidence};
use cowslip_poison::{Quarantine, Refusal, SuspectKey, UnprovenEnds};
use cowslip_task::send_reply;
use cowslip_usage::{ClusterClock, FinalizedWindows, StartCounters, StartWindows, WindowTimes};

use crate::config::Config;
use crate::events::{Event, event};
use crate::metrics::Metrics;
use crate::platform::{Platform, StoredRecord, Topic};

pub(crate) use finalized::KEPT_FINALIZED_WINDOWS;
pub(crate) use message::{
    Assignment, AuthorizedRequest, HubMessage, LinkState, Peer, PlannedOrders, ReadMode, Rejection,
    ReservationCall, RetryReason, RouteQuery, SetPeers, UnplacedRequest, UpstreamRefusal,
    UpstreamStatement,
};
pub(crate) use quarantine::QUARANTINE_KEY;

use allowances::Allowances;
use feed::RosterTransfer;
use finalized::Confirmation;
use instances::{Instances, location_in};
use records::{RosterReads, RosterRecords};
use requests::{LocalLoad, PlacedRequest};

/// Usage windows whose request starts are kept, so that a late or retried write still includes
/// them.
const KEPT_START_WINDOWS: u64 = 5; // 25 s with windows of 5 s, longer than a report may be late

/// The state of the instance, changed only by messages.
#[derive(Debug)]
pub(crate) struct Hub<P> {
    platform: P,
    config: Config,
    clock: Clock,
    identity: Holder,
    metrics: Metrics,
    links: Sender<SetPeers>,
    declared_config: Option<DeclaredConfig>,
    /// Record that `declared_config` was decoded from, for peers that cannot read it from the
    /// store.
    declaration: Option<StoredRecord>,
    registry: UpstreamRegistry,
    /// Records of the upstreams' entries as they are sent to peers.
    roster_records: RosterRecords,
    /// Whether the store or a peer has provided any list of upstreams.
    is_roster_known: bool,
    roster_reads: RosterReads,
    store_era: EraTracker,
    /// Whether a response with an earlier or invalid era was logged.
    is_other_era_logged: bool,
    /// Tasks that are told of restores of the store.
    restore_watchers: Vec<Sender<StoreEra>>,
    store_evidence: StoreEvidence,
    roster_transfer: Option<RosterTransfer>,
    health: UpstreamHealth,
    loads: HashMap<Arc<str>, LocalLoad>,
    /// Time until which the client's pool holds a connection to an upstream.
    pooled_until_ms: HashMap<Arc<str>, u64>,
    /// Requests in flight, by the id of their assignment.
    in_flight: HashMap<u64, PlacedRequest>,
    retry_budget: RetryBudget,
    hedging: Hedging,
    quarantine: Quarantine,
    /// Refusals of the quarantine as last logged.
    logged_refusals: BTreeSet<Refusal>,
    unproven_ends: UnprovenEnds,
    /// Workspaces whose malformed prompt segments were logged.
    logged_malformed: BTreeSet<Arc<str>>,
    /// Suspects in the store's copy of the quarantine; `None` if that is not known.
    stored_suspects: Option<BTreeSet<SuspectKey>>,
    allowances: Allowances,
    instances: Instances,
    feed_topology: FeedTopology,
    /// Whether this instance reads the store itself, as last logged.
    is_store_reader: bool,
    feed_peers: Vec<Peer>,
    cluster_clock: ClusterClock,
    window_times: WindowTimes,
    starts: StartCounters,
    /// Finalized windows that this instance or the other reader read from the store or wrote to it.
    finalized: FinalizedWindows,
    confirmations: Vec<Confirmation>,
    /// Store key of the request starts that this instance counts.
    starts_key: Arc<str>,
    /// Lease of this instance, as the lease task last reported it.
    lease: Option<UsableLease>,
    /// Times of the planned stop, once it has begun.
    stop: Option<StopSchedule>,
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Returns a hub without configuration, upstreams or peers.
    pub(crate) fn new(
        platform: P,
        config: Config,
        clock: Clock,
        identity: Holder,
        metrics: Metrics,
        links: Sender<SetPeers>,
        reservations: Sender<ReservationCall>,
    ) -> Self {
        let poison_limit = config.settings.limits.poison_limit as usize;
        let location =
            location_in(&config.locality, config.settings.instance.failure_domain.clone());
        let feed_topology = FeedTopology::new(
            identity.instance.clone(),
            location,
            config.feed_times(),
            clock.now_ms(),
        );
        Self {
            platform,
            clock,
            links,
            declared_config: None,
            declaration: None,
            registry: UpstreamRegistry::default(),
            roster_records: RosterRecords::default(),
            is_roster_known: false,
            roster_reads: RosterReads::default(),
            store_era: EraTracker::default(),
            is_other_era_logged: false,
            restore_watchers: Vec::new(),
            store_evidence: StoreEvidence::default(),
            roster_transfer: None,
            health: UpstreamHealth::default(),
            loads: HashMap::new(),
            pooled_until_ms: HashMap::new(),
            in_flight: HashMap::new(),
            retry_budget: RetryBudget::new(config.retry_budget_limits()),
            hedging: Hedging::new(config.hedging_limits),
            quarantine: Quarantine::new(quarantine::limits(poison_limit)),
            logged_refusals: BTreeSet::new(),
            unproven_ends: UnprovenEnds::default(),
            logged_malformed: BTreeSet::new(),
            stored_suspects: Some(BTreeSet::new()),
            allowances: Allowances::new(&config, reservations),
            instances: Instances::default(),
            feed_topology,
            is_store_reader: false,
            feed_peers: Vec::new(),
            cluster_clock: ClusterClock::new(clock.now_ms(), unix_ms()),
            window_times: config.window_times(),
            starts: StartCounters::default(),
            finalized: FinalizedWindows::default(),
            confirmations: Vec::new(),
            starts_key: Arc::from(request_starts_key(&holder_to_proto(&identity))),
            lease: None,
            stop: None,
            config,
            identity,
            metrics,
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
            HubMessage::Authorize { query, reply } => send_reply(&reply, self.authorize(&query)),
            HubMessage::Place { request, reply } => self.admit(*request, reply),
            HubMessage::Reserved { broker, reply } => self.on_reserved(&broker, reply),
            HubMessage::Reserve { request, reply } => send_reply(&reply, self.reserve(request)),
            HubMessage::Retry { id, reason, reply } => {
                let result = self.retry(id, reason);
                if result.is_err() && reason != RetryReason::MayHaveRun {
                    self.put_back_unless_run(id);
                }
                send_reply(&reply, result);
            }
            HubMessage::AcquireRetry { id, reply } => send_reply(&reply, self.acquire_retry(id)),
            HubMessage::Stated(statement) => self.on_stated(&statement),
            HubMessage::Hedge { id, reply } => send_reply(&reply, self.hedge(id)),
            HubMessage::HedgedSendFailed { id, is_second, failure } => {
                self.on_hedged_send_failed(id, is_second, failure);
            }
            HubMessage::PrefillEnded { id, has_succeeded, reply } => {
                send_reply(&reply, self.on_prefill_ended(id, has_succeeded));
            }
            HubMessage::RequestStarted { id, upstream, connection_age } => {
                self.on_request_started(id, &upstream);
                self.on_accepted(&upstream, connection_age);
            }
            HubMessage::RequestSucceeded { id } => self.on_request_succeeded(id),
            HubMessage::StreamEndUnproven { id, upstream } => {
                self.on_stream_end_unproven(id, &upstream);
            }
            HubMessage::UpstreamRefused { upstream } => {
                let settled = self.unproven_ends.on_refused(&upstream);
                self.on_settled_ends(settled);
            }
            HubMessage::RequestEnded { id } => {
                self.forget_reservation(id);
                self.on_request_ended(id);
            }
            HubMessage::SendEnded { upstream, outcome, keep_alive } => {
                self.on_send_ended(upstream, outcome, keep_alive);
            }
            HubMessage::UpstreamLost { id, upstream, started_at_ms } => {
                self.on_upstream_lost(id, &upstream, started_at_ms);
            }
            HubMessage::EraStated { era, reply } => send_reply(&reply, self.on_era_stated(era)),
            HubMessage::WatchRestores { watcher } => self.restore_watchers.push(watcher),
            HubMessage::Records { topic, era, page, is_list } => {
                self.on_records(topic, era, page, is_list);
            }
            HubMessage::StoreState { topic, is_up } => self.on_store_state(topic, is_up),
            HubMessage::ReadMode { topic, reply } => send_reply(&reply, self.read_mode(topic)),
            HubMessage::StoreRetry { failures, spread_permille, reply } => {
                send_reply(&reply, self.feed_topology.store_retry(failures, spread_permille));
            }
            HubMessage::BuildFeed { to, link, reply } => {
                send_reply(&reply, self.build_feed(&to, &link));
            }
            HubMessage::HandleFeed { feed, reply } => send_reply(&reply, self.handle_feed(*feed)),
            HubMessage::ApplyFeed { from, feed, sent_finalized } => {
                self.on_finalized_received(&from, sent_finalized);
                self.apply_feed(&from, *feed);
            }
            HubMessage::FeedFailed { peer } => self.on_feed_failed(&peer),
            HubMessage::SetLease { lease, reply } => {
                self.metrics.is_holder.set(i64::from(lease.is_some()));
                self.set_granter(lease);
                self.lease = lease;
                send_reply(&reply, self.store_era.era());
            }
            HubMessage::Fence { reply } => send_reply(&reply, self.fence()),
            HubMessage::Plan { reply } => send_reply(&reply, self.plan_orders()),
            HubMessage::TakeStarts { reply } => send_reply(&reply, self.take_starts()),
            HubMessage::StartsWritten { is_written } => self.starts.on_write(is_written),
            HubMessage::TakeQuarantine { reply } => send_reply(&reply, self.take_quarantine()),
            HubMessage::QuarantineNotWritten => self.stored_suspects = None,
            HubMessage::KnownStarts { reply } => {
                let known = self.starts.changed_since(0);
                send_reply(&reply, known.map(|(key, windows)| (key.clone(), windows)).collect());
            }
            HubMessage::WindowsFinalized { windows } => self.on_windows_finalized(windows),
            HubMessage::EarlierWindowsFinalized { windows } => {
                self.on_known_windows(windows);
            }
            HubMessage::FinalizedWindow { window, reply } => {
                send_reply(&reply, self.finalized.get(window).cloned());
            }
            HubMessage::NewestFinalized { count, reply } => {
                let newest = self.finalized.newest(count);
                send_reply(
                    &reply,
                    newest.map(|(window, counts)| (window, counts.clone())).collect(),
                );
            }
            HubMessage::ConfirmFinalized { reply } => self.confirm_finalized(reply),
            HubMessage::ClusterTime { reply } => send_reply(&reply, self.cluster_ms()),
            HubMessage::Ready { reply } => send_reply(&reply, self.is_ready()),
            HubMessage::Stop { schedule } => self.stop = Some(schedule),
        }
    }

    fn on_send_ended(
        &mut self,
        upstream: Arc<str>,
        outcome: SendOutcome,
        keep_alive: Option<Duration>,
    ) {
        self.health.on_outcome(self.clock.now_ms(), &upstream, outcome);
        if outcome == SendOutcome::Refused
            && let Some(upstream) = self.registry.get(&upstream)
        {
            self.hedging.on_refusal(self.clock.now_ms(), &upstream.service);
        }
        if let Some(keep_alive) = keep_alive {
            self.on_connection_pooled(upstream, keep_alive);
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        let changes = self.registry.on_tick(now_ms);
        for change in &changes {
            if let UpstreamChange::Left(id, _) = change {
                self.roster_records.mark_removed(id);
            }
        }
        self.on_upstream_changes(&changes, "store");
        let settled = self.unproven_ends.on_tick(now_ms);
        self.on_settled_ends(settled);
        self.update_store_reader(now_ms);
        self.update_links();
        self.update_allowances(now_ms);
        self.metrics.in_flight.set(i64::try_from(self.in_flight.len()).unwrap_or(i64::MAX));
    }

    fn is_ready(&self) -> bool {
        self.stop.is_none() && self.declared_config.is_some() && self.is_roster_known
    }

    /// Returns the lease of this instance if it has not expired. After a restore of the store nobody
    /// else can have acquired it before.
    fn unexpired_lease(&self) -> Option<UsableLease> {
        let now_ms = self.clock.now_ms();
        self.lease.filter(|lease| now_ms < lease.expires_at_ms)
    }

    /// Returns the token under which this instance may call the platform: that of a lease which was
    /// renewed in the known era.
    fn fence(&self) -> Option<u64> {
        let lease = self.unexpired_lease()?;
        (lease.position.era == self.store_era.era()).then(|| lease.position.fencing_token())
    }

    fn plan_orders(&self) -> PlannedOrders {
        match &self.declared_config {
            Some(config) if self.is_roster_known => PlannedOrders {
                capacity: plan_capacity(config, &self.registry),
                roles: plan_roles(self.clock.now_ms(), config, &self.registry),
            },
            _ => PlannedOrders::default(),
        }
    }

    fn cluster_ms(&self) -> u64 {
        self.cluster_clock.now_ms(self.clock.now_ms())
    }

    fn read_mode(&self, topic: Topic) -> ReadMode {
        let now_ms = self.clock.now_ms();
        let must_read = match topic {
            Topic::Instances => self.feed_topology.must_read_instances(now_ms),
            Topic::Declaration | Topic::Roster | Topic::Lease | Topic::Starts => {
                self.feed_topology.must_read_store(now_ms)
            }
        };
        let may_hold_back = match topic {
            Topic::Roster => false,
            Topic::Instances => self.feed_topology.may_hold_back_instances(),
            Topic::Declaration | Topic::Lease | Topic::Starts => true,
        };
        if !must_read {
            ReadMode::Skip
        } else if may_hold_back && self.awaits_store(now_ms) {
            ReadMode::Wait
        } else if topic == Topic::Instances && self.instances.is_fed() {
            ReadMode::Restart
        } else {
            ReadMode::Continue
        }
    }

    /// Returns whether only the upstreams' entries are read for now, to learn whether the store
    /// serves this instance. So an outage costs one call at a time, not one for each topic. Readers
    /// read all topics, since some may be served while others are not.
    fn awaits_store(&self, now_ms: u64) -> bool {
        self.feed_topology.role() != FeedRole::Reader
            && self.feed_topology.must_read_store(now_ms)
            && !self.reads_store(now_ms)
    }

    /// Logs when this instance starts or stops reading the store itself, and sets the gauge.
    fn update_store_reader(&mut self, now_ms: u64) {
        let is_store_reader = self.feed_topology.must_read_store(now_ms);
        if std::mem::replace(&mut self.is_store_reader, is_store_reader) == is_store_reader {
            return;
        }
        if is_store_reader {
            let why = match self.feed_topology.role() {
                FeedRole::Reader => "this instance reads for the others",
                FeedRole::Feeder => "no reader has fed this instance lately",
                FeedRole::Fed => "no feeder has fed this instance lately",
            };
            event!(Event::StoreReadingStarted, why = why);
        } else {
            event!(Event::StoreReadingStopped, feeders = self.feed_topology.feeders().count());
        }
        self.metrics.is_reader.set(i64::from(is_store_reader));
    }

    /// Takes the changed request starts that this instance writes. While feeders read the store for
    /// this instance, or the store turns it away, its peers write its starts; at shutdown it writes
    /// them itself.
    fn take_starts(&mut self) -> Vec<(Arc<str>, StartWindows)> {
        let now_ms = self.clock.now_ms();
        let window = self.window_times.window_of(self.cluster_ms());
        self.starts.forget_before(window.saturating_sub(KEPT_START_WINDOWS));
        let writes_starts = match self.feed_topology.role() {
            FeedRole::Reader => true,
            FeedRole::Feeder | FeedRole::Fed => {
                self.feed_topology.must_read_store(now_ms) && self.reads_store(now_ms)
            }
        };
        if self.stop.is_some() || writes_starts { self.starts.take_changed() } else { Vec::new() }
    }
}
