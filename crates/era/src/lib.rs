//! Eras of a store that may come back from an older copy of itself.
//!
//! A store gives offsets out again after a restore. It states a number, its era, which rises by one
//! each time. A [`Position`] names a record over restores, and an [`EraTracker`] knows the highest era.

mod position;
mod tracker;

pub use position::{Position, StoreEra};
pub use tracker::{EraChange, EraStatement, EraTracker};
