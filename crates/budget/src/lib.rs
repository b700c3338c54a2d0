//! The budget of bytes that a process holds for its callers, and the choice of connections to close
//! when there are too many.
//!
//! The crate only decides: it uses no clock and no socket.

mod budget;
mod connections;
mod memory_plan;
mod party;

pub use budget::{Action, Budget, BudgetLimits, Purpose};
pub use connections::{ConnectionAge, ConnectionPhase, connection_to_close};
pub use memory_plan::MemoryPlan;
pub use party::{Group, Party};
