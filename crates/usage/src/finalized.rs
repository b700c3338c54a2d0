//! Counts of finalized usage windows, and which windows may still be finalized.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::starts::{StartCounts, WindowTimes};

/// Largest difference between two instances' estimates of the cluster time.
const CLOCK_SPREAD_MS: u64 = 500;

#[derive(Clone, Debug, Eq, PartialEq)]
struct FinalizedWindow {
    counts: StartCounts,
    /// Version at which the counts were inserted or replaced.
    changed_at: u64,
}

/// Counts of finalized windows by window number, as several instances know them.
///
/// A window is reported with its finalized counts. Those that are in the store replace others, since
/// a restore may have taken away counts that were never reported; of those that peers know, the first
/// stay. Each change increments a version; the version of the last message to a peer determines
/// which windows the peer lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FinalizedWindows {
    windows: BTreeMap<u64, FinalizedWindow>,
    version: u64,
}

impl FinalizedWindows {
    /// Inserts the counts of a window that a peer knows, unless the window has some.
    pub fn insert(&mut self, window: u64, counts: StartCounts) {
        if let Entry::Vacant(vacant) = self.windows.entry(window) {
            self.version += 1;
            vacant.insert(FinalizedWindow { counts, changed_at: self.version });
        }
    }

    /// Returns the counts of a window, `None` if it is not known to be finalized.
    #[must_use]
    pub fn get(&self, window: u64) -> Option<&StartCounts> {
        self.windows.get(&window).map(|finalized| &finalized.counts)
    }

    /// Sets the counts of a window that are in the store.
    pub fn set_stored(&mut self, window: u64, counts: StartCounts) {
        if self.get(window) != Some(&counts) {
            self.version += 1;
            self.windows.insert(window, FinalizedWindow { counts, changed_at: self.version });
        }
    }

    /// Returns the windows that changed after version `version`, in window order.
    pub fn changed_since(&self, version: u64) -> impl Iterator<Item = (u64, &StartCounts)> {
        self.windows
            .iter()
            .filter(move |(_, finalized)| finalized.changed_at > version)
            .map(|(window, finalized)| (*window, &finalized.counts))
    }

    /// Returns the version of the newest change, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the newest `count` windows in window order.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = (u64, &StartCounts)> {
        let skipped = self.windows.len().saturating_sub(count);
        self.windows.iter().skip(skipped).map(|(window, finalized)| (*window, &finalized.counts))
    }

    /// Drops all windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window);
    }
}

/// Whether a holder that does not know a window's finalized counts may finalize it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WindowStanding {
    /// No other counts were reported.
    Open,
    /// The window may have been finalized and reported with counts that nobody knows any more.
    MaybeReported,
}

/// Returns the standing of a window whose finalized counts the holder does not know.
///
/// `complete_since_ms` is the cluster time, in milliseconds since 1970, since which every finalized
/// window is known to the holder or in the store; 0 if there was no other time.
#[must_use]
pub fn window_standing(times: &WindowTimes, window: u64, complete_since_ms: u64) -> WindowStanding {
    let end_ms = window.saturating_add(1).saturating_mul(times.window_ms.max(1));
    let due_ms = end_ms.saturating_add(times.settle_ms);
    if complete_since_ms > 0 && due_ms <= complete_since_ms.saturating_add(CLOCK_SPREAD_MS) {
        WindowStanding::MaybeReported
    } else {
        WindowStanding::Open
    }
}
