//! Where a request runs, who may start one, and when a request may be tried again.
//!
//! Pure decisions: no clock, socket, encoding or random source; a random draw is an input.

mod admit;
mod choose;
mod retry;

pub use admit::{AdmitVerdict, Admitter, Claim, Wait};
pub use choose::{Candidate, Distance, choose, cost, work_units};
pub use retry::RetryBudget;
