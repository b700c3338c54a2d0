//! Appends records to the platform's log, batched into entries.

use std::time::Duration;

use async_channel::Receiver;
use cowslip_codec::encode_log_entry;
use cowslip_name::Name;
use cowslip_proto as proto;

use super::PlatformClient;
use crate::events::Event;
use crate::hub::AppendRequest;
use cowslip_clock::{Clock, unix_ms};

/// Most records in one append, except that the last request of a batch is never split.
const MAX_BATCH: usize = 256;
/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Appends records until all senders are dropped.
///
/// An append whose response is lost is retried unchanged: replay ignores the second copy. An entry
/// that the log does not accept within `give_up_ms` is dropped; a request that waits for its
/// read-back has a separate deadline.
pub(crate) async fn run_log_writer(
    instance_name: Name,
    platform: PlatformClient,
    clock: Clock,
    group_commit: Duration,
    give_up_ms: u64,
    requests: Receiver<AppendRequest>,
) {
    while let Ok(request) = requests.recv().await {
        let mut records = request.records;
        let mut separate_entry = None;
        if !request.needs_separate_entry {
            compio::time::sleep(group_commit).await;
            while let Some(next) =
                (records.len() < MAX_BATCH).then(|| requests.try_recv().ok()).flatten()
            {
                if next.needs_separate_entry {
                    separate_entry = Some(next.records);
                    break;
                }
                records.extend(next.records);
            }
        }
        for records in std::iter::once(records).chain(separate_entry) {
            append_entry(&instance_name, &platform, clock, give_up_ms, records).await;
        }
    }
}

async fn append_entry(
    instance_name: &Name,
    platform: &PlatformClient,
    clock: Clock,
    give_up_ms: u64,
    records: Vec<proto::Record>,
) {
    let count = records.len();
    let entry = bytes::Bytes::from(encode_log_entry(instance_name, unix_ms(), records));
    let give_up_at_ms = clock.now_ms() + give_up_ms;
    loop {
        let Err(error) = platform.append_log(entry.clone()).await else { return };
        if clock.now_ms() >= give_up_at_ms {
            Event::AppendDropped.emit(instance_name, format_args!("{count} records: {error}"));
            return;
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
}
