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

    /// The sums were not written: they are due again.
    pub fn on_write_failed(&mut self) {
        self.is_changed = true;
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
