//! Tells the hub that time passes.

use std::time::Duration;

use super::HubHandle;
use crate::hub::HubMessage;

const TICK: Duration = Duration::from_millis(50);

/// Ticks until the process ends.
pub(crate) async fn run_ticker(hub: HubHandle) {
    loop {
        compio::time::sleep(TICK).await;
        hub.tell(HubMessage::Tick).await;
    }
}
