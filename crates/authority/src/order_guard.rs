//! Lease checks for one order, before its connection is opened and before its single write.

use crate::log_lease::LogLease;
use crate::terms::Term;

/// State that a target reported over the connection that the order will use.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TargetState {
    /// Highest fencing token that the target has accepted, 0 if it keeps none.
    pub fence: u64,
    /// Sequence number of the newest order that the target executed.
    pub sequence: u64,
}

/// Next step for an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderGuardStep {
    /// Wait until this monotonic time, in milliseconds.
    WaitUntil(u64),
    /// Read the target's state over a fresh connection.
    ReadState,
    /// Write the order once, immediately, on the connection that read the state.
    Write,
    /// The target has already executed the order.
    AlreadyDone,
    /// Close the connection and send nothing.
    Abandon,
}

/// Decides whether one order of one term may be written to one target.
///
/// The lease is checked after the round trip, directly before the write. A process that is frozen
/// between that check and the write finds that the target has closed the connection as idle,
/// provided that the next term stays silent for longer than the target's idle timeout.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderGuard {
    term: Term,
    sequence: u64,
    checks_fencing: bool,
}

impl OrderGuard {
    /// Returns the guard of order `sequence` of `term`; `checks_fencing` is set if the target
    /// rejects old fencing tokens.
    #[must_use]
    pub fn new(term: Term, sequence: u64, checks_fencing: bool) -> Self {
        Self { term, sequence, checks_fencing }
    }

    /// Returns the step to take before a connection is opened.
    #[must_use]
    pub fn before_connect(&self, lease: &LogLease, now_ms: u64) -> OrderGuardStep {
        if lease.valid_term(now_ms) != Some(self.term) {
            return OrderGuardStep::Abandon;
        }
        match lease.silent_until_ms() {
            Some(silent_until_ms) if !self.checks_fencing && now_ms < silent_until_ms => {
                OrderGuardStep::WaitUntil(silent_until_ms)
            }
            _ => OrderGuardStep::ReadState,
        }
    }

    /// Returns the step to take after the target reported its state on the connection.
    #[must_use]
    pub fn before_write(
        &self,
        lease: &LogLease,
        now_ms: u64,
        state: TargetState,
    ) -> OrderGuardStep {
        if lease.valid_term(now_ms) != Some(self.term) || state.fence > self.term {
            return OrderGuardStep::Abandon;
        }
        if state.sequence >= self.sequence {
            OrderGuardStep::AlreadyDone
        } else {
            OrderGuardStep::Write
        }
    }
}
