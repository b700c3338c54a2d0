//! Decides which requests are refused because they may crash upstreams.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::ledger::{Ledger, SuspectChanges};
use crate::suspect::{
    Accused, LossTimes, LostUpstream, RequestDigest, SegmentId, Suspect, SuspectKey, SuspectLimits,
    SuspectReport, age_ms, local_ms, span_ms,
};

/// What a quarantine refuses.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// Requests with this digest.
    Request(RequestDigest),
    /// Requests with all of these prompt segments.
    Segments(Vec<SegmentId>),
}

impl Refusal {
    fn applies_to(&self, accused: &Accused<'_>) -> bool {
        match self {
            Self::Request(digest) => accused.request == *digest,
            Self::Segments(segments) => {
                segments.iter().all(|segment| accused.segments.contains(segment))
            }
        }
    }

    fn keys(&self) -> Vec<SuspectKey> {
        match self {
            Self::Request(digest) => vec![SuspectKey::Request(*digest)],
            Self::Segments(segments) => segments.iter().copied().map(SuspectKey::Segment).collect(),
        }
    }
}

/// Requests, and prompt segments, that may crash the upstreams which run them.
///
/// A loss accuses the request in flight and all of its shared segments; a success clears them. Of the
/// segments that the same losses accuse, those that have never succeeded are quarantined, or else
/// those with the most losses. Segments that the losses do not tell apart are refused together only,
/// so a request that has some of them is served, which tells them apart.
#[derive(Clone, Debug)]
pub struct Quarantine {
    limits: SuspectLimits,
    ledger: Ledger,
    refusals: BTreeSet<Refusal>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new(limits: SuspectLimits) -> Self {
        Self { limits, ledger: Ledger::new(limits), refusals: BTreeSet::new() }
    }

    /// Records that an upstream was lost while it ran a request.
    pub fn on_upstream_lost(
        &mut self,
        now_ms: u64,
        accused: &Accused<'_>,
        upstream: &LostUpstream,
    ) {
        for key in accused.keys() {
            self.ledger.insert_loss(key, upstream, local_ms(now_ms, 0));
        }
        self.update_refusals();
    }

    /// Records that an upstream served a request to its end.
    pub fn on_success(&mut self, now_ms: u64, accused: &Accused<'_>) {
        for key in accused.keys() {
            self.on_success_of(now_ms, key, 0);
        }
    }

    /// Records that a request with `key` succeeded `age_ms` ago, as an instance has observed.
    pub fn on_success_of(&mut self, now_ms: u64, key: SuspectKey, age_ms: u64) {
        if self.ledger.insert_success(now_ms, key, local_ms(now_ms, age_ms)) {
            self.update_refusals();
        }
    }

    /// Applies reports of a peer.
    pub fn on_reports<I>(&mut self, now_ms: u64, reports: I)
    where
        I: IntoIterator<Item = SuspectReport>,
    {
        for report in reports {
            self.ledger.insert_report(now_ms, &report);
        }
        self.update_refusals();
    }

    fn update_refusals(&mut self) {
        let mut segments: Vec<(SegmentId, &Suspect, bool)> = Vec::new();
        let mut refusals = BTreeSet::new();
        for (key, suspect) in self.ledger.grave() {
            let has_succeeded = self.ledger.has_succeeded(&key);
            match key {
                SuspectKey::Request(digest) => {
                    if !has_succeeded || self.is_spread(suspect.losses.values()) {
                        refusals.insert(Refusal::Request(digest));
                    }
                }
                SuspectKey::Segment(id) => segments.push((id, suspect, has_succeeded)),
            }
        }
        segments.sort_by_key(|(id, suspect, has_succeeded)| {
            (*has_succeeded, Reverse(suspect.losses.len()), *id)
        });
        let mut accounted: BTreeSet<&LostUpstream> = BTreeSet::new();
        // Losses that a segment without any success may yet account for.
        let mut reserved: BTreeSet<&LostUpstream> = BTreeSet::new();
        for (_, suspect, has_succeeded) in &segments {
            let open = suspect
                .losses
                .iter()
                .filter(|(upstream, _)| !accounted.contains(upstream))
                .filter(|(upstream, _)| !(*has_succeeded && reserved.contains(upstream)))
                .map(|(_, times)| times);
            if open.clone().count() < self.limits.losses {
                continue;
            }
            if !self.is_spread(open) {
                if !has_succeeded {
                    reserved.extend(suspect.losses.keys());
                }
                continue;
            }
            let has_same_evidence = |(_, other, has_other_succeeded): &&(_, &Suspect, bool)| {
                has_other_succeeded == has_succeeded
                    && other.losses.keys().eq(suspect.losses.keys())
            };
            let group = segments.iter().filter(has_same_evidence).map(|(id, ..)| *id).collect();
            refusals.insert(Refusal::Segments(group));
            accounted.extend(suspect.losses.keys());
        }
        self.refusals = refusals;
    }

    /// Returns whether the losses are too far apart for a common cause other than a request.
    fn is_spread<'a, I>(&self, losses: I) -> bool
    where
        I: Iterator<Item = &'a LossTimes> + Clone,
    {
        span_ms(losses) >= self.limits.min_span_ms
    }

    /// Returns the refusal that applies to a request, so that no upstream may run it.
    #[must_use]
    pub fn refusal(&self, now_ms: u64, accused: &Accused<'_>) -> Option<&Refusal> {
        self.applying(accused).find(|refusal| self.is_in_force(now_ms, refusal))
    }

    /// Returns the refusals that apply to a request, in force or not.
    fn applying(&self, accused: &Accused<'_>) -> impl Iterator<Item = &Refusal> {
        let of_request = self.refusals.get(&Refusal::Request(accused.request));
        // Refusals by segments are ordered after all others.
        let by_segments = self.refusals.range(Refusal::Segments(Vec::new())..);
        of_request.into_iter().chain(by_segments.filter(|refusal| refusal.applies_to(accused)))
    }

    fn is_in_force(&self, now_ms: u64, refusal: &Refusal) -> bool {
        let is_recent =
            |suspect: &Suspect| age_ms(now_ms, suspect.newest_ms()) < self.limits.hold_ms;
        refusal.keys().iter().all(|key| self.ledger.get(key).is_some_and(is_recent))
    }

    /// Returns whether a quarantined request may be sent as a probe, which clears it if it succeeds,
    /// and records the probe. Only one instance may probe, or each of them would lose an upstream.
    pub fn try_probe(&mut self, now_ms: u64, accused: &Accused<'_>) -> bool {
        let probe_after_ms = self.limits.probe_after_ms;
        let keys: Vec<SuspectKey> = self.applying(accused).flat_map(Refusal::keys).collect();
        let is_due = |key: &SuspectKey| {
            let suspect = self.ledger.get(key);
            suspect.is_some_and(|suspect| suspect.is_probe_due(now_ms, probe_after_ms))
        };
        if keys.is_empty() || !keys.iter().all(is_due) {
            return false;
        }
        for key in keys {
            if let Some(suspect) = self.ledger.get_mut(&key) {
                suspect.on_probe(now_ms);
            }
        }
        true
    }

    /// Returns the upstreams that were lost with a request since its last success.
    pub fn lost_upstreams(&self, request: RequestDigest) -> impl Iterator<Item = &LostUpstream> {
        let suspect = self.ledger.get(&SuspectKey::Request(request));
        suspect.into_iter().flat_map(|suspect| suspect.losses.keys())
    }

    /// Returns the refusals, including those whose time has passed and that a further loss would
    /// put into force again.
    #[must_use]
    pub fn refusals(&self) -> &BTreeSet<Refusal> {
        &self.refusals
    }

    /// Returns reports of all that the refusals are based on.
    #[must_use]
    pub fn refusal_reports(&self, now_ms: u64) -> Vec<SuspectReport> {
        let keys: BTreeSet<SuspectKey> = self.refusals.iter().flat_map(Refusal::keys).collect();
        keys.into_iter().filter_map(|key| self.ledger.report(now_ms, key)).collect()
    }

    /// Returns at most `max_reports` reports, those with the most losses and the newest first.
    #[must_use]
    pub fn gravest_reports(&self, now_ms: u64, max_reports: usize) -> Vec<SuspectReport> {
        self.ledger.gravest_reports(now_ms, max_reports)
    }

    /// Returns the version of the newest change, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.ledger.version()
    }

    /// Returns at most `max_changes` changes after version `version`, the oldest first.
    #[must_use]
    pub fn changes_since(&self, now_ms: u64, version: u64, max_changes: usize) -> SuspectChanges {
        self.ledger.changes_since(now_ms, version, max_changes)
    }
}
