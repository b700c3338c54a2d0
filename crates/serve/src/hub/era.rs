//! Restores of the store, as its responses and peers state them.

use cowslip_era::{EraChange, EraStatement, StoreEra};

use super::Hub;
use crate::events::{Event, event};
use crate::platform::Platform;

impl<P> Hub<P>
where
    P: Platform,
{
    /// Applies what a response of the store states. Returns the highest known era, or `None` if the
    /// response is to be dropped.
    pub(super) fn on_era_stated(&mut self, statement: EraStatement) -> Option<StoreEra> {
        match self.store_era.on_statement(statement) {
            EraChange::Same => {}
            EraChange::Learned(era) => self.set_era_gauge(era),
            EraChange::Restored { from, to } => {
                event!(Event::StoreRestored, from = from, to = to);
                self.set_era_gauge(to);
                self.on_restore(to);
            }
            EraChange::Rejected => {
                if !std::mem::replace(&mut self.is_other_era_logged, true) {
                    event!(Event::StoreEraRejected, known = self.store_era.era());
                }
                self.metrics.other_era_responses.inc();
                return None;
            }
        }
        Some(self.store_era.era())
    }

    /// Applies the era that a peer knows. An earlier one says nothing about the peer's contents.
    pub(super) fn on_peer_era(&mut self, era: Option<u64>) {
        let era = era.and_then(StoreEra::new).filter(|era| *era >= self.store_era.era());
        if let Some(era) = era {
            self.on_era_stated(EraStatement::Stated(era));
        }
    }

    /// Returns the era that is sent to peers.
    pub(super) fn era_for_peers(&self) -> Option<u64> {
        self.store_era.known().map(StoreEra::number)
    }

    fn set_era_gauge(&self, era: StoreEra) {
        self.metrics.store_era.set(i64::try_from(era.number()).unwrap_or(i64::MAX));
    }

    /// Has this instance write again what the copy may lack, and its readers read again.
    fn on_restore(&mut self, era: StoreEra) {
        self.starts.rewrite();
        if !self.quarantine.refusals().is_empty() {
            self.stored_suspects = None;
        }
        for watcher in &self.restore_watchers {
            // The receiver closes only when the process ends.
            let _ = watcher.try_send(era);
        }
    }
}
