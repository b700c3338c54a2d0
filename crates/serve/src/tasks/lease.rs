//! Acquires and renews the lease in the store, and finalizes usage windows under it.

use std::collections::BTreeSet;
use std::sync::Arc;
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
/// Key of the lease record's era, in eras above 0.
const LEASE_ERA_KEY: &str = "lease/era";
/// Prefix of the keys of finalized windows: `window/WINDOW` in era 0, then `window/ERA/WINDOW`, so that
/// a late write of an earlier era does not replace one.
const WINDOW_KEY_PREFIX: &str = "window/";

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

/// Since when every finalized window is known to this instance or in the store.
#[derive(Clone, Copy, Debug)]
enum CompleteSince {
    Always,
    /// The time at which this instance learned the era of the store, in milliseconds of the local
    /// clock: early estimates of the cluster time may be far off.
    LocalMs(u64),
    /// The cluster time in the lease record of another holder, in milliseconds.
    ClusterMs(u64),
}

/// Records of the lease's topic, decoded.
struct LeasePage {
    view: CasLeaseView,
    /// Windows that were finalized in the era of the page.
    windows: StartWindows,
    /// Windows that were finalized in earlier eras.
    earlier_windows: StartWindows,
}

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
    /// Keys of finalized windows of earlier eras in the store.
    earlier_window_keys: Vec<Arc<str>>,
    complete_since: CompleteSince,
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
        earlier_window_keys: Vec::new(),
        complete_since: CompleteSince::Always,
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
    fn learn_era(&mut self, era: StoreEra) {
        if era <= self.lease.era() {
            return;
        }
        let now_ms = self.clock.now_ms();
        if !self.lease.is_holder(now_ms) {
            self.complete_since = CompleteSince::LocalMs(now_ms);
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
                self.learn_era(read.era);
                // The offset that was read from is one of an earlier era.
                if !is_list && self.view.is_none() {
                    return;
                }
                if is_list {
                    self.stored_windows.clear();
                    self.earlier_window_keys.clear();
                }
                let LeasePage { view, windows, earlier_windows } =
                    self.apply_page(read.era, &read.value);
                if !earlier_windows.is_empty() {
                    let windows = earlier_windows;
                    self.hub.send(HubMessage::EarlierWindowsFinalized { windows }).await;
                }
                self.on_windows_stored(windows).await;
                self.view = Some(view.clone());
                self.lease.on_view(self.clock.now_ms(), sent_at_ms, view);
            }
            // The next records were removed: start again from the newest record of each key.
            Err(StoreError::Expired) => self.view = None,
            Err(_) => compio::time::sleep(TICK * 2).await,
        }
    }

    async fn on_windows_stored(&mut self, windows: StartWindows) {
        self.stored_windows.extend(windows.keys());
        while self.stored_windows.len() > KEPT_FINALIZED_WINDOWS {
            self.stored_windows.pop_first();
        }
        if !windows.is_empty() {
            self.hub.send(HubMessage::WindowsFinalized { windows }).await;
        }
    }

    /// Applies a page of records.
    fn apply_page(&mut self, era: StoreEra, page: &Page) -> LeasePage {
        let mut windows = StartWindows::new();
        let mut earlier_windows = StartWindows::new();
        let mut newest = self.view.take().and_then(|view| view.newest);
        for record in page.records.iter().filter(|record| !record.value.is_empty()) {
            if record.key.starts_with(WINDOW_KEY_PREFIX) {
                let counts = from_json::<proto::RequestStartWindow>(&record.value)
                    .map(start_counts_from_proto);
                match (parse_window_key(&record.key), counts) {
                    (Some((written_in, window)), Ok(counts)) if written_in == era => {
                        windows.insert(window, counts);
                    }
                    (Some((_, window)), Ok(counts)) => {
                        self.earlier_window_keys.push(record.key.clone());
                        earlier_windows.insert(window, counts);
                    }
                    _ => event!(Event::RecordMalformed, topic = "Lease", key = record.key),
                }
            } else if &*record.key == LEASE_KEY {
                match from_json::<proto::LeaseEntry>(&record.value) {
                    Ok(entry) => newest = Some((record.offset, from_proto(&entry))),
                    Err(error) => event!(Event::RecordMalformed, topic = "Lease", why = error),
                }
            } else if &*record.key == LEASE_ERA_KEY {
                match from_json::<proto::LeaseEraEntry>(&record.value) {
                    Ok(entry) => self.apply_era_entry(era, &entry, newest.as_mut()),
                    Err(error) => event!(Event::RecordMalformed, topic = "Lease", why = error),
                }
            }
        }
        let view = CasLeaseView { era, end: page.next_offset, newest };
        LeasePage { view, windows, earlier_windows }
    }

    /// Applies the era of a lease record if that is the newest one.
    fn apply_era_entry(
        &mut self,
        era: StoreEra,
        entry: &proto::LeaseEraEntry,
        newest: Option<&mut (u64, CasLeaseRecord)>,
    ) {
        let holder = holder_from_proto(&entry.holder);
        let Some((_, record)) =
            newest.filter(|(_, newest)| newest.holder == holder && newest.nonce == entry.nonce)
        else {
            return;
        };
        record.era = StoreEra::new(entry.era).unwrap_or_default();
        if record.era == era && holder != self.identity {
            self.complete_since = CompleteSince::ClusterMs(entry.complete_since_ms);
        }
    }

    async fn complete_since_ms(&self) -> u64 {
        match self.complete_since {
            CompleteSince::Always => 0,
            CompleteSince::ClusterMs(since_ms) => since_ms,
            CompleteSince::LocalMs(since_ms) => {
                let elapsed_ms = self.clock.now_ms().saturating_sub(since_ms);
                let cluster_ms = self.hub.request(|reply| HubMessage::ClusterTime { reply }).await;
                cluster_ms.unwrap_or_default().saturating_sub(elapsed_ms)
            }
        }
    }

    async fn write(
        &mut self,
        expected_end: u64,
        record: CasLeaseRecord,
        window: Option<(u64, &StartCounts)>,
    ) {
        let mut records = vec![(LEASE_KEY.to_owned(), Bytes::from(to_json(&to_proto(&record))))];
        if record.era > StoreEra::default() {
            let entry = era_to_proto(&record, self.complete_since_ms().await);
            records.push((LEASE_ERA_KEY.to_owned(), Bytes::from(to_json(&entry))));
        }
        let mut windows = self.lost_windows().await;
        if let Some((window, counts)) = window {
            windows.insert(window, counts.clone());
            let kept = u64::try_from(KEPT_FINALIZED_WINDOWS).unwrap_or(u64::MAX);
            if let Some(old) = window.checked_sub(kept) {
                records.push((window_key(record.era, old), Bytes::new()));
            }
        }
        records.extend(windows.iter().map(|(window, counts)| {
            let entry = start_window_to_proto(*window, counts);
            (window_key(record.era, *window), Bytes::from(to_json(&entry)))
        }));
        let removed = self.earlier_window_keys.len();
        let earlier_keys = self.earlier_window_keys.iter();
        records.extend(earlier_keys.map(|key| (key.to_string(), Bytes::new())));
        let result = self.client.append(Topic::Lease, Some(expected_end), &records).await;
        self.store.record(&result);
        let append_result = match result {
            // In another era than it was decided in, the record has no effect.
            Ok(appended) if appended.era != record.era => {
                self.learn_era(appended.era);
                AppendResult::Unknown
            }
            Ok(appended) => {
                self.lacks_windows = false;
                self.earlier_window_keys.drain(..removed);
                self.on_windows_stored(windows).await;
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
        // Windows that may still be due, and one that is about to be.
        let due = self.window_times.late_ms / self.window_times.window_ms.max(1) + 2;
        let count = usize::try_from(due).unwrap_or(usize::MAX);
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
        let complete_since_ms = self.complete_since_ms().await;
        let counts = match self.finalized_counts(window).await {
            Some(known) if self.stored_windows.contains(&window) => {
                return Some(Finalization::Final(known));
            }
            Some(known) => known,
            None => match window_standing(&self.window_times, window, complete_since_ms) {
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
        self.learn_era(known.unwrap_or_default());
    }
}

fn window_key(era: StoreEra, window: u64) -> String {
    if era == StoreEra::default() {
        format!("{WINDOW_KEY_PREFIX}{window}")
    } else {
        format!("{WINDOW_KEY_PREFIX}{era}/{window}")
    }
}

/// Returns the era in which a window was finalized, and its number.
fn parse_window_key(key: &str) -> Option<(StoreEra, u64)> {
    let name = key.strip_prefix(WINDOW_KEY_PREFIX)?;
    let (era, window) = name.split_once('/').unwrap_or(("0", name));
    Some((StoreEra::new(era.parse().ok()?)?, window.parse().ok()?))
}

fn to_proto(record: &CasLeaseRecord) -> proto::LeaseEntry {
    proto::LeaseEntry {
        holder: holder_to_proto(&record.holder),
        nonce: record.nonce,
        released: record.is_released,
    }
}

fn era_to_proto(record: &CasLeaseRecord, complete_since_ms: u64) -> proto::LeaseEraEntry {
    proto::LeaseEraEntry {
        holder: holder_to_proto(&record.holder),
        nonce: record.nonce,
        era: record.era.number(),
        complete_since_ms,
    }
}

/// Converts a lease record, which is of era 0 unless the record of its era follows.
fn from_proto(entry: &proto::LeaseEntry) -> CasLeaseRecord {
    CasLeaseRecord {
        holder: holder_from_proto(&entry.holder),
        nonce: entry.nonce,
        era: StoreEra::default(),
        is_released: entry.released,
    }
}
