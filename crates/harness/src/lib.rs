//! A small environment of real processes on loopback, for tests and the demo.

mod error;
mod fleet;
mod http;
mod process;
mod setup;
mod tickets;

pub use error::Error;
pub use fleet::{Engine, Entry, Fleet, FleetOptions};
pub use http::{Answer, request};
pub use process::Process;
pub use tickets::{Objects, engine_row, first_ticket, ticket};
