//! What the daemons' tasks share: the way to the owner of a state, and rows of the event catalogue.

mod event;
mod handle;

pub use event::{EventRow, Level};
pub use handle::{Handle, ReplySender, send_reply};
