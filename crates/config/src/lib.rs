//! Configuration by numbered tickets, and how long a copy of it may be trusted.
//!
//! Pure decisions: no clock, socket or encoding.

mod config_state;
mod freshness;
mod object;
mod validate;

pub use config_state::{
    ConfigState, Digest, NUMBER_WINDOW, ObjectOutcome, Ticket, TicketRefusal, TicketVerdict,
    VersionedObject,
};
pub use freshness::{Admission, Freshness, PeerReachability, StopReason, is_majority};
pub use object::{
    CallRule, Deployment, DomainShare, Fencing, Key, Object, ObjectId, ObjectKind, OpenRoute, Role,
    Service, Tier, Upstream, Workspace,
};
pub use validate::{Problem, validate};
