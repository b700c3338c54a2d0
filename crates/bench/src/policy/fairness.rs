//! Eight workspaces at one instance, of which one floods.

use std::collections::{BTreeMap, VecDeque};

use cowslip_name::Name;
use cowslip_scheduling::{EnqueueResult, FairQueue, QueueId, QueuedRequest};
use fastrand::Rng;

use crate::fleet::name;

const WORKSPACES: usize = 8;
const SLOTS: usize = 16;
const STEPS: u64 = 20_000;
/// Chance of a request of an ordinary workspace in one step; together they ask for two thirds.
const CHANCE: f64 = 0.005;
/// Requests of the flooding workspace in one step.
const FLOOD: usize = 1;
const SERVICE_STEPS: std::ops::Range<u64> = 150..350;
/// A request that waits longer has failed.
const PATIENCE_STEPS: u64 = 400;
const MAX_IN_FLIGHT: u32 = 64;

/// A way to admit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    Arrival,
    FixedLimit,
    Shares,
}

pub(crate) const WAYS: &[Way] = &[Way::Arrival, Way::FixedLimit, Way::Shares];

impl Way {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::Arrival => "by arrival",
            Self::FixedLimit => "by arrival, fixed limit a workspace",
            Self::Shares => "ours, by shares",
        }
    }
}

#[derive(Clone, Copy)]
struct Request {
    workspace: usize,
    since: u64,
    length: u64,
}

/// Requests of the worst-served ordinary workspace that started in time, as a part of its own.
pub(crate) fn worst_share(way: Way, seed: u64) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let names: Vec<Name> =
        (0..WORKSPACES).map(|index| name(&format!("workspace-{index}"))).collect();
    let mut queue: VecDeque<Request> = VecDeque::new();
    let mut fair_queue = FairQueue::default();
    let mut waiting: BTreeMap<QueueId, Request> = BTreeMap::new();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let (mut asked, mut served) = ([0u32; WORKSPACES], [0u32; WORKSPACES]);
    for now in 0..STEPS {
        for (end, workspace) in running.extract_if(.., |(end, _)| *end <= now) {
            debug_assert!(end <= now);
            fair_queue.finish(&names[workspace]);
        }
        for workspace in arrivals(&mut rng) {
            asked[workspace] += 1;
            let request = Request { workspace, since: now, length: rng.u64(SERVICE_STEPS) };
            match way {
                Way::Arrival => queue.push_back(request),
                Way::FixedLimit => {
                    let held = running.iter().filter(|(_, other)| *other == workspace).count();
                    let limit = 2 * SLOTS / WORKSPACES;
                    if held < limit {
                        queue.push_back(request);
                    }
                }
                Way::Shares => {
                    let claim = QueuedRequest {
                        workspace: names[workspace].clone(),
                        share_weight: 1,
                        max_in_flight: MAX_IN_FLIGHT,
                        cost_tokens: request.length,
                    };
                    if let EnqueueResult::Queued(wait) = fair_queue.enqueue(claim) {
                        waiting.insert(wait, request);
                    }
                }
            }
        }
        queue.retain(|request| now < request.since + PATIENCE_STEPS);
        let late: Vec<QueueId> = waiting
            .iter()
            .filter(|(_, request)| now >= request.since + PATIENCE_STEPS)
            .map(|(wait, _)| *wait)
            .collect();
        for wait in late {
            fair_queue.withdraw(wait);
            waiting.remove(&wait);
        }
        while running.len() < SLOTS {
            let next = match way {
                Way::Arrival | Way::FixedLimit => queue.pop_front(),
                Way::Shares => fair_queue.heads().first().and_then(|wait| {
                    fair_queue.start(*wait);
                    waiting.remove(wait)
                }),
            };
            let Some(request) = next else { break };
            served[request.workspace] += 1;
            running.push((now + request.length, request.workspace));
        }
    }
    (1..WORKSPACES)
        .map(|index| f64::from(served[index]) / f64::from(asked[index].max(1)))
        .fold(f64::INFINITY, f64::min)
}

/// Workspace 0 floods; the others ask now and then.
fn arrivals(rng: &mut Rng) -> Vec<usize> {
    let mut workspaces = vec![0; FLOOD];
    workspaces.extend((1..WORKSPACES).filter(|_| rng.f64() < CHANCE));
    workspaces
}
