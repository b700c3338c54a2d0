//! Reads the platform's log.

use std::time::Duration;

use cowslip_name::Name;

use super::{HubHandle, PlatformClient};
use crate::events::Event;
use crate::hub::HubMessage;
use cowslip_clock::Clock;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the log page by page until the process ends.
pub(crate) async fn run_log_reader(
    instance_name: Name,
    platform: PlatformClient,
    hub: HubHandle,
    clock: Clock,
) {
    let mut from_offset = 0;
    let mut is_reachable = true;
    loop {
        let sent_at_ms = clock.now_ms();
        let page = match platform.read_log(from_offset).await {
            Ok(page) => {
                if !is_reachable {
                    Event::LogReachable
                        .emit(&instance_name, format_args!("from offset {from_offset}"));
                }
                is_reachable = true;
                Some(page)
            }
            Err(error) => {
                if is_reachable {
                    Event::LogUnreachable.emit(&instance_name, format_args!("{error}"));
                }
                is_reachable = false;
                compio::time::sleep(RETRY_DELAY).await;
                None
            }
        };
        match hub.request(|reply| HubMessage::LogPage { sent_at_ms, page, reply }).await {
            Some(next_offset) => from_offset = next_offset,
            None => return,
        }
    }
}
