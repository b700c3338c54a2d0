//! Six instances before twelve engines, asked for more than they can do.

use std::collections::VecDeque;

use cowslip_scheduling::{Candidate, Distance, pick_upstream, work_units};
use fastrand::Rng;

use super::engine::{Engine, STEP_MS, Sequence};
use super::routing::{count_arrivals, draw_request, expected_tokens, is_in_time};

const INSTANCES: usize = 6;
const ENGINES: usize = 12;
const DURATION_MS: u64 = 120_000;
const ENDLESS: u32 = 1_000_000;

/// How much is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub(crate) title: &'static str,
    requests_per_s: f64,
}

pub(crate) const DEMANDS: &[Demand] = &[
    Demand { title: "ordinary", requests_per_s: 85.0 },
    Demand { title: "about one and a half times what can be done", requests_per_s: 165.0 },
];

/// A way to limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    pub(crate) title: &'static str,
    slots: u32,
    queue_deadline_ms: u64,
    /// Prompt tokens of one instance that may await their first token at one engine.
    max_waiting_tokens: u32,
}

pub(crate) const WAYS: &[Way] = &[
    Way { title: "no limit", slots: ENDLESS, queue_deadline_ms: 0, max_waiting_tokens: ENDLESS },
    Way {
        title: "16 slots, wait 2,000 ms",
        slots: 16,
        queue_deadline_ms: 2_000,
        max_waiting_tokens: ENDLESS,
    },
    Way {
        title: "16 slots, wait 200 ms",
        slots: 16,
        queue_deadline_ms: 200,
        max_waiting_tokens: ENDLESS,
    },
    Way {
        title: "waiting 2,000, wait 200 ms",
        slots: ENDLESS,
        queue_deadline_ms: 200,
        max_waiting_tokens: 2_000,
    },
    Way {
        title: "waiting 1,000, wait 200 ms",
        slots: ENDLESS,
        queue_deadline_ms: 200,
        max_waiting_tokens: 1_000,
    },
    Way {
        title: "waiting 500, wait 200 ms",
        slots: ENDLESS,
        queue_deadline_ms: 200,
        max_waiting_tokens: 500,
    },
    Way {
        title: "waiting 1, wait 200 ms",
        slots: ENDLESS,
        queue_deadline_ms: 200,
        max_waiting_tokens: 1,
    },
    Way {
        title: "waiting 1, wait 100 ms",
        slots: ENDLESS,
        queue_deadline_ms: 100,
        max_waiting_tokens: 1,
    },
];

/// Work in flight at one engine.
#[derive(Clone, Copy, Default)]
struct Load {
    requests: u32,
    work: u32,
    waiting_tokens: u32,
    last_used: u64,
}

#[derive(Clone, Copy)]
struct Request {
    arrived_ms: u64,
    prompt_tokens: u32,
    output_tokens: u32,
}

#[derive(Clone, Copy)]
struct Started {
    instance: usize,
    engine: usize,
    work: u32,
    prompt_tokens: u32,
}

struct World {
    engines: Vec<Engine>,
    /// Loads of each instance at each engine.
    loads: Vec<Vec<Load>>,
    queues: Vec<VecDeque<Request>>,
    started: Vec<Started>,
    rng: Rng,
}

/// Part of all requests that were answered in time; a refused one was not.
pub(crate) fn goodput(way: Way, demand: Demand, seed: u64) -> f64 {
    let mut world = World {
        engines: vec![Engine::default(); ENGINES],
        loads: vec![vec![Load::default(); ENGINES]; INSTANCES],
        queues: vec![VecDeque::new(); INSTANCES],
        started: Vec::new(),
        rng: Rng::with_seed(seed),
    };
    let mut arrivals = Rng::with_seed(seed ^ 0xA5A5);
    let (mut asked, mut in_time) = (0u32, 0u32);
    for now_ms in (0..DURATION_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        for _ in 0..count_arrivals(now_ms, demand.requests_per_s, &mut arrivals) {
            let (prompt_tokens, output_tokens) = draw_request(now_ms, &mut arrivals);
            asked += 1;
            let instance = arrivals.usize(0..INSTANCES);
            let request = Request { arrived_ms: now_ms, prompt_tokens, output_tokens };
            world.queues[instance].push_back(request);
        }
        for instance in 0..INSTANCES {
            world.start_waiting(way, now_ms, instance);
        }
        for engine in 0..ENGINES {
            let (finished, begun) = world.engines[engine].step(now_ms);
            for id in begun {
                let started = world.started[id];
                world.loads[started.instance][engine].waiting_tokens -= started.prompt_tokens;
            }
            for done in finished {
                let started = world.started[done.id];
                let load = &mut world.loads[started.instance][started.engine];
                load.requests -= 1;
                load.work -= started.work;
                in_time += u32::from(is_in_time(&done, now_ms));
            }
        }
    }
    f64::from(in_time) / f64::from(asked)
}

impl World {
    fn start_waiting(&mut self, way: Way, now_ms: u64, instance: usize) {
        self.queues[instance]
            .retain(|request| now_ms <= request.arrived_ms + way.queue_deadline_ms);
        while let Some(request) = self.queues[instance].front().copied() {
            let Some(engine) = self.pick(way, instance) else { return };
            self.queues[instance].pop_front();
            let Request { arrived_ms, prompt_tokens, output_tokens } = request;
            let work = work_units(expected_tokens(prompt_tokens));
            let id = self.started.len();
            self.started.push(Started { instance, engine, work, prompt_tokens });
            let load = &mut self.loads[instance][engine];
            load.requests += 1;
            load.work += work;
            load.waiting_tokens += prompt_tokens;
            load.last_used = id as u64 + 1;
            let sequence = Sequence::new(id, arrived_ms, prompt_tokens, output_tokens);
            self.engines[engine].push(sequence);
        }
    }

    fn pick(&mut self, way: Way, instance: usize) -> Option<usize> {
        let in_flight = |engine: usize| self.loads.iter().map(|row| row[engine].requests).sum();
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|engine| {
                let own = self.loads[instance][engine];
                Candidate {
                    local_load_units: own.work,
                    in_flight: in_flight(engine),
                    slots: way.slots,
                    distance: Distance::SameDomain,
                    accepts_work: own.waiting_tokens < way.max_waiting_tokens,
                    domain_weight: 1,
                    prefix_hit_ratio: 0.0,
                    last_used: own.last_used,
                }
            })
            .collect();
        pick_upstream(&candidates, self.rng.u64(..))
    }
}
