//! Routing by six instances to twelve engines, with delayed load reports from peers.

use cowslip_scheduling::{Candidate, Distance, pick_upstream};
use fastrand::Rng;

use super::engine::{Engine, STEP_MS, Sequence};

const INSTANCES: usize = 6;
const ENGINES: usize = 12;
const DURATION_MS: u64 = 240_000;
/// Time after which the traffic switches between mostly long and mostly short prompts.
const TRAFFIC_PHASE_MS: u64 = 60_000;
/// Interval between the starts of two bursts.
const BURST_INTERVAL_MS: u64 = 30_000;
const BURST_MS: u64 = 5_000;
/// Arrival rate in a burst, relative to the ordinary rate.
const BURST_FACTOR: f64 = 1.4;
/// Interval of load reports; a reported load is at most this old.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Longest time to the first token that meets the SLO.
const FIRST_TOKEN_SLO_MS: u64 = 490;
/// Longest mean time between tokens that meets the SLO.
const BETWEEN_TOKENS_SLO_MS: f64 = 54.0;
/// Expected output tokens of a request that sets no limit.
const EXPECTED_OUTPUT_TOKENS: u64 = 256;
const SLOTS: u32 = 256;

/// A policy for selecting an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RoutingPolicy {
    RoundRobin,
    LeastReported,
    PowerOfTwoChoices,
    /// Fewest requests in flight, local ones plus those that peers reported.
    LocalAndReported,
    /// The policy of `cowslip-scheduling`: least expected local work in flight.
    LeastLocalWork,
}

pub(crate) const POLICIES: &[RoutingPolicy] = &[
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastReported,
    RoutingPolicy::PowerOfTwoChoices,
    RoutingPolicy::LocalAndReported,
    RoutingPolicy::LeastLocalWork,
];

/// Speeds of the engines.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EngineSpeeds {
    /// All engines have the same speed.
    Equal,
    /// Every third engine has half the speed.
    Unequal,
}

pub(crate) const ENGINE_SPEEDS: &[EngineSpeeds] = &[EngineSpeeds::Equal, EngineSpeeds::Unequal];

impl EngineSpeeds {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::Equal => "equal engines",
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

impl RoutingPolicy {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported load",
            Self::PowerOfTwoChoices => "power of two choices, reported load",
            Self::LocalAndReported => "fewest local plus reported requests",
            Self::LeastLocalWork => "cowslip: least expected local work",
        }
    }
}

struct Simulation {
    engines: Vec<Engine>,
    /// Current load by instance and engine: work units for `LeastLocalWork`, otherwise requests in
    /// flight.
    local_load: Vec<Vec<u32>>,
    /// Load by instance and engine at the last report, as peers know it.
    reported_load: Vec<Vec<u32>>,
    /// Requests in flight by engine at the last report.
    reported_total: Vec<u32>,
    /// Engine that each instance selected last by round robin.
    round_robin_last: Vec<usize>,
    /// Value of `selections` when an instance last selected an engine, by instance and engine.
    last_used_sequence: Vec<Vec<u64>>,
    /// Number of selections so far.
    selections: u64,
    /// Instance, engine and load of each request, by request id.
    requests: Vec<(usize, usize, u32)>,
    rng: Rng,
}

/// Returns the fraction of all requests that met the SLO.
pub(crate) fn goodput(policy: RoutingPolicy, speeds: EngineSpeeds, seed: u64) -> f64 {
    let mut simulation = Simulation {
        engines: (0..ENGINES).map(|engine| Engine::new(speeds.is_slow(engine))).collect(),
        local_load: vec![vec![0; ENGINES]; INSTANCES],
        reported_load: vec![vec![0; ENGINES]; INSTANCES],
        reported_total: vec![0; ENGINES],
        round_robin_last: (0..INSTANCES).collect(),
        last_used_sequence: vec![vec![0; ENGINES]; INSTANCES],
        selections: 0,
        requests: Vec::new(),
        rng: Rng::with_seed(seed),
    };
    let mut met_slo_count = 0u32;
    let mut arrivals = Rng::with_seed(seed ^ 0xA5A5);
    for now_ms in (0..DURATION_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        if now_ms % REPORT_INTERVAL_MS == 0 {
            simulation.report_loads();
        }
        for _ in 0..sample_arrival_count(now_ms, speeds.requests_per_s(), &mut arrivals) {
            let (prompt_tokens, output_tokens) = sample_request(now_ms, &mut arrivals);
            let instance = arrivals.usize(0..INSTANCES);
            simulation.dispatch(policy, now_ms, instance, prompt_tokens, output_tokens);
        }
        for engine in 0..ENGINES {
            let (finished, _) = simulation.engines[engine].step(now_ms);
            for sequence in finished {
                let (instance, engine, load) = simulation.requests[sequence.id];
                simulation.local_load[instance][engine] -= load;
                met_slo_count += u32::from(meets_slo(&sequence, now_ms));
            }
        }
    }
    f64::from(met_slo_count) / simulation.requests.len() as f64
}

/// Returns the expected size of a request in tokens: its prompt plus the expected output.
pub(super) fn expected_tokens(prompt_tokens: u32) -> u64 {
    u64::from(prompt_tokens) + EXPECTED_OUTPUT_TOKENS
}

pub(super) fn meets_slo(sequence: &Sequence, now_ms: u64) -> bool {
    let Some(first_ms) = sequence.first_token_ms else { return false };
    let between_ms = (now_ms - first_ms) as f64 / f64::from(sequence.tokens.max(2) - 1);
    first_ms - sequence.arrived_ms <= FIRST_TOKEN_SLO_MS && between_ms <= BETWEEN_TOKENS_SLO_MS
}

pub(super) fn sample_arrival_count(now_ms: u64, requests_per_s: f64, rng: &mut Rng) -> u32 {
    let is_burst = now_ms % BURST_INTERVAL_MS < BURST_MS;
    let per_s = if is_burst { requests_per_s * BURST_FACTOR } else { requests_per_s };
    let expected = per_s * STEP_MS as f64 / 1_000.0;
    // Samples a Poisson distribution by counting exponential gaps.
    let mut count = 0;
    let mut elapsed = -(1.0 - rng.f64()).ln();
    while elapsed < expected {
        count += 1;
        elapsed -= (1.0 - rng.f64()).ln();
    }
    count
}

pub(super) fn sample_request(now_ms: u64, rng: &mut Rng) -> (u32, u32) {
    let is_prompt_heavy = (now_ms / TRAFFIC_PHASE_MS).is_multiple_of(2);
    let long_prompt_ratio = if is_prompt_heavy { 0.8 } else { 0.2 };
    if rng.f64() < long_prompt_ratio {
        (rng.u32(1_000..2_000), rng.u32(20..60))
    } else {
        (rng.u32(50..150), rng.u32(200..400))
    }
}

impl Simulation {
    /// Publishes the current loads as those that peers know.
    fn report_loads(&mut self) {
        self.reported_load = self.local_load.clone();
        for (engine, total) in self.reported_total.iter_mut().enumerate() {
            *total = u32::try_from(self.engines[engine].len()).unwrap_or(u32::MAX);
        }
    }

    fn dispatch(
        &mut self,
        policy: RoutingPolicy,
        now_ms: u64,
        instance: usize,
        prompt_tokens: u32,
        output_tokens: u32,
    ) {
        let load = match policy {
            RoutingPolicy::LeastLocalWork => {
                cowslip_scheduling::work_units(expected_tokens(prompt_tokens))
            }
            _ => 1,
        };
        let engine = self.select_engine(policy, instance);
        self.selections += 1;
        self.last_used_sequence[instance][engine] = self.selections;
        let id = self.requests.len();
        self.requests.push((instance, engine, load));
        self.local_load[instance][engine] += load;
        self.engines[engine].enqueue(Sequence::new(id, now_ms, prompt_tokens, output_tokens));
    }

    fn select_engine(&mut self, policy: RoutingPolicy, instance: usize) -> usize {
        match policy {
            RoutingPolicy::RoundRobin => {
                self.round_robin_last[instance] = (self.round_robin_last[instance] + 1) % ENGINES;
                self.round_robin_last[instance]
            }
            RoutingPolicy::LeastReported => {
                (0..ENGINES).min_by_key(|engine| self.reported_total[*engine]).unwrap_or(0)
            }
            RoutingPolicy::PowerOfTwoChoices => {
                let (a, b) = (self.rng.usize(0..ENGINES), self.rng.usize(0..ENGINES));
                if self.reported_total[a] <= self.reported_total[b] { a } else { b }
            }
            RoutingPolicy::LocalAndReported => {
                (0..ENGINES).min_by_key(|engine| self.known_load(instance, *engine)).unwrap_or(0)
            }
            RoutingPolicy::LeastLocalWork => {
                let candidates: Vec<Candidate> =
                    (0..ENGINES).map(|engine| self.candidate(instance, engine)).collect();
                let tie_breaker = self.rng.u64(..);
                pick_upstream(&candidates, tie_breaker)
                    .unwrap_or_else(|| self.rng.usize(0..ENGINES))
            }
        }
    }

    fn known_load(&self, instance: usize, engine: usize) -> u32 {
        let peers = (0..INSTANCES).filter(|peer| *peer != instance);
        self.local_load[instance][engine]
            + peers.map(|peer| self.reported_load[peer][engine]).sum::<u32>()
    }

    fn candidate(&self, instance: usize, engine: usize) -> Candidate {
        Candidate {
            local_load_units: self.local_load[instance][engine],
            in_flight: 0,
            slots: SLOTS,
            distance: Distance::SameDomain,
            accepts_work: true,
            domain_weight: 1,
            prefix_hit_ratio: 0.0,
            last_used_sequence: self.last_used_sequence[instance][engine],
        }
    }
}
