//! Appends records to the platform's log, many in one append.

use std::time::Duration;

use async_channel::Receiver;
use cowslip_codec::encode_log_entry;
use cowslip_name::Name;
use cowslip_proto as proto;

use super::Platform;
use crate::events::Event;
use crate::hub::WriteJob;
use cowslip_clock::{Clock, unix_ms};

/// Records in one append.
const MAX_BATCH: usize = 256;
const RETRY: Duration = Duration::from_millis(100);

/// Appends until all senders are gone.
///
/// An append whose answer is lost is repeated as it is: every fold ignores the second copy. An
/// entry that the log does not take for `give_up_ms` is dropped; who waits for its read-back has a
/// deadline of its own.
pub(crate) async fn run_log_writer(
    me: Name,
    platform: Platform,
    clock: Clock,
    group_commit: Duration,
    give_up_ms: u64,
    jobs: Receiver<WriteJob>,
) {
    while let Ok(job) = jobs.recv().await {
        let mut records = job.records;
        let mut alone = None;
        if !job.is_alone {
            compio::time::sleep(group_commit).await;
            while let Some(next) =
                (records.len() < MAX_BATCH).then(|| jobs.try_recv().ok()).flatten()
            {
                if next.is_alone {
                    alone = Some(next.records);
                    break;
                }
                records.extend(next.records);
            }
        }
        for records in std::iter::once(records).chain(alone) {
            append(&me, &platform, clock, give_up_ms, records).await;
        }
    }
}

async fn append(
    me: &Name,
    platform: &Platform,
    clock: Clock,
    give_up_ms: u64,
    records: Vec<proto::Record>,
) {
    let count = records.len();
    let entry = bytes::Bytes::from(encode_log_entry(me, unix_ms(), records));
    let give_up_at_ms = clock.now_ms() + give_up_ms;
    loop {
        let Err(error) = platform.append(entry.clone()).await else { return };
        if clock.now_ms() >= give_up_at_ms {
            Event::AppendDropped.emit(me, format_args!("{count} records: {error}"));
            return;
        }
        compio::time::sleep(RETRY).await;
    }
}
