//! Holds the lease in the store, and fixes usage windows under it.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use cowslip_authority::{
    CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, Holder, LeaseTimes, WriteResult,
};
use cowslip_clock::Clock;
use cowslip_codec::{
    from_json, holder_from_proto, holder_to_proto, start_counts_from_proto, start_window_to_proto,
    to_json,
};
use cowslip_proto as proto;
use cowslip_usage::StartCounts;
use futures_util::FutureExt;

use super::HubHandle;
use super::dependency::Dependency;
use crate::events::{Event, event};
use crate::hub::{Held, HubMessage, Reads};
use crate::platform::{Page, Platform, StoreError, Topic};

const TICK: Duration = Duration::from_millis(100);
/// Key of the lease's record.
const LEASE_KEY: &str = "lease";
/// Beginning of the keys of fixed windows.
const WINDOW_KEY: &str = "window/";
/// Fixed windows that are kept for a new holder; older ones are removed.
const KEPT_WINDOWS: u64 = 24; // two minutes at the users' 5 s a window

/// What the task is asked.
#[derive(Debug)]
pub(crate) enum AuthorityJob {
    /// Fixes the figures of a window, unless they are fixed; the reply is what is fixed.
    Fix { window: u64, rows: StartCounts, reply: Sender<Option<StartCounts>> },
    /// A target has seen a higher fencing number.
    Fenced(u64),
    /// Gives the lease up; the reply comes when that is written or was given up.
    Retire { reply: Sender<Retired> },
}

/// The lease is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retired;

struct Task<E> {
    platform: E,
    hub: HubHandle,
    clock: Clock,
    register: CasLease,
    fixed: BTreeMap<u64, StartCounts>,
    /// What the reads have shown so far.
    view: Option<CasLeaseView>,
    is_holder: bool,
    store: Dependency,
}

/// Keeps or seeks the lease until it is retired.
pub(crate) async fn run_authority<E>(
    platform: E,
    hub: HubHandle,
    clock: Clock,
    me: Holder,
    times: LeaseTimes,
    jobs: Receiver<AuthorityJob>,
) where
    E: Platform,
{
    let register = CasLease::new(me, times, clock.now_ms());
    let store = Dependency::new(Topic::Lease, "the lease");
    let fixed = BTreeMap::new();
    let mut task =
        Task { platform, hub, clock, register, fixed, view: None, is_holder: false, store };
    loop {
        task.step(None).await;
        let job = compio::time::timeout(TICK, jobs.recv().fuse()).await;
        match job {
            // Nothing was asked.
            Err(_) => {}
            Ok(Ok(AuthorityJob::Fix { window, rows, reply })) => {
                let fixed = task.fix(window, rows).await;
                let _ = reply.try_send(fixed);
            }
            Ok(Ok(AuthorityJob::Fenced(fence))) => task.register.on_fenced(fence),
            Ok(Ok(AuthorityJob::Retire { reply })) => {
                task.register.step_down();
                task.step(None).await;
                let _ = reply.try_send(Retired);
                return;
            }
            Ok(Err(_)) => return,
        }
    }
}

impl<E> Task<E>
where
    E: Platform,
{
    /// Carries out what is due; `window` goes into the store with the next record of the lease.
    async fn step(&mut self, window: Option<(u64, &StartCounts)>) {
        let now_ms = self.clock.now_ms();
        match self.register.next_step(now_ms) {
            CasLeaseStep::Wait => {}
            // Instances that do not read the store are no candidates.
            CasLeaseStep::Read if !self.is_holder && !self.reads().await => {}
            CasLeaseStep::Read => self.read(now_ms).await,
            CasLeaseStep::Write { expected_end, record } => {
                self.write(expected_end, record, window).await;
            }
        }
        self.tell().await;
    }

    async fn reads(&self) -> bool {
        let reads = self.hub.ask(|reply| HubMessage::Reads { topic: Topic::Lease, reply }).await;
        reads.is_some_and(|reads| reads != Reads::Not)
    }

    async fn read(&mut self, sent_at_ms: u64) {
        let read = match &self.view {
            None => self.platform.read_latest(Topic::Lease).await,
            Some(view) => self.platform.read(Topic::Lease, view.end, 0).await,
        };
        self.store.note(&read);
        match read {
            Ok(page) => {
                let view = self.fold(&page);
                self.view = Some(view.clone());
                self.register.on_view(self.clock.now_ms(), sent_at_ms, view);
            }
            // What lies between is gone: only a list tells what is there now.
            Err(StoreError::Expired) => self.view = None,
            Err(_) => compio::time::sleep(TICK * 4).await,
        }
    }

    /// The view after a page of records that follow the view before it.
    fn fold(&mut self, page: &Page) -> CasLeaseView {
        let mut newest = self.view.take().and_then(|view| view.newest);
        for record in page.records.iter().filter(|record| !record.value.is_empty()) {
            if let Some(number) = record.key.strip_prefix(WINDOW_KEY) {
                let rows = from_json::<proto::RequestStartWindow>(&record.value)
                    .map(start_counts_from_proto);
                if let (Ok(window), Ok(rows)) = (number.parse(), rows) {
                    self.fixed.insert(window, rows);
                } else {
                    event!(Event::RecordBad, topic = "Lease", key = record.key);
                }
            } else if &*record.key == LEASE_KEY {
                match from_json::<proto::LeaseEntry>(&record.value) {
                    Ok(entry) => newest = Some((record.offset, from_proto(&entry))),
                    Err(error) => event!(Event::RecordBad, topic = "Lease", why = error),
                }
            }
        }
        CasLeaseView { end: page.next_offset, newest }
    }

    async fn write(
        &mut self,
        at: u64,
        record: CasLeaseRecord,
        window: Option<(u64, &StartCounts)>,
    ) {
        let mut records = vec![(LEASE_KEY.to_owned(), Bytes::from(to_json(&to_proto(&record))))];
        if let Some((window, rows)) = window {
            let entry = start_window_to_proto(window, rows);
            records.push((format!("{WINDOW_KEY}{window}"), Bytes::from(to_json(&entry))));
            if let Some(old) = window.checked_sub(KEPT_WINDOWS) {
                records.push((format!("{WINDOW_KEY}{old}"), Bytes::new()));
                self.fixed = self.fixed.split_off(&old);
            }
        }
        let written = self.platform.append(Topic::Lease, Some(at), &records).await;
        self.store.note(&written);
        let result = match written {
            Ok(appended) => {
                if let Some((window, rows)) = window {
                    self.fixed.insert(window, rows.clone());
                }
                WriteResult::Appended { offset: appended.offset, end: appended.next_offset }
            }
            Err(StoreError::Outdated) => WriteResult::Conflict,
            Err(_) => {
                compio::time::sleep(TICK * 2).await;
                WriteResult::Unknown
            }
        };
        self.register.on_written(self.clock.now_ms(), record, result);
    }

    /// A window is fixed by the first record of it that is appended under the lease.
    async fn fix(&mut self, window: u64, rows: StartCounts) -> Option<StartCounts> {
        self.register.fence(self.clock.now_ms())?;
        if !self.fixed.contains_key(&window) {
            self.register.renew_now();
            self.step(Some((window, &rows))).await;
        }
        self.fixed.get(&window).cloned()
    }

    async fn tell(&mut self) {
        let now_ms = self.clock.now_ms();
        let fence = self
            .register
            .fence_with_expiry(now_ms)
            .map(|(fence, until_ms)| Held { fence, until_ms });
        let is_holder = self.register.is_holder(now_ms);
        if is_holder != self.is_holder {
            self.is_holder = is_holder;
            if is_holder {
                event!(Event::LeaseGained, fence = fence.map_or(0, |held| held.fence));
            } else {
                let holder = self.register.holder().map_or("", |name| name.as_str());
                event!(Event::LeaseLost, holder = holder);
            }
        }
        self.hub.tell(HubMessage::Authority { fence }).await;
    }
}

fn to_proto(record: &CasLeaseRecord) -> proto::LeaseEntry {
    proto::LeaseEntry {
        holder: holder_to_proto(&record.holder),
        nonce: record.nonce,
        released: record.is_released,
    }
}

fn from_proto(entry: &proto::LeaseEntry) -> CasLeaseRecord {
    CasLeaseRecord {
        holder: holder_from_proto(&entry.holder),
        nonce: entry.nonce,
        is_released: entry.released,
    }
}
