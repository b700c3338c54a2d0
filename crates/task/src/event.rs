//! Numbered log events.

use log::Level;

/// A row of the catalogue in docs/EVENTS.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventRow {
    /// Number.
    pub code: u16,
    /// Level.
    pub level: Level,
    /// What happened.
    pub summary: &'static str,
}
