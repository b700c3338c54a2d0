//! Allowances of workspaces: rate limits over all instances.
//!
//! The lease holder grants each broker a share of every allowance ([`Granter`]). A broker keeps a
//! bucket for its share ([`Broker`]), and instances reserve the cost of each request there, after
//! what they may use without asking ([`Admission`]). A grant expires unless it is renewed, and a
//! reservation unless it is used at once, so what a silent instance holds is never given out twice.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod admission;
mod allowance;
mod broker;
mod bucket;
mod demand;
mod granter;
mod shares;

pub use admission::{Admission, Step};
pub use allowance::{Allowance, AllowanceUnit, Bounds, Budget, RESERVATION_MS};
pub use broker::{Broker, Reservation, Shortage};
pub use granter::{Granter, reserved_shares};
pub use shares::{Grant, GrantId, Shares};
