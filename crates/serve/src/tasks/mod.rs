//! Tasks around the hub, each the owner of its sockets.

mod authority;
mod dependency;
mod duties;
mod follow;
mod links;
mod peer_server;
mod presence;
mod starts;

use std::time::Duration;

use cowslip_task::Handle;

use crate::hub::HubMessage;

pub(crate) use authority::{AuthorityJob, run_authority};
pub(crate) use duties::run_duties;
pub(crate) use follow::{Pace, run_follower};
pub(crate) use links::run_links;
pub(crate) use peer_server::run_peer_server;
pub(crate) use presence::{run_presence, withdraw};
pub(crate) use starts::{run_starts, write_starts};

const TICK: Duration = Duration::from_millis(100);

/// The way to the hub; when its inbox is full the sender waits.
pub(crate) type HubHandle = Handle<HubMessage>;

/// Tells the hub that time passes, until the process ends.
pub(crate) async fn run_ticker(hub: HubHandle) {
    loop {
        compio::time::sleep(TICK).await;
        hub.tell(HubMessage::Tick).await;
    }
}
