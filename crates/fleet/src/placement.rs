//! Where a request runs.

use std::collections::HashMap;
use std::sync::Arc;

use crate::registry::{EngineRole, Upstream};

/// A prompt shorter than this is read by the engine that answers it: moving its cache and a second
/// exchange cost more than the reading (docs/MEASUREMENTS.md).
const DIRECT_TOKENS: u64 = 2_500;
/// Requests of this instance that an engine reads prompts for at once before the next in the
/// order of affinity is taken.
const READS_BEFORE_NEXT: u32 = 3;
/// Engines that read the prompts of one shared part.
const AFFINE_READERS: usize = 2;
/// Part of recent answers that were failures from which on an engine is left out.
const MOSTLY_FAILING: f64 = 0.5;
/// Own waiting requests that make a nearer upstream equal to one a step away: a step costs a caller
/// some dozen milliseconds, and its bytes and moved caches are billed.
const DISTANCE_STEP: f64 = 1.0;
/// Own waiting requests that an upstream's failures count for, if all of its recent answers were
/// failures.
const FAILURE_WEIGHT: f64 = 20.0;

/// One part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Name of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What is known of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Parts from the beginning; the last one is the request's own.
    pub segments: Vec<PromptSegment>,
}

impl Prompt {
    /// The longest beginning that other requests have too.
    fn shared_id(&self) -> Option<u64> {
        let shared = self.segments.len().checked_sub(2)?;
        self.segments.get(shared).map(|part| part.id)
    }
}

/// Own work at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests of this instance that were sent to it and have not begun.
    pub waiting: u32,
    /// Requests of this instance whose prompts it reads for others.
    pub active_prefills: u32,
    /// Part of its recent answers that were failures, 0 to 1.
    pub failure_rate: f64,
    /// Whether a connection to it is kept.
    pub is_connected: bool,
}

/// Where this instance stands.
#[derive(Clone, Debug)]
pub struct Locality {
    /// Own failure domain.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// Steps between two failure domains: 0 within, 1 in the region, 2 beyond.
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

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The prompt, for engines.
    pub prompt: Option<&'a Prompt>,
    /// Whether the prompt may be read at one engine and answered at another.
    pub may_disaggregate: bool,
    /// Failure domain near which it is answered: the reader's, once the prompt is read.
    pub preferred_domain: Option<&'a str>,
    /// Decides among equals.
    pub tie_breaker: u64,
}

/// Where a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Reads the prompt first, if that is apart.
    pub prefill_upstream: Option<Arc<Upstream>>,
    /// Answers.
    pub upstream: Arc<Upstream>,
}

/// Chooses among `accepting`, the upstreams that may take the request now.
#[must_use]
pub fn place<F>(
    request: &PlacementRequest<'_>,
    accepting: &[&Arc<Upstream>],
    locality: &Locality,
    load: F,
) -> Option<Placement>
where
    F: Fn(&Upstream) -> Load,
{
    let answerers: Vec<&Arc<Upstream>> =
        accepting.iter().copied().filter(|up| up.role != Some(EngineRole::Prefill)).collect();
    let readers: Vec<&Arc<Upstream>> =
        accepting.iter().copied().filter(|up| up.role == Some(EngineRole::Prefill)).collect();
    let prompt = request.prompt.filter(|prompt| {
        request.may_disaggregate && prompt.tokens >= DIRECT_TOKENS && !readers.is_empty()
    });
    let reader =
        prompt.and_then(|prompt| choose_reader(prompt, request.tie_breaker, &readers, &load));
    // The prompt's cache is moved from the reader to the answerer.
    let near = reader
        .map(|reader| &*reader.failure_domain)
        .or(request.preferred_domain)
        .unwrap_or(&locality.failure_domain);
    let answerer = cheapest(&answerers, near, locality, request.tie_breaker, &load)?;
    Some(Placement { prefill_upstream: reader.cloned(), upstream: answerer.clone() })
}

/// The engine that all instances prefer for the prompt's shared part, or the second one if the
/// first is busy with this instance's reads.
///
/// Each further engine would have to read the shared part again, which takes more of its time than
/// the request's own part: so a burst must not spread over all of them.
fn choose_reader<'a, F>(
    prompt: &Prompt,
    tie_breaker: u64,
    readers: &[&'a Arc<Upstream>],
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let key = prompt.shared_id().unwrap_or(tie_breaker);
    let mut ranked: Vec<(&'a Arc<Upstream>, u64)> =
        readers.iter().map(|up| (*up, affinity(key, &up.id))).collect();
    ranked.sort_by_key(|(_, weight)| std::cmp::Reverse(*weight));
    let sound = |up: &Upstream| load(up).failure_rate < MOSTLY_FAILING;
    let near: Vec<&'a Arc<Upstream>> =
        ranked.iter().map(|(up, _)| *up).filter(|up| sound(up)).take(AFFINE_READERS).collect();
    near.iter()
        .find(|up| load(up).active_prefills < READS_BEFORE_NEXT)
        .or_else(|| near.iter().min_by_key(|up| load(up).active_prefills))
        .or_else(|| ranked.first().map(|(up, _)| up))
        .copied()
}

/// Weight of an upstream for a key; the same at every instance.
fn affinity(key: u64, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}

fn cheapest<'a, F>(
    candidates: &[&'a Arc<Upstream>],
    near: &str,
    locality: &Locality,
    tie_breaker: u64,
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let most_slots = candidates.iter().map(|up| up.slots).max()?;
    let cost = |up: &Upstream| {
        let load = load(up);
        (f64::from(load.waiting) + 1.0) * f64::from(most_slots) / f64::from(up.slots.max(1))
            + DISTANCE_STEP * f64::from(locality.distance(near, &up.failure_domain))
            + FAILURE_WEIGHT * load.failure_rate
    };
    let best = candidates.iter().map(|up| cost(up)).min_by(f64::total_cmp)?;
    let equals: Vec<_> = candidates.iter().filter(|up| cost(up) <= best).collect();
    // A new connection takes a round trip and is billed.
    let connected: Vec<_> = equals.iter().filter(|up| load(up).is_connected).copied().collect();
    let choice = if connected.is_empty() { equals } else { connected };
    let pick = usize::try_from(tie_breaker % choice.len() as u64).ok()?;
    choice.get(pick).map(|up| **up)
}
