//! The steps of one order from a fresh connection to its single write.

use crate::log_lease::LogLease;
use crate::terms::Term;

/// What a target reported over the connection that the order will use.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TargetState {
    /// Highest fencing number that it has seen, 0 if it keeps none.
    pub fence: u64,
    /// Number of the newest order that it carried out.
    pub sequence: u64,
}

/// What to do next with an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderGuardStep {
    /// Do nothing before this time.
    WaitUntil(u64),
    /// Read the target's state over a fresh connection.
    ReadState,
    /// Write the order once, on the connection that read the state, without any wait in between.
    Write,
    /// The target has carried the order out already.
    AlreadyDone,
    /// Close the connection and send nothing.
    Abandon,
}

/// Guards one order of one term towards one target.
///
/// The authority is checked after the round trip and directly before the write. A process that is
/// frozen between the two writes to a connection that the target has closed as idle, provided the
/// next term is silent for longer than the target's idle time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderGuard {
    term: Term,
    sequence: u64,
    checks_fencing: bool,
}

impl OrderGuard {
    /// Guards order `sequence` of `term`.
    #[must_use]
    pub fn new(term: Term, sequence: u64, checks_fencing: bool) -> Self {
        Self { term, sequence, checks_fencing }
    }

    /// Decides before a connection is opened.
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

    /// Decides after the target reported its state on the connection.
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
