//! Authorization, placement and retries of requests.

use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{
    Authorized, Denial, Load, Placement, PlacementRequest, Prompt, RetrySafety, Standing, Upstream,
    place,
};
use cowslip_name::Name;
use cowslip_poison::{Accused, LostUpstream, RequestDigest, SegmentId};

use super::hedging::HedgeLoad;
use super::quarantine::format_segments;
use super::{
    Assignment, AuthorizedRequest, Hub, Rejection, RetryReason, RouteQuery, UnplacedRequest,
};
use crate::events::{Event, event};
use crate::platform::Platform;

/// Most upstreams that are asked whether they meet a caller's condition.
const MAX_UNMET_ATTEMPTS: usize = 2;

/// Load that this instance itself puts on an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalLoad {
    /// Requests that were sent to the upstream and have not started there.
    pub(super) queued: u32,
    /// Prefills that the upstream runs for requests which another upstream serves.
    pub(super) active_prefills: u32,
}

/// A placed request, until its assignment ends.
#[derive(Debug)]
pub(super) struct PlacedRequest {
    pub(super) attempt_id: Arc<str>,
    pub(super) authorized: Authorized,
    pub(super) service: Arc<str>,
    /// The prompt of a request that may be hedged.
    pub(super) prompt: Option<Prompt>,
    pub(super) placed_at_ms: u64,
    pub(super) request_digest: RequestDigest,
    /// Ids of the prompt segments that other requests may share.
    pub(super) shared_segments: Arc<[SegmentId]>,
    /// Whether the request was sent although one of its segments is quarantined.
    pub(super) is_probe: bool,
    /// Upstream that runs the prefill, until the prefill ends.
    pub(super) prefill_upstream: Option<Arc<str>>,
    /// Number of upstreams that may have run a prefill.
    prefills: u32,
    /// Upstream that serves the request.
    pub(super) upstream: Arc<Upstream>,
    /// Upstreams that were chosen to serve the request.
    pub(super) tried: Vec<Arc<str>>,
    /// Number of upstreams that may have run the request, the current one included.
    pub(super) attempts: u32,
    /// The second send, once the first one was slow.
    pub(super) hedge: Option<HedgeLoad>,
    /// Whether the request counts as queued in the load of `upstream`.
    is_queued: bool,
    /// Whether the request was counted for its workspace's usage.
    is_counted: bool,
}

impl PlacedRequest {
    pub(super) fn accused(&self) -> Accused<'_> {
        Accused { request: self.request_digest, segments: &self.shared_segments }
    }
}

impl<P> Hub<P>
where
    P: Platform,
{
    pub(super) fn authorize(&self, query: &RouteQuery) -> Result<AuthorizedRequest, Rejection> {
        let config = self.declared_config.as_ref().ok_or(Rejection::NotReady)?;
        let key = query.key.as_deref();
        let authorized =
            config.authorize(&query.host, &query.path, key).map_err(|denial| match denial {
                Denial::NoRoute => Rejection::NoRoute { version: config.version },
                Denial::BadKey => Rejection::BadKey { version: config.version },
            })?;
        Ok(AuthorizedRequest { authorized, max_body_bytes: config.limits.max_body_bytes })
    }

    /// Checks a request before its allowance is charged. Returns whether it is a probe of the
    /// quarantine.
    pub(super) fn check(&mut self, unplaced: &UnplacedRequest) -> Result<bool, Rejection> {
        self.count_malformed_segments(unplaced);
        let now_ms = self.clock.now_ms();
        if self.is_stopping_for(now_ms, unplaced) {
            return Err(Rejection::Stopping);
        }
        let accused =
            Accused { request: unplaced.request_digest, segments: &unplaced.shared_segments };
        let is_quarantined = self.is_quarantined(&accused);
        if is_quarantined && !self.try_probe(&unplaced.attempt_id, &accused) {
            return Err(Rejection::Quarantined);
        }
        Ok(is_quarantined)
    }

    /// Returns whether a planned stop would cut the request off.
    pub(super) fn is_stopping_for(&self, now_ms: u64, unplaced: &UnplacedRequest) -> bool {
        self.stop.is_some_and(|schedule| !schedule.admits(now_ms, unplaced.deadline_ms))
    }

    /// Places a request that was checked and whose allowance was charged.
    pub(super) fn place(
        &mut self,
        unplaced: UnplacedRequest,
        is_probe: bool,
    ) -> Result<Assignment, Rejection> {
        let now_ms = self.clock.now_ms();
        let service = unplaced
            .authorized
            .route
            .pick_service(fastrand::u64(..))
            .ok_or(Rejection::NoUpstream)?
            .clone();
        self.retry_budget.on_request(now_ms, &service);
        let placement = self
            .pick_placement(&service, unplaced.request_digest, unplaced.prompt.as_ref(), None, &[])
            .ok_or_else(|| self.no_upstream(&service))?;
        let Placement { prefill_upstream, upstream } = placement;
        event!(
            Event::RequestPlaced,
            request = unplaced.attempt_id,
            workspace = unplaced.authorized.workspace.as_deref().unwrap_or(""),
            route = unplaced.authorized.route.name,
            reader = prefill_upstream.as_ref().map_or("", |up| &up.id),
            upstream = upstream.id,
            own_waiting = self.loads.get(&upstream.id).map_or(0, |load| load.queued),
            deployment = self.declared_config.as_ref().map_or(0, |config| config.version)
        );
        if let Some(prefill) = &prefill_upstream {
            self.loads.entry(prefill.id.clone()).or_default().active_prefills += 1;
        }
        self.loads.entry(upstream.id.clone()).or_default().queued += 1;
        let mut request = PlacedRequest {
            attempt_id: unplaced.attempt_id,
            authorized: unplaced.authorized,
            service,
            prompt: unplaced.prompt,
            placed_at_ms: now_ms,
            request_digest: unplaced.request_digest,
            shared_segments: unplaced.shared_segments,
            is_probe,
            prefill_upstream: prefill_upstream.as_ref().map(|up| up.id.clone()),
            prefills: u32::from(prefill_upstream.is_some()),
            tried: vec![upstream.id.clone()],
            upstream: upstream.clone(),
            attempts: 1,
            hedge: None,
            is_queued: true,
            is_counted: false,
        };
        let hedge_after_ms = self.hedge_delay_ms(&request);
        if !self.may_hedge(&request) {
            request.prompt = None;
        }
        self.in_flight.insert(unplaced.id, request);
        Ok(Assignment { prefill_upstream, upstream, hedge_after_ms })
    }

    /// Picks from a service's upstreams that accept work and were not tried, in the order of their
    /// [`Standing`].
    pub(super) fn pick_placement(
        &self,
        service: &str,
        digest: RequestDigest,
        prompt: Option<&Prompt>,
        preferred_domain: Option<&str>,
        tried: &[Arc<str>],
    ) -> Option<Placement> {
        let now_ms = self.clock.now_ms();
        let candidates: Vec<(&Arc<Upstream>, Standing)> = self
            .registry
            .eligible(now_ms, service)
            .filter(|up| !tried.contains(&up.id))
            .map(|up| (up, self.standing(now_ms, digest, up)))
            .collect();
        let request = PlacementRequest {
            prompt,
            may_disaggregate: tried.is_empty(),
            preferred_domain,
            tie_breaker: fastrand::u64(..),
        };
        Standing::place_by(|worst| {
            let usable: Vec<&Arc<Upstream>> = candidates
                .iter()
                .filter(|(_, standing)| *standing <= worst)
                .map(|(up, _)| *up)
                .collect();
            place(&request, &usable, &self.config.locality, |up| self.load(now_ms, up))
        })
    }

    /// Returns why no upstream of the service can be picked.
    pub(super) fn no_upstream(&self, service: &str) -> Rejection {
        let now_ms = self.clock.now_ms();
        let has_eligible = self.registry.eligible(now_ms, service).next().is_some();
        match self.registry.first_hold_end_ms(now_ms, service).filter(|_| !has_eligible) {
            Some(end_ms) => Rejection::AllHold { retry_after_ms: end_ms.saturating_sub(now_ms) },
            None => Rejection::NoUpstream,
        }
    }

    pub(super) fn load(&self, now_ms: u64, upstream: &Upstream) -> Load {
        let local = self.loads.get(&upstream.id).copied().unwrap_or_default();
        Load {
            queued: local.queued,
            active_prefills: local.active_prefills,
            failure_rate: self.health.failure_rate(&upstream.id),
            is_connected: self
                .pooled_until_ms
                .get(&upstream.id)
                .is_some_and(|until_ms| now_ms < *until_ms),
        }
    }

    pub(super) fn on_connection_pooled(&mut self, upstream: Arc<str>, keep_alive: Duration) {
        let now_ms = self.clock.now_ms();
        if !self.pooled_until_ms.contains_key(&upstream) {
            // Removing expired rows whenever an upstream is new keeps the map small.
            self.pooled_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        }
        let keep_alive_ms = u64::try_from(keep_alive.as_millis()).unwrap_or(u64::MAX);
        self.pooled_until_ms.insert(upstream, now_ms.saturating_add(keep_alive_ms));
    }

    pub(super) fn retry(
        &mut self,
        id: u64,
        reason: RetryReason,
    ) -> Result<Arc<Upstream>, Rejection> {
        let request = self.in_flight.get(&id).ok_or(Rejection::NoRetries)?;
        let now_ms = self.clock.now_ms();
        let max_attempts = request.authorized.route.max_attempts;
        let may_retry = match request.authorized.route.retry_safety {
            RetrySafety::Idempotent | RetrySafety::Stream { is_resumable: true } => true,
            RetrySafety::AtMostOnce | RetrySafety::Stream { is_resumable: false } => false,
        };
        // A condition that no upstream meets must not use up the retries of other callers.
        let is_exhausted = match reason {
            RetryReason::MayHaveRun => !may_retry || request.attempts >= max_attempts,
            RetryReason::Unmet => request.tried.len() >= MAX_UNMET_ATTEMPTS,
            RetryReason::NotArrived | RetryReason::NotRun => false,
        };
        if is_exhausted {
            return Err(Rejection::NoRetries);
        }
        if self.is_quarantined(&request.accused()) {
            return Err(Rejection::Quarantined);
        }
        let service = request.service.clone();
        let placement = self
            .pick_placement(&service, request.request_digest, None, None, &request.tried)
            .ok_or_else(|| self.no_upstream(&service))?;
        let instances = self.instances.count();
        if reason != RetryReason::NotArrived
            && !self.retry_budget.try_acquire(now_ms, &service, instances)
        {
            return Err(Rejection::NoRetries);
        }
        let upstream = placement.upstream;
        let Some(request) = self.in_flight.get_mut(&id) else { return Err(Rejection::NoRetries) };
        event!(
            Event::RequestReassigned,
            request = request.attempt_id,
            from = request.upstream.id,
            upstream = upstream.id,
            why = format_args!("{reason:?}"),
            runs = request.attempts
        );
        let previous = std::mem::replace(&mut request.upstream, upstream.clone());
        request.tried.push(upstream.id.clone());
        request.attempts += u32::from(reason == RetryReason::MayHaveRun);
        self.metrics.reassignments.inc();
        let was_queued = std::mem::replace(&mut request.is_queued, true);
        if was_queued {
            self.release_queued(&previous.id);
        }
        self.release_hedge(id);
        self.loads.entry(upstream.id.clone()).or_default().queued += 1;
        Ok(upstream)
    }

    /// Returns whether an upstream before the current one may have run the request.
    pub(super) fn may_have_run_before(&self, id: u64) -> bool {
        self.in_flight.get(&id).is_some_and(|request| request.attempts > 1)
    }

    /// Returns whether an upstream may have run a prefill for the request.
    pub(super) fn has_prefill(&self, id: u64) -> bool {
        self.in_flight.get(&id).is_some_and(|request| request.prefills > 0)
    }

    pub(super) fn acquire_retry(&mut self, id: u64) -> bool {
        let Some(request) = self.in_flight.get(&id) else { return false };
        let instances = self.instances.count();
        self.retry_budget.try_acquire(self.clock.now_ms(), &request.service, instances)
    }

    pub(super) fn on_request_started(&mut self, id: u64, upstream: &Arc<str>) {
        let window = self.window_times.window_of(self.cluster_ms());
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.is_counted, true)
            && let Some(workspace) = &request.authorized.workspace
        {
            self.starts.count(&self.starts_key, window, workspace);
        }
        // The other send of a hedged request goes on if this one ends with an error.
        if *upstream != request.upstream.id {
            self.release_hedge(id);
        } else if std::mem::replace(&mut request.is_queued, false) {
            self.release_queued(upstream);
        }
    }

    pub(super) fn on_request_ended(&mut self, id: u64) {
        self.release_hedge(id);
        let Some(request) = self.in_flight.remove(&id) else { return };
        if let Some(prefill_upstream) = &request.prefill_upstream {
            self.release_prefill(prefill_upstream);
        }
        if request.is_queued {
            self.release_queued(&request.upstream.id);
        }
    }

    /// Clears the request and its segments of earlier losses.
    pub(super) fn on_request_succeeded(&mut self, id: u64) {
        self.observe_time(id);
        let Some(request) = self.in_flight.get(&id) else { return };
        self.quarantine.on_success(self.clock.now_ms(), &request.accused());
        self.log_refusals();
    }

    /// Records the loss of an upstream. During a prefill no answer is generated from the segments, so
    /// it accuses the whole request only.
    pub(super) fn on_upstream_lost(&mut self, id: u64, upstream: &Arc<str>, started_at_ms: u64) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let is_serving = request.prefill_upstream.is_none();
        event!(
            Event::RequestSuspected,
            request = request.attempt_id,
            upstream = upstream,
            phase = if is_serving { "serve" } else { "prefill" },
            segments = format_segments(&request.shared_segments)
        );
        // An id that is not a valid name cannot be sent to peers, so its loss is only logged.
        let Ok(name) = Name::new(upstream) else { return };
        let segments = if is_serving { &request.shared_segments[..] } else { &[] };
        let accused = Accused { request: request.request_digest, segments };
        let lost = LostUpstream { name, started_at_ms };
        self.quarantine.on_upstream_lost(self.clock.now_ms(), &accused, &lost);
        self.log_refusals();
    }

    pub(super) fn release_queued(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.queued = load.queued.saturating_sub(1);
            if load.queued == 0 && load.active_prefills == 0 {
                self.loads.remove(id);
            }
        }
    }
}
