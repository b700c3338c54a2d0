//! Discovers the instances from the platform's list.

use std::time::Duration;

use cowslip_codec::listed_member_from_proto;
use cowslip_proto as proto;

use super::{HubHandle, PlatformClient};
use crate::hub::HubMessage;

/// Registers this instance at the platform, then polls the list until the process ends.
///
/// If the list cannot be read, the last one stays in use.
pub(crate) async fn run_discovery(
    own_row: proto::ListedInstance,
    platform: PlatformClient,
    hub: HubHandle,
    poll_interval: Duration,
) {
    let mut is_registered = false;
    loop {
        is_registered = is_registered || platform.register_instance(&own_row).await.is_ok();
        if let Ok(list) = platform.list_instances().await {
            let rows = list
                .instances
                .iter()
                .filter_map(|row| listed_member_from_proto(row).ok())
                .collect();
            hub.send(HubMessage::InstanceList(rows)).await;
        }
        compio::time::sleep(poll_interval).await;
    }
}
