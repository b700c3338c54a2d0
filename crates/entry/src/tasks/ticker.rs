//! Drives the periodic work of the hub.

use std::time::Duration;

use super::HubHandle;
use crate::hub::HubMessage;

/// Interval of the hub's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends a tick at each interval until the process ends.
pub(crate) async fn run_ticker(hub: HubHandle) {
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        hub.send(HubMessage::Tick).await;
    }
}
