//! Fairness between eight workspaces at one instance, of which one floods it with requests.

use std::collections::{BTreeMap, VecDeque};

use cowslip_name::Name;
use cowslip_scheduling::{EnqueueResult, FairQueue, QueueId, QueuedRequest};
use fastrand::Rng;

use crate::fixtures::name;

const WORKSPACES: usize = 8;
/// Requests that may run at the same time.
const SLOTS: usize = 16;
const STEPS: u64 = 20_000;
/// Probability that an ordinary workspace sends a request in one step; together they demand about
/// 55 percent of the slots.
const ARRIVAL_PROBABILITY: f64 = 0.005;
/// Requests that the flooding workspace sends in one step.
const FLOOD_REQUESTS_PER_STEP: usize = 1;
/// Range of the time that a request occupies a slot, in steps.
const SERVICE_TIME_STEPS: std::ops::Range<u64> = 150..350;
/// Longest time that a request may be queued, in steps.
const QUEUE_TIMEOUT_STEPS: u64 = 400;
const MAX_IN_FLIGHT: u32 = 64;

/// A policy for admitting queued requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AdmissionPolicy {
    /// First come, first served.
    ArrivalOrder,
    /// First come, first served, with a fixed limit of running requests per workspace.
    FixedLimit,
    /// The [`FairQueue`] of `cowslip-scheduling`, by share weights.
    Shares,
}

pub(crate) const POLICIES: &[AdmissionPolicy] =
    &[AdmissionPolicy::ArrivalOrder, AdmissionPolicy::FixedLimit, AdmissionPolicy::Shares];

impl AdmissionPolicy {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::ArrivalOrder => "first come, first served",
            Self::FixedLimit => "first come, first served, fixed limit per workspace",
            Self::Shares => "cowslip: by share weights",
        }
    }
}

#[derive(Clone, Copy)]
struct Request {
    workspace: usize,
    queued_at: u64,
    service_steps: u64,
}

/// Returns the fraction of its requests that started before the queue timeout, for the ordinary
/// workspace with the lowest such fraction.
pub(crate) fn min_served_fraction(policy: AdmissionPolicy, seed: u64) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let names: Vec<Name> =
        (0..WORKSPACES).map(|index| name(&format!("workspace-{index}"))).collect();
    let mut fifo_queue: VecDeque<Request> = VecDeque::new();
    let mut fair_queue = FairQueue::default();
    let mut queued_by_id: BTreeMap<QueueId, Request> = BTreeMap::new();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let (mut arrived, mut served) = ([0u32; WORKSPACES], [0u32; WORKSPACES]);
    for now in 0..STEPS {
        for (end, workspace) in running.extract_if(.., |(end, _)| *end <= now) {
            debug_assert!(end <= now);
            fair_queue.finish(&names[workspace]);
        }
        for workspace in arrivals(&mut rng) {
            arrived[workspace] += 1;
            let request =
                Request { workspace, queued_at: now, service_steps: rng.u64(SERVICE_TIME_STEPS) };
            match policy {
                AdmissionPolicy::ArrivalOrder => fifo_queue.push_back(request),
                AdmissionPolicy::FixedLimit => {
                    let running_count =
                        running.iter().filter(|(_, owner)| *owner == workspace).count();
                    let limit = 2 * SLOTS / WORKSPACES;
                    if running_count < limit {
                        fifo_queue.push_back(request);
                    }
                }
                AdmissionPolicy::Shares => {
                    let queued_request = QueuedRequest {
                        workspace: names[workspace].clone(),
                        share_weight: 1,
                        max_in_flight: MAX_IN_FLIGHT,
                        cost_tokens: request.service_steps,
                    };
                    if let EnqueueResult::Queued(queue_id) = fair_queue.enqueue(queued_request) {
                        queued_by_id.insert(queue_id, request);
                    }
                }
            }
        }
        fifo_queue.retain(|request| now < request.queued_at + QUEUE_TIMEOUT_STEPS);
        let expired: Vec<QueueId> = queued_by_id
            .iter()
            .filter(|(_, request)| now >= request.queued_at + QUEUE_TIMEOUT_STEPS)
            .map(|(queue_id, _)| *queue_id)
            .collect();
        for queue_id in expired {
            fair_queue.withdraw(queue_id);
            queued_by_id.remove(&queue_id);
        }
        while running.len() < SLOTS {
            let next = match policy {
                AdmissionPolicy::ArrivalOrder | AdmissionPolicy::FixedLimit => {
                    fifo_queue.pop_front()
                }
                AdmissionPolicy::Shares => fair_queue.heads().first().and_then(|queue_id| {
                    fair_queue.start(*queue_id);
                    queued_by_id.remove(queue_id)
                }),
            };
            let Some(request) = next else { break };
            served[request.workspace] += 1;
            running.push((now + request.service_steps, request.workspace));
        }
    }
    (1..WORKSPACES)
        .map(|index| f64::from(served[index]) / f64::from(arrived[index].max(1)))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the workspaces of the requests that arrive in a step; workspace 0 floods.
fn arrivals(rng: &mut Rng) -> Vec<usize> {
    let mut workspaces = vec![0; FLOOD_REQUESTS_PER_STEP];
    workspaces.extend((1..WORKSPACES).filter(|_| rng.f64() < ARRIVAL_PROBABILITY));
    workspaces
}
