//! Where a request runs.

use std::collections::HashMap;
use std::sync::Arc;

use crate::roster::{EngineRole, Upstream};

/// A prompt shorter than this is read by the engine that answers it: moving its cache and a second
/// exchange cost more than the reading (docs/MEASUREMENTS.md).
const DIRECT_TOKENS: u64 = 2_500;
/// Requests of this instance that an engine reads prompts for at once before the next in the
/// order of affinity is taken.
const READS_BEFORE_NEXT: u32 = 3;
/// Least time that an upstream is taken to need for a start, so that one that nothing is known of
/// is not taken for infinitely quick.
const LEAST_START_MS: f64 = 30.0;
/// Part of a start's time that each request adds which waits at the upstream already.
const WAITING_WEIGHT: f64 = 0.35;
/// Time that a step of distance costs a request whose prompt's cache has to be moved over it, the
/// price of the move included.
const CACHE_STEP_MS: f64 = 60.0;
/// The same for one that only has its request and answer carried; starts include the way itself.
const STEP_MS: f64 = 8.0;
/// Time that an upstream's failures count for, if all of its recent answers were failures.
const FAILURE_MS: f64 = 600.0;

/// One part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
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
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The longest beginning that other requests have too.
    fn shared_id(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.id)
    }
}

/// Own work at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests of this instance that were sent to it and have not begun.
    pub waiting: u32,
    /// Time that its requests have taken to begin lately, 0 where nothing is known.
    pub start_ms: f64,
    /// Requests of this instance whose prompts it reads for others.
    pub reads: u32,
    /// Part of its recent answers that were failures, 0 to 1.
    pub failure_mean: f64,
}

/// Where this instance stands.
#[derive(Clone, Debug)]
pub struct Site {
    /// Own failure domain.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Site {
    /// Steps between two failure domains: 0 within, 1 in the region, 2 beyond.
    #[must_use]
    pub fn steps(&self, from: &str, to: &str) -> u32 {
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
pub struct Demand<'a> {
    /// The prompt, for engines.
    pub prompt: Option<&'a Prompt>,
    /// Whether the prompt may be read at one engine and answered at another.
    pub may_split: bool,
    /// Decides among equals.
    pub draw: u64,
}

/// Where a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Reads the prompt first, if that is apart.
    pub reader: Option<Arc<Upstream>>,
    /// Answers.
    pub answerer: Arc<Upstream>,
}

/// Chooses among `open`, the upstreams that may take the request now.
#[must_use]
pub fn place<F>(
    demand: &Demand<'_>,
    open: &[&Arc<Upstream>],
    site: &Site,
    load: F,
) -> Option<Placement>
where
    F: Fn(&Upstream) -> Load,
{
    let answerers: Vec<&Arc<Upstream>> =
        open.iter().copied().filter(|up| up.role != Some(EngineRole::Prefill)).collect();
    let readers: Vec<&Arc<Upstream>> =
        open.iter().copied().filter(|up| up.role == Some(EngineRole::Prefill)).collect();
    let prompt = demand
        .prompt
        .filter(|prompt| demand.may_split && prompt.tokens >= DIRECT_TOKENS && !readers.is_empty());
    let reader = prompt.and_then(|prompt| choose_reader(prompt, demand.draw, &readers, &load));
    let way = match reader {
        Some(reader) => Way { from: &reader.domain, step_ms: CACHE_STEP_MS },
        None => Way { from: &site.domain, step_ms: STEP_MS },
    };
    let answerer = cheapest(&answerers, way, site, demand.draw, &load)?;
    Some(Placement { reader: reader.cloned(), answerer: answerer.clone() })
}

/// The engine that all instances prefer for the prompt's shared part, or the next one after it
/// that is not busy with this instance's reads.
fn choose_reader<'a, F>(
    prompt: &Prompt,
    draw: u64,
    readers: &[&'a Arc<Upstream>],
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let key = prompt.shared_id().unwrap_or(draw);
    let mut ranked: Vec<(&'a Arc<Upstream>, u64)> =
        readers.iter().map(|up| (*up, affinity(key, &up.id))).collect();
    ranked.sort_by_key(|(_, weight)| std::cmp::Reverse(*weight));
    let is_free = |up: &Upstream| {
        let load = load(up);
        load.reads < READS_BEFORE_NEXT && load.failure_mean < 0.5
    };
    let least = ranked.iter().min_by_key(|(up, _)| load(up).reads).map(|(up, _)| *up);
    ranked.iter().map(|(up, _)| *up).find(|up| is_free(up)).or(least)
}

/// Weight of an upstream for a key; the same at every instance.
fn affinity(key: u64, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_bytes());
    let digest = hasher.finalize();
    let [a, b, c, d, e, f, g, h, ..] = *digest.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// What is carried to an answering upstream.
#[derive(Clone, Copy)]
struct Way<'a> {
    from: &'a str,
    step_ms: f64,
}

fn cheapest<'a, F>(
    candidates: &[&'a Arc<Upstream>],
    way: Way<'_>,
    site: &Site,
    draw: u64,
    load: &F,
) -> Option<&'a Arc<Upstream>>
where
    F: Fn(&Upstream) -> Load,
{
    let cost_ms = |up: &Upstream| {
        let load = load(up);
        let start_ms = load.start_ms.max(LEAST_START_MS);
        start_ms * (1.0 + WAITING_WEIGHT * f64::from(load.waiting))
            + way.step_ms * f64::from(site.steps(way.from, &up.domain))
            + FAILURE_MS * load.failure_mean
    };
    let best = candidates.iter().map(|up| cost_ms(up)).min_by(f64::total_cmp)?;
    let equals: Vec<_> = candidates.iter().filter(|up| cost_ms(up) <= best).collect();
    let pick = usize::try_from(draw % equals.len() as u64).ok()?;
    equals.get(pick).map(|up| **up)
}
