//! Requests: authorisation, the queue, the choice of an upstream.

use std::collections::BTreeMap;

use cowslip_config::{Deployment, Upstream};
use cowslip_name::Name;
use cowslip_scheduling::{Candidate, Distance, EnqueueResult, QueueId, pick_upstream, work_units};

use super::access::{Place, Request};
use super::{Begun, Ending, Grant, Hub, Refusal, ReplySender, Spent, Wanted, send_reply};
use crate::events::Event;
use crate::metrics::Count;

/// Time after which a prompt counts as prefilled even if no token was seen, as with whole answers.
const FIRST_TOKEN_TARGET_MS: u64 = 490;
/// How long a lost upstream gets no work.
const LOST_UPSTREAM_MS: u64 = 1_000;
#[derive(Debug)]
struct Waiting {
    request: Request,
    deadline_ms: u64,
    reply: ReplySender<Begun>,
}

/// A request at its upstream.
#[derive(Debug)]
pub(super) struct Running {
    request: Request,
    upstream: Name,
    /// Until when the prompt counts as waiting for its first token; `None` once it has come.
    waits_until_ms: Option<u64>,
}

/// What this instance has in flight at an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    requests: u32,
    work: u32,
    waiting_tokens: u64,
}

/// Requests that wait or run.
#[derive(Debug, Default)]
pub(super) struct Requests {
    next_grant: u64,
    waiting: BTreeMap<QueueId, Waiting>,
    running: BTreeMap<u64, Running>,
    by_upstream: BTreeMap<Name, Load>,
    last_used: BTreeMap<Name, u64>,
    lost_until_ms: BTreeMap<Name, u64>,
}

impl Requests {
    pub(super) fn in_flight(&self) -> usize {
        self.running.len()
    }

    pub(super) fn in_flight_at(&self, upstream: &Name) -> u32 {
        self.load_at(upstream).requests
    }

    fn load_at(&self, upstream: &Name) -> Load {
        self.by_upstream.get(upstream).copied().unwrap_or_default()
    }

    pub(super) fn loads(&self) -> BTreeMap<&Name, u32> {
        self.by_upstream.iter().map(|(upstream, load)| (upstream, load.requests)).collect()
    }

    pub(super) fn workspace(&self, grant: u64) -> Option<&Name> {
        self.running.get(&grant).map(|running| &running.request.claim.workspace)
    }

    fn is_lost(&self, now_ms: u64, upstream: &Name) -> bool {
        self.lost_until_ms.get(upstream).is_some_and(|until_ms| now_ms < *until_ms)
    }
}

impl Hub {
    pub(super) fn on_begin(&mut self, wanted: &Wanted, reply: ReplySender<Begun>) {
        match self.judge(wanted) {
            Ok(request) => {
                self.retries.on_request();
                let patience_ms = self.patience_ms(&request.place);
                self.enqueue(request, patience_ms, reply);
            }
            Err(refusal) => self.refuse(&reply, refusal),
        }
    }

    fn enqueue(&mut self, request: Request, patience_ms: u64, reply: ReplySender<Begun>) {
        let deadline_ms = self.clock.now_ms() + patience_ms;
        match self.fair_queue.enqueue(request.claim.clone()) {
            EnqueueResult::LimitExceeded => self.refuse(&reply, Refusal::TooMany),
            EnqueueResult::Queued(wait) => {
                self.requests.waiting.insert(wait, Waiting { request, deadline_ms, reply });
                self.start_waiting();
            }
        }
    }

    /// A model's first token is due soon; a call of a service may wait longer.
    fn patience_ms(&self, place: &Place) -> u64 {
        match place {
            Place::Deployment(_) => self.config.settings.limits.queue_deadline_ms,
            Place::Service { .. } => self.config.settings.limits.service_deadline_ms,
        }
    }

    fn refuse(&self, reply: &ReplySender<Begun>, refusal: Refusal) {
        self.metrics.count(Count::Refused);
        send_reply(reply, Begun::Refused(refusal));
    }

    /// Starts waiting requests in fair order while there is a slot for them.
    fn start_waiting(&mut self) {
        loop {
            let startable = self.fair_queue.heads().into_iter().find_map(|wait| {
                let waiting = self.requests.waiting.get(&wait)?;
                self.pick(&waiting.request.place).map(|upstream| (wait, upstream))
            });
            let Some((wait, upstream)) = startable else { return };
            self.start(wait, &upstream);
        }
    }

    fn start(&mut self, wait: QueueId, upstream: &Upstream) {
        let Some(waiting) = self.requests.waiting.remove(&wait) else { return };
        self.fair_queue.start(wait);
        let id = self.requests.next_grant;
        self.requests.next_grant += 1;
        let is_idempotent = match &waiting.request.place {
            Place::Deployment(_) => true,
            Place::Service { is_idempotent, .. } => *is_idempotent,
        };
        let load = self.requests.by_upstream.entry(upstream.name.clone()).or_default();
        load.requests += 1;
        load.work += work_units(waiting.request.claim.cost_tokens);
        load.waiting_tokens += waiting.request.prompt_tokens;
        self.requests.last_used.insert(upstream.name.clone(), id + 1);
        let running = Running {
            request: waiting.request,
            upstream: upstream.name.clone(),
            waits_until_ms: Some(self.clock.now_ms() + FIRST_TOKEN_TARGET_MS),
        };
        self.requests.running.insert(id, running);
        self.metrics.count(Count::Admitted);
        let grant =
            Grant { id, upstream: upstream.name.clone(), address: upstream.address, is_idempotent };
        if waiting.reply.try_send(Begun::Granted(grant)).is_err() {
            self.on_end(id, Ending::Finished, Spent::default());
        }
    }

    fn pick(&self, place: &Place) -> Option<Upstream> {
        let (upstreams, deployment) = match place {
            Place::Deployment(name) => {
                let deployment = self.state.config.deployment(name)?;
                (&deployment.upstreams, Some(deployment))
            }
            Place::Service { service, .. } => {
                (&self.state.config.service(service)?.upstreams, None)
            }
        };
        let candidates: Vec<Candidate> =
            upstreams.iter().map(|upstream| self.candidate(upstream, deployment)).collect();
        pick_upstream(&candidates, fastrand::u64(..)).map(|index| upstreams[index].clone())
    }

    fn candidate(&self, upstream: &Upstream, deployment: Option<&Deployment>) -> Candidate {
        let now_ms = self.clock.now_ms();
        let own_domain = &self.config.settings.instance.failure_domain;
        let share = deployment.and_then(|deployment| {
            deployment.shares.iter().find(|share| share.failure_domain == upstream.failure_domain)
        });
        let own = self.requests.load_at(&upstream.name);
        Candidate {
            local_load_units: own.work,
            in_flight: own.requests + self.members.peer_load(&upstream.name),
            slots: upstream.slots,
            distance: if upstream.failure_domain == *own_domain {
                Distance::SameDomain
            } else {
                Distance::OtherRegion
            },
            accepts_work: !upstream.is_drained
                && !self.is_ordered(&upstream.name)
                && own.waiting_tokens < self.config.settings.limits.max_waiting_tokens
                && !self.requests.is_lost(now_ms, &upstream.name),
            domain_weight: share.map_or(1, |share| share.weight),
            prefix_hit_ratio: 0.0,
            last_used: self.requests.last_used.get(&upstream.name).copied().unwrap_or(0),
        }
    }

    fn take_running(&mut self, grant: u64, ending: Ending) -> Option<Running> {
        self.release_prompt(grant);
        let running = self.requests.running.remove(&grant)?;
        self.fair_queue.finish(&running.request.claim.workspace);
        if let Some(load) = self.requests.by_upstream.get_mut(&running.upstream) {
            load.requests = load.requests.saturating_sub(1);
            load.work = load.work.saturating_sub(work_units(running.request.claim.cost_tokens));
            if load.requests == 0 {
                self.requests.by_upstream.remove(&running.upstream);
            }
        }
        if ending != Ending::Finished {
            let until_ms = self.clock.now_ms() + LOST_UPSTREAM_MS;
            self.requests.lost_until_ms.insert(running.upstream.clone(), until_ms);
            Event::UpstreamLost
                .emit(&self.me.instance, format_args!("{} {ending:?}", running.upstream));
        }
        if ending == Ending::Lost {
            self.suspects.on_upstream_lost(running.request.digest, running.upstream.clone());
        }
        Some(running)
    }

    /// The prompt of a request no longer waits at its engine.
    fn release_prompt(&mut self, grant: u64) {
        let Some(running) = self.requests.running.get_mut(&grant) else { return };
        if running.waits_until_ms.take().is_none() {
            return;
        }
        if let Some(load) = self.requests.by_upstream.get_mut(&running.upstream) {
            load.waiting_tokens = load.waiting_tokens.saturating_sub(running.request.prompt_tokens);
        }
    }

    pub(super) fn on_first_token(&mut self, grant: u64) {
        self.release_prompt(grant);
        self.start_waiting();
    }

    pub(super) fn on_end(&mut self, grant: u64, ending: Ending, spent: Spent) {
        if let Some(running) = self.take_running(grant, ending) {
            self.count_usage(&running.request.claim.workspace, spent);
        }
        self.on_call_gone(grant);
        self.start_waiting();
    }

    /// Runs a request at another upstream, within the retry budget.
    pub(super) fn on_move(&mut self, grant: u64, ending: Ending, reply: ReplySender<Begun>) {
        let Some(running) = self.take_running(grant, ending) else {
            return self.refuse(&reply, Refusal::NoCapacity);
        };
        match ending {
            Ending::Lost => self.park(running, reply),
            Ending::Finished | Ending::Unreachable | Ending::Failed => {
                self.finish_move(running, ending, reply);
            }
        }
    }

    pub(super) fn finish_move(
        &mut self,
        running: Running,
        ending: Ending,
        reply: ReplySender<Begun>,
    ) {
        if let Some(refusal) = self.move_refusal(&running, ending) {
            self.refuse(&reply, refusal);
        } else {
            self.metrics.count(Count::Retried);
            // It has run in part: it waits as long as it may take at all.
            let patience_ms = self.config.settings.limits.request_deadline_ms;
            self.enqueue(running.request, patience_ms, reply);
        }
        self.start_waiting();
    }

    /// A try that sent nothing costs no upstream anything and is not charged to the budget.
    fn move_refusal(&mut self, running: &Running, ending: Ending) -> Option<Refusal> {
        if self.suspects.is_quarantined(&running.request.digest) {
            return Some(Refusal::Poison);
        }
        let is_allowed = ending == Ending::Unreachable || self.retries.try_acquire();
        (!is_allowed).then_some(Refusal::NoCapacity)
    }

    pub(super) fn tick_requests(&mut self, now_ms: u64) {
        let prefilled: Vec<u64> = self
            .requests
            .running
            .iter()
            .filter(|(_, running)| running.waits_until_ms.is_some_and(|until| now_ms >= until))
            .map(|(grant, _)| *grant)
            .collect();
        for grant in prefilled {
            self.release_prompt(grant);
        }
        let expired: Vec<QueueId> = self
            .requests
            .waiting
            .iter()
            .filter(|(_, waiting)| now_ms >= waiting.deadline_ms || waiting.reply.is_closed())
            .map(|(wait, _)| *wait)
            .collect();
        for wait in expired {
            self.fair_queue.withdraw(wait);
            if let Some(waiting) = self.requests.waiting.remove(&wait) {
                self.refuse(&waiting.reply, Refusal::NoCapacity);
            }
        }
        self.requests.lost_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.start_waiting();
    }
}
