//! Counts of started requests in windows of cluster time.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of requests started in one window, by workspace.
pub type StartCounts = BTreeMap<Arc<str>, u64>;

/// Requests started by one incarnation of an instance, by window number.
pub type StartWindows = BTreeMap<u64, StartCounts>;

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Window {
    counts: StartCounts,
    /// Version of the newest change to `counts`.
    changed_at: u64,
}

/// Requests started by this instance and by peers that sent their counts, by record key. Each
/// incarnation of an instance has its own key.
///
/// Counts are written and sent as sums, not as increments, so a sum that is lost or arrives twice
/// does no harm. Each change increments a version; the version of the last write or message
/// determines which sums are due.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartCounters {
    entries: BTreeMap<Arc<str>, BTreeMap<u64, Window>>,
    version: u64,
    /// Version up to which all changes were written.
    written_version: u64,
    /// Version up to which changes were returned for the newest write.
    taken_version: u64,
    has_failed: bool,
}

impl StartCounters {
    /// Counts a request of `workspace` that started in `window`.
    pub fn count(&mut self, key: &Arc<str>, window: u64, workspace: &Arc<str>) {
        self.version += 1;
        let counted = self.entries.entry(key.clone()).or_default().entry(window).or_default();
        counted.changed_at = self.version;
        *counted.counts.entry(workspace.clone()).or_default() += 1;
    }

    /// Merges a peer's sums, taking the larger of each pair: sums only grow, so it is the newer
    /// one.
    pub fn merge_peer(&mut self, key: &Arc<str>, peer_windows: &StartWindows) {
        let entry = self.entries.entry(key.clone()).or_default();
        for (window, counts) in peer_windows {
            let merged = entry.entry(*window).or_default();
            for (workspace, starts) in counts {
                let sum = merged.counts.entry(workspace.clone()).or_default();
                if *sum < *starts {
                    *sum = *starts;
                    self.version += 1;
                    merged.changed_at = self.version;
                }
            }
        }
    }

    /// Drops all windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.entries.retain(|_, windows| {
            *windows = windows.split_off(&window);
            !windows.is_empty()
        });
    }

    /// Returns all sums of each record key for which any sum has changed since the last successful
    /// write.
    pub fn take_changed(&mut self) -> Vec<(Arc<str>, StartWindows)> {
        self.taken_version = self.version;
        let written_version = self.written_version;
        let is_changed = |windows: &BTreeMap<u64, Window>| {
            windows.values().any(|window| window.changed_at > written_version)
        };
        self.entries
            .iter()
            .filter(|(_, windows)| is_changed(windows))
            .map(|(key, windows)| (key.clone(), windows_since(windows, 0)))
            .collect()
    }

    /// Records whether the sums last returned by [`Self::take_changed`] were written. If not, they
    /// are returned again.
    pub fn on_write(&mut self, is_written: bool) {
        self.has_failed = !is_written;
        if is_written {
            self.written_version = self.taken_version;
        }
    }

    /// Makes all sums due to be written again, since earlier writes may be lost. That includes a write
    /// whose result is not known yet.
    pub fn rewrite(&mut self) {
        self.written_version = 0;
        self.taken_version = 0;
    }

    /// Returns whether the newest write failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns the version of the newest change, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version up to which all changes were written, 0 before the first write.
    #[must_use]
    pub fn written_version(&self) -> u64 {
        self.written_version
    }

    /// Returns the windows that changed after version `version`, by record key.
    pub fn changed_since(&self, version: u64) -> impl Iterator<Item = (&Arc<str>, StartWindows)> {
        self.entries
            .iter()
            .map(move |(key, windows)| (key, windows_since(windows, version)))
            .filter(|(_, windows)| !windows.is_empty())
    }

    /// Returns windows that changed after version `version`, those with the oldest changes first, and
    /// the version up to which a peer that receives them has all changes. Stops at the window with
    /// which the batch reaches `max_bytes`.
    #[must_use]
    pub fn batch_since(
        &self,
        version: u64,
        max_bytes: usize,
    ) -> (BTreeMap<Arc<str>, StartWindows>, u64) {
        let rows = self.entries.iter().flat_map(|(key, windows)| {
            windows.iter().map(move |(number, window)| (window.changed_at, key, *number, window))
        });
        let mut changed: Vec<_> = rows.filter(|(changed_at, ..)| *changed_at > version).collect();
        changed.sort_unstable_by_key(|(changed_at, ..)| *changed_at);
        let mut batch: BTreeMap<Arc<str>, StartWindows> = BTreeMap::new();
        let mut batch_bytes = 0;
        let mut sent_version = version;
        for (changed_at, key, number, window) in changed {
            if batch_bytes >= max_bytes {
                return (batch, sent_version);
            }
            batch_bytes += key.len() + window_bytes(window);
            batch.entry(key.clone()).or_default().insert(number, window.counts.clone());
            sent_version = changed_at;
        }
        (batch, self.version.max(version))
    }
}

fn window_bytes(window: &Window) -> usize {
    window.counts.keys().map(|workspace| workspace.len() + size_of::<u64>()).sum()
}

fn windows_since(windows: &BTreeMap<u64, Window>, version: u64) -> StartWindows {
    windows
        .iter()
        .filter(|(_, window)| window.changed_at > version)
        .map(|(number, window)| (*number, window.counts.clone()))
        .collect()
}

/// Sums one window over the counts of all incarnations.
#[must_use]
pub fn sum_window<'a, I>(window: u64, counters: I) -> StartCounts
where
    I: IntoIterator<Item = &'a StartWindows>,
{
    let mut sum = StartCounts::new();
    for counts in counters.into_iter().filter_map(|windows| windows.get(&window)) {
        for (workspace, starts) in counts {
            *sum.entry(workspace.clone()).or_default() += starts;
        }
    }
    sum
}

/// Merges two sets of sums of one incarnation by taking the larger sum of each window and
/// workspace: sums only grow, so the larger one is the newer one.
pub fn merge_max(known: &mut StartWindows, other: &StartWindows) {
    for (window, counts) in other {
        let known_counts = known.entry(*window).or_default();
        for (workspace, starts) in counts {
            let sum = known_counts.entry(workspace.clone()).or_default();
            *sum = (*sum).max(*starts);
        }
    }
}

/// Length of the windows of cluster time and the times of their reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowTimes {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after a window's end from which its sums are reported, in milliseconds. It leaves every
    /// instance time to write its sums.
    pub settle_ms: u64,
    /// Time after a window's end until which a missed report is still made, in milliseconds.
    pub late_ms: u64,
}

impl WindowTimes {
    /// Returns the number of the window that contains a cluster time.
    #[must_use]
    pub fn window_of(&self, cluster_ms: u64) -> u64 {
        cluster_ms / self.window_ms.max(1)
    }

    /// Returns the windows whose sums are due to be reported.
    #[must_use]
    pub fn due(&self, cluster_ms: u64) -> std::ops::RangeInclusive<u64> {
        let settled = cluster_ms.saturating_sub(self.settle_ms) / self.window_ms.max(1);
        let late = cluster_ms.saturating_sub(self.late_ms).div_ceil(self.window_ms.max(1));
        // Window `settled` was still open `settle_ms` ago, so the window before it is the newest
        // settled one.
        late.saturating_sub(1)..=settled.saturating_sub(1)
    }
}
