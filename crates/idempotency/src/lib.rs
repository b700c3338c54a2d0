//! Calls that may not be repeated: who runs them, and what a repeat is told.
//!
//! Pure decisions: no clock, socket or encoding.

mod attempt;
mod fold;

pub use attempt::{Attempt, AttemptStep, SendResult, Told, told};
pub use fold::{Answer, CallFold, CallId, Outcome, Remembered, Standing, Start, StartVerdict};
