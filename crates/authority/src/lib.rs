//! Authority by leases that are folded from an append-only log.
//!
//! Nothing here reads a clock, a socket or a random source: every function takes the present
//! monotonic time of its own process, in milliseconds, and returns what to do.

mod guard;
mod lease;
mod orders;
mod register;
mod terms;

pub use guard::{GuardStep, SendGuard, TargetView};
pub use lease::{Lease, LeaseAction, LeaseTimes};
pub use orders::{OrderBook, OrderState, Target};
pub use register::{Register, RegisterRecord, RegisterStep, RegisterView, WriteResult};
pub use terms::{Holder, ScopeRecord, ScopeTerm, Term, TermFold, Verdict};
