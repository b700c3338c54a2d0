//! Where a request runs, who may start one, and when a request may be tried again.
//!
//! Pure decisions: no clock, socket, encoding or random source; a random draw is an input.

mod fair_queue;
mod load_balancing;
mod retry_budget;

pub use fair_queue::{EnqueueResult, FairQueue, QueueId, QueuedRequest};
pub use load_balancing::{Candidate, Distance, cost, pick_upstream, work_units};
pub use retry_budget::RetryBudget;
