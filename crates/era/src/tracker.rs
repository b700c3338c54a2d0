//! The highest era that a store has stated.

use crate::StoreEra;

/// What a response of the store states about its era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraStatement {
    /// Nothing.
    Absent,
    /// This era.
    Stated(StoreEra),
    /// Something that is no era.
    Malformed,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// Nothing: the era is the known one, or not stated.
    Same,
    /// The era is known now.
    Learned(StoreEra),
    /// The store was restored.
    Restored {
        /// Era before the restore.
        from: StoreEra,
        /// Era after it.
        to: StoreEra,
    },
    /// The statement is malformed or of an earlier era; the response is to be dropped.
    Rejected,
}

/// Knows the highest era that was stated.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    known: Option<StoreEra>,
    /// Whether a response without a statement came before the first one with it.
    has_unstated: bool,
}

impl EraTracker {
    /// Returns the highest era that was stated; 0 before the first statement.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.known.unwrap_or_default()
    }

    /// Returns the highest era that was stated; `None` before the first statement.
    #[must_use]
    pub fn known(&self) -> Option<StoreEra> {
        self.known
    }

    /// Applies what a response states.
    pub fn on_statement(&mut self, statement: EraStatement) -> EraChange {
        let stated = match statement {
            EraStatement::Absent => {
                self.has_unstated |= self.known.is_none();
                return EraChange::Same;
            }
            EraStatement::Malformed => return EraChange::Rejected,
            EraStatement::Stated(stated) => stated,
        };
        let known = match self.known {
            Some(known) => known,
            // Responses of a store that stated no era were of era 0.
            None if self.has_unstated => StoreEra::default(),
            None => {
                self.known = Some(stated);
                return EraChange::Learned(stated);
            }
        };
        if stated < known {
            return EraChange::Rejected;
        }
        self.known = Some(stated);
        if stated == known {
            EraChange::Same
        } else {
            EraChange::Restored { from: known, to: stated }
        }
    }
}
