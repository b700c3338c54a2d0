//! Requests that began to run, by windows of true time.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Starts of each workspace in one window.
pub type StartCounts = BTreeMap<Arc<str>, u64>;

/// Starts of one life of an instance, by window.
pub type StartWindows = BTreeMap<u64, StartCounts>;

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Window {
    rows: StartCounts,
    changed_at: u64,
}

/// Starts of this instance and of others that have told theirs, by the key of their records.
///
/// Sums are written and told whole, so one that is lost or comes twice changes nothing. Each
/// change has a number; what was written or told is a matter of the number up to which it was.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartCounters {
    entries: BTreeMap<Arc<str>, BTreeMap<u64, Window>>,
    version: u64,
    written: u64,
    taken: u64,
    has_failed: bool,
}

impl StartCounters {
    /// Counts a request that began to run in `window`.
    pub fn count(&mut self, key: &Arc<str>, window: u64, workspace: &Arc<str>) {
        self.version += 1;
        let counted = self.entries.entry(key.clone()).or_default().entry(window).or_default();
        counted.changed_at = self.version;
        *counted.rows.entry(workspace.clone()).or_default() += 1;
    }

    /// Takes another instance's sums. They only grow, so the larger ones are the newer.
    pub fn merge_peer(&mut self, key: &Arc<str>, told: &StartWindows) {
        let entry = self.entries.entry(key.clone()).or_default();
        for (window, rows) in told {
            let known = entry.entry(*window).or_default();
            for (workspace, starts) in rows {
                let sum = known.rows.entry(workspace.clone()).or_default();
                if *sum < *starts {
                    *sum = *starts;
                    self.version += 1;
                    known.changed_at = self.version;
                }
            }
        }
    }

    /// Forgets windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.entries.retain(|_, windows| {
            *windows = windows.split_off(&window);
            !windows.is_empty()
        });
    }

    /// Whole sums of each instance of which any changed since the last write.
    pub fn take_changed(&mut self) -> Vec<(Arc<str>, StartWindows)> {
        self.taken = self.version;
        let written = self.written;
        let is_changed =
            |windows: &BTreeMap<u64, Window>| windows.values().any(|one| one.changed_at > written);
        self.entries
            .iter()
            .filter(|(_, windows)| is_changed(windows))
            .map(|(key, windows)| (key.clone(), rows_after(windows, 0)))
            .collect()
    }

    /// The sums that were taken were written, or not: then they are due again.
    pub fn on_write(&mut self, is_written: bool) {
        self.has_failed = !is_written;
        if is_written {
            self.written = self.taken;
        }
    }

    /// Whether the newest write has failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Number of the newest change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Windows that changed after this change.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = (&Arc<str>, StartWindows)> {
        self.entries
            .iter()
            .map(move |(key, windows)| (key, rows_after(windows, change)))
            .filter(|(_, windows)| !windows.is_empty())
    }
}

fn rows_after(windows: &BTreeMap<u64, Window>, change: u64) -> StartWindows {
    windows
        .iter()
        .filter(|(_, window)| window.changed_at > change)
        .map(|(number, window)| (*number, window.rows.clone()))
        .collect()
}

/// Sums of one window over all instances' own sums.
#[must_use]
pub fn sum_window<'a, I>(window: u64, counters: I) -> StartCounts
where
    I: IntoIterator<Item = &'a StartWindows>,
{
    let mut sum = StartCounts::new();
    for rows in counters.into_iter().filter_map(|windows| windows.get(&window)) {
        for (workspace, starts) in rows {
            *sum.entry(workspace.clone()).or_default() += starts;
        }
    }
    sum
}

/// Takes the larger of two sums of one instance for each window and workspace: sums only grow, so
/// that is the newer one, whichever way it came.
pub fn merge_max(known: &mut StartWindows, other: &StartWindows) {
    for (window, rows) in other {
        let known = known.entry(*window).or_default();
        for (workspace, starts) in rows {
            let known = known.entry(workspace.clone()).or_default();
            *known = (*known).max(*starts);
        }
    }
}

/// Times of the windows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowTimes {
    /// Length of a window.
    pub window_ms: u64,
    /// How long after its end a window's figures are fixed, so that all sums are written by then.
    pub settle_ms: u64,
    /// How long after its end a window is still fixed, if that was missed.
    pub late_ms: u64,
}

impl WindowTimes {
    /// The window of a time.
    #[must_use]
    pub fn window_of(&self, true_ms: u64) -> u64 {
        true_ms / self.window_ms.max(1)
    }

    /// Windows whose figures are due to be fixed and reported.
    #[must_use]
    pub fn due(&self, true_ms: u64) -> std::ops::RangeInclusive<u64> {
        let settled = true_ms.saturating_sub(self.settle_ms) / self.window_ms.max(1);
        let late = true_ms.saturating_sub(self.late_ms).div_ceil(self.window_ms.max(1));
        // A window has ended when the next one is open, and `settled` itself is open.
        late.saturating_sub(1)..=settled.saturating_sub(1)
    }
}
