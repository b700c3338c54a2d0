//! A budget of retries that cannot amplify an overload.

/// Retries that one first try earns, in thousandths.
const EARNED_PER_REQUEST_MILLI: u64 = 100;
/// Cost of one retry, in thousandths.
const RETRY_MILLI: u64 = 1_000;
/// Highest saved budget, in thousandths.
const MAX_SAVED_MILLI: u64 = 10_000;

/// Retries are a tenth of the first tries at most, plus a small saved burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    saved_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_milli: MAX_SAVED_MILLI }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn on_request(&mut self) {
        self.saved_milli = MAX_SAVED_MILLI.min(self.saved_milli + EARNED_PER_REQUEST_MILLI);
    }

    /// Takes one retry, if there is one.
    pub fn try_acquire(&mut self) -> bool {
        let is_left = self.saved_milli >= RETRY_MILLI;
        if is_left {
            self.saved_milli -= RETRY_MILLI;
        }
        is_left
    }
}
