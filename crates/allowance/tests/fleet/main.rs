//! Allowances over a simulated fleet.

mod hardly_under;
mod never_over;
mod simulation;
