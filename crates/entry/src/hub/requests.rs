//! Requests in the queue and in flight, and the choice of their upstreams.

use std::collections::BTreeMap;

use cowslip_config::{Deployment, Upstream};
use cowslip_name::Name;
use cowslip_scheduling::{Candidate, Distance, EnqueueResult, QueueId, pick_upstream, work_units};

use super::authorization::{AuthorizedRequest, ResolvedRoute};
use super::{
    AcquireRequest, AcquireResult, AdmissionError, Grant, Hub, ReplySender, RequestUsage,
    UpstreamOutcome, send_reply,
};
use crate::events::Event;
use crate::metrics::Counter;

/// Time after which a prompt counts as prefilled even if no token arrived, as with responses that
/// are not streamed.
const FIRST_TOKEN_TARGET_MS: u64 = 490;
/// Time after a failure in which an upstream gets no new requests.
pub(super) const UPSTREAM_BACKOFF_MS: u64 = 1_000;

/// A queued request whose handler waits for an upstream.
#[derive(Debug)]
struct PendingAcquire {
    request: AuthorizedRequest,
    deadline_ms: u64,
    reply: ReplySender<AcquireResult>,
}

/// A request in flight at an upstream.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    request: AuthorizedRequest,
    upstream: Name,
    /// Time at which the prompt counts as prefilled even without a first token; `None` once it
    /// counts as prefilled.
    prefill_until_ms: Option<u64>,
}

/// Load of this instance on one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    requests: u32,
    work_units: u32,
    prefill_tokens: u64,
}

/// Queued requests, requests in flight and the load on each upstream.
#[derive(Debug, Default)]
pub(super) struct Requests {
    next_grant: u64,
    queued: BTreeMap<QueueId, PendingAcquire>,
    in_flight: BTreeMap<u64, InFlightRequest>,
    by_upstream: BTreeMap<Name, Load>,
    /// Per upstream, the newest grant plus one; an unused upstream counts as 0.
    last_used_sequence: BTreeMap<Name, u64>,
    backoff_until_ms: BTreeMap<Name, u64>,
}

impl Requests {
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
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
        self.in_flight.get(&grant).map(|in_flight| &in_flight.request.queue_entry.workspace)
    }

    fn is_backing_off(&self, now_ms: u64, upstream: &Name) -> bool {
        self.backoff_until_ms.get(upstream).is_some_and(|until_ms| now_ms < *until_ms)
    }
}

impl Hub {
    pub(super) fn acquire(&mut self, request: &AcquireRequest, reply: ReplySender<AcquireResult>) {
        match self.authorize_request(request) {
            Ok(request) => {
                self.retry_budget.on_request();
                let queue_timeout_ms = self.queue_timeout_ms(&request.route);
                self.enqueue(request, queue_timeout_ms, reply);
            }
            Err(error) => self.refuse(&reply, error),
        }
    }

    fn enqueue(
        &mut self,
        request: AuthorizedRequest,
        queue_timeout_ms: u64,
        reply: ReplySender<AcquireResult>,
    ) {
        let deadline_ms = self.clock.now_ms() + queue_timeout_ms;
        match self.fair_queue.enqueue(request.queue_entry.clone()) {
            EnqueueResult::LimitExceeded => self.refuse(&reply, AdmissionError::TooManyInFlight),
            EnqueueResult::Queued(queue_id) => {
                self.requests
                    .queued
                    .insert(queue_id, PendingAcquire { request, deadline_ms, reply });
                self.start_queued();
            }
        }
    }

    /// Returns the longest time in the queue. It is separate for models, whose first token is due
    /// soon, and for services.
    fn queue_timeout_ms(&self, route: &ResolvedRoute) -> u64 {
        match route {
            ResolvedRoute::Deployment(_) => self.config.settings.limits.queue_deadline_ms,
            ResolvedRoute::Service { .. } => self.config.settings.limits.service_deadline_ms,
        }
    }

    fn refuse(&self, reply: &ReplySender<AcquireResult>, error: AdmissionError) {
        self.metrics.increment(Counter::Refused);
        send_reply(reply, AcquireResult::Refused(error));
    }

    /// Starts queued requests in fair order while an upstream has a slot for them.
    fn start_queued(&mut self) {
        loop {
            let next = self.fair_queue.heads().into_iter().find_map(|queue_id| {
                let acquire = self.requests.queued.get(&queue_id)?;
                self.pick(&acquire.request.route).map(|upstream| (queue_id, upstream))
            });
            let Some((queue_id, upstream)) = next else { return };
            self.start(queue_id, &upstream);
        }
    }

    fn start(&mut self, queue_id: QueueId, upstream: &Upstream) {
        let Some(acquire) = self.requests.queued.remove(&queue_id) else { return };
        self.fair_queue.start(queue_id);
        let id = self.requests.next_grant;
        self.requests.next_grant += 1;
        let is_idempotent = match &acquire.request.route {
            ResolvedRoute::Deployment(_) => true,
            ResolvedRoute::Service { is_idempotent, .. } => *is_idempotent,
        };
        let load = self.requests.by_upstream.entry(upstream.name.clone()).or_default();
        load.requests += 1;
        load.work_units += work_units(acquire.request.queue_entry.cost_tokens);
        load.prefill_tokens += acquire.request.prompt_tokens;
        self.requests.last_used_sequence.insert(upstream.name.clone(), id + 1);
        let in_flight = InFlightRequest {
            request: acquire.request,
            upstream: upstream.name.clone(),
            prefill_until_ms: Some(self.clock.now_ms() + FIRST_TOKEN_TARGET_MS),
        };
        self.requests.in_flight.insert(id, in_flight);
        self.metrics.increment(Counter::Admitted);
        let grant =
            Grant { id, upstream: upstream.name.clone(), address: upstream.address, is_idempotent };
        if acquire.reply.try_send(AcquireResult::Granted(grant)).is_err() {
            self.release(id, UpstreamOutcome::Finished, RequestUsage::default());
        }
    }

    fn pick(&self, route: &ResolvedRoute) -> Option<Upstream> {
        let (upstreams, deployment) = match route {
            ResolvedRoute::Deployment(name) => {
                let deployment = self.state.config.deployment(name)?;
                (&deployment.upstreams, Some(deployment))
            }
            ResolvedRoute::Service { service, .. } => {
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
        let local_load = self.requests.load_at(&upstream.name);
        Candidate {
            local_load_units: local_load.work_units,
            in_flight: local_load.requests + self.members.peer_load(&upstream.name),
            slots: upstream.slots,
            distance: if upstream.failure_domain == *own_domain {
                Distance::SameDomain
            } else {
                Distance::OtherRegion
            },
            accepts_work: !upstream.is_drained
                && !self.has_open_order(&upstream.name)
                && local_load.prefill_tokens < self.config.settings.limits.max_waiting_tokens
                && !self.requests.is_backing_off(now_ms, &upstream.name),
            domain_weight: share.map_or(1, |share| share.weight),
            prefix_hit_ratio: 0.0,
            last_used_sequence: self
                .requests
                .last_used_sequence
                .get(&upstream.name)
                .copied()
                .unwrap_or(0),
        }
    }

    fn remove_in_flight(
        &mut self,
        grant: u64,
        outcome: UpstreamOutcome,
    ) -> Option<InFlightRequest> {
        self.mark_prefilled(grant);
        let in_flight = self.requests.in_flight.remove(&grant)?;
        self.fair_queue.finish(&in_flight.request.queue_entry.workspace);
        if let Some(load) = self.requests.by_upstream.get_mut(&in_flight.upstream) {
            load.requests = load.requests.saturating_sub(1);
            load.work_units = load
                .work_units
                .saturating_sub(work_units(in_flight.request.queue_entry.cost_tokens));
            if load.requests == 0 {
                self.requests.by_upstream.remove(&in_flight.upstream);
            }
        }
        if outcome != UpstreamOutcome::Finished {
            let until_ms = self.clock.now_ms() + UPSTREAM_BACKOFF_MS;
            self.requests.backoff_until_ms.insert(in_flight.upstream.clone(), until_ms);
            Event::UpstreamLost
                .emit(&self.own_id.instance, format_args!("{} {outcome:?}", in_flight.upstream));
        }
        if outcome == UpstreamOutcome::Lost {
            self.on_upstream_lost(in_flight.request.digest, &in_flight.upstream);
        }
        Some(in_flight)
    }

    /// Counts the prompt of a request as prefilled.
    fn mark_prefilled(&mut self, grant: u64) {
        let Some(in_flight) = self.requests.in_flight.get_mut(&grant) else { return };
        if in_flight.prefill_until_ms.take().is_none() {
            return;
        }
        if let Some(load) = self.requests.by_upstream.get_mut(&in_flight.upstream) {
            load.prefill_tokens =
                load.prefill_tokens.saturating_sub(in_flight.request.prompt_tokens);
        }
    }

    pub(super) fn on_first_token(&mut self, grant: u64) {
        self.mark_prefilled(grant);
        self.start_queued();
    }

    pub(super) fn release(&mut self, grant: u64, outcome: UpstreamOutcome, usage: RequestUsage) {
        if let Some(in_flight) = self.remove_in_flight(grant, outcome) {
            if outcome == UpstreamOutcome::Finished && usage.has_response {
                self.on_response(in_flight.request.digest);
            }
            self.count_usage(&in_flight.request.queue_entry.workspace, usage);
        }
        self.on_call_released(grant);
        self.start_queued();
    }

    /// Reassigns a request to another upstream, within the retry budget.
    pub(super) fn reassign(
        &mut self,
        grant: u64,
        outcome: UpstreamOutcome,
        reply: ReplySender<AcquireResult>,
    ) {
        let Some(in_flight) = self.remove_in_flight(grant, outcome) else {
            return self.refuse(&reply, AdmissionError::NoCapacity);
        };
        match outcome {
            UpstreamOutcome::Lost => self.hold_until_gossiped(in_flight, reply),
            UpstreamOutcome::Finished | UpstreamOutcome::Unreachable | UpstreamOutcome::Failed => {
                self.finish_reassign(in_flight, outcome, reply);
            }
        }
    }

    pub(super) fn finish_reassign(
        &mut self,
        in_flight: InFlightRequest,
        outcome: UpstreamOutcome,
        reply: ReplySender<AcquireResult>,
    ) {
        if let Some(error) = self.reassign_error(&in_flight, outcome) {
            self.refuse(&reply, error);
        } else {
            self.metrics.increment(Counter::Retried);
            // The request may have run in part, so it may stay queued for a full request deadline.
            let queue_timeout_ms = self.config.settings.limits.request_deadline_ms;
            self.enqueue(in_flight.request, queue_timeout_ms, reply);
        }
        self.start_queued();
    }

    /// Returns why a request may not be reassigned. An attempt that sent nothing costs no upstream
    /// any work and is not charged to the retry budget.
    fn reassign_error(
        &mut self,
        in_flight: &InFlightRequest,
        outcome: UpstreamOutcome,
    ) -> Option<AdmissionError> {
        if self.is_quarantined(&in_flight.request.digest) {
            return Some(AdmissionError::PoisonRequest);
        }
        let is_allowed = outcome == UpstreamOutcome::Unreachable || self.retry_budget.try_acquire();
        (!is_allowed).then_some(AdmissionError::NoCapacity)
    }

    pub(super) fn tick_requests(&mut self, now_ms: u64) {
        let prefilled: Vec<u64> = self
            .requests
            .in_flight
            .iter()
            .filter(|(_, in_flight)| {
                in_flight.prefill_until_ms.is_some_and(|until| now_ms >= until)
            })
            .map(|(grant, _)| *grant)
            .collect();
        for grant in prefilled {
            self.mark_prefilled(grant);
        }
        let expired: Vec<QueueId> = self
            .requests
            .queued
            .iter()
            .filter(|(_, acquire)| now_ms >= acquire.deadline_ms || acquire.reply.is_closed())
            .map(|(queue_id, _)| *queue_id)
            .collect();
        for queue_id in expired {
            self.fair_queue.withdraw(queue_id);
            if let Some(acquire) = self.requests.queued.remove(&queue_id) {
                self.refuse(&acquire.reply, AdmissionError::NoCapacity);
            }
        }
        self.requests.backoff_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.start_queued();
    }
}
