//! Acquires and renews the lease in the store, and finalizes usage windows under it.

use std::collections::BTreeSet;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use cowslip_authority::{
    AppendResult, CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, Holder, LeaseTimes,
};
use cowslip_clock::Clock;
use cowslip_codec::{
    from_json, holder_from_proto, holder_to_proto, start_counts_from_proto, start_window_to_proto,
    to_json,
};
use cowslip_era::StoreEra;
use cowslip_proto as proto;
use cowslip_usage::{StartCounts, StartWindows, WindowStanding, WindowTimes, window_standing};
use futures_util::FutureExt;

use super::HubHandle;
use super::store_availability::StoreAvailability;
use super::store_client::StoreClient;
use super::store_reads::{ReadMethod, read_list};
use crate::events::{Event, event};
use crate::hub::{HubMessage, KEPT_FINALIZED_WINDOWS, ReadMode};
use crate::platform::{Page, Platform, StoreError, Topic};

/// Interval between steps of the lease.
const TICK: Duration = Duration::from_millis(100);
/// Key of the lease record.
const LEASE_KEY: &str = "lease";
/// Prefix of the keys of finalized windows.
const WINDOW_KEY_PREFIX: &str = "window/";
/// Finalized windows that are written again after a restore of the store; older ones are not reported
/// any more.
const REWRITTEN_WINDOWS: usize = 8;

/// A message to the lease task.
#[derive(Debug)]
pub(crate) enum LeaseMessage {
    /// Finalizes the starts of a window; the reply is `None` if that failed.
    FinalizeWindow { window: u64, counts: StartCounts, reply: Sender<Option<Finalization>> },
    /// Reports that the platform has accepted a higher fencing token than this one.
    TokenSuperseded(u64),
    /// Releases the lease and ends the task. The reply follows the write, even if that failed.
    StepDown { reply: Sender<SteppedDown> },
}

/// Whether a window may be reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Finalization {
    /// With these counts, which differ from the given ones if it was finalized before.
    Final(StartCounts),
    /// It may have been reported with counts that a restore of the store has lost.
    MaybeReported,
}

/// The reply to `LeaseMessage::StepDown`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteppedDown;

struct LeaseTask<P> {
    client: StoreClient<P>,
    hub: HubHandle,
    clock: Clock,
    lease: CasLease,
    identity: Holder,
    window_times: WindowTimes,
    /// Finalized windows in the store, in the known era.
    stored_windows: BTreeSet<u64>,
    /// Whether the store may lack finalized windows that instances know, after a restore.
    lacks_windows: bool,
    /// Cluster time since which every finalized window is known or in the store.
    complete_since_ms: u64,
    /// State of the lease record as of the last read; `None` before the first read.
    view: Option<CasLeaseView>,
    is_holder: bool,
    store: StoreAvailability,
}

/// Acquires and renews the lease until a message steps it down.
pub(crate) async fn run_lease<P>(
    client: StoreClient<P>,
    hub: HubHandle,
    clock: Clock,
    identity: Holder,
    times: LeaseTimes,
    window_times: WindowTimes,
    messages: Receiver<LeaseMessage>,
) where
    P: Platform,
{
    let lease = CasLease::new(identity.clone(), times, clock.now_ms());
    let store = StoreAvailability::new(Topic::Lease, "the lease");
    let mut task = LeaseTask {
        client,
        hub,
        clock,
        lease,
        identity,
        window_times,
        stored_windows: BTreeSet::new(),
        lacks_windows: false,
        complete_since_ms: 0,
        view: None,
        is_holder: false,
        store,
    };
    loop {
        task.step(None).await;
        let message = compio::time::timeout(TICK, messages.recv().fuse()).await;
        match message {
            // No message arrived within the tick.
            Err(_) => {}
            Ok(Ok(LeaseMessage::FinalizeWindow { window, counts, reply })) => {
                let finalized = task.finalize_window(window, counts).await;
                let _ = reply.try_send(finalized);
            }
            Ok(Ok(LeaseMessage::TokenSuperseded(fence))) => task.lease.on_fenced(fence),
            Ok(Ok(LeaseMessage::StepDown { reply })) => {
                task.lease.step_down();
                task.step(None).await;
                let _ = reply.try_send(SteppedDown);
                // While the store is away, the release is tried again until the process ends, since
                // a successor otherwise waits for the lease to expire.
                while task.lease.is_release_due() {
                    compio::time::sleep(TICK).await;
                    task.step(None).await;
                }
                return;
            }
            Ok(Err(_)) => return,
        }
    }
}

impl<P> LeaseTask<P>
where
    P: Platform,
{
    /// Runs the next step of the lease; a write of the lease record also appends `window`.
    async fn step(&mut self, window: Option<(u64, &StartCounts)>) {
        let now_ms = self.clock.now_ms();
        match self.lease.next_step(now_ms) {
            CasLeaseStep::Wait => {}
            // Instances that do not read the store do not compete for the lease.
            CasLeaseStep::Read
                if !self.is_holder
                    && !self.lease.is_release_due()
                    && !self.is_store_reader().await => {}
            CasLeaseStep::Read => self.read(now_ms).await,
            CasLeaseStep::Write { expected_end, record } => {
                self.write(expected_end, record, window).await;
            }
        }
        self.publish().await;
    }

    /// Drops the view if the store was restored since. A holder knows all windows that it finalized;
    /// nobody else knows whether others were lost.
    async fn learn_era(&mut self, era: StoreEra) {
        if era <= self.lease.era() {
            return;
        }
        let now_ms = self.clock.now_ms();
        if !self.lease.is_holder(now_ms) {
            let cluster_ms = self.hub.request(|reply| HubMessage::ClusterTime { reply }).await;
            self.complete_since_ms = cluster_ms.unwrap_or_default();
        }
        self.lease.on_era(era);
        self.view = None;
        self.lacks_windows = true;
    }

    async fn is_store_reader(&self) -> bool {
        let mode =
            self.hub.request(|reply| HubMessage::ReadMode { topic: Topic::Lease, reply }).await;
        mode.is_some_and(|mode| !matches!(mode, ReadMode::Skip | ReadMode::Wait))
    }

    async fn read(&mut self, sent_at_ms: u64) {
        let is_list = self.view.is_none();
        let result = match &self.view {
            None => read_list(&self.client, Topic::Lease, ReadMethod::Single).await,
            Some(view) => self.client.read(Topic::Lease, view.end, 0).await,
        };
        self.store.record(&result);
        match result {
            Ok(read) => {
                self.learn_era(read.era).await;
                // The offset that was read from is one of an earlier era.
                if !is_list && self.view.is_none() {
                    return;
                }
                if is_list {
                    self.stored_windows.clear();
                }
                let (view, windows) = self.apply_page(read.era, &read.value);
                if !windows.is_empty() {
                    self.stored_windows.extend(windows.keys());
                    self.hub.send(HubMessage::WindowsFinalized { windows }).await;
                }
                self.view = Some(view.clone());
                self.lease.on_view(self.clock.now_ms(), sent_at_ms, view);
            }
            // The next records were removed: start again from the newest record of each key.
            Err(StoreError::Expired) => self.view = None,
            Err(_) => compio::time::sleep(TICK * 2).await,
        }
    }

    /// Applies a page of records and returns the view after them, with the finalized windows.
    fn apply_page(&mut self, era: StoreEra, page: &Page) -> (CasLeaseView, StartWindows) {
        let mut windows = StartWindows::new();
        let mut newest = self.view.take().and_then(|view| view.newest);
        for record in page.records.iter().filter(|record| !record.value.is_empty()) {
            if let Some(number) = record.key.strip_prefix(WINDOW_KEY_PREFIX) {
                let counts = from_json::<proto::RequestStartWindow>(&record.value)
                    .map(start_counts_from_proto);
                if let (Ok(window), Ok(counts)) = (number.parse(), counts) {
                    windows.insert(window, counts);
                } else {
                    event!(Event::RecordMalformed, topic = "Lease", key = record.key);
                }
            } else if &*record.key == LEASE_KEY {
                match from_json::<proto::LeaseEntry>(&record.value) {
                    Ok(entry) => {
                        let lease_record = from_proto(&entry);
                        if lease_record.era == era && lease_record.holder != self.identity {
                            self.complete_since_ms = entry.complete_since_ms.unwrap_or(0);
                        }
                        newest = Some((record.offset, lease_record));
                    }
                    Err(error) => event!(Event::RecordMalformed, topic = "Lease", why = error),
                }
            }
        }
        (CasLeaseView { era, end: page.next_offset, newest }, windows)
    }

    async fn write(
        &mut self,
        expected_end: u64,
        record: CasLeaseRecord,
        window: Option<(u64, &StartCounts)>,
    ) {
        let entry = to_proto(&record, self.complete_since_ms);
        let mut records = vec![(LEASE_KEY.to_owned(), Bytes::from(to_json(&entry)))];
        let mut windows = self.lost_windows().await;
        if let Some((window, counts)) = window {
            windows.insert(window, counts.clone());
            if let Some(old) = window.checked_sub(KEPT_FINALIZED_WINDOWS) {
                records.push((format!("{WINDOW_KEY_PREFIX}{old}"), Bytes::new()));
                self.stored_windows = self.stored_windows.split_off(&old);
            }
        }
        records.extend(windows.iter().map(|(window, counts)| {
            let entry = start_window_to_proto(*window, counts);
            (format!("{WINDOW_KEY_PREFIX}{window}"), Bytes::from(to_json(&entry)))
        }));
        let result = self.client.append(Topic::Lease, Some(expected_end), &records).await;
        self.store.record(&result);
        let append_result = match result {
            // In another era than it was decided in, the record has no effect.
            Ok(appended) if appended.era != record.era => {
                self.learn_era(appended.era).await;
                AppendResult::Unknown
            }
            Ok(appended) => {
                self.lacks_windows = false;
                self.stored_windows.extend(windows.keys());
                if !windows.is_empty() {
                    self.hub.send(HubMessage::WindowsFinalized { windows }).await;
                }
                let appended = appended.value;
                AppendResult::Appended { offset: appended.first_offset, end: appended.next_offset }
            }
            Err(StoreError::Outdated) => AppendResult::Conflict,
            Err(_) => {
                compio::time::sleep(TICK * 2).await;
                AppendResult::Unknown
            }
        };
        self.lease.on_written(self.clock.now_ms(), record, append_result);
    }

    /// Returns the finalized windows that a restored store may lack.
    async fn lost_windows(&self) -> StartWindows {
        if !self.lacks_windows {
            return StartWindows::new();
        }
        let count = REWRITTEN_WINDOWS;
        let newest = self.hub.request(|reply| HubMessage::NewestFinalized { count, reply }).await;
        let mut windows = newest.unwrap_or_default();
        windows.retain(|window, _| !self.stored_windows.contains(window));
        windows
    }

    async fn finalized_counts(&self, window: u64) -> Option<StartCounts> {
        self.hub.request(|reply| HubMessage::FinalizedWindow { window, reply }).await.flatten()
    }

    /// Finalizes a window by appending its starts together with a renewal of the lease. The first
    /// such record of a window is final.
    async fn finalize_window(&mut self, window: u64, counts: StartCounts) -> Option<Finalization> {
        self.lease.fence(self.clock.now_ms())?;
        let counts = match self.finalized_counts(window).await {
            Some(known) if self.stored_windows.contains(&window) => {
                return Some(Finalization::Final(known));
            }
            Some(known) => known,
            None => match window_standing(&self.window_times, window, self.complete_since_ms) {
                WindowStanding::Open => counts,
                WindowStanding::MaybeReported => return Some(Finalization::MaybeReported),
            },
        };
        self.lease.renew_now();
        self.step(Some((window, &counts))).await;
        if !self.stored_windows.contains(&window) {
            return None;
        }
        self.finalized_counts(window).await.map(Finalization::Final)
    }

    async fn publish(&mut self) {
        let now_ms = self.clock.now_ms();
        let lease = self.lease.usable(now_ms);
        let is_holder = self.lease.is_holder(now_ms);
        if is_holder != self.is_holder {
            self.is_holder = is_holder;
            if is_holder {
                let fence = lease.map_or(0, |lease| lease.position.fencing_token());
                event!(Event::LeaseAcquired, fence = fence);
            } else {
                let holder = self.lease.holder().map_or("", |name| name.as_str());
                event!(Event::LeaseLost, holder = holder);
            }
        }
        let known = self.hub.request(|reply| HubMessage::SetLease { lease, reply }).await;
        self.learn_era(known.unwrap_or_default()).await;
    }
}

fn to_proto(record: &CasLeaseRecord, complete_since_ms: u64) -> proto::LeaseEntry {
    proto::LeaseEntry {
        complete_since_ms: Some(complete_since_ms).filter(|since_ms| *since_ms > 0),
        holder: holder_to_proto(&record.holder),
        nonce: record.nonce,
        era: Some(record.era.number()).filter(|number| *number > 0),
        released: record.is_released,
    }
}

fn from_proto(entry: &proto::LeaseEntry) -> CasLeaseRecord {
    CasLeaseRecord {
        holder: holder_from_proto(&entry.holder),
        nonce: entry.nonce,
        era: entry.era.and_then(StoreEra::new).unwrap_or_default(),
        is_released: entry.released,
    }
}
