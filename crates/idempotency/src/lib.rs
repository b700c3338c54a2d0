//! Calls that may run at most once: which attempt runs a call, and the reply to its retries.
//!
//! No function reads a clock or a socket, or depends on an encoding.

mod attempt;
mod call_table;

pub use attempt::{Attempt, AttemptStep, CallerReply, SendResult, reply_for};
pub use call_table::{
    AttemptOutcome, CallEntry, CallId, CallStart, CallStatus, CallTable, StartResult,
    StoredResponse,
};
