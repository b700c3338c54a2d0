//! Requests that may crash upstreams.

use std::collections::BTreeMap;

use cowslip_clock::unix_ms;
use cowslip_name::Name;
use cowslip_poison::{Accused, LostUpstream, RequestDigest, SuspectLimits};

use super::Hub;

/// Most requests remembered as suspects of crashing upstreams.
const MAX_SUSPECTS: usize = 4_096;
/// Time from the newest loss to the end of a quarantine; one further loss starts it again.
const QUARANTINE_MS: u64 = 600_000;
/// Shortest time between the losses that quarantine a request which has succeeded before: a failing
/// host or link breaks all of its connections within this time.
const MIN_LOSS_SPAN_MS: u64 = 500;

/// Returns the limits with a quarantine after `losses` lost upstreams. Nothing is probed here.
pub(super) fn suspect_limits(losses: usize) -> SuspectLimits {
    SuspectLimits {
        losses,
        min_span_ms: MIN_LOSS_SPAN_MS,
        hold_ms: QUARANTINE_MS,
        probe_after_ms: QUARANTINE_MS,
        capacity: MAX_SUSPECTS,
    }
}

/// Incarnations of upstreams by this instance's observation: one that completes a response after a
/// loss has started again.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    by_upstream: BTreeMap<Name, Incarnation>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Incarnation {
    started_at_ms: u64,
    is_lost: bool,
}

impl Incarnations {
    fn on_lost(&mut self, upstream: &Name) -> LostUpstream {
        let incarnation = self.by_upstream.entry(upstream.clone()).or_default();
        incarnation.is_lost = true;
        LostUpstream { name: upstream.clone(), started_at_ms: incarnation.started_at_ms }
    }

    fn on_response(&mut self, upstream: &Name, unix_ms: u64) {
        if let Some(incarnation) = self.by_upstream.get_mut(upstream)
            && std::mem::replace(&mut incarnation.is_lost, false)
        {
            incarnation.started_at_ms = unix_ms;
        }
    }
}

impl Hub {
    /// Returns whether upstreams were lost too often while they ran the request.
    pub(super) fn is_quarantined(&self, digest: &RequestDigest) -> bool {
        let accused = Accused { request: *digest, segments: &[] };
        self.quarantine.refusal(self.clock.now_ms(), &accused).is_some()
    }

    pub(super) fn on_upstream_lost(&mut self, digest: RequestDigest, upstream: &Name) {
        let lost = self.incarnations.on_lost(upstream);
        let accused = Accused { request: digest, segments: &[] };
        self.quarantine.on_upstream_lost(self.clock.now_ms(), &accused, &lost);
    }

    /// Records that an upstream sent a complete response to a request, which clears it.
    pub(super) fn on_response(&mut self, digest: RequestDigest, upstream: &Name) {
        self.incarnations.on_response(upstream, unix_ms());
        let accused = Accused { request: digest, segments: &[] };
        self.quarantine.on_success(self.clock.now_ms(), &accused);
    }
}
