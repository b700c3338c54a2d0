//! Disaggregated prefills, which end before their requests are served.

use std::sync::Arc;

use cowslip_fleet::Upstream;

use super::{Hub, Rejection};
use crate::events::{Event, event};
use crate::platform::Platform;

impl<P> Hub<P>
where
    P: Platform,
{
    /// Handles the end of a prefill, successful or not. A prefill may take longer than an engine
    /// takes to drain and leave, so another engine is picked if the assigned one no longer accepts
    /// work. A request that was quarantined meanwhile is rejected.
    pub(super) fn on_prefill_ended(
        &mut self,
        id: u64,
        has_succeeded: bool,
    ) -> Result<Arc<Upstream>, Rejection> {
        let now_ms = self.clock.now_ms();
        if has_succeeded {
            self.observe_time(id);
        }
        self.release_hedge(id);
        let request = self.in_flight.get_mut(&id).ok_or(Rejection::NoUpstream)?;
        let service = request.service.clone();
        let assigned = request.upstream.clone();
        let prefill_upstream = request.prefill_upstream.take();
        if let Some(prefill_upstream) = &prefill_upstream {
            self.release_prefill(prefill_upstream);
        }
        let Some(request) = self.in_flight.get(&id) else { return Err(Rejection::NoUpstream) };
        if !request.is_probe && self.is_quarantined(&request.accused()) {
            return Err(Rejection::Quarantined);
        }
        let is_assigned =
            |up: &Arc<Upstream>| up.id == assigned.id && up.started_at_ms == assigned.started_at_ms;
        if self.registry.eligible(now_ms, &service).any(is_assigned) {
            return Ok(assigned);
        }
        let preferred_domain = prefill_upstream
            .and_then(|id| self.registry.get(&id))
            .map(|up| up.failure_domain.clone());
        let digest = request.request_digest;
        let placement =
            self.pick_placement(&service, digest, None, preferred_domain.as_deref(), &[]);
        let chosen = placement.ok_or_else(|| self.no_upstream(&service))?.upstream;
        self.release_queued(&assigned.id);
        self.loads.entry(chosen.id.clone()).or_default().queued += 1;
        if let Some(request) = self.in_flight.get_mut(&id) {
            event!(
                Event::RequestReassigned,
                request = request.attempt_id,
                from = assigned.id,
                upstream = chosen.id,
                why = "the upstream stopped accepting work during the prefill",
                runs = request.attempts
            );
            request.tried = vec![chosen.id.clone()];
            request.upstream = chosen.clone();
        }
        Ok(chosen)
    }

    pub(super) fn release_prefill(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.active_prefills = load.active_prefills.saturating_sub(1);
        }
    }
}
