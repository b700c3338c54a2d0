//! Decisions about a declared fleet: what may run, where, how often, and what is ordered.
//!
//! Pure decisions: no clock, socket, encoding or random source.

mod budget;
mod deployment;
mod health;
mod place;
mod plan;
mod roster;

pub use budget::{BudgetTerms, RepeatBudget};
pub use deployment::{
    Allowed, CallKind, CallerLimits, Capacity, Denial, Deployment, KeyHolder, Route, Service,
    ServiceShare,
};
pub use health::{Health, Outcome};
pub use place::{Demand, Load, Placement, Prompt, PromptPart, Site, place};
pub use plan::{CapacityOrder, RoleOrder, plan_capacity, plan_roles};
pub use roster::{Change, EngineRole, Leave, RETURN_GRACE_MS, Roster, Upstream};
