//! Reads the platform's instance list.

use std::time::Duration;

use cowslip_codec::listed_member_from_proto;
use cowslip_proto as proto;

use super::{HubHandle, Platform};
use crate::hub::HubMessage;

/// Announces this instance, then reads the list until the process ends.
///
/// A list that cannot be read leaves the last one in force.
pub(crate) async fn run_list(
    own_row: proto::ListedInstance,
    platform: Platform,
    hub: HubHandle,
    every: Duration,
) {
    let mut is_announced = false;
    loop {
        is_announced = is_announced || platform.announce(&own_row).await.is_ok();
        if let Ok(list) = platform.list().await {
            let rows = list
                .instances
                .iter()
                .filter_map(|row| listed_member_from_proto(row).ok())
                .collect();
            hub.tell(HubMessage::List(rows)).await;
        }
        compio::time::sleep(every).await;
    }
}
