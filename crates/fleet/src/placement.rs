//! Selection of the upstreams that run a request.

use std::collections::HashMap;
use std::sync::Arc;

use num_traits::ToPrimitive;

use crate::registry::{EngineRole, Upstream};

/// Prompts with fewer tokens are prefilled by the engine that decodes them: moving the KV cache and
/// a second request cost more than the prefill (docs/MEASUREMENTS.md).
const MIN_DISAGGREGATED_TOKENS: u64 = 2_500;
/// Number of active prefills of this instance at which an engine of the usual speed counts as busy,
/// so that the next engine in the order of affinity is used.
const MAX_AFFINE_PREFILLS: f64 = 3.0;
/// Number of engines that prefill the prompts with the same shared segment.
const AFFINE_ENGINES: usize = 2;
/// Number of engines that prefill the prompts with the same shared segment where queues are known
/// across instances.
const MAX_QUEUE_ENGINES: usize = 4;
/// Factor by which the prefill must end sooner at another engine than at the first one. With less
/// than 3, the shared segments that are prefilled again lengthen all queues (`tests/uneven_engines.rs`).
const MIN_SPREAD_GAIN: f64 = 4.0;
/// Number of waiting tokens up to which an engine counts as idle.
const MAX_IDLE_TOKENS: u64 = 4_000;
/// Part of a prompt's shared segments that an engine is assumed not to have cached, 0 to 1.
const UNCACHED_SHARE: f64 = 0.3;
/// Failure rate from which on a prefill engine is skipped, 0 to 1.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Cost of one step of distance, in queued requests of this instance: a step adds some dozen
/// milliseconds of latency, and its traffic and moved KV caches are billed.
const DISTANCE_COST: f64 = 1.0;
/// Cost of a failure rate of 1, in queued requests of this instance.
const FAILURE_COST: f64 = 20.0;

/// A segment of a prompt; several requests can begin with the same segments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Identifier, equal in all prompts that contain the segment.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size and segments of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the whole prompt in tokens.
    pub tokens: u64,
    /// Largest number of tokens to generate.
    pub max_output_tokens: u64,
    /// Segments in order; the last one is unique to the request.
    pub segments: Vec<PromptSegment>,
}

impl Prompt {
    /// Iterates over the ids of the segments that other requests may share, in order.
    #[must_use]
    pub fn shared_segment_ids(&self) -> impl DoubleEndedIterator<Item = u64> {
        let shared_count = self.segments.len().saturating_sub(1);
        self.segments.iter().take(shared_count).map(|segment| segment.id)
    }

    /// Returns the length of the segments that other requests may share, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        let shared_count = self.segments.len().saturating_sub(1);
        self.segments.iter().take(shared_count).map(|segment| segment.tokens).sum()
    }

    /// Returns the number of tokens that an engine with an affinity to the prompt's segments is
    /// expected to prefill.
    #[must_use]
    pub fn expected_prefill_tokens(&self) -> u64 {
        let shared_tokens = self.shared_tokens().min(self.tokens);
        let uncached = (shared_tokens as f64 * UNCACHED_SHARE).to_u64().unwrap_or(0);
        self.tokens - shared_tokens + uncached
    }
}

/// Load of an upstream as this instance knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests of this instance that were sent to the upstream and have not started.
    pub queued: u32,
    /// Requests of this instance that the upstream prefills for decode engines.
    pub active_prefills: u32,
    /// Moving average of failed sends, 0 to 1.
    pub failure_rate: f64,
    /// Whether this instance keeps a connection to the upstream open.
    pub is_connected: bool,
    /// Speed as a factor of the usual one of the service.
    pub speed: f64,
    /// Prompt tokens that all instances wait for, and that the upstream has not prefilled yet.
    pub waiting_tokens: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            queued: 0,
            active_prefills: 0,
            failure_rate: 0.0,
            is_connected: false,
            speed: 1.0,
            waiting_tokens: 0,
        }
    }
}

/// Location of this instance and the regions of all failure domains.
#[derive(Clone, Debug)]
pub struct Locality {
    /// Failure domain of this instance.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// Returns the distance between two failure domains in steps: 0 within one domain, 1 within a
    /// region, 2 between regions.
    #[must_use]
    pub fn distance(&self, from: &str, to: &str) -> u32 {
        if from == to {
            return 0;
        }
        match (self.regions.get(from), self.regions.get(to)) {
            (Some(from), Some(to)) if from == to => 1,
            _ => 2,
        }
    }
}

/// Properties of a request that decide its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Prompt of a request to engines, `None` for other services.
    pub prompt: Option<&'a Prompt>,
    /// Whether prefill and decode may run at different engines.
    pub may_disaggregate: bool,
    /// Failure domain near which the request runs: that of the prefill engine once prefill is done,
    /// `None` for that of this instance.
    pub preferred_domain: Option<&'a str>,
    /// Whether a prompt leaves the engines of its segment for a shorter queue, as known across
    /// instances.
    pub spreads_queues: bool,
    /// Random number that selects among equal upstreams.
    pub tie_breaker: u64,
}

/// Upstreams that run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Engine that prefills the prompt first, if prefill is disaggregated.
    pub prefill_upstream: Option<Arc<Upstream>>,
    /// Upstream that serves the response.
    pub upstream: Arc<Upstream>,
}

/// Selects the upstreams that run a request among `eligible`, those that accept it at present.
/// Returns `None` if none of them can serve the response.
#[must_use]
pub fn place<F>(
    request: &PlacementRequest<'_>,
    eligible: &[&Arc<Upstream>],
    locality: &Locality,
    load: F,
) -> Option<Placement>
where
    F: Fn(&Upstream) -> Load,
{
    let serving: Vec<&Arc<Upstream>> =
        eligible.iter().copied().filter(|up| up.role != Some(EngineRole::Prefill)).collect();
    let prefill_engines: Vec<&Arc<Upstream>> =
        eligible.iter().copied().filter(|up| up.role == Some(EngineRole::Prefill)).collect();
    let prompt = request.prompt.filter(|prompt| {
        request.may_disaggregate
            && prompt.tokens >= MIN_DISAGGREGATED_TOKENS
            && !prefill_engines.is_empty()
    });
    let prefill_engine =
        prompt.and_then(|prompt| choose_prefill_engine(request, prompt, &prefill_engines, &load));
    // The KV cache is moved from the prefill engine to the serving upstream, so the two should be
    // near each other.
    let target_domain = prefill_engine
        .map(|engine| &*engine.failure_domain)
        .or(request.preferred_domain)
        .unwrap_or(&locality.failure_domain);
    let upstream = cheapest(&serving, target_domain, locality, request.tie_breaker, &load)?;
    Some(Placement { prefill_upstream: prefill_engine.cloned(), upstream: upstream.clone() })
}

/// Returns the prefill engine for a prompt, from the order of affinity that all instances agree on.
///
/// Each further engine would have to prefill the shared segments too, which takes longer than the
/// request's own segment, so a burst must not spread over all engines.
fn choose_prefill_engine<'a, F>(
    request: &PlacementRequest<'_>,
    prompt: &Prompt,
    prefill_engines: &[&'a Arc<Upstream>],
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let key = prompt.shared_segment_ids().next_back().unwrap_or(request.tie_breaker);
    let mut ranked: Vec<(&'a Arc<Upstream>, f64)> = prefill_engines
        .iter()
        .map(|up| (*up, weighted_affinity(affinity(key, &up.id), load(up).speed)))
        .collect();
    ranked.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    let is_healthy = |up: &Upstream| load(up).failure_rate < MAX_FAILURE_RATE;
    let healthy = ranked.iter().map(|(up, _)| *up).filter(|up| is_healthy(up));
    let chosen = if request.spreads_queues {
        shortest_prefill(prompt, healthy.take(MAX_QUEUE_ENGINES), load)
    } else {
        first_idle(&healthy.take(AFFINE_ENGINES).collect::<Vec<_>>(), load)
    };
    chosen.or_else(|| ranked.first().map(|(up, _)| *up))
}

/// Returns the first engine that is not busy with prefills of this instance, or else the least busy
/// one.
fn first_idle<'a, F>(engines: &[&'a Arc<Upstream>], load: &F) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let is_idle = |up: &Upstream| {
        let load = load(up);
        f64::from(load.active_prefills) < (MAX_AFFINE_PREFILLS * load.speed).round().max(1.0)
    };
    engines
        .iter()
        .find(|up| is_idle(up))
        .or_else(|| engines.iter().min_by_key(|up| load(up).active_prefills))
        .copied()
}

/// Returns the first engine, or one of the others if it is idle and the prefill would end there in a
/// fraction of the time. The others are assumed to lack the shared segments.
fn shortest_prefill<'a, F, I>(prompt: &Prompt, engines: I, load: &F) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
    I: IntoIterator<Item = &'a Arc<Upstream>>,
{
    let expected_time =
        |load: Load, tokens: u64| (load.waiting_tokens + tokens) as f64 / load.speed;
    let mut engines = engines.into_iter();
    let first = engines.next()?;
    let first_time = expected_time(load(first), prompt.expected_prefill_tokens());
    let is_shorter = |up: &&Arc<Upstream>| {
        let load = load(up);
        load.waiting_tokens <= MAX_IDLE_TOKENS
            && expected_time(load, prompt.tokens) * MIN_SPREAD_GAIN < first_time
    };
    engines.find(is_shorter).or(Some(first))
}

/// Returns the rendezvous-hashing weight of an upstream for a key, equal at every instance.
fn affinity(key: u64, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}

/// Weighs an affinity so that an engine is first for a share of the keys in proportion to its speed.
/// Equal speeds keep the order of the affinities, and a changed speed moves the fewest keys.
fn weighted_affinity(affinity: u64, speed: f64) -> f64 {
    let uniform = (affinity as f64 / u64::MAX as f64).min(1.0 - f64::EPSILON);
    -speed / uniform.ln()
}

/// Returns the upstream with the lowest cost by load, distance and failures. Slow upstreams cost
/// more; among equals, upstreams are chosen in proportion to their speed, since all instances would
/// choose the same one if the fastest cost least.
fn cheapest<'a, F>(
    candidates: &[&'a Arc<Upstream>],
    target_domain: &str,
    locality: &Locality,
    tie_breaker: u64,
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let max_slots = candidates.iter().map(|up| up.slots).max()?;
    let cost = |up: &Upstream| {
        let load = load(up);
        let slowdown = 1.0 / load.speed.min(1.0);
        (f64::from(load.queued) + 1.0) * slowdown * f64::from(max_slots)
            / f64::from(up.slots.max(1))
            + DISTANCE_COST * f64::from(locality.distance(target_domain, &up.failure_domain))
            + FAILURE_COST * load.failure_rate
    };
    let best = candidates.iter().map(|up| cost(up)).min_by(f64::total_cmp)?;
    let tied: Vec<_> = candidates.iter().filter(|up| cost(up) <= best).collect();
    // A new connection costs a round trip and is billed.
    let connected: Vec<_> = tied.iter().filter(|up| load(up).is_connected).copied().collect();
    let pool = if connected.is_empty() { tied } else { connected };
    pick_by_speed(&pool, tie_breaker, load)
}

/// Picks an upstream at random, in proportion to its speed.
fn pick_by_speed<'a, F>(
    pool: &[&&'a Arc<Upstream>],
    tie_breaker: u64,
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let speeds: Vec<f64> = pool.iter().map(|up| load(up).speed).collect();
    let first_speed = speeds.first()?;
    if speeds.iter().all(|speed| speed.total_cmp(first_speed).is_eq()) {
        let index = usize::try_from(tie_breaker % pool.len() as u64).ok()?;
        return pool.get(index).map(|up| **up);
    }
    let mut left = speeds.iter().sum::<f64>() * (tie_breaker as f64 / u64::MAX as f64);
    let index = speeds.iter().position(|speed| {
        left -= speed;
        left <= 0.0
    });
    index.or(Some(pool.len() - 1)).and_then(|index| pool.get(index)).map(|up| **up)
}
