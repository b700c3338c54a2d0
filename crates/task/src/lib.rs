//! Parts shared by the daemons' tasks: handles to the task that owns a state, and rows of the event
//! catalogue.

mod event;
mod handle;

pub use event::{EventRow, Level};
pub use handle::{Handle, ReplySender, send_reply};
