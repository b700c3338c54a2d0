//! Tasks around the hub; each owns its sockets.

mod duties;
mod feed_codec;
mod lease;
mod links;
mod peer_server;
mod quarantine;
mod registration;
mod reservations;
mod starts;
mod store_availability;
mod store_client;
mod store_reads;
mod topic_reader;

use std::time::Duration;

use async_channel::Receiver;
use cowslip_era::StoreEra;
use cowslip_task::Handle;

use crate::hub::HubMessage;

pub(crate) use duties::run_duties;
pub(crate) use lease::{LeaseMessage, run_lease};
pub(crate) use links::run_links;
pub(crate) use peer_server::run_peer_server;
pub(crate) use quarantine::run_quarantine;
pub(crate) use registration::{deregister, run_registration};
pub(crate) use reservations::run_reservations;
pub(crate) use starts::{run_starts, write_starts};
pub(crate) use store_client::StoreClient;
pub(crate) use topic_reader::{PollSchedule, run_topic_reader};

/// Interval between ticks of the hub.
const TICK: Duration = Duration::from_millis(100);

/// Sends messages to the hub; a sender waits while the hub's inbox is full.
pub(crate) type HubHandle = Handle<HubMessage>;

/// Returns a receiver of the eras that begin with restores of the store.
pub(crate) async fn watch_restores(hub: &HubHandle) -> Receiver<StoreEra> {
    let (watcher, restores) = async_channel::unbounded();
    hub.send(HubMessage::WatchRestores { watcher }).await;
    restores
}

/// Sends the hub its ticks until the process ends.
pub(crate) async fn run_ticker(hub: HubHandle) {
    loop {
        compio::time::sleep(TICK).await;
        hub.send(HubMessage::Tick).await;
    }
}
