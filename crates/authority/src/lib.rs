//! Authority by leases that are folded from an append-only log.
//!
//! Nothing here reads a clock, a socket or a random source: every function takes the present
//! monotonic time of its own process, in milliseconds, and returns what to do.

mod cas_lease;
mod log_lease;
mod order_guard;
mod orders;
mod terms;

pub use cas_lease::{CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, WriteResult};
pub use log_lease::{LeaseAction, LeaseTimes, LogLease};
pub use order_guard::{OrderGuard, OrderGuardStep, TargetState};
pub use orders::{OrderEntry, OrderTable, Target};
pub use terms::{Holder, LeaseRecordResult, ScopeRecord, ScopeTerm, Term, TermTable};
