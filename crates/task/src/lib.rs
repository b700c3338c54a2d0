//! Parts shared by the daemons' tasks: handles to the task that owns a state, rows of the event
//! catalogue, signals, and the end of service.

mod event;
mod handle;
mod service_end;
mod signals;

pub use event::{EventRow, Level};
pub use handle::{Handle, ReplySender, send_reply};
pub use service_end::{Expiry, ServiceEnd, finish_requests};
pub use signals::{Signal, watch_signals};
