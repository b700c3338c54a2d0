//! Requests that may crash upstreams.

use std::collections::BTreeMap;

use cowslip_clock::unix_ms;
use cowslip_codec::suspect_from_proto;
use cowslip_name::Name;
use cowslip_poison::{Accused, LostUpstream, RequestDigest, SuspectLimits};
use cowslip_proto as proto;

use super::Hub;
use super::requests::UPSTREAM_BACKOFF_MS;

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

/// Time after a loss in which an upstream counts as lost together with it. It gets no requests for as
/// long, so a later loss is that of an upstream which has returned.
const SAME_LOSS_MS: u64 = UPSTREAM_BACKOFF_MS;

/// Incarnations of upstreams, whose entries name no start.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    by_upstream: BTreeMap<Name, Incarnation>,
}

/// The newest known incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    /// Unix milliseconds, 0 for the first one.
    started_at_ms: u64,
    /// Local clock time of its loss, in milliseconds.
    lost_at_ms: u64,
}

impl Incarnations {
    /// Records a loss and returns the incarnation that was lost.
    fn on_lost(&mut self, now_ms: u64, upstream: &Name) -> LostUpstream {
        let first = Incarnation { started_at_ms: 0, lost_at_ms: now_ms };
        let incarnation = self.by_upstream.entry(upstream.clone()).or_insert(first);
        if now_ms.saturating_sub(incarnation.lost_at_ms) >= SAME_LOSS_MS {
            *incarnation = Incarnation { started_at_ms: unix_ms(), lost_at_ms: now_ms };
        }
        LostUpstream { name: upstream.clone(), started_at_ms: incarnation.started_at_ms }
    }

    /// Records a loss that a peer reports.
    fn on_reported(&mut self, now_ms: u64, lost: &LostUpstream, age_ms: u64) {
        let reported = Incarnation {
            started_at_ms: lost.started_at_ms,
            lost_at_ms: now_ms.saturating_sub(age_ms),
        };
        let incarnation = self.by_upstream.entry(lost.name.clone()).or_insert(reported);
        if reported.started_at_ms > incarnation.started_at_ms {
            *incarnation = reported;
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
        let lost = self.incarnations.on_lost(self.clock.now_ms(), upstream);
        let accused = Accused { request: digest, segments: &[] };
        self.quarantine.on_upstream_lost(self.clock.now_ms(), &accused, &lost);
    }

    /// Applies the suspects that a peer knows.
    pub(super) fn on_suspects(&mut self, suspects: &[proto::Suspect]) {
        // A malformed suspect names no request.
        let reports = suspects.iter().filter_map(|suspect| suspect_from_proto(suspect, 0).ok());
        let reports: Vec<_> = reports.collect();
        let now_ms = self.clock.now_ms();
        for (lost, age_ms) in reports.iter().flat_map(|report| &report.losses) {
            self.incarnations.on_reported(now_ms, lost, *age_ms);
        }
        self.quarantine.on_reports(now_ms, reports);
    }

    /// Records that an upstream sent a complete response to a request, which clears it.
    pub(super) fn on_response(&mut self, digest: RequestDigest) {
        let accused = Accused { request: digest, segments: &[] };
        self.quarantine.on_success(self.clock.now_ms(), &accused);
    }
}
