//! The time of day, agreed on by several machines.

/// A difference from the others that is not corrected: answers between regions take some of it.
const SLACK_MS: u64 = 150;
/// Others' newest estimates whose median counts.
const SAMPLES: usize = 9;

/// An estimate of the time of day that does not step with this machine's own.
///
/// It goes on from the time of day at the start by a clock that never steps. If the median of
/// others' estimates differs, this machine's time was wrong at the start and follows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClusterClock {
    /// Time of day when the steady clock was 0.
    zero_ms: u64,
    /// How far the newest estimates of others were ahead of this one.
    ahead_ms: Vec<i64>,
}

impl ClusterClock {
    /// Takes the time of day for true, for now.
    #[must_use]
    pub fn new(now_ms: u64, wall_ms: u64) -> Self {
        Self { zero_ms: wall_ms.saturating_sub(now_ms), ahead_ms: Vec::new() }
    }

    /// The estimate at a time of the steady clock.
    #[must_use]
    pub fn now_ms(&self, now_ms: u64) -> u64 {
        self.zero_ms + now_ms
    }

    /// Takes another machine's estimate.
    pub fn on_estimate(&mut self, now_ms: u64, other_ms: u64) {
        let own_ms = self.now_ms(now_ms);
        self.ahead_ms.push(other_ms.cast_signed().saturating_sub(own_ms.cast_signed()));
        if self.ahead_ms.len() < SAMPLES {
            return;
        }
        let mut sorted = std::mem::take(&mut self.ahead_ms);
        sorted.sort_unstable();
        let median = sorted[sorted.len() / 2];
        if median.unsigned_abs() > SLACK_MS {
            self.zero_ms = self.zero_ms.saturating_add_signed(median);
        }
    }
}
