//! Quantiles of recent response times.

use std::collections::VecDeque;

use num_traits::ToPrimitive;

/// Number of recent times that are kept.
const CAPACITY: usize = 256;

/// The newest response times of one kind of send.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    newest: VecDeque<u64>,
    sorted: Vec<u64>,
}

impl ResponseTimes {
    /// Adds a time; the oldest one is dropped if there are too many.
    pub fn insert(&mut self, time: u64) {
        if self.newest.len() >= CAPACITY
            && let Some(oldest) = self.newest.pop_front()
            && let Ok(index) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(index);
        }
        self.newest.push_back(time);
        let index = self.sorted.partition_point(|known| *known <= time);
        self.sorted.insert(index, time);
    }

    /// Returns the smallest time that at least the part `quantile` of the times do not exceed, or
    /// `None` if there are too few times to tell.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Option<u64> {
        let count = self.sorted.len();
        // At least one time is expected to exceed the quantile.
        let exceeded_by = (count as f64 * (1.0 - quantile)).to_usize().filter(|by| *by > 0)?;
        self.sorted.get(count.checked_sub(1 + exceeded_by)?).copied()
    }
}
