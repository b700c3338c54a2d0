//! Restores of the store, as its responses state them.

use cowslip_era::{EraChange, EraStatement};

use super::Hub;
use crate::events::{Event, event};
use crate::platform::Platform;

impl<P> Hub<P>
where
    P: Platform,
{
    pub(super) fn on_era_stated(&mut self, statement: EraStatement) {
        match self.store_era.on_statement(statement) {
            EraChange::Same | EraChange::Rejected => return,
            EraChange::Learned(_) => {}
            EraChange::Restored { from, to } => event!(Event::StoreRestored, from = from, to = to),
        }
        let number = self.store_era.era().number();
        self.metrics.store_era.set(i64::try_from(number).unwrap_or(i64::MAX));
    }
}
