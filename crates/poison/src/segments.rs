//! Prompt segments that requests had in common when upstreams were lost.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cowslip_name::Name;

/// Identifier of a prompt segment.
pub type SegmentId = u64;

/// Most losses that are kept for a segment; the oldest are dropped first.
const MAX_LOSSES: usize = 16;
/// Most probes that double the time to the next one.
const MAX_PROBE_DOUBLINGS: u32 = 5;
/// Number of remembered successes from which on those older than [`SUCCESS_TTL_MS`] are dropped.
const MAX_SUCCESSES: usize = 4_096;
/// Time after which a remembered success may be dropped, in milliseconds: longer than a report of an
/// earlier loss takes to arrive from any peer.
const SUCCESS_TTL_MS: u64 = 60_000;

/// An incarnation of an upstream that was lost.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LostUpstream {
    /// Name of the upstream; later incarnations may reuse it.
    pub name: Name,
    /// Start of the incarnation in Unix milliseconds, 0 if it is not known.
    pub started_at_ms: u64,
}

/// When segments are quarantined, and how many are kept.
#[derive(Clone, Copy, Debug)]
pub struct SegmentLimits {
    /// Number of lost upstreams at which a segment is quarantined.
    pub losses: usize,
    /// Shortest time between the first and the last of these losses, in milliseconds. Upstreams
    /// that are lost together have a common cause other than a request.
    pub min_span_ms: u64,
    /// Time from the newest loss to the end of the quarantine, in milliseconds.
    pub hold_ms: u64,
    /// Time from the newest loss to the first probe, in milliseconds. It doubles with each probe.
    pub probe_after_ms: u64,
    /// Maximum number of suspected segments.
    pub capacity: usize,
}

/// A time by the local clock in milliseconds; negative before the start of the instance, since peers
/// report what they have seen earlier.
type LocalMs = i64;

fn local_ms(now_ms: u64, age_ms: u64) -> LocalMs {
    now_ms.cast_signed().saturating_sub_unsigned(age_ms)
}

fn age_ms(now_ms: u64, at_ms: LocalMs) -> u64 {
    u64::try_from(now_ms.cast_signed().saturating_sub(at_ms)).unwrap_or(0)
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Highest position of the segment among a prompt's segments.
    position: u32,
    /// Time of each loss.
    losses: BTreeMap<LostUpstream, LocalMs>,
    /// Version of the newest change.
    changed_at: u64,
    /// Number of probes by this instance.
    probe_count: u32,
    /// Time of the newest probe.
    probed_at_ms: Option<LocalMs>,
}

impl Suspect {
    fn is_probe_due(&self, now_ms: u64, probe_after_ms: u64) -> bool {
        let since_ms = self.probed_at_ms.unwrap_or(LocalMs::MIN).max(self.newest_ms());
        age_ms(now_ms, since_ms) >= probe_after_ms << self.probe_count.min(MAX_PROBE_DOUBLINGS)
    }

    fn newest_ms(&self) -> LocalMs {
        self.losses.values().copied().max().unwrap_or(LocalMs::MIN)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.losses.iter().min_by_key(|(_, at_ms)| **at_ms);
        if let Some(upstream) = oldest.map(|(upstream, _)| upstream.clone()) {
            self.losses.remove(&upstream);
        }
    }
}

/// A suspected segment as peers report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentReport {
    /// The segment.
    pub segment: SegmentId,
    /// Highest position of the segment among a prompt's segments, from 0.
    pub position: u32,
    /// Upstreams lost since the last success, each with the age of its loss in milliseconds.
    pub losses: Vec<(LostUpstream, u64)>,
}

/// Prompt segments that may crash the upstreams which generate from them.
///
/// A loss counts for all shared segments of the requests in flight. Of the segments that the same
/// losses accuse, only the one with the most losses is quarantined, and a success clears all
/// segments of its request. Each change increments a version, so that a peer is sent only the
/// changes that it lacks.
#[derive(Clone, Debug)]
pub struct SegmentSuspects {
    limits: SegmentLimits,
    suspects: BTreeMap<SegmentId, Suspect>,
    /// Time of the newest known success by segment.
    successes: HashMap<SegmentId, LocalMs>,
    /// Successes that contradict a loss, with the version at which they became known.
    cleared: BTreeMap<SegmentId, u64>,
    quarantined: BTreeSet<SegmentId>,
    version: u64,
}

impl SegmentSuspects {
    /// Creates an empty set.
    #[must_use]
    pub fn new(limits: SegmentLimits) -> Self {
        Self {
            limits,
            suspects: BTreeMap::new(),
            successes: HashMap::new(),
            cleared: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            version: 0,
        }
    }

    /// Records that an upstream was lost while it served a request whose prompt has these shared
    /// segments, in their order.
    pub fn on_upstream_lost(
        &mut self,
        now_ms: u64,
        segments: &[SegmentId],
        upstream: &LostUpstream,
    ) {
        for (position, segment) in (0..).zip(segments) {
            self.insert(*segment, position, upstream, local_ms(now_ms, 0));
        }
        self.update_quarantine();
    }

    /// Applies reports of a peer.
    pub fn on_reports<I>(&mut self, now_ms: u64, reports: I)
    where
        I: IntoIterator<Item = SegmentReport>,
    {
        for report in reports {
            for (upstream, age_ms) in &report.losses {
                let at_ms = local_ms(now_ms, *age_ms);
                self.insert(report.segment, report.position, upstream, at_ms);
            }
        }
        self.update_quarantine();
    }

    fn insert(
        &mut self,
        segment: SegmentId,
        position: u32,
        upstream: &LostUpstream,
        at_ms: LocalMs,
    ) {
        if self.successes.get(&segment).is_some_and(|success_ms| *success_ms >= at_ms) {
            // Tells the peer that reported the loss.
            self.version += 1;
            self.cleared.insert(segment, self.version);
            return;
        }
        let suspect = self.suspects.entry(segment).or_default();
        suspect.position = suspect.position.max(position);
        if suspect.losses.contains_key(upstream) {
            return;
        }
        suspect.losses.insert(upstream.clone(), at_ms);
        if suspect.losses.len() > MAX_LOSSES {
            suspect.drop_oldest();
        }
        self.version += 1;
        suspect.changed_at = self.version;
        if self.suspects.len() > self.limits.capacity {
            self.evict();
        }
    }

    /// Drops the suspect with the oldest loss, a quarantined one only if there is no other.
    fn evict(&mut self) {
        let evicted = self
            .suspects
            .iter()
            .min_by_key(|(id, suspect)| (self.quarantined.contains(id), suspect.newest_ms()));
        if let Some(segment) = evicted.map(|(id, _)| *id) {
            self.suspects.remove(&segment);
        }
    }

    /// Records that an upstream served a request with these shared segments to its end, `age_ms` ago
    /// by this instance's or a peer's observation.
    pub fn on_success(&mut self, now_ms: u64, segments: &[SegmentId], age_ms: u64) {
        let at_ms = local_ms(now_ms, age_ms);
        let mut has_cleared = false;
        for segment in segments {
            let newest_ms = self.successes.entry(*segment).or_insert(at_ms);
            *newest_ms = at_ms.max(*newest_ms);
            let Some(suspect) = self.suspects.get_mut(segment) else { continue };
            let loss_count = suspect.losses.len();
            suspect.losses.retain(|_, loss_ms| *loss_ms > at_ms);
            if suspect.losses.len() == loss_count {
                continue;
            }
            if suspect.losses.is_empty() {
                self.suspects.remove(segment);
            }
            self.version += 1;
            self.cleared.insert(*segment, self.version);
            has_cleared = true;
        }
        if self.successes.len() > MAX_SUCCESSES {
            self.successes.retain(|_, at_ms| self::age_ms(now_ms, *at_ms) < SUCCESS_TTL_MS);
            self.cleared.retain(|segment, _| self.successes.contains_key(segment));
        }
        if has_cleared {
            self.update_quarantine();
        }
    }

    /// Quarantines the segments with enough losses that no segment with more losses accounts for.
    /// Among segments with the same losses it is the last of the prompt, which other prompts are
    /// least likely to share.
    fn update_quarantine(&mut self) {
        let mut candidates: Vec<(&SegmentId, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.losses.len() >= self.limits.losses)
            .collect();
        candidates.sort_by_key(|(id, suspect)| {
            std::cmp::Reverse((suspect.losses.len(), suspect.position, **id))
        });
        let mut accounted: BTreeSet<&LostUpstream> = BTreeSet::new();
        let mut quarantined = BTreeSet::new();
        for (id, suspect) in candidates {
            let open: Vec<LocalMs> = suspect
                .losses
                .iter()
                .filter(|(upstream, _)| !accounted.contains(upstream))
                .map(|(_, at_ms)| *at_ms)
                .collect();
            let span_ms = open
                .iter()
                .max()
                .zip(open.iter().min())
                .map_or(0, |(last, first)| last.abs_diff(*first));
            if open.len() >= self.limits.losses && span_ms >= self.limits.min_span_ms {
                quarantined.insert(*id);
                accounted.extend(suspect.losses.keys());
            }
        }
        self.quarantined = quarantined;
    }

    /// Returns the first of the segments that is quarantined, so that no upstream may serve a request
    /// with it.
    #[must_use]
    pub fn quarantined_segment(&self, now_ms: u64, segments: &[SegmentId]) -> Option<SegmentId> {
        segments.iter().copied().find(|segment| {
            self.quarantined.contains(segment)
                && self.suspects.get(segment).is_some_and(|suspect| {
                    age_ms(now_ms, suspect.newest_ms()) < self.limits.hold_ms
                })
        })
    }

    /// Returns whether a request with quarantined segments may be sent as a probe, which clears them if
    /// it succeeds, and records the probe. Only one instance may probe, or each of them would lose an
    /// upstream.
    pub fn try_probe(&mut self, now_ms: u64, segments: &[SegmentId]) -> bool {
        let quarantined = segments.iter().filter(|segment| self.quarantined.contains(segment));
        let quarantined: Vec<SegmentId> = quarantined.copied().collect();
        let probe_after_ms = self.limits.probe_after_ms;
        let is_due = |segment: &SegmentId| {
            let suspect = self.suspects.get(segment);
            suspect.is_some_and(|suspect| suspect.is_probe_due(now_ms, probe_after_ms))
        };
        if quarantined.is_empty() || !quarantined.iter().all(is_due) {
            return false;
        }
        for segment in quarantined {
            if let Some(suspect) = self.suspects.get_mut(&segment) {
                suspect.probe_count += 1;
                suspect.probed_at_ms = Some(local_ms(now_ms, 0));
            }
        }
        true
    }

    /// Returns the quarantined segments, including those whose time has passed and that a further
    /// loss would quarantine again.
    pub fn quarantined(&self) -> impl Iterator<Item = SegmentId> {
        self.quarantined.iter().copied()
    }

    /// Returns the version of the newest change, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the suspected segments that changed after version `version`, those with the most
    /// losses first.
    #[must_use]
    pub fn changed_since(&self, now_ms: u64, version: u64) -> Vec<SegmentReport> {
        let mut reports: Vec<SegmentReport> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.changed_at > version)
            .map(|(id, suspect)| SegmentReport {
                segment: *id,
                position: suspect.position,
                losses: suspect
                    .losses
                    .iter()
                    .map(|(upstream, at_ms)| (upstream.clone(), age_ms(now_ms, *at_ms)))
                    .collect(),
            })
            .collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.losses.len()));
        reports
    }

    /// Returns the segments cleared after version `version`, each with the age of its success in
    /// milliseconds.
    pub fn cleared_since(
        &self,
        now_ms: u64,
        version: u64,
    ) -> impl Iterator<Item = (SegmentId, u64)> {
        self.cleared.iter().filter(move |(_, changed_at)| **changed_at > version).filter_map(
            move |(segment, _)| {
                let at_ms = self.successes.get(segment)?;
                Some((*segment, age_ms(now_ms, *at_ms)))
            },
        )
    }
}
