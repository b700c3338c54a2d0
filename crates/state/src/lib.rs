//! The state that every instance folds from the log, and snapshots of it.
//!
//! Pure decisions: no clock, socket or encoding.

mod assemble;
mod state;

pub use assemble::{Assembler, Chunk, Complete};
pub use state::{Effect, OrderAction, REMEMBERED_CALLS, State, StateRecord, WindowMark};
