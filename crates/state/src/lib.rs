//! The state that every instance builds by applying the log, and the assembly of its snapshots.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod snapshot;
mod state;

pub use snapshot::{AssembledSnapshot, SnapshotAssembler, SnapshotChunk};
pub use state::{ApplyResult, OrderAction, REMEMBERED_CALLS, State, StateRecord, WindowRef};
