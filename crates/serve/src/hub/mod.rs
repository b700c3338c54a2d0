//! The task that owns the state and every decision of the instance.

mod feed;
mod instances;
mod message;
mod records;
mod requests;

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use cowslip_authority::Holder;
use cowslip_clock::{Clock, unix_ms};
use cowslip_codec::{holder_to_proto, request_starts_key};
use cowslip_fleet::{
    DeclaredConfig, RetryBudget, UpstreamChange, UpstreamHealth, UpstreamRegistry, plan_capacity,
    plan_roles,
};
use cowslip_membership::FeedTopology;
use cowslip_poison::Suspects;
use cowslip_task::send_reply;
use cowslip_usage::{ClusterClock, StartCounters, StartWindows, WindowTimes};

use crate::config::Config;
use crate::events::{Event, event};
use crate::metrics::Metrics;
use crate::platform::{Platform, StoredRecord, Topic};

pub(crate) use message::{
    Admitted, Again, Grant, Held, HubMessage, LinkCommand, LinkState, Peer, Plans, Question, Reads,
    Refusal, Wanted,
};

use instances::{Instances, place_in};
use records::{RosterReads, RosterRecords};
use requests::{OwnLoad, Running};

/// Suspicious requests that are remembered.
const REMEMBERED_SUSPECTS: usize = 4_096;
/// Windows whose starts are kept, so that a late or repeated write still has them.
const KEPT_WINDOWS: u64 = 5; // 25 s at the users' 5 s a window, longer than a report may be late

/// The owner of the state.
#[derive(Debug)]
pub(crate) struct Hub<E> {
    platform: E,
    config: Config,
    clock: Clock,
    me: Holder,
    metrics: Metrics,
    links: Sender<LinkCommand>,
    deployment: Option<DeclaredConfig>,
    /// The record that `deployment` was decoded from, for instances that cannot read it.
    declaration: Option<StoredRecord>,
    roster: UpstreamRegistry,
    /// What others are told of the upstreams' entries.
    roster_records: RosterRecords,
    is_roster_known: bool,
    roster_reads: RosterReads,
    health: UpstreamHealth,
    loads: HashMap<Arc<str>, OwnLoad>,
    /// Until when a connection to an upstream is kept.
    kept_until_ms: HashMap<Arc<str>, u64>,
    running: HashMap<u64, Running>,
    next_grant: u64,
    budget: RetryBudget,
    suspects: Suspects,
    instances: Instances,
    feed_topology: FeedTopology,
    is_reader: bool,
    partners: Vec<Peer>,
    cluster_clock: ClusterClock,
    window_times: WindowTimes,
    starts: StartCounters,
    /// Key of this instance's own starts.
    starts_key: Arc<str>,
    authority: Option<Held>,
    is_stopping: bool,
}

impl<E> Hub<E>
where
    E: Platform,
{
    /// A hub that knows nothing yet.
    pub(crate) fn new(
        platform: E,
        config: Config,
        clock: Clock,
        me: Holder,
        metrics: Metrics,
        links: Sender<LinkCommand>,
    ) -> Self {
        let poison_limit = config.settings.limits.poison_limit as usize;
        let place = place_in(&config.site, config.settings.instance.failure_domain.clone());
        let feed_topology = FeedTopology::new(me.instance.clone(), place, config.fed_ms());
        metrics.is_reader.set(1);
        Self {
            platform,
            clock,
            links,
            deployment: None,
            declaration: None,
            roster: UpstreamRegistry::default(),
            roster_records: RosterRecords::default(),
            is_roster_known: false,
            roster_reads: RosterReads::default(),
            health: UpstreamHealth::default(),
            loads: HashMap::new(),
            kept_until_ms: HashMap::new(),
            running: HashMap::new(),
            next_grant: 1,
            budget: RetryBudget::new(config.budget_terms()),
            suspects: Suspects::new(poison_limit, REMEMBERED_SUSPECTS),
            instances: Instances::default(),
            feed_topology,
            is_reader: true,
            partners: Vec::new(),
            cluster_clock: ClusterClock::new(clock.now_ms(), unix_ms()),
            window_times: config.window_times(),
            starts: StartCounters::default(),
            starts_key: Arc::from(request_starts_key(&holder_to_proto(&me))),
            authority: None,
            is_stopping: false,
            config,
            me,
            metrics,
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
            HubMessage::Admit { question, reply } => send_reply(&reply, self.admit(&question)),
            HubMessage::Begin { wanted, reply } => send_reply(&reply, self.begin(*wanted)),
            HubMessage::Again { grant, why, reply } => send_reply(&reply, self.again(grant, why)),
            HubMessage::TakeRepeat { grant, reply } => send_reply(&reply, self.take_repeat(grant)),
            HubMessage::Misdirected { upstream } => {
                self.roster.on_role_mismatch(self.clock.now_ms(), &upstream);
            }
            HubMessage::PromptRead { grant, reply } => {
                send_reply(&reply, self.on_prompt_read(grant));
            }
            HubMessage::Started { grant } => self.on_started(grant),
            HubMessage::Answered { grant } => {
                if let Some(running) = self.running.get(&grant) {
                    self.suspects.on_success(&running.request_digest);
                }
            }
            HubMessage::End { grant } => self.on_end(grant),
            HubMessage::Outcome { upstream, outcome, kept_for } => {
                self.health.on_outcome(self.clock.now_ms(), &upstream, outcome);
                if let Some(kept_for) = kept_for {
                    self.on_kept(upstream, kept_for);
                }
            }
            HubMessage::Lost { grant, upstream } => self.on_lost(grant, &upstream),
            HubMessage::Records { topic, page, is_list } => self.on_records(topic, page, is_list),
            HubMessage::StoreState { topic, is_up } => self.on_store_state(topic, is_up),
            HubMessage::Reads { topic, reply } => send_reply(&reply, self.reads(topic)),
            HubMessage::OwnFeed { link, reply } => send_reply(&reply, self.own_feed(&link)),
            HubMessage::Feed { request, reply } => send_reply(&reply, self.on_feed(*request)),
            HubMessage::FeedAnswer { from, answer } => self.on_feed_answer(&from, *answer),
            HubMessage::Authority { fence } => {
                self.metrics.is_holder.set(i64::from(fence.is_some()));
                self.authority = fence;
            }
            HubMessage::Fence { reply } => send_reply(&reply, self.fence()),
            HubMessage::Plan { reply } => send_reply(&reply, self.plan()),
            HubMessage::TakeStarts { reply } => send_reply(&reply, self.take_starts()),
            HubMessage::StartsWritten { is_written } => self.starts.on_write(is_written),
            HubMessage::KnownStarts { reply } => {
                let known = self.starts.changed_since(0);
                send_reply(&reply, known.map(|(key, windows)| (key.clone(), windows)).collect());
            }
            HubMessage::TrueTime { reply } => send_reply(&reply, self.true_ms()),
            HubMessage::Ready { reply } => send_reply(&reply, self.is_ready()),
            HubMessage::Stop => self.is_stopping = true,
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        let changes = self.roster.on_tick(now_ms);
        for change in &changes {
            if let UpstreamChange::Left(id, _) = change {
                self.roster_records.on_dropped(id);
            }
        }
        self.note_changes(&changes, "store");
        self.note_reader(now_ms);
        self.tell_links();
        self.metrics.in_flight.set(i64::try_from(self.running.len()).unwrap_or(i64::MAX));
    }

    fn is_ready(&self) -> bool {
        !self.is_stopping && self.deployment.is_some() && self.is_roster_known
    }

    fn fence(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        self.authority.filter(|held| now_ms < held.until_ms).map(|held| held.fence)
    }

    fn plan(&self) -> Plans {
        match &self.deployment {
            Some(deployment) if self.is_roster_known => Plans {
                capacity: plan_capacity(deployment, &self.roster),
                roles: plan_roles(deployment, &self.roster),
            },
            _ => Plans::default(),
        }
    }

    fn true_ms(&self) -> u64 {
        self.cluster_clock.now_ms(self.clock.now_ms())
    }

    fn reads(&self, topic: Topic) -> Reads {
        if !self.feed_topology.must_read_store(self.clock.now_ms()) {
            Reads::Not
        } else if topic == Topic::Instances && self.instances.is_told() {
            Reads::Anew
        } else {
            Reads::On
        }
    }

    /// Notes whether this instance reads the store from now on.
    fn note_reader(&mut self, now_ms: u64) {
        let is_reader = self.feed_topology.must_read_store(now_ms);
        if std::mem::replace(&mut self.is_reader, is_reader) == is_reader {
            return;
        }
        if is_reader {
            let why = if self.feed_topology.is_feeder() { "for others" } else { "it is not fed" };
            event!(Event::ReadingBegun, why = why);
        } else {
            event!(Event::ReadingEnded, feeders = self.feed_topology.feeders().count());
        }
        self.metrics.is_reader.set(i64::from(is_reader));
    }

    /// Sums that this instance has to write: of one that is fed, its feeders write them.
    fn take_starts(&mut self) -> Vec<(Arc<str>, StartWindows)> {
        let now_ms = self.clock.now_ms();
        let window = self.window_times.window_of(self.true_ms());
        self.starts.forget_before(window.saturating_sub(KEPT_WINDOWS));
        if self.is_stopping || self.feed_topology.must_read_store(now_ms) {
            self.starts.take_changed()
        } else {
            Vec::new()
        }
    }
}
