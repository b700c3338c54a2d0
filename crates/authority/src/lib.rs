//! Leases with fencing tokens, and orders to upstreams that are sent only under a valid lease.
//!
//! A scope is a named set of duties that at most one process performs at a time.
//!
//! [`LogLease`] takes its lease from records of a shared append-only log, [`CasLease`] from a store
//! with compare-and-set appends. No function reads a clock, a socket or a random source: the caller
//! passes the monotonic time of its process in milliseconds, and performs the returned actions.

mod cas_lease;
mod log_lease;
mod order_guard;
mod orders;
mod terms;

pub use cas_lease::{
    AppendResult, CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, UsableLease,
};
pub use log_lease::{LeaseAction, LeaseTimes, LogLease};
pub use order_guard::{OrderGuard, OrderGuardStep, TargetState};
pub use orders::{OrderEntry, OrderTable, Target};
pub use terms::{Holder, LeaseRecord, LeaseRecordResult, ScopeTerm, Term, TermTable};
