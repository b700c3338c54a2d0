//! The count of one instance, cut into batches for the log.

use cowslip_name::Name;

use crate::totals::{Usage, UsageTotals};

/// Usage that one record carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Number of the batch in this life of the instance, from 0.
    pub sequence: u64,
    /// The usage.
    pub figures: UsageTotals,
}

/// Counts usage. A batch is repeated as it is until it is read back, so that an outage of the
/// log loses nothing; only what is not yet read back is lost with the instance.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    next_sequence: u64,
    counted: UsageTotals,
    sent: Option<Batch>,
}

impl Meter {
    /// Counts usage of a workspace.
    pub fn count(&mut self, workspace: &Name, usage: Usage) {
        self.counted.add(workspace, usage);
    }

    /// The batch to append now: the one not yet read back, or a new one if anything was counted.
    pub fn batch(&mut self) -> Option<&Batch> {
        if self.sent.is_none() && !self.counted.is_empty() {
            let figures = std::mem::take(&mut self.counted);
            self.sent = Some(Batch { sequence: self.next_sequence, figures });
            self.next_sequence += 1;
        }
        self.sent.as_ref()
    }

    /// The batch was read back.
    pub fn on_read_back(&mut self, sequence: u64) {
        if self.sent.as_ref().is_some_and(|batch| batch.sequence == sequence) {
            self.sent = None;
        }
    }

    /// Whether everything counted was read back.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.sent.is_none() && self.counted.is_empty()
    }
}
