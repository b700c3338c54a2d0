//! Parts shared by the daemons' tasks: handles to the task that owns a state, rows of the event
//! catalogue, and the end of service.

mod event;
mod handle;
mod service_end;

pub use event::{EventRow, Level};
pub use handle::{Handle, ReplySender, send_reply};
pub use service_end::{Expiry, ServiceEnd};
