//! Second sends of requests whose first upstream is slow.

use std::sync::Arc;

use cowslip_fleet::{Failure, Placement, PlacementRequest, RetrySafety, Standing, Upstream, place};
use cowslip_hedging::{FailedSend, Part, SecondUpstream, SlowSend};

use super::Hub;
use super::requests::PlacedRequest;
use crate::events::{Event, event};
use crate::platform::Platform;

/// What a second send adds to the load of its upstream.
#[derive(Clone, Debug)]
pub(super) enum HedgeLoad {
    Queued(Arc<str>),
    Prefill(Arc<str>),
    /// It no longer does.
    Released,
}

impl PlacedRequest {
    /// Returns the part of the request that is now sent and may be sent twice. A stream must not run
    /// twice at the same time, so only its prefill may.
    fn repeatable_part(&self) -> Option<Part> {
        match self.authorized.route.retry_safety {
            RetrySafety::Idempotent => Some(Part::Request),
            RetrySafety::Stream { .. } if self.prefill_upstream.is_some() => {
                let tokens = self.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
                Some(Part::Prefill { tokens })
            }
            RetrySafety::Stream { .. } | RetrySafety::AtMostOnce => None,
        }
    }

    /// Returns the upstream that a part was sent to first.
    fn first_upstream(&self, part: Part) -> &Arc<str> {
        let prefill_upstream = match part {
            Part::Request => None,
            Part::Prefill { .. } => self.prefill_upstream.as_ref(),
        };
        prefill_upstream.unwrap_or(&self.upstream.id)
    }
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Returns whether the request may be sent to a second upstream.
    pub(super) fn may_hedge(&self, request: &PlacedRequest) -> bool {
        request.repeatable_part().is_some_and(|part| self.hedging.includes(part))
    }

    /// Returns the time after which the first send of a request counts as slow.
    pub(super) fn hedge_delay_ms(&mut self, request: &PlacedRequest) -> Option<u64> {
        let part = request.repeatable_part().filter(|_| !request.is_probe)?;
        let (service, route) = (&request.service, &request.authorized.route.name);
        self.hedging.on_sent(request.placed_at_ms, service, route, part)
    }

    /// Records the response time of a request that was not sent again after a failure.
    pub(super) fn observe_time(&mut self, id: u64) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let Some(part) = request.repeatable_part() else { return };
        if request.tried.len() > 1 + usize::from(request.hedge.is_some()) {
            return;
        }
        let time_ms = self.clock.now_ms().saturating_sub(request.placed_at_ms);
        self.hedging.on_time(&request.service, &request.authorized.route.name, part, time_ms);
    }

    /// Picks a second upstream for a request whose first one is slow, if it may be sent again.
    pub(super) fn hedge(&mut self, id: u64) -> Option<Arc<Upstream>> {
        let now_ms = self.clock.now_ms();
        let request = self.in_flight.get(&id).filter(|request| request.hedge.is_none())?;
        let part = request.repeatable_part()?;
        let second = self.second_upstream(now_ms, request, part);
        let is_suspected = request.is_probe
            || self.is_quarantined(&request.accused())
            || self.quarantine.lost_upstreams(request.request_digest).next().is_some();
        let send = SlowSend {
            service: &request.service,
            part,
            is_repeatable: true,
            is_suspected,
            attempts: request.attempts,
            max_attempts: request.authorized.route.max_attempts,
            second: second.as_ref().map_or(SecondUpstream::Missing, |second| {
                let load = self.load(now_ms, second);
                if load.queued + load.active_prefills == 0 {
                    SecondUpstream::Free
                } else {
                    SecondUpstream::Busy
                }
            }),
        };
        let instances = self.instances.count();
        let acquire_retry =
            || self.retry_budget.try_acquire_hedge(now_ms, &request.service, instances);
        if let Err(withheld) = self.hedging.try_hedge(now_ms, &send, acquire_retry) {
            self.metrics.hedges_withheld.with_label_values(&[withheld.label()]).inc();
            return None;
        }
        let second = second?;
        event!(
            Event::RequestHedged,
            request = request.attempt_id,
            part = format_args!("{part:?}"),
            from = request.first_upstream(part),
            upstream = second.id,
            waited_ms = now_ms.saturating_sub(request.placed_at_ms),
            attempts = request.attempts,
            instances = instances
        );
        self.metrics.hedges.with_label_values(&["sent"]).inc();
        let request = self.in_flight.get_mut(&id)?;
        let load = self.loads.entry(second.id.clone()).or_default();
        request.attempts += 1;
        request.hedge = Some(match part {
            Part::Request => {
                request.tried.push(second.id.clone());
                load.queued += 1;
                HedgeLoad::Queued(second.id.clone())
            }
            Part::Prefill { .. } => {
                load.active_prefills += 1;
                HedgeLoad::Prefill(second.id.clone())
            }
        });
        Some(second)
    }

    /// Picks by the usual placement, among the upstreams that nothing speaks against.
    fn second_upstream(
        &self,
        now_ms: u64,
        request: &PlacedRequest,
        part: Part,
    ) -> Option<Arc<Upstream>> {
        let first = request.first_upstream(part);
        let candidates: Vec<&Arc<Upstream>> = self
            .registry
            .eligible(now_ms, &request.service)
            .filter(|up| up.id != *first)
            .filter(|up| self.standing(now_ms, request.request_digest, up) == Standing::Sound)
            .collect();
        let placement_request = PlacementRequest {
            prompt: request.prompt.as_ref(),
            may_disaggregate: part != Part::Request,
            preferred_domain: None,
            tie_breaker: fastrand::u64(..),
        };
        let load = |up: &Upstream| self.load(now_ms, up);
        let Placement { prefill_upstream, upstream } =
            place(&placement_request, &candidates, &self.config.locality, load)?;
        match part {
            Part::Request => Some(upstream),
            Part::Prefill { .. } => prefill_upstream,
        }
    }

    /// Releases the load of a second send, and returns the attempt of a send that was none.
    pub(super) fn on_hedged_send_failed(&mut self, id: u64, is_second: bool, failure: Failure) {
        if is_second {
            self.release_hedge(id);
        }
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(part) = request.repeatable_part() else { return };
        let failed = match failure {
            Failure::NotArrived => FailedSend::NotArrived,
            Failure::NotRun | Failure::Misdirected | Failure::Unmet => FailedSend::NotRun,
            Failure::Broken | Failure::Malformed | Failure::Spoilt | Failure::NoMemory => {
                FailedSend::MayHaveRun
            }
        };
        request.attempts = part.attempts_after(request.attempts, failed);
    }

    /// Releases the load of a second send.
    pub(super) fn release_hedge(&mut self, id: u64) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(hedge) = &mut request.hedge else { return };
        match std::mem::replace(hedge, HedgeLoad::Released) {
            HedgeLoad::Queued(upstream) => self.release_queued(&upstream),
            HedgeLoad::Prefill(upstream) => self.release_prefill(&upstream),
            HedgeLoad::Released => {}
        }
    }
}
