//! The fold of counts into windows.

use std::collections::BTreeMap;

use cowslip_authority::Holder;

use crate::totals::UsageTotals;

/// Windows after which a silent life of an instance is forgotten.
const REMEMBERED_WINDOWS: u64 = 1_440;

/// What is known of one life of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WriterCursor {
    /// Number of the next batch that counts.
    pub next_sequence: u64,
    /// Window that was open when the newest batch came.
    pub window: u64,
}

/// Usage as of a place in the log.
///
/// A window's figures are all counts between the record that fixed the window before it and the
/// one that fixed it. So they are the same for every reader, and no later count can change them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageState {
    open_window: u64,
    open: UsageTotals,
    unreported: BTreeMap<u64, UsageTotals>,
    seen: BTreeMap<Holder, WriterCursor>,
}

impl UsageState {
    /// Restores a fold from the content of a snapshot.
    #[must_use]
    pub fn from_parts(
        open_window: u64,
        open: UsageTotals,
        unreported: BTreeMap<u64, UsageTotals>,
        seen: BTreeMap<Holder, WriterCursor>,
    ) -> Self {
        Self { open_window, open, unreported, seen }
    }

    /// Applies a batch; returns whether it counts. A repeated batch does not.
    pub fn apply_count(&mut self, writer: &Holder, sequence: u64, figures: &UsageTotals) -> bool {
        let window = self.open_window;
        let seen =
            self.seen.entry(writer.clone()).or_insert(WriterCursor { next_sequence: 0, window });
        if sequence < seen.next_sequence {
            return false;
        }
        *seen = WriterCursor { next_sequence: sequence + 1, window };
        self.open.add_all(figures);
        true
    }

    /// Closes the open window; returns whether the record counts. `is_current` tells whether its
    /// writer held the term at its place.
    pub fn apply_fixed(&mut self, is_current: bool, window: u64) -> bool {
        if !is_current || window != self.open_window {
            return false;
        }
        let figures = std::mem::take(&mut self.open);
        self.unreported.insert(window, figures);
        self.open_window += 1;
        let open_window = self.open_window;
        self.seen.retain(|_, seen| seen.window + REMEMBERED_WINDOWS > open_window);
        true
    }

    /// Notes that the platform has a window; returns whether the record counts.
    pub fn apply_reported(&mut self, is_current: bool, window: u64) -> bool {
        is_current && self.unreported.remove(&window).is_some()
    }

    /// Number of the open window.
    #[must_use]
    pub fn open_window(&self) -> u64 {
        self.open_window
    }

    /// Counts of the open window.
    #[must_use]
    pub fn open(&self) -> &UsageTotals {
        &self.open
    }

    /// The oldest window that the platform is not known to have.
    #[must_use]
    pub fn oldest_unreported(&self) -> Option<(u64, &UsageTotals)> {
        self.unreported.first_key_value().map(|(window, figures)| (*window, figures))
    }

    /// All fixed windows that the platform is not known to have.
    pub fn unreported(&self) -> impl Iterator<Item = (u64, &UsageTotals)> {
        self.unreported.iter().map(|(window, figures)| (*window, figures))
    }

    /// Lives of instances whose batches came.
    pub fn seen(&self) -> impl Iterator<Item = (&Holder, &WriterCursor)> {
        self.seen.iter()
    }
}
