//! Scheduling of requests: which upstream runs a request, which queued request starts next, and
//! whether a request may be retried.
//!
//! The crate only decides: it uses no clock, no socket, no encoding and no random source. The
//! caller passes in a random tie breaker.

mod fair_queue;
mod load_balancing;
mod retry_budget;

pub use fair_queue::{EnqueueResult, FairQueue, QueueId, QueuedRequest};
pub use load_balancing::{Candidate, Distance, cost, pick_upstream, work_units};
pub use retry_budget::RetryBudget;
