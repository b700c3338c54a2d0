//! Allowances over a simulated fleet.

mod admission;
mod broker;
mod granter;
mod hardly_under;
mod never_over;
mod simulation;
