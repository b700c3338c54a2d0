//! Configuration that is changed by numbered tickets, and the rules for serving with a stale copy.
//!
//! No function reads a clock or a socket, or depends on an encoding.

mod config_state;
mod freshness;
mod object;
mod validate;

pub use config_state::{
    ConfigState, Digest, NUMBER_WINDOW, ObjectOutcome, Ticket, TicketRefusal, TicketResult,
    VersionedObject,
};
pub use freshness::{Admission, Freshness, PeerReachability, StopReason, is_majority};
pub use object::{
    CallRule, Deployment, DomainShare, Fencing, Key, Object, ObjectId, ObjectKind, OpenRoute, Role,
    Service, Tier, Upstream, Workspace,
};
pub use validate::{ValidationError, validate};
