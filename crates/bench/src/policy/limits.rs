//! Limits at six instances in front of twelve engines, at ordinary demand and under overload.

use std::collections::VecDeque;

use cowslip_scheduling::{Candidate, Distance, pick_upstream, work_units};
use fastrand::Rng;

use super::engine::{Engine, STEP_MS, Sequence};
use super::routing::{expected_tokens, meets_slo, sample_arrival_count, sample_request};

const INSTANCES: usize = 6;
const ENGINES: usize = 12;
const DURATION_MS: u64 = 120_000;
/// Value that stands for no limit; no simulation reaches it.
const UNLIMITED: u32 = 1_000_000;

/// Rate of arriving requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub(crate) title: &'static str,
    requests_per_s: f64,
}

pub(crate) const DEMANDS: &[Demand] = &[
    Demand { title: "ordinary", requests_per_s: 85.0 },
    Demand { title: "about 1.5 times the capacity", requests_per_s: 165.0 },
];

/// Limits that an instance applies to queued requests and to each engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitPolicy {
    pub(crate) title: &'static str,
    /// Maximum number of requests in flight at one engine, from all instances.
    slots: u32,
    /// Longest time that a request may be queued.
    queue_deadline_ms: u64,
    /// Number of prompt tokens without a first token at which an instance sends an engine no more
    /// requests.
    max_waiting_tokens: u32,
}

pub(crate) const POLICIES: &[LimitPolicy] = &[
    LimitPolicy {
        title: "no limit",
        slots: UNLIMITED,
        queue_deadline_ms: 0,
        max_waiting_tokens: UNLIMITED,
    },
    LimitPolicy {
        title: "16 slots, queue deadline 2,000 ms",
        slots: 16,
        queue_deadline_ms: 2_000,
        max_waiting_tokens: UNLIMITED,
    },
    LimitPolicy {
        title: "16 slots, queue deadline 200 ms",
        slots: 16,
        queue_deadline_ms: 200,
        max_waiting_tokens: UNLIMITED,
    },
    LimitPolicy {
        title: "2,000 waiting tokens, queue deadline 200 ms",
        slots: UNLIMITED,
        queue_deadline_ms: 200,
        max_waiting_tokens: 2_000,
    },
    LimitPolicy {
        title: "1,000 waiting tokens, queue deadline 200 ms",
        slots: UNLIMITED,
        queue_deadline_ms: 200,
        max_waiting_tokens: 1_000,
    },
    LimitPolicy {
        title: "500 waiting tokens, queue deadline 200 ms",
        slots: UNLIMITED,
        queue_deadline_ms: 200,
        max_waiting_tokens: 500,
    },
    LimitPolicy {
        title: "1 waiting token, queue deadline 200 ms",
        slots: UNLIMITED,
        queue_deadline_ms: 200,
        max_waiting_tokens: 1,
    },
    LimitPolicy {
        title: "1 waiting token, queue deadline 100 ms",
        slots: UNLIMITED,
        queue_deadline_ms: 100,
        max_waiting_tokens: 1,
    },
];

/// Work in flight from one instance at one engine.
#[derive(Clone, Copy, Default)]
struct Load {
    requests: u32,
    work: u32,
    /// Prompt tokens of the requests without a first token.
    waiting_tokens: u32,
    last_used_sequence: u64,
}

#[derive(Clone, Copy)]
struct Request {
    arrived_ms: u64,
    prompt_tokens: u32,
    output_tokens: u32,
}

/// A request that was sent to an engine.
#[derive(Clone, Copy)]
struct SentRequest {
    instance: usize,
    engine: usize,
    work: u32,
    prompt_tokens: u32,
}

struct Simulation {
    engines: Vec<Engine>,
    /// Load by instance and engine.
    loads: Vec<Vec<Load>>,
    queues: Vec<VecDeque<Request>>,
    sent_requests: Vec<SentRequest>,
    rng: Rng,
}

/// Returns the fraction of all requests that met the SLO; a refused request did not.
pub(crate) fn goodput(policy: LimitPolicy, demand: Demand, seed: u64) -> f64 {
    let mut simulation = Simulation {
        engines: vec![Engine::default(); ENGINES],
        loads: vec![vec![Load::default(); ENGINES]; INSTANCES],
        queues: vec![VecDeque::new(); INSTANCES],
        sent_requests: Vec::new(),
        rng: Rng::with_seed(seed),
    };
    let mut arrivals = Rng::with_seed(seed ^ 0xA5A5);
    let (mut request_count, mut met_slo_count) = (0u32, 0u32);
    for now_ms in (0..DURATION_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        for _ in 0..sample_arrival_count(now_ms, demand.requests_per_s, &mut arrivals) {
            let (prompt_tokens, output_tokens) = sample_request(now_ms, &mut arrivals);
            request_count += 1;
            let instance = arrivals.usize(0..INSTANCES);
            let request = Request { arrived_ms: now_ms, prompt_tokens, output_tokens };
            simulation.queues[instance].push_back(request);
        }
        for instance in 0..INSTANCES {
            simulation.start_queued_requests(policy, now_ms, instance);
        }
        for engine in 0..ENGINES {
            let (finished, first_token_ids) = simulation.engines[engine].step(now_ms);
            for id in first_token_ids {
                let request = simulation.sent_requests[id];
                simulation.loads[request.instance][engine].waiting_tokens -= request.prompt_tokens;
            }
            for sequence in finished {
                let request = simulation.sent_requests[sequence.id];
                let load = &mut simulation.loads[request.instance][request.engine];
                load.requests -= 1;
                load.work -= request.work;
                met_slo_count += u32::from(meets_slo(&sequence, now_ms));
            }
        }
    }
    f64::from(met_slo_count) / f64::from(request_count)
}

impl Simulation {
    fn start_queued_requests(&mut self, policy: LimitPolicy, now_ms: u64, instance: usize) {
        self.queues[instance]
            .retain(|request| now_ms <= request.arrived_ms + policy.queue_deadline_ms);
        while let Some(request) = self.queues[instance].front().copied() {
            let Some(engine) = self.select_engine(policy, instance) else { return };
            self.queues[instance].pop_front();
            let Request { arrived_ms, prompt_tokens, output_tokens } = request;
            let work = work_units(expected_tokens(prompt_tokens));
            let id = self.sent_requests.len();
            self.sent_requests.push(SentRequest { instance, engine, work, prompt_tokens });
            let load = &mut self.loads[instance][engine];
            load.requests += 1;
            load.work += work;
            load.waiting_tokens += prompt_tokens;
            load.last_used_sequence = id as u64 + 1;
            let sequence = Sequence::new(id, arrived_ms, prompt_tokens, output_tokens);
            self.engines[engine].enqueue(sequence);
        }
    }

    fn select_engine(&mut self, policy: LimitPolicy, instance: usize) -> Option<usize> {
        let in_flight = |engine: usize| self.loads.iter().map(|row| row[engine].requests).sum();
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|engine| {
                let local_load = self.loads[instance][engine];
                Candidate {
                    local_load_units: local_load.work,
                    in_flight: in_flight(engine),
                    slots: policy.slots,
                    distance: Distance::SameDomain,
                    accepts_work: local_load.waiting_tokens < policy.max_waiting_tokens,
                    domain_weight: 1,
                    prefix_hit_ratio: 0.0,
                    last_used_sequence: local_load.last_used_sequence,
                }
            })
            .collect();
        pick_upstream(&candidates, self.rng.u64(..))
    }
}
