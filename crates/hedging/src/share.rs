//! Limits hedges to a share of the requests.

use std::collections::VecDeque;

/// Time whose requests and hedges are counted together, in milliseconds.
const SLOT_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Slot {
    index: u64,
    requests: u64,
    hedges: u64,
}

/// Requests and hedges of a sliding window. Every instance keeps to the share of its own requests, so
/// all instances together keep to it as well, whichever of them are lost or late.
#[derive(Clone, Debug)]
pub struct ShareWindow {
    slots: VecDeque<Slot>,
    window_slots: u64,
}

impl ShareWindow {
    /// Creates a window of this length, rounded up to whole seconds.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self { slots: VecDeque::new(), window_slots: window_ms.div_ceil(SLOT_MS).max(1) }
    }

    /// Counts a request that may be hedged.
    pub fn on_request(&mut self, now_ms: u64) {
        self.slot(now_ms).requests += 1;
    }

    /// Counts a hedge.
    pub fn on_hedge(&mut self, now_ms: u64) {
        self.slot(now_ms).hedges += 1;
    }

    /// Returns whether one more hedge keeps to `share`.
    pub fn has_room(&mut self, now_ms: u64, share: f64) -> bool {
        let newest = self.slot(now_ms).index;
        // The requests of the oldest slot may be outside of the window, its hedges inside.
        let requests: u64 = self
            .slots
            .iter()
            .filter(|slot| slot.index + self.window_slots > newest)
            .map(|slot| slot.requests)
            .sum();
        let hedges: u64 = self.slots.iter().map(|slot| slot.hedges).sum();
        (hedges + 1) as f64 <= share * requests as f64
    }

    fn slot(&mut self, now_ms: u64) -> &mut Slot {
        let index = now_ms / SLOT_MS;
        let window_slots = self.window_slots;
        while self.slots.front().is_some_and(|slot| slot.index + window_slots < index) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.index < index) {
            self.slots.push_back(Slot { index, requests: 0, hedges: 0 });
        }
        let newest = self.slots.len() - 1;
        &mut self.slots[newest]
    }
}
