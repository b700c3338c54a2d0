//! Six instances route to twelve engines; reports of others lag.

use cowslip_scheduling::{Candidate, Distance, pick_upstream};
use fastrand::Rng;

use super::engine::{Engine, STEP_MS, Sequence};

const INSTANCES: usize = 6;
const ENGINES: usize = 12;
const DURATION_MS: u64 = 240_000;
/// The mix turns over after this time.
const SWING_MS: u64 = 60_000;
const BURST_EVERY_MS: u64 = 30_000;
const BURST_MS: u64 = 5_000;
const BURST_FACTOR: f64 = 1.4;
/// Reports of load are this old at most.
const REPORT_MS: u64 = 1_000;
const FIRST_TOKEN_MS: u64 = 490;
const BETWEEN_TOKENS_MS: f64 = 54.0;
/// Tokens that an answer is expected to have when its request sets no limit.
const EXPECTED_OUTPUT_TOKENS: u64 = 256;
const SLOTS: u32 = 256;

/// A way to choose an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    RoundRobin,
    LeastReported,
    RandomOfTwo,
    /// The least of own requests in flight and those that the others reported.
    OwnAndReported,
    /// The product's choice: own expected work in flight.
    Ours,
}

pub(crate) const WAYS: &[Way] =
    &[Way::RoundRobin, Way::LeastReported, Way::RandomOfTwo, Way::OwnAndReported, Way::Ours];

/// What the engines are like.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fleet {
    /// All are alike.
    Equal,
    /// Every third one has half the speed.
    Unequal,
}

pub(crate) const FLEETS: &[Fleet] = &[Fleet::Equal, Fleet::Unequal];

impl Fleet {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::Equal => "engines alike",
            Self::Unequal => "every third engine at half speed",
        }
    }

    fn requests_per_s(self) -> f64 {
        match self {
            Self::Equal => 85.0,
            Self::Unequal => 70.0,
        }
    }

    fn is_slow(self, engine: usize) -> bool {
        match self {
            Self::Equal => false,
            Self::Unequal => engine.is_multiple_of(3),
        }
    }
}

impl Way {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported load",
            Self::RandomOfTwo => "random of two, reported load",
            Self::OwnAndReported => "least of own and reported requests",
            Self::Ours => "ours: least own expected work",
        }
    }
}

struct World {
    engines: Vec<Engine>,
    /// Load of each instance at each engine, exact.
    own: Vec<Vec<u32>>,
    /// The same as the others know it.
    reported: Vec<Vec<u32>>,
    reported_total: Vec<u32>,
    turns: Vec<usize>,
    /// When each instance last used each engine, as a count of choices.
    last_used: Vec<Vec<u64>>,
    choices: u64,
    /// Instance, engine and load of each request.
    requests: Vec<(usize, usize, u32)>,
    rng: Rng,
}

/// Part of all answers that came in time.
pub(crate) fn goodput(way: Way, fleet: Fleet, seed: u64) -> f64 {
    let mut world = World {
        engines: (0..ENGINES).map(|engine| Engine::new(fleet.is_slow(engine))).collect(),
        own: vec![vec![0; ENGINES]; INSTANCES],
        reported: vec![vec![0; ENGINES]; INSTANCES],
        reported_total: vec![0; ENGINES],
        turns: (0..INSTANCES).collect(),
        last_used: vec![vec![0; ENGINES]; INSTANCES],
        choices: 0,
        requests: Vec::new(),
        rng: Rng::with_seed(seed),
    };
    let mut in_time = 0u32;
    let mut arrivals = Rng::with_seed(seed ^ 0xA5A5);
    for now_ms in (0..DURATION_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        if now_ms % REPORT_MS == 0 {
            world.report();
        }
        for _ in 0..count_arrivals(now_ms, fleet.requests_per_s(), &mut arrivals) {
            let (prompt_tokens, output_tokens) = draw_request(now_ms, &mut arrivals);
            let instance = arrivals.usize(0..INSTANCES);
            world.arrive(way, now_ms, instance, prompt_tokens, output_tokens);
        }
        for engine in 0..ENGINES {
            let (finished, _) = world.engines[engine].step(now_ms);
            for done in finished {
                let (instance, engine, load) = world.requests[done.id];
                world.own[instance][engine] -= load;
                in_time += u32::from(is_in_time(&done, now_ms));
            }
        }
    }
    f64::from(in_time) / world.requests.len() as f64
}

/// What an instance knows of a request's size: its prompt, and a guess of its answer.
pub(super) fn expected_tokens(prompt_tokens: u32) -> u64 {
    u64::from(prompt_tokens) + EXPECTED_OUTPUT_TOKENS
}

pub(super) fn is_in_time(done: &Sequence, now_ms: u64) -> bool {
    let Some(first_ms) = done.first_token_ms else { return false };
    let between_ms = (now_ms - first_ms) as f64 / f64::from(done.tokens.max(2) - 1);
    first_ms - done.arrived_ms <= FIRST_TOKEN_MS && between_ms <= BETWEEN_TOKENS_MS
}

pub(super) fn count_arrivals(now_ms: u64, requests_per_s: f64, rng: &mut Rng) -> u32 {
    let is_burst = now_ms % BURST_EVERY_MS < BURST_MS;
    let per_s = if is_burst { requests_per_s * BURST_FACTOR } else { requests_per_s };
    let expected = per_s * STEP_MS as f64 / 1_000.0;
    // Poisson by counting exponential gaps.
    let mut count = 0;
    let mut passed = -(1.0 - rng.f64()).ln();
    while passed < expected {
        count += 1;
        passed -= (1.0 - rng.f64()).ln();
    }
    count
}

pub(super) fn draw_request(now_ms: u64, rng: &mut Rng) -> (u32, u32) {
    let is_prompt_time = (now_ms / SWING_MS).is_multiple_of(2);
    let long_prompts = if is_prompt_time { 0.8 } else { 0.2 };
    if rng.f64() < long_prompts {
        (rng.u32(1_000..2_000), rng.u32(20..60))
    } else {
        (rng.u32(50..150), rng.u32(200..400))
    }
}

impl World {
    fn report(&mut self) {
        self.reported = self.own.clone();
        for (engine, total) in self.reported_total.iter_mut().enumerate() {
            *total = u32::try_from(self.engines[engine].len()).unwrap_or(u32::MAX);
        }
    }

    fn arrive(
        &mut self,
        way: Way,
        now_ms: u64,
        instance: usize,
        prompt_tokens: u32,
        output_tokens: u32,
    ) {
        let load = match way {
            Way::Ours => cowslip_scheduling::work_units(expected_tokens(prompt_tokens)),
            _ => 1,
        };
        let engine = self.pick(way, instance);
        self.choices += 1;
        self.last_used[instance][engine] = self.choices;
        let id = self.requests.len();
        self.requests.push((instance, engine, load));
        self.own[instance][engine] += load;
        self.engines[engine].push(Sequence::new(id, now_ms, prompt_tokens, output_tokens));
    }

    fn pick(&mut self, way: Way, instance: usize) -> usize {
        match way {
            Way::RoundRobin => {
                self.turns[instance] = (self.turns[instance] + 1) % ENGINES;
                self.turns[instance]
            }
            Way::LeastReported => {
                (0..ENGINES).min_by_key(|engine| self.reported_total[*engine]).unwrap_or(0)
            }
            Way::RandomOfTwo => {
                let (a, b) = (self.rng.usize(0..ENGINES), self.rng.usize(0..ENGINES));
                if self.reported_total[a] <= self.reported_total[b] { a } else { b }
            }
            Way::OwnAndReported => {
                (0..ENGINES).min_by_key(|engine| self.known_load(instance, *engine)).unwrap_or(0)
            }
            Way::Ours => {
                let candidates: Vec<Candidate> =
                    (0..ENGINES).map(|engine| self.candidate(instance, engine)).collect();
                let draw = self.rng.u64(..);
                pick_upstream(&candidates, draw).unwrap_or_else(|| self.rng.usize(0..ENGINES))
            }
        }
    }

    fn known_load(&self, instance: usize, engine: usize) -> u32 {
        let others = (0..INSTANCES).filter(|other| *other != instance);
        self.own[instance][engine] + others.map(|other| self.reported[other][engine]).sum::<u32>()
    }

    fn candidate(&self, instance: usize, engine: usize) -> Candidate {
        Candidate {
            local_load_units: self.own[instance][engine],
            in_flight: 0,
            slots: SLOTS,
            distance: Distance::SameDomain,
            accepts_work: true,
            domain_weight: 1,
            prefix_hit_ratio: 0.0,
            last_used: self.last_used[instance][engine],
        }
    }
}
