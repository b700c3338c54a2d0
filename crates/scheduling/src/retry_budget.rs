//! A retry budget, which keeps retries from amplifying an overload.

/// Budget that one first attempt earns, in thousandths of a retry.
const EARNED_PER_REQUEST_MILLI: u64 = 100;
/// Cost of one retry, in thousandths of a retry.
const RETRY_MILLI: u64 = 1_000;
/// Maximum budget, in thousandths of a retry: it bounds a burst of retries to 10.
const MAX_BALANCE_MILLI: u64 = 10_000;

/// Limits retries to a tenth of the first attempts, plus a burst from the saved balance, which
/// starts at its maximum.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: MAX_BALANCE_MILLI }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request, which earns a part of a retry.
    pub fn on_request(&mut self) {
        self.balance_milli = MAX_BALANCE_MILLI.min(self.balance_milli + EARNED_PER_REQUEST_MILLI);
    }

    /// Spends one retry; returns false and spends nothing if the balance is too low.
    pub fn try_acquire(&mut self) -> bool {
        let is_acquired = self.balance_milli >= RETRY_MILLI;
        if is_acquired {
            self.balance_milli -= RETRY_MILLI;
        }
        is_acquired
    }
}
