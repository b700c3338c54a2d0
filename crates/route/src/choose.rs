//! The choice of an upstream.

/// How far an upstream is away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// Same failure domain.
    Domain,
    /// Same region.
    Region,
    /// Another region: slower, and the traffic is billed.
    Remote,
}

/// An upstream that could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests in flight from this instance.
    pub own_in_flight: u32,
    /// Requests in flight from others, as last reported.
    pub others_in_flight: u32,
    /// Requests that it batches at once, at least 1.
    pub slots: u32,
    /// How far it is away.
    pub distance: Distance,
    /// Whether it takes new work.
    pub is_open: bool,
    /// Weight of its failure domain; 0 takes no work.
    pub domain_weight: u32,
    /// Part of the prompt that its cache is believed to hold, 0 to 1.
    pub prefix_hint: f64,
}

/// Load, in slots' worth, that makes a nearer upstream equal to one a step further away.
const DISTANCE_STEP: f64 = 0.25;
/// Load that a wholly cached prompt outweighs; small, so that affinity yields to load.
const PREFIX_BONUS: f64 = 0.3;

/// Cost of running one more request; lower is better.
#[must_use]
pub fn cost(candidate: &Candidate) -> f64 {
    let in_flight = f64::from(candidate.own_in_flight) + f64::from(candidate.others_in_flight);
    let load = (in_flight + 1.0) / f64::from(candidate.slots);
    let steps = match candidate.distance {
        Distance::Domain => 0.0,
        Distance::Region => 1.0,
        Distance::Remote => 2.0,
    };
    let weighted = load / f64::from(candidate.domain_weight);
    weighted + DISTANCE_STEP * steps - PREFIX_BONUS * candidate.prefix_hint
}

/// Index of the cheapest candidate that takes work and has a free slot.
///
/// Among equals `draw` decides, so that instances with the same view do not herd.
#[must_use]
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let usable = |candidate: &&Candidate| {
        let in_flight = u64::from(candidate.own_in_flight) + u64::from(candidate.others_in_flight);
        candidate.is_open && candidate.domain_weight > 0 && in_flight < u64::from(candidate.slots)
    };
    let cheapest = candidates.iter().filter(usable).map(cost).min_by(f64::total_cmp)?;
    let equals: Vec<usize> = (0..candidates.len())
        .filter(|index| usable(&&candidates[*index]) && cost(&candidates[*index]) <= cheapest)
        .collect();
    let pick = usize::try_from(draw % equals.len() as u64).ok()?;
    equals.get(pick).copied()
}
