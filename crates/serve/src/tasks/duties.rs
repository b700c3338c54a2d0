//! What the holder of the lease does: usage reports, orders of capacity, roles of engines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use cowslip_clock::Clock;
use cowslip_codec::{from_json, start_windows_from_proto};
use cowslip_fleet::{CapacityOrder, RoleOrder};
use cowslip_proto as proto;
use cowslip_usage::{StartCounts, WindowTimes, merge_max, sum_window};

use super::HubHandle;
use super::authority::AuthorityJob;
use super::dependency::Dependency;
use crate::events::{Event, event};
use crate::hub::{HubMessage, Plans};
use crate::metrics::Metrics;
use crate::platform::{DutyResult, LeaseCredentials, Platform, Topic};

const TICK: Duration = Duration::from_millis(400);
/// Pause after an order of capacity before it is repeated, if what was ordered is not there: longer
/// than an upstream takes to start and to write its entry.
const REORDER_MS: u64 = 8_000;
/// The same after a refusal.
const REFUSED_MS: u64 = 2_500;
/// Pause after an order of a role: longer than the change and the engine's next entry take.
const ROLE_MS: u64 = 6_000;
/// How long a role must be wished before it is ordered: entries of engines that come together
/// differ by the interval at which they are written.
const ROLE_SETTLE_MS: u64 = 1_500;

/// The holder's work.
pub(crate) struct Duties<E> {
    platform: E,
    hub: HubHandle,
    clock: Clock,
    metrics: Metrics,
    me: Arc<str>,
    times: WindowTimes,
    authority: Sender<AuthorityJob>,
    reported: BTreeSet<u64>,
    capacity_due_ms: HashMap<(Arc<str>, Arc<str>, bool), u64>,
    role_due_ms: HashMap<Arc<str>, u64>,
    role_wished_ms: HashMap<Arc<str>, u64>,
    store: Dependency,
}

/// Works whenever this instance holds the lease, until the process ends.
pub(crate) async fn run_duties<E>(
    platform: E,
    hub: HubHandle,
    clock: Clock,
    metrics: Metrics,
    me: Arc<str>,
    times: WindowTimes,
    authority: Sender<AuthorityJob>,
) where
    E: Platform,
{
    let mut duties = Duties {
        platform,
        hub,
        clock,
        metrics,
        me,
        times,
        authority,
        reported: BTreeSet::new(),
        capacity_due_ms: HashMap::new(),
        role_due_ms: HashMap::new(),
        role_wished_ms: HashMap::new(),
        store: Dependency::new(Topic::Starts, "reading"),
    };
    loop {
        compio::time::sleep(TICK).await;
        if duties.right().await.is_some() {
            duties.order().await;
            duties.report().await;
        }
    }
}

impl<E> Duties<E>
where
    E: Platform,
{
    /// The right to make a call now.
    async fn right(&self) -> Option<LeaseCredentials> {
        let fence = self.hub.ask(|reply| HubMessage::Fence { reply }).await.flatten()?;
        Some(LeaseCredentials { holder: self.me.clone(), fence })
    }

    async fn order(&mut self) {
        let Some(plans) = self.hub.ask(|reply| HubMessage::Plan { reply }).await else { return };
        let Plans { capacity, roles } = plans;
        for order in capacity {
            self.order_capacity(&order).await;
        }
        let now_ms = self.clock.now_ms();
        self.role_wished_ms.retain(|id, _| roles.iter().any(|order| order.upstream.id == *id));
        for order in roles {
            let wished_ms = *self.role_wished_ms.entry(order.upstream.id.clone()).or_insert(now_ms);
            if now_ms.saturating_sub(wished_ms) >= ROLE_SETTLE_MS {
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
        let Some(authority) = self.right().await else { return };
        let result = self.platform.order_capacity(&authority, order).await;
        event!(
            Event::CapacityOrdered,
            service = order.service,
            domain = order.failure_domain,
            wanted = order.desired,
            fence = authority.fence,
            result = format_args!("{result:?}")
        );
        let pause_ms = if result == DutyResult::Done { REORDER_MS } else { REFUSED_MS };
        self.capacity_due_ms.insert(key, now_ms + pause_ms);
        self.note(&authority, "capacity", &result).await;
    }

    async fn order_role(&mut self, order: &RoleOrder) {
        let now_ms = self.clock.now_ms();
        let id = &order.upstream.id;
        if self.role_due_ms.get(id).is_some_and(|due_ms| now_ms < *due_ms) {
            return;
        }
        let Some(authority) = self.right().await else { return };
        self.role_due_ms.insert(id.clone(), now_ms + ROLE_MS);
        let result = self.platform.order_role(&authority, &order.upstream, order.role).await;
        event!(
            Event::RoleOrdered,
            upstream = id,
            role = format_args!("{:?}", order.role),
            fence = authority.fence,
            result = format_args!("{result:?}")
        );
        self.note(&authority, "role", &result).await;
    }

    /// Counts a call; one that was fenced off makes its fencing number useless.
    async fn note(&self, authority: &LeaseCredentials, duty: &str, result: &DutyResult) {
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
                fence = authority.fence,
                result = format_args!("{result:?}")
            );
        }
        if *result == DutyResult::Fenced {
            // The channel closes only when the process ends.
            let _ = self.authority.send(AuthorityJob::Fenced(authority.fence)).await;
        }
    }

    async fn report(&mut self) {
        let true_ms = self.hub.ask(|reply| HubMessage::TrueTime { reply }).await;
        let Some(true_ms) = true_ms else { return };
        let due = self.times.due(true_ms);
        self.reported = self.reported.split_off(due.start());
        let open: Vec<u64> = due.filter(|window| !self.reported.contains(window)).collect();
        if open.is_empty() {
            return;
        }
        let Some(counters) = self.counters(true_ms).await else { return };
        for window in open {
            let rows = sum_window(window, counters.values());
            if self.report_window(window, rows).await.is_none() {
                return;
            }
        }
    }

    async fn report_window(&mut self, window: u64, rows: StartCounts) -> Option<()> {
        let (reply, fixed) = async_channel::bounded(1);
        self.authority.send(AuthorityJob::Fix { window, rows, reply }).await.ok()?;
        let rows = fixed.recv().await.ok().flatten()?;
        let authority = self.right().await?;
        let result = self.platform.report_usage(&authority, window, &rows).await;
        event!(
            Event::WindowReported,
            window = window,
            starts = rows.values().sum::<u64>(),
            workspaces = rows.len(),
            fence = authority.fence,
            result = format_args!("{result:?}")
        );
        self.note(&authority, "usage", &result).await;
        if result == DutyResult::Done {
            self.reported.insert(window);
        }
        Some(())
    }

    /// Sums of all instances; those that count nothing any more are removed.
    async fn counters(
        &mut self,
        true_ms: u64,
    ) -> Option<BTreeMap<Arc<str>, BTreeMap<u64, StartCounts>>> {
        let read = self.platform.read_latest(Topic::Starts).await;
        self.store.note(&read);
        // The windows are due again with the next tick.
        let page = read.ok()?;
        let oldest = self.times.window_of(true_ms.saturating_sub(4 * self.times.late_ms));
        let mut counters = BTreeMap::new();
        let mut unused = Vec::new();
        for record in page.records.iter().filter(|record| !record.value.is_empty()) {
            let entry = match from_json::<proto::RequestStartEntry>(&record.value) {
                Ok(entry) => entry,
                Err(error) => {
                    event!(Event::RecordBad, topic = "Starts", key = record.key, why = error);
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
            && let Err(error) = self.platform.append(Topic::Starts, None, &unused).await
        {
            event!(Event::AppendFailed, topic = "Starts", why = format_args!("{error:?}"));
        }
        // What an instance has told or counted may not be written yet.
        let known = self.hub.ask(|reply| HubMessage::KnownStarts { reply }).await;
        for (key, windows) in known.unwrap_or_default() {
            merge_max(counters.entry(key).or_default(), &windows);
        }
        Some(counters)
    }
}
