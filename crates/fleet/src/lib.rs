//! Decisions about a declared fleet: which requests are authorized, where they run, how they ended,
//! whether they may be retried, and which upstreams and engine roles are ordered.
//!
//! No function reads a clock, a socket or a random source, or depends on an encoding.

mod declared_config;
mod dropped;
mod health;
mod placement;
mod plan;
mod registry;
mod response_end;
mod retry_budget;
mod standing;
mod statements;
mod stop;

pub use declared_config::{
    Authorized, CallerLimits, CapacityLimits, DeclaredConfig, Denial, KeyOwner, RetrySafety, Route,
    Service, ServiceShare,
};
pub use health::{SendOutcome, UpstreamHealth};
pub use placement::{Load, Locality, Placement, PlacementRequest, Prompt, PromptSegment, place};
pub use plan::{CapacityOrder, RoleOrder, plan_capacity, plan_roles};
pub use registry::{
    EngineRole, EntryOrder, EntryResult, LeaveReason, STORE_RECOVERY_GRACE_MS, Upstream,
    UpstreamChange, UpstreamEntry, UpstreamRegistry,
};
pub use response_end::{Failure, Framing, Interruption, Progress, ResponseKind, check_end};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use standing::Standing;
pub use statements::{MAX_CLOCK_ERROR_MS, ResponseOrigin};
pub use stop::StopSchedule;
