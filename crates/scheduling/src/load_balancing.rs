//! The choice of an upstream.

use std::cmp::Ordering;

/// How far an upstream is away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// Same failure domain.
    SameDomain,
    /// Same region.
    SameRegion,
    /// Another region: slower, and the traffic is billed.
    OtherRegion,
}

/// An upstream that could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected work of this instance's requests in flight, in units of [`work_units`].
    pub local_load_units: u32,
    /// Requests in flight from all instances, as far as known.
    pub in_flight: u32,
    /// Requests that it batches at once, at least 1.
    pub slots: u32,
    /// How far it is away.
    pub distance: Distance,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// Weight of its failure domain; 0 takes no work.
    pub domain_weight: u32,
    /// Part of the prompt that its cache is believed to hold, 0 to 1.
    pub prefix_hit_ratio: f64,
    /// Number of this instance's choice that last took it, 0 for never.
    pub last_used: u64,
}

/// Tokens that make one unit of work.
const TOKENS_PER_UNIT: u64 = 256;
/// Load, in slots' worth, that makes a nearer upstream equal to one a step further away.
const DISTANCE_STEP: f64 = 0.25;
/// Load that a wholly cached prompt outweighs; small, so that affinity yields to load.
const PREFIX_BONUS: f64 = 0.3;

/// Units of work of a request that is expected to take so many tokens, prompt and answer.
#[must_use]
pub fn work_units(tokens: u64) -> u32 {
    u32::try_from(1 + tokens / TOKENS_PER_UNIT).unwrap_or(u32::MAX)
}

/// Cost of running one more request; lower is better.
///
/// Only this instance's own work counts, which it knows exactly. Reports of others are old, and
/// instances that all follow the same old report herd.
#[must_use]
pub fn cost(candidate: &Candidate) -> f64 {
    let load = (f64::from(candidate.local_load_units) + 1.0) / f64::from(candidate.slots);
    let steps = match candidate.distance {
        Distance::SameDomain => 0.0,
        Distance::SameRegion => 1.0,
        Distance::OtherRegion => 2.0,
    };
    let weighted = load / f64::from(candidate.domain_weight);
    weighted + DISTANCE_STEP * steps - PREFIX_BONUS * candidate.prefix_hit_ratio
}

fn is_usable(candidate: &Candidate) -> bool {
    candidate.accepts_work && candidate.domain_weight > 0 && candidate.in_flight < candidate.slots
}

/// Index of the cheapest candidate that takes work and has a free slot.
///
/// Among equals the one that was not used for longest is taken, and `tie_breaker` decides among those,
/// so that fresh instances do not all begin with the same one.
#[must_use]
pub fn pick_upstream(candidates: &[Candidate], tie_breaker: u64) -> Option<usize> {
    let compare = |a: &Candidate, b: &Candidate| -> Ordering {
        cost(a).total_cmp(&cost(b)).then(a.last_used.cmp(&b.last_used))
    };
    let usable = candidates.iter().filter(|candidate| is_usable(candidate));
    let best = usable.min_by(|a, b| compare(a, b))?;
    let equals: Vec<usize> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_usable(candidate) && compare(candidate, best).is_eq())
        .map(|(index, _)| index)
        .collect();
    let pick = usize::try_from(tie_breaker % equals.len() as u64).ok()?;
    equals.get(pick).copied()
}
