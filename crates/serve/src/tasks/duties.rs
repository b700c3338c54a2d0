//! Duties of the lease holder: usage reports, capacity orders and role orders.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use cowslip_clock::Clock;
use cowslip_codec::{from_json, start_windows_from_proto};
use cowslip_fleet::{CapacityOrder, RoleOrder};
use cowslip_proto as proto;
use cowslip_usage::{ReportRetry, StartCounts, WindowTimes, merge_max, sum_window};

use super::HubHandle;
use super::lease::{Finalization, LeaseMessage};
use super::store_availability::StoreAvailability;
use super::store_client::StoreClient;
use super::store_reads::{ReadMethod, read_list};
use crate::events::{Event, event};
use crate::hub::{HubMessage, PlannedOrders};
use crate::metrics::Metrics;
use crate::platform::{DutyResult, LeaseCredentials, Platform, Topic};

/// Interval between checks for usage windows that are due.
const TICK: Duration = Duration::from_millis(200);
/// Ticks from one check for orders to the next.
const TICKS_PER_PLAN: u32 = 2;
/// Delay before capacity that has not arrived is ordered again: longer than an upstream takes to
/// start and to write its entry.
const CAPACITY_REORDER_MS: u64 = 8_000;
/// Delay before refused capacity is ordered again.
const CAPACITY_REFUSED_MS: u64 = 2_500;
/// Delay before a role is ordered again: longer than the change of the role and the engine's next
/// entry take.
const ROLE_REORDER_MS: u64 = 6_000;
/// Longest wait for the other reader's confirmation that it knows the finalized windows.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a role must be desired before it is ordered: entries of engines that start
/// together arrive up to one write interval apart.
const ROLE_SETTLE_MS: u64 = 1_500;

/// The duty task: its handles to other tasks, and its recent reports and orders.
pub(crate) struct DutyTask<P> {
    platform: P,
    client: StoreClient<P>,
    hub: HubHandle,
    clock: Clock,
    metrics: Metrics,
    instance: Arc<str>,
    times: WindowTimes,
    lease: Sender<LeaseMessage>,
    /// Windows that were reported and may still be due.
    reported: BTreeSet<u64>,
    report_retry: ReportRetry,
    /// Earliest time of the next order, by service, failure domain and whether the capacity is
    /// reclaimable.
    capacity_due_ms: HashMap<(Arc<str>, Arc<str>, bool), u64>,
    /// Earliest time of the next order, by engine.
    role_due_ms: HashMap<Arc<str>, u64>,
    /// Time since which a role is desired, by engine.
    role_desired_since_ms: HashMap<Arc<str>, u64>,
    store: StoreAvailability,
}

/// Runs the duties while this instance holds the lease, until the process ends.
pub(crate) async fn run_duties<P>(
    platform: P,
    hub: HubHandle,
    clock: Clock,
    metrics: Metrics,
    instance: Arc<str>,
    times: WindowTimes,
    lease: Sender<LeaseMessage>,
) where
    P: Platform,
{
    let mut duties = DutyTask {
        client: StoreClient::new(platform.clone(), hub.clone()),
        platform,
        hub,
        clock,
        metrics,
        instance,
        times,
        lease,
        reported: BTreeSet::new(),
        report_retry: ReportRetry::default(),
        capacity_due_ms: HashMap::new(),
        role_due_ms: HashMap::new(),
        role_desired_since_ms: HashMap::new(),
        store: StoreAvailability::new(Topic::Starts, "reading"),
    };
    for tick in (0..TICKS_PER_PLAN).cycle() {
        compio::time::sleep(TICK).await;
        if duties.credentials().await.is_some() {
            // Reports have a deadline, but orders do not wait for the timeouts of a retry.
            let is_retry = duties.report_retry.is_retry();
            if !is_retry {
                duties.report_usage().await;
            }
            if tick == 0 {
                duties.place_orders().await;
            }
            if is_retry {
                duties.report_usage().await;
            }
        }
    }
}

impl<P> DutyTask<P>
where
    P: Platform,
{
    /// Returns the credentials for a call, if this instance holds the lease now.
    async fn credentials(&self) -> Option<LeaseCredentials> {
        let fence = self.hub.request(|reply| HubMessage::Fence { reply }).await.flatten()?;
        Some(LeaseCredentials { holder: self.instance.clone(), fence })
    }

    async fn place_orders(&mut self) {
        let Some(plan) = self.hub.request(|reply| HubMessage::Plan { reply }).await else { return };
        let PlannedOrders { capacity, roles } = plan;
        for order in capacity {
            self.order_capacity(&order).await;
        }
        let now_ms = self.clock.now_ms();
        self.role_desired_since_ms
            .retain(|id, _| roles.iter().any(|order| order.upstream.id == *id));
        for order in roles {
            let desired_since_ms =
                *self.role_desired_since_ms.entry(order.upstream.id.clone()).or_insert(now_ms);
            if now_ms.saturating_sub(desired_since_ms) >= ROLE_SETTLE_MS {
                self.order_role(&order).await;
            }
        }
    }

    async fn order_capacity(&mut self, order: &CapacityOrder) {
        let key = (order.service.clone(), order.failure_domain.clone(), order.is_reclaimable);
        let now_ms = self.clock.now_ms();
        if self.capacity_due_ms.get(&key).is_some_and(|due_ms| now_ms < *due_ms) {
            return;
        }
        let Some(credentials) = self.credentials().await else { return };
        let result = self.platform.order_capacity(&credentials, order).await;
        event!(
            Event::CapacityOrdered,
            service = order.service,
            domain = order.failure_domain,
            wanted = order.desired,
            fence = credentials.fence,
            result = format_args!("{result:?}")
        );
        let delay_ms =
            if result == DutyResult::Done { CAPACITY_REORDER_MS } else { CAPACITY_REFUSED_MS };
        self.capacity_due_ms.insert(key, now_ms + delay_ms);
        self.record_result(&credentials, "capacity", &result).await;
    }

    async fn order_role(&mut self, order: &RoleOrder) {
        let now_ms = self.clock.now_ms();
        let id = &order.upstream.id;
        if self.role_due_ms.get(id).is_some_and(|due_ms| now_ms < *due_ms) {
            return;
        }
        let Some(credentials) = self.credentials().await else { return };
        self.role_due_ms.insert(id.clone(), now_ms + ROLE_REORDER_MS);
        let result = self.platform.order_role(&credentials, &order.upstream, order.role).await;
        event!(
            Event::RoleOrdered,
            upstream = id,
            role = format_args!("{:?}", order.role),
            fence = credentials.fence,
            result = format_args!("{result:?}")
        );
        self.record_result(&credentials, "role", &result).await;
    }

    /// Counts and logs the result of a call. After a fenced call, informs the lease task that the
    /// fencing token is superseded.
    async fn record_result(&self, credentials: &LeaseCredentials, duty: &str, result: &DutyResult) {
        let outcome = match result {
            DutyResult::Done => "done",
            DutyResult::Fenced => "fenced",
            DutyResult::Refused(_) => "refused",
            DutyResult::Unknown(_) => "unknown",
        };
        self.metrics.duty_calls.with_label_values(&[outcome]).inc();
        if *result != DutyResult::Done {
            event!(
                Event::DutyFailed,
                duty = duty,
                fence = credentials.fence,
                result = format_args!("{result:?}")
            );
        }
        if *result == DutyResult::Fenced {
            // The channel closes only when the process ends.
            let _ = self.lease.send(LeaseMessage::TokenSuperseded(credentials.fence)).await;
        }
    }

    /// Reports the windows that are due, unless a failed attempt was too recent.
    async fn report_usage(&mut self) {
        if !self.report_retry.is_due(self.clock.now_ms()) {
            return;
        }
        let cluster_ms = self.hub.request(|reply| HubMessage::ClusterTime { reply }).await;
        let Some(cluster_ms) = cluster_ms else { return };
        let due = self.times.due(cluster_ms);
        self.reported = self.reported.split_off(due.start());
        let due_windows: Vec<u64> = due.filter(|window| !self.reported.contains(window)).collect();
        let is_reported = self.report_windows(cluster_ms, &due_windows).await;
        self.report_retry.on_attempt(self.clock.now_ms(), is_reported);
    }

    /// Reports windows; returns whether all were reported.
    async fn report_windows(&mut self, cluster_ms: u64, windows: &[u64]) -> bool {
        if windows.is_empty() {
            return true;
        }
        let Some(counters) = self.read_counters(cluster_ms).await else { return false };
        let mut finalized = Vec::new();
        for window in windows {
            let counts = sum_window(*window, counters.values());
            match self.finalize_window(*window, counts).await {
                Some(Finalization::Final(counts)) => finalized.push((*window, counts)),
                Some(Finalization::MaybeReported) => {
                    event!(Event::WindowSkipped, window = window);
                    self.reported.insert(*window);
                }
                None => break,
            }
        }
        if !finalized.is_empty() {
            let confirmed = self.hub.request(|reply| HubMessage::ConfirmFinalized { reply });
            // Without a confirmation, a restore together with the loss of this instance may lose
            // the counts.
            let _ = compio::time::timeout(CONFIRM_TIMEOUT, confirmed).await;
        }
        for (window, counts) in finalized {
            if self.report_window(window, &counts).await.is_none() {
                return false;
            }
        }
        windows.iter().all(|window| self.reported.contains(window))
    }

    /// Finalizes a window; `None` if that failed.
    async fn finalize_window(&self, window: u64, counts: StartCounts) -> Option<Finalization> {
        let (reply, finalized) = async_channel::bounded(1);
        self.lease.send(LeaseMessage::FinalizeWindow { window, counts, reply }).await.ok()?;
        finalized.recv().await.ok().flatten()
    }

    /// Reports a finalized window; `None` if the lease is lost.
    async fn report_window(&mut self, window: u64, counts: &StartCounts) -> Option<()> {
        let credentials = self.credentials().await?;
        let result = self.platform.report_usage(&credentials, window, counts).await;
        event!(
            Event::WindowReported,
            window = window,
            starts = counts.values().sum::<u64>(),
            workspaces = counts.len(),
            fence = credentials.fence,
            result = format_args!("{result:?}")
        );
        self.record_result(&credentials, "usage", &result).await;
        if result == DutyResult::Done {
            self.reported.insert(window);
        }
        Some(())
    }

    /// Reads the request starts that all instances counted, and removes records without recent
    /// windows from the store.
    async fn read_counters(
        &mut self,
        cluster_ms: u64,
    ) -> Option<BTreeMap<Arc<str>, BTreeMap<u64, StartCounts>>> {
        let result = read_list(&self.client, Topic::Starts, ReadMethod::Single).await;
        self.store.record(&result);
        // After a failed read, the windows are still due at the next attempt.
        let page = result.ok()?.value;
        let oldest = self.times.window_of(cluster_ms.saturating_sub(4 * self.times.late_ms));
        let mut counters = BTreeMap::new();
        let mut unused = Vec::new();
        for record in page.records.iter().filter(|record| !record.value.is_empty()) {
            let entry = match from_json::<proto::RequestStartEntry>(&record.value) {
                Ok(entry) => entry,
                Err(error) => {
                    event!(Event::RecordMalformed, topic = "Starts", key = record.key, why = error);
                    continue;
                }
            };
            let windows = start_windows_from_proto(entry.windows);
            if windows.keys().next_back().is_some_and(|newest| *newest >= oldest) {
                counters.insert(record.key.clone(), windows);
            } else {
                unused.push((record.key.to_string(), Bytes::new()));
            }
        }
        if !unused.is_empty()
            && let Err(error) = self.client.append(Topic::Starts, None, &unused).await
        {
            event!(Event::AppendFailed, topic = "Starts", why = format_args!("{error:?}"));
        }
        // Starts that peers have sent or this instance has counted may not be written yet.
        let known = self.hub.request(|reply| HubMessage::KnownStarts { reply }).await;
        for (key, windows) in known.unwrap_or_default() {
            merge_max(counters.entry(key).or_default(), &windows);
        }
        Some(counters)
    }
}
