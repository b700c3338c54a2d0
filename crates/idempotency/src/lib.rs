//! Calls that may not be repeated: who runs them, and what a repeat is told.
//!
//! Pure decisions: no clock, socket or encoding.

mod attempt;
mod call_table;

pub use attempt::{Attempt, AttemptStep, CallerReply, SendResult, reply_for};
pub use call_table::{
    AttemptOutcome, CallEntry, CallId, CallStart, CallStatus, CallTable, StartResult,
    StoredResponse,
};
