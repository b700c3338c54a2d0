//! An estimate of the unix time on which the instances of several machines agree.

/// Difference from the peers that is not corrected, in milliseconds: the delay of replies between
/// regions accounts for some of it.
const SLACK_MS: u64 = 150;
/// Number of peers' estimates of which the median is taken.
const SAMPLE_COUNT: usize = 9;

/// An estimate of the unix time that does not step when this machine's clock is set.
///
/// The estimate starts from the machine's unix time and advances with a steady clock. If the median
/// of the peers' estimates differs from it, the machine's time was wrong at the start, and the
/// estimate is corrected by the difference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClusterClock {
    /// Estimated unix time, in milliseconds, when the steady clock was 0.
    unix_at_zero_ms: u64,
    /// Peers' estimates since the last median, as their lead over this one in milliseconds.
    peer_leads_ms: Vec<i64>,
}

impl ClusterClock {
    /// Creates an estimate from the machine's unix time and the steady clock's time of the same
    /// moment.
    #[must_use]
    pub fn new(steady_ms: u64, unix_ms: u64) -> Self {
        Self { unix_at_zero_ms: unix_ms.saturating_sub(steady_ms), peer_leads_ms: Vec::new() }
    }

    /// Returns the estimate at a time of the steady clock, in milliseconds since 1970.
    #[must_use]
    pub fn now_ms(&self, steady_ms: u64) -> u64 {
        self.unix_at_zero_ms + steady_ms
    }

    /// Records a peer's estimate received at a time of the steady clock.
    pub fn on_estimate(&mut self, steady_ms: u64, peer_ms: u64) {
        let local_ms = self.now_ms(steady_ms);
        self.peer_leads_ms.push(peer_ms.cast_signed().saturating_sub(local_ms.cast_signed()));
        if self.peer_leads_ms.len() < SAMPLE_COUNT {
            return;
        }
        let mut sorted = std::mem::take(&mut self.peer_leads_ms);
        sorted.sort_unstable();
        let median = sorted[sorted.len() / 2];
        if median.unsigned_abs() > SLACK_MS {
            self.unix_at_zero_ms = self.unix_at_zero_ms.saturating_add_signed(median);
        }
    }
}
