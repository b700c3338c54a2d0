//! Losses and successes by suspect, and their exchange between instances.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::suspect::{
    LocalMs, LossTimes, LostUpstream, Suspect, SuspectKey, SuspectLimits, SuspectReport, age_ms,
    local_ms,
};

/// Number of remembered successes from which on those older than [`SUCCESS_TTL_MS`] are dropped.
const MAX_SUCCESSES: usize = 4_096;
/// Time after which a remembered success may be dropped, in milliseconds: longer than a report of an
/// earlier loss takes to arrive from any peer.
const SUCCESS_TTL_MS: u64 = 60_000;

/// Changes for a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectChanges {
    /// Suspects that changed.
    pub reports: Vec<SuspectReport>,
    /// Keys whose losses a success contradicts, each with its age in milliseconds.
    pub cleared: Vec<(SuspectKey, u64)>,
    /// Version up to which the changes are complete.
    pub version: u64,
}

/// The suspects and the successes that contradict them. Each change increments a version, so that a
/// peer is sent only the changes that it lacks.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    limits: SuspectLimits,
    suspects: BTreeMap<SuspectKey, Suspect>,
    /// Suspects with as many losses as a quarantine takes.
    grave: BTreeSet<SuspectKey>,
    /// Time of the newest known success.
    successes: HashMap<SuspectKey, LocalMs>,
    /// Number of successes at which old ones are dropped next.
    prune_at: usize,
    /// Successes that contradict a loss, with the version at which they became known.
    cleared: BTreeMap<SuspectKey, u64>,
    version: u64,
}

impl Ledger {
    pub(crate) fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            suspects: BTreeMap::new(),
            grave: BTreeSet::new(),
            successes: HashMap::new(),
            prune_at: MAX_SUCCESSES,
            cleared: BTreeMap::new(),
            version: 0,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, key: &SuspectKey) -> Option<&Suspect> {
        self.suspects.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &SuspectKey) -> Option<&mut Suspect> {
        self.suspects.get_mut(key)
    }

    /// Returns the suspects with as many losses as a quarantine takes.
    pub(crate) fn grave(&self) -> impl Iterator<Item = (SuspectKey, &Suspect)> {
        self.grave.iter().filter_map(|key| Some((*key, self.suspects.get(key)?)))
    }

    pub(crate) fn has_succeeded(&self, key: &SuspectKey) -> bool {
        self.successes.contains_key(key)
    }

    /// Records a loss that this instance has observed.
    pub(crate) fn insert_loss(&mut self, key: SuspectKey, upstream: &LostUpstream, at_ms: LocalMs) {
        let known = self.suspects.get(&key).and_then(|suspect| suspect.losses.get(upstream));
        let times = known.map_or(LossTimes::once(at_ms), |known| LossTimes {
            span_ms: u64::try_from(at_ms.saturating_sub(known.first_ms)).unwrap_or(0),
            ..*known
        });
        self.insert_losses(key, upstream, times);
    }

    fn insert_losses(&mut self, key: SuspectKey, upstream: &LostUpstream, times: LossTimes) {
        let success_ms = self.successes.get(&key).copied().unwrap_or(LocalMs::MIN);
        let Some(times) = times.after(success_ms) else {
            // Tells the peer that reported the loss.
            self.version += 1;
            self.cleared.insert(key, self.version);
            return;
        };
        let suspect = self.suspects.entry(key).or_default();
        if !suspect.add_losses(upstream, times) {
            return;
        }
        self.version += 1;
        suspect.changed_at = self.version;
        if suspect.losses.len() >= self.limits.losses {
            self.grave.insert(key);
        }
        if self.suspects.len() > self.limits.capacity {
            self.evict();
        }
    }

    /// Drops the suspects with the oldest losses, an eighth of them, the grave ones last.
    fn evict(&mut self) {
        let mut by_age: Vec<(bool, LocalMs, SuspectKey)> = self
            .suspects
            .iter()
            .map(|(key, suspect)| (self.grave.contains(key), suspect.newest_ms(), *key))
            .collect();
        by_age.sort_unstable();
        let kept = self.limits.capacity - self.limits.capacity / 8;
        for (_, _, key) in &by_age[..by_age.len().saturating_sub(kept)] {
            self.suspects.remove(key);
            self.grave.remove(key);
        }
    }

    /// Records a success; returns whether it contradicts a loss.
    pub(crate) fn insert_success(&mut self, now_ms: u64, key: SuspectKey, at_ms: LocalMs) -> bool {
        let known_ms = self.successes.get(&key).copied();
        self.successes.insert(key, known_ms.map_or(at_ms, |known_ms| known_ms.max(at_ms)));
        if self.successes.len() > self.prune_at {
            self.prune_successes(now_ms);
        }
        let Some(suspect) = self.suspects.get_mut(&key) else { return false };
        let is_contradicted = suspect.losses.values().any(|times| times.first_ms <= at_ms);
        suspect.losses.retain(|_, times| {
            let left = times.after(at_ms);
            *times = left.unwrap_or(*times);
            left.is_some()
        });
        if !is_contradicted {
            if known_ms.is_none() {
                // That it has succeeded before counts when segments are compared.
                self.version += 1;
                suspect.changed_at = self.version;
            }
            return false;
        }
        if suspect.losses.len() < self.limits.losses {
            self.grave.remove(&key);
        }
        if suspect.losses.is_empty() {
            self.suspects.remove(&key);
        }
        self.version += 1;
        self.cleared.insert(key, self.version);
        true
    }

    fn prune_successes(&mut self, now_ms: u64) {
        let suspects = &self.suspects;
        self.successes.retain(|key, at_ms| {
            age_ms(now_ms, *at_ms) < SUCCESS_TTL_MS || suspects.contains_key(key)
        });
        self.cleared.retain(|key, _| self.successes.contains_key(key));
        self.prune_at = MAX_SUCCESSES.max(2 * self.successes.len());
    }

    /// Applies a peer's report.
    pub(crate) fn insert_report(&mut self, now_ms: u64, report: &SuspectReport) {
        let mut ages_ms: BTreeMap<&LostUpstream, (u64, u64)> = BTreeMap::new();
        for (upstream, age_ms) in &report.losses {
            let (oldest_ms, newest_ms) = ages_ms.entry(upstream).or_insert((*age_ms, *age_ms));
            *oldest_ms = (*oldest_ms).max(*age_ms);
            *newest_ms = (*newest_ms).min(*age_ms);
        }
        for (upstream, (oldest_ms, newest_ms)) in ages_ms {
            let first_ms = local_ms(now_ms, oldest_ms);
            let times = LossTimes { first_ms, span_ms: oldest_ms - newest_ms };
            self.insert_losses(report.key, upstream, times);
        }
        if let Some(age_ms) = report.success_age_ms {
            self.insert_success(now_ms, report.key, local_ms(now_ms, age_ms));
        }
    }

    pub(crate) fn report(&self, now_ms: u64, key: SuspectKey) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&key)?;
        let losses = suspect.losses.iter().flat_map(|(upstream, times)| {
            let first = Some((upstream.clone(), age_ms(now_ms, times.first_ms)));
            let newest = (upstream.clone(), age_ms(now_ms, times.newest_ms()));
            first.into_iter().chain(Some(newest).filter(|_| times.span_ms > 0))
        });
        Some(SuspectReport {
            key,
            losses: losses.collect(),
            success_age_ms: self.successes.get(&key).map(|at_ms| age_ms(now_ms, *at_ms)),
        })
    }

    /// Returns at most `max_reports` reports, those with the most losses and the newest first.
    pub(crate) fn gravest_reports(&self, now_ms: u64, max_reports: usize) -> Vec<SuspectReport> {
        let mut rows: Vec<(usize, u64, SuspectKey)> = self
            .suspects
            .iter()
            .map(|(key, suspect)| (suspect.losses.len(), suspect.changed_at, *key))
            .collect();
        rows.sort_unstable_by(|first, second| second.cmp(first));
        rows.truncate(max_reports);
        rows.into_iter().filter_map(|(_, _, key)| self.report(now_ms, key)).collect()
    }

    /// Returns at most `max_changes` changes after version `version`, the oldest first.
    pub(crate) fn changes_since(
        &self,
        now_ms: u64,
        version: u64,
        max_changes: usize,
    ) -> SuspectChanges {
        let changed = self.suspects.iter().map(|(key, suspect)| (suspect.changed_at, *key, false));
        let cleared = self.cleared.iter().map(|(key, changed_at)| (*changed_at, *key, true));
        let mut rows: Vec<(u64, SuspectKey, bool)> =
            changed.chain(cleared).filter(|(changed_at, ..)| *changed_at > version).collect();
        rows.sort_unstable();
        let is_complete = rows.len() <= max_changes;
        rows.truncate(max_changes);
        let last_version = rows.last().map_or(version, |(changed_at, ..)| *changed_at);
        let (cleared, changed): (Vec<_>, Vec<_>) =
            rows.into_iter().partition(|(_, _, is_cleared)| *is_cleared);
        let success_age = |key| Some((key, age_ms(now_ms, *self.successes.get(&key)?)));
        SuspectChanges {
            reports: changed
                .into_iter()
                .filter_map(|(_, key, _)| self.report(now_ms, key))
                .collect(),
            cleared: cleared.into_iter().filter_map(|(_, key, _)| success_age(key)).collect(),
            version: if is_complete { self.version } else { last_version },
        }
    }
}
