//! Runs the platform, engines, a service and entry instances as processes on loopback, for tests
//! and the demo.

mod crowd;
mod early_end;
mod error;
mod fleet;
mod http;
mod process;
mod support;
mod tickets;

pub use crowd::{Crowd, Sending, leave, open_descriptors, peak_memory_kib};
pub use early_end::EarlyEnd;
pub use error::Error;
pub use fleet::{Engine, EntryInstance, Fleet, FleetOptions};
pub use http::{HttpResponse, request};
pub use process::Process;
pub use tickets::{TestApiKeys, initial_ticket, ticket, upstream_config};
