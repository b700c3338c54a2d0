//! Requests that began to run, by windows of true time.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Starts of each workspace in one window.
pub type StartRows = BTreeMap<Arc<str>, u64>;

/// One instance's own starts. Sums are written whole each time, so a write that is lost or
/// repeated changes nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartCounter {
    windows: BTreeMap<u64, StartRows>,
    is_changed: bool,
    is_unwritten: bool,
}

impl StartCounter {
    /// Counts a request that began to run in `window`.
    pub fn count(&mut self, window: u64, workspace: &Arc<str>) {
        *self.windows.entry(window).or_default().entry(workspace.clone()).or_default() += 1;
        self.is_changed = true;
    }

    /// Forgets windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window);
    }

    /// All sums, if any changed since they were last taken.
    pub fn take_changed(&mut self) -> Option<&BTreeMap<u64, StartRows>> {
        std::mem::take(&mut self.is_changed).then_some(&self.windows)
    }

    /// The sums that were taken were written, or not: then they are due again.
    pub fn on_write(&mut self, is_written: bool) {
        self.is_changed |= !is_written;
        self.is_unwritten = !is_written;
    }

    /// All sums while the newest write of them has failed.
    #[must_use]
    pub fn unwritten(&self) -> Option<&BTreeMap<u64, StartRows>> {
        self.is_unwritten.then_some(&self.windows)
    }
}

/// Sums of one window over all instances' own sums.
#[must_use]
pub fn total<'a, I>(window: u64, counters: I) -> StartRows
where
    I: IntoIterator<Item = &'a BTreeMap<u64, StartRows>>,
{
    let mut sum = StartRows::new();
    for rows in counters.into_iter().filter_map(|windows| windows.get(&window)) {
        for (workspace, starts) in rows {
            *sum.entry(workspace.clone()).or_default() += starts;
        }
    }
    sum
}

/// Takes the larger of two sums of one instance for each window and workspace: sums only grow, so
/// that is the newer one, whichever way it came.
pub fn merge(known: &mut BTreeMap<u64, StartRows>, other: &BTreeMap<u64, StartRows>) {
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
