//! Numbered log events.

pub use log::Level;

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

/// Defines the enum `Event` of a daemon and its `CATALOGUE`, from rows of
/// `Variant = number, Level, "summary";`.
#[macro_export]
macro_rules! events {
    ($($variant:ident = $code:literal, $level:ident, $summary:literal;)*) => {
        /// Kinds of event.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Event { $($variant,)* }

        /// All events by number.
        pub const CATALOGUE: &[$crate::EventRow] = &[
            $($crate::EventRow { code: $code, level: $crate::Level::$level, summary: $summary },)*
        ];

        impl Event {
            pub(crate) fn row(self) -> &'static $crate::EventRow {
                &CATALOGUE[self as usize]
            }
        }
    };
}
