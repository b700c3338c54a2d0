//! The state that every instance folds from the log, and snapshots of it.
//!
//! Pure decisions: no clock, socket or encoding.

mod snapshot;
mod state;

pub use snapshot::{AssembledSnapshot, SnapshotAssembler, SnapshotChunk};
pub use state::{ApplyResult, OrderAction, REMEMBERED_CALLS, State, StateRecord, WindowRef};
