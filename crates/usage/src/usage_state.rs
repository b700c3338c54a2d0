//! Usage applied from the log, divided into windows.

use std::collections::BTreeMap;

use cowslip_authority::Holder;

use crate::totals::UsageTotals;

/// Number of windows without a new batch after which the cursor of a writer is dropped: a day with
/// the default window of 60 s.
const REMEMBERED_WINDOWS: u64 = 1_440;

/// Position up to which the batches of one incarnation of an instance were applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WriterCursor {
    /// Number of the next batch; earlier ones were applied already.
    pub next_sequence: u64,
    /// Window that was open when the newest batch was applied.
    pub window: u64,
}

/// Usage as of an offset in the log.
///
/// A window's totals are all counts between the record that closed the window before it and the
/// record that closed it. So they are the same on every instance, and no later count changes them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageState {
    open_window: u64,
    open_totals: UsageTotals,
    /// Totals of the closed windows that the platform is not known to have.
    unreported: BTreeMap<u64, UsageTotals>,
    cursors: BTreeMap<Holder, WriterCursor>,
}

impl UsageState {
    /// Restores the state from the content of a snapshot.
    #[must_use]
    pub fn from_parts(
        open_window: u64,
        open_totals: UsageTotals,
        unreported: BTreeMap<u64, UsageTotals>,
        cursors: BTreeMap<Holder, WriterCursor>,
    ) -> Self {
        Self { open_window, open_totals, unreported, cursors }
    }

    /// Applies a batch to the open window; returns whether it counts. A batch that was applied
    /// before does not.
    pub fn apply_count(&mut self, writer: &Holder, sequence: u64, totals: &UsageTotals) -> bool {
        let window = self.open_window;
        let cursor =
            self.cursors.entry(writer.clone()).or_insert(WriterCursor { next_sequence: 0, window });
        if sequence < cursor.next_sequence {
            return false;
        }
        *cursor = WriterCursor { next_sequence: sequence + 1, window };
        self.open_totals.add_all(totals);
        true
    }

    /// Closes window `window` if it is the open one; returns whether the record counts.
    /// `is_current` is whether the record's writer held the term at the record's offset.
    pub fn apply_finalized(&mut self, is_current: bool, window: u64) -> bool {
        if !is_current || window != self.open_window {
            return false;
        }
        let totals = std::mem::take(&mut self.open_totals);
        self.unreported.insert(window, totals);
        self.open_window += 1;
        let open_window = self.open_window;
        self.cursors.retain(|_, cursor| cursor.window + REMEMBERED_WINDOWS > open_window);
        true
    }

    /// Records that the platform has received window `window`; returns whether the record counts.
    /// `is_current` is as in [`Self::apply_finalized`].
    pub fn apply_reported(&mut self, is_current: bool, window: u64) -> bool {
        is_current && self.unreported.remove(&window).is_some()
    }

    /// Returns the number of the open window.
    #[must_use]
    pub fn open_window(&self) -> u64 {
        self.open_window
    }

    /// Returns the totals of the open window so far.
    #[must_use]
    pub fn open_totals(&self) -> &UsageTotals {
        &self.open_totals
    }

    /// Returns the oldest closed window that the platform is not known to have.
    #[must_use]
    pub fn oldest_unreported(&self) -> Option<(u64, &UsageTotals)> {
        self.unreported.first_key_value().map(|(window, totals)| (*window, totals))
    }

    /// Returns all closed windows that the platform is not known to have, the oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = (u64, &UsageTotals)> {
        self.unreported.iter().map(|(window, totals)| (*window, totals))
    }

    /// Returns the incarnations of instances whose batches were applied, with their cursors.
    pub fn cursors(&self) -> impl Iterator<Item = (&Holder, &WriterCursor)> {
        self.cursors.iter()
    }
}
