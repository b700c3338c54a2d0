//! The task that owns the state and every decision of the instance.

mod feed;
mod message;
mod records;
mod requests;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use cowslip_authority::Holder;
use cowslip_clock::{Clock, wall_ms};
use cowslip_fleet::{Deployment, Health, RepeatBudget, Roster, plan_capacity, plan_roles};
use cowslip_poison::Suspects;
use cowslip_task::answer;
use cowslip_usage::{StartCounter, TrueTime, WindowTimes};

use crate::config::Config;
use crate::edge::{Edge, Stored};
use crate::metrics::Metrics;
use crate::tasks::LinkCommand;

pub(crate) use message::{
    Admitted, Again, Grant, Held, HubMessage, Plans, Question, Refusal, StartWindows, Wanted,
};

use feed::Instances;
use requests::{OwnLoad, Running};

/// Suspicious requests that are remembered.
const REMEMBERED_SUSPECTS: usize = 4_096;
/// Windows whose starts are kept, so that a late or repeated write still has them.
const KEPT_WINDOWS: u64 = 5; // 25 s at the users' 5 s a window, longer than a report may be late

/// The owner of the state.
#[derive(Debug)]
pub(crate) struct Hub<E> {
    edge: E,
    config: Config,
    clock: Clock,
    me: Holder,
    metrics: Metrics,
    links: Sender<LinkCommand>,
    deployment: Option<Deployment>,
    /// The record that `deployment` was decoded from, for instances that cannot read it.
    declaration: Option<Stored>,
    roster: Roster,
    /// Newest record of each upstream, for instances that cannot read them.
    roster_records: BTreeMap<Arc<str>, Stored>,
    is_roster_known: bool,
    is_roster_readable: bool,
    health: Health,
    loads: HashMap<Arc<str>, OwnLoad>,
    running: HashMap<u64, Running>,
    next_grant: u64,
    budget: RepeatBudget,
    suspects: Suspects,
    instances: Instances,
    true_time: TrueTime,
    window_times: WindowTimes,
    starts: StartCounter,
    /// Starts of instances that cannot write them, as they have told.
    told_starts: BTreeMap<Arc<str>, StartWindows>,
    authority: Option<Held>,
    is_stopping: bool,
}

impl<E> Hub<E>
where
    E: Edge,
{
    /// A hub that knows nothing yet.
    pub(crate) fn new(
        edge: E,
        config: Config,
        clock: Clock,
        me: Holder,
        metrics: Metrics,
        links: Sender<LinkCommand>,
    ) -> Self {
        let poison_limit = config.settings.limits.poison_limit as usize;
        Self {
            edge,
            clock,
            links,
            deployment: None,
            declaration: None,
            roster: Roster::default(),
            roster_records: BTreeMap::new(),
            is_roster_known: false,
            is_roster_readable: true,
            health: Health::default(),
            loads: HashMap::new(),
            running: HashMap::new(),
            next_grant: 1,
            budget: RepeatBudget::new(config.budget_terms()),
            suspects: Suspects::new(poison_limit, REMEMBERED_SUSPECTS),
            instances: Instances::default(),
            true_time: TrueTime::new(clock.now_ms(), wall_ms()),
            window_times: config.window_times(),
            starts: StartCounter::default(),
            told_starts: BTreeMap::new(),
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
            HubMessage::Admit { question, reply } => answer(&reply, self.admit(&question)),
            HubMessage::Begin { wanted, reply } => answer(&reply, self.begin(*wanted)),
            HubMessage::Again { grant, why, reply } => answer(&reply, self.again(grant, why)),
            HubMessage::TakeRepeat { grant, reply } => answer(&reply, self.take_repeat(grant)),
            HubMessage::Misdirected { upstream } => {
                self.roster.on_misdirected(self.clock.now_ms(), &upstream);
            }
            HubMessage::PromptRead { grant, reply } => {
                answer(&reply, self.on_prompt_read(grant));
            }
            HubMessage::Started { grant } => self.on_started(grant),
            HubMessage::Answered { grant } => {
                if let Some(running) = self.running.get(&grant) {
                    self.suspects.on_answer(&running.fingerprint);
                }
            }
            HubMessage::End { grant } => self.on_end(grant),
            HubMessage::Outcome { upstream, outcome } => {
                self.health.on_outcome(self.clock.now_ms(), &upstream, outcome);
            }
            HubMessage::Lost { grant, upstream } => self.on_lost(grant, &upstream),
            HubMessage::Records { topic, page, is_list } => self.on_records(topic, page, is_list),
            HubMessage::StoreState { topic, is_up } => self.on_store_state(topic, is_up),
            HubMessage::OwnFeed { reply } => answer(&reply, self.own_feed()),
            HubMessage::Feed { request, reply } => answer(&reply, self.on_feed(&request)),
            HubMessage::FeedAnswer { answer } => self.on_feed_answer(*answer),
            HubMessage::Authority { fence } => {
                self.metrics.is_holder.set(i64::from(fence.is_some()));
                self.authority = fence;
            }
            HubMessage::Fence { reply } => answer(&reply, self.fence()),
            HubMessage::Plan { reply } => answer(&reply, self.plan()),
            HubMessage::TakeStarts { reply } => answer(&reply, self.take_starts()),
            HubMessage::StartsWritten { is_written } => self.starts.on_write(is_written),
            HubMessage::ToldStarts { reply } => answer(&reply, self.told_starts.clone()),
            HubMessage::TrueTime { reply } => answer(&reply, self.true_ms()),
            HubMessage::Ready { reply } => answer(&reply, self.is_ready()),
            HubMessage::Stop => self.is_stopping = true,
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        let changes = self.roster.on_tick(now_ms);
        self.note_changes(&changes, "store");
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
        self.true_time.at(self.clock.now_ms())
    }

    fn take_starts(&mut self) -> Option<StartWindows> {
        let window = self.window_times.window_of(self.true_ms());
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.starts.forget_before(oldest);
        self.told_starts.retain(|_, windows| windows.keys().any(|window| *window >= oldest));
        self.starts.take_changed().cloned()
    }
}
