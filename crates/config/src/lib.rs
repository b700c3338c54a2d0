//! Configuration by numbered tickets, and how long a copy of it may be trusted.
//!
//! Pure decisions: no clock, socket or encoding.

mod check;
mod fold;
mod freshness;
mod object;

pub use check::{Problem, check};
pub use fold::{
    ConfigFold, Digest, Held, NUMBER_WINDOW, ObjectOutcome, Refusal, Ticket, TicketVerdict,
};
pub use freshness::{Admission, Contact, Freshness, StopReason, is_majority};
pub use object::{
    CallRule, Deployment, DomainShare, Fencing, Key, Object, ObjectId, ObjectKind, OpenRoute, Role,
    Service, Tier, Upstream, Workspace,
};
