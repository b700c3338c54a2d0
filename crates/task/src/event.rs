//! Numbered events that the daemons log.

pub use log::Level;

/// A row of the event catalogue in docs/EVENTS.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventRow {
    /// Number that identifies the event in the log.
    pub code: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Fixed text that says what happened.
    pub summary: &'static str,
}

/// Defines a daemon's enum `Event` and its `CATALOGUE` from rows of this form:
///
/// `Variant = number, Level, "summary";`
#[macro_export]
macro_rules! events {
    ($($variant:ident = $code:literal, $level:ident, $summary:literal;)*) => {
        /// Events that this daemon logs.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Event { $($variant,)* }

        /// Rows of all events that this daemon logs, in the order of the variants of `Event`, by
        /// which `row` finds them.
        pub const CATALOGUE: &[$crate::EventRow] = &[
            $($crate::EventRow { code: $code, level: $crate::Level::$level, summary: $summary },)*
        ];

        impl Event {
            /// Returns the event's row of the catalogue.
            pub(crate) fn row(self) -> &'static $crate::EventRow {
                &CATALOGUE[self as usize]
            }
        }
    };
}
