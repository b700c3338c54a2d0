//! Load balancing: the choice of the upstream for a request.

use std::cmp::Ordering;

/// Distance between this instance and an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// The upstream runs in the same failure domain.
    SameDomain,
    /// The upstream runs in another failure domain of the same region.
    SameRegion,
    /// The upstream runs in another region: requests are slower and the traffic is billed.
    OtherRegion,
}

/// An upstream that could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected work of this instance's requests in flight, in units of [`work_units`].
    pub local_load_units: u32,
    /// Requests in flight from all instances, as far as this instance knows.
    pub in_flight: u32,
    /// Number of requests that the upstream runs in one batch, at least 1.
    pub slots: u32,
    /// Distance from this instance.
    pub distance: Distance,
    /// Whether the upstream accepts new requests.
    pub accepts_work: bool,
    /// Weight of the upstream's failure domain; with 0 the upstream gets no requests.
    pub domain_weight: u32,
    /// Estimated part of the prompt that the upstream's cache holds, 0 to 1.
    pub prefix_hit_ratio: f64,
    /// Sequence number of this instance's newest pick of the upstream, 0 if it never picked it.
    pub last_used_sequence: u64,
}

/// Tokens per unit of work.
const TOKENS_PER_UNIT: u64 = 256;
/// Cost of one step of distance: the extra load, in units of work per slot, at which a nearer
/// upstream costs as much as one a step further away.
const DISTANCE_STEP_COST: f64 = 0.25;
/// Cost saved by a wholly cached prompt, in units of work per slot. It is small, so that a high
/// load outweighs a cached prompt.
const PREFIX_HIT_BONUS: f64 = 0.3;

/// Returns the units of work of a request from its expected tokens, prompt and response together.
#[must_use]
pub fn work_units(tokens: u64) -> u32 {
    u32::try_from(1 + tokens / TOKENS_PER_UNIT).unwrap_or(u32::MAX)
}

/// Returns the cost of sending one more request to a candidate; lower is better.
///
/// Only this instance's own load counts, which it knows exactly. Peers' reports are old, and
/// instances that all follow the same old report would all pick the same upstream.
#[must_use]
pub fn cost(candidate: &Candidate) -> f64 {
    let load = (f64::from(candidate.local_load_units) + 1.0) / f64::from(candidate.slots);
    let distance_steps = match candidate.distance {
        Distance::SameDomain => 0.0,
        Distance::SameRegion => 1.0,
        Distance::OtherRegion => 2.0,
    };
    let weighted_load = load / f64::from(candidate.domain_weight);
    weighted_load + DISTANCE_STEP_COST * distance_steps
        - PREFIX_HIT_BONUS * candidate.prefix_hit_ratio
}

fn is_eligible(candidate: &Candidate) -> bool {
    candidate.accepts_work && candidate.domain_weight > 0 && candidate.in_flight < candidate.slots
}

/// Returns the index of the cheapest candidate that accepts requests and has a free slot.
///
/// Among candidates of equal cost it picks the least recently used one. `tie_breaker` decides among
/// those that remain, so that newly started instances do not all begin with the same upstream.
#[must_use]
pub fn pick_upstream(candidates: &[Candidate], tie_breaker: u64) -> Option<usize> {
    let compare = |a: &Candidate, b: &Candidate| -> Ordering {
        cost(a).total_cmp(&cost(b)).then(a.last_used_sequence.cmp(&b.last_used_sequence))
    };
    let eligible = candidates.iter().filter(|candidate| is_eligible(candidate));
    let best = eligible.min_by(|a, b| compare(a, b))?;
    let tied: Vec<usize> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_eligible(candidate) && compare(candidate, best).is_eq())
        .map(|(index, _)| index)
        .collect();
    let tied_index = usize::try_from(tie_breaker % tied.len() as u64).ok()?;
    tied.get(tied_index).copied()
}
