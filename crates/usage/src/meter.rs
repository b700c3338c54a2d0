//! The usage counted by one instance, cut into batches for the log.

use cowslip_name::Name;

use crate::totals::{Usage, UsageTotals};

/// Usage that one record in the log carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Number of the batch within the instance's incarnation, from 0.
    pub sequence: u64,
    /// Usage counted since the batch before.
    pub totals: UsageTotals,
}

/// Counts usage and cuts it into batches.
///
/// A batch is offered unchanged until it is read back from the log, so that an outage of the log
/// loses no usage. A crash of the instance loses only usage that has not been read back.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    next_sequence: u64,
    /// Usage that is in no batch yet.
    unbatched: UsageTotals,
    /// Batch that has not been read back yet.
    pending: Option<Batch>,
}

impl Meter {
    /// Adds usage of a workspace.
    pub fn count(&mut self, workspace: &Name, usage: Usage) {
        self.unbatched.add(workspace, usage);
    }

    /// Returns the batch to append now: the one not yet read back, otherwise a new one with all
    /// usage that is in no batch yet, if there is any.
    pub fn batch(&mut self) -> Option<&Batch> {
        if self.pending.is_none() && !self.unbatched.is_empty() {
            let totals = std::mem::take(&mut self.unbatched);
            self.pending = Some(Batch { sequence: self.next_sequence, totals });
            self.next_sequence += 1;
        }
        self.pending.as_ref()
    }

    /// Records that the batch with this number was read back from the log.
    pub fn on_read_back(&mut self, sequence: u64) {
        if self.pending.as_ref().is_some_and(|batch| batch.sequence == sequence) {
            self.pending = None;
        }
    }

    /// Returns whether all usage counted so far was read back from the log.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.pending.is_none() && self.unbatched.is_empty()
    }
}
