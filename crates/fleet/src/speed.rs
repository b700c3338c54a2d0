//! Relative speeds of upstreams, from the times that comparable work took.

use std::collections::BTreeMap;

use num_traits::ToPrimitive;

/// Factor between two neighbouring speed levels.
const LEVEL_FACTOR: f64 = 1.25;
/// Slowest and fastest level: a sixth and 2.4 times the usual speed.
const LEVELS: std::ops::RangeInclusive<i8> = -8..=4;
/// Distance in levels from which on an upstream changes its level. More than half a level, so that a
/// speed between two levels does not alternate between them.
const LEVEL_HYSTERESIS: f64 = 0.75;
/// Distance in levels by which a speed must fall below the threshold of uneven speeds before it
/// counts as the usual speed again.
const EVEN_HYSTERESIS: f64 = 0.5;

/// Buckets of slowness, one level each.
const BUCKETS: usize = 24;
/// Slowness of the first bucket, in levels.
const FIRST_BUCKET: f64 = -8.0;
/// Time in which the weight of a timing halves.
const HALF_LIFE_MS: f64 = 8_000.0;
/// Weight of timings below which they say nothing about the speed.
const MIN_WEIGHT: f64 = 6.0;
/// Weight of a bucket below which it is forgotten.
const LEAST_KEPT_WEIGHT: f64 = 0.05;
/// Part of the timings that are shorter than the typical one. Less than half, since waiting behind
/// other work only ever adds time.
const TYPICAL_QUANTILE: f64 = 0.4;
/// Least number of comparable upstreams whose median is the usual speed.
const MIN_COMPARABLE: usize = 3;

/// Identifies an upstream in messages between instances, which would be several times as long with
/// the whole id.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamTag(pub u32);

impl UpstreamTag {
    /// Returns the tag of an upstream's id (FNV-1a).
    #[must_use]
    pub fn of(id: &str) -> Self {
        let hash = id
            .bytes()
            .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        Self(hash)
    }
}

/// Recent timings of an upstream's work, each in relation to the time expected at the usual speed.
/// Older timings count less.
#[derive(Clone, Debug, PartialEq)]
pub struct Timings {
    weights: [f64; BUCKETS],
    updated_at_ms: u64,
}

impl Default for Timings {
    fn default() -> Self {
        Self { weights: [0.0; BUCKETS], updated_at_ms: 0 }
    }
}

impl Timings {
    /// Adds one timing.
    pub fn record(&mut self, now_ms: u64, took_ms: f64, expected_ms: f64) {
        self.age_to(now_ms);
        let slowness = levels_of(took_ms.max(1.0) / expected_ms.max(1.0));
        let index = (slowness - FIRST_BUCKET).round().max(0.0).to_usize().unwrap_or(0);
        self.weights[index.min(BUCKETS - 1)] += 1.0;
    }

    /// Adds `weight` timings in a bucket, as another instance reported them. A bucket that does not
    /// exist has no effect.
    pub fn add(&mut self, now_ms: u64, bucket: usize, weight: f64) {
        self.age_to(now_ms);
        if let Some(sum) = self.weights.get_mut(bucket) {
            *sum += weight;
        }
    }

    /// Adds all timings of `other`.
    pub fn merge(&mut self, now_ms: u64, other: &Self) {
        self.age_to(now_ms);
        let factor = other.decay_until(now_ms);
        self.weights.iter_mut().zip(&other.weights).for_each(|(sum, w)| *sum += w * factor);
    }

    /// Whether the timings weigh enough to be worth keeping.
    #[must_use]
    pub fn has_weight(&self, now_ms: u64) -> bool {
        self.buckets(now_ms).any(|(_, weight)| weight >= LEAST_KEPT_WEIGHT)
    }

    /// Iterates over the buckets with timings and their weights at `now_ms`.
    pub fn buckets(&self, now_ms: u64) -> impl Iterator<Item = (usize, f64)> {
        let factor = self.decay_until(now_ms);
        let weights = self.weights.iter().map(move |weight| weight * factor);
        weights.enumerate().filter(|(_, weight)| *weight > 0.0)
    }

    /// Returns the typical slowness in levels, `None` with too few timings.
    #[must_use]
    pub fn slowness(&self, now_ms: u64) -> Option<f64> {
        let total: f64 = self.buckets(now_ms).map(|(_, weight)| weight).sum();
        if total < MIN_WEIGHT {
            return None;
        }
        let mut left = total * TYPICAL_QUANTILE;
        self.buckets(now_ms).find_map(|(bucket, weight)| {
            let part = left / weight;
            left -= weight;
            (part <= 1.0).then_some(FIRST_BUCKET + bucket as f64 - 0.5 + part)
        })
    }

    fn decay_until(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms);
        0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS)
    }

    fn age_to(&mut self, now_ms: u64) {
        let factor = self.decay_until(now_ms);
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}

/// Slowness of an upstream among those that do comparable work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness<G> {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Upstreams of the same group do comparable work.
    pub group: G,
    /// Typical slowness in levels.
    pub levels: f64,
}

/// Change of an upstream's speed level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpeedChange {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Level before the change.
    pub from: i8,
    /// Level from now on.
    pub to: i8,
}

/// Speed levels of the upstreams that are faster or slower than usual; 0 is the usual speed.
///
/// A level changes only when the speed has clearly left it, so that all instances rank upstreams
/// alike for as long as the speeds stay.
#[derive(Clone, Debug)]
pub struct SpeedLevels {
    /// Distance from the usual speed in levels, from which on a speed counts.
    threshold: f64,
    levels: BTreeMap<UpstreamTag, i8>,
}

impl SpeedLevels {
    /// Returns levels that are all 0. Speeds count once they differ from the usual one by the factor
    /// `uneven_from`.
    #[must_use]
    pub fn new(uneven_from: f64) -> Self {
        Self { threshold: levels_of(uneven_from), levels: BTreeMap::new() }
    }

    /// Iterates over the upstreams whose level is not 0.
    pub fn uneven(&self) -> impl Iterator<Item = (UpstreamTag, i8)> {
        self.levels.iter().map(|(upstream, level)| (*upstream, *level))
    }

    /// Updates the levels of the upstreams in `rows`; the others keep theirs.
    pub fn update<G>(&mut self, rows: &[Slowness<G>]) -> Vec<SpeedChange>
    where
        G: Ord,
    {
        let mut groups: BTreeMap<&G, Vec<f64>> = BTreeMap::new();
        for row in rows {
            groups.entry(&row.group).or_default().push(row.levels);
        }
        for levels in groups.values_mut() {
            levels.sort_by(f64::total_cmp);
        }
        rows.iter()
            .filter_map(|row| {
                let sorted = groups.get(&row.group).filter(|rows| rows.len() >= MIN_COMPARABLE)?;
                let usual = sorted.get(sorted.len() / 2)?;
                self.set(row.upstream, usual - row.levels)
            })
            .collect()
    }

    /// Drops the upstreams for which `is_known` is false.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(UpstreamTag) -> bool,
    {
        self.levels.retain(|upstream, _| is_known(*upstream));
    }

    fn set(&mut self, upstream: UpstreamTag, speed: f64) -> Option<SpeedChange> {
        let from = self.levels.get(&upstream).copied().unwrap_or(0);
        let limit = if from == 0 { self.threshold } else { self.threshold - EVEN_HYSTERESIS };
        let is_even = speed.abs() < limit;
        if !is_even && (speed - f64::from(from)).abs() < LEVEL_HYSTERESIS {
            return None;
        }
        let bounded = speed.clamp(f64::from(*LEVELS.start()), f64::from(*LEVELS.end()));
        let to = bounded.round().to_i8().filter(|_| !is_even).unwrap_or(0);
        if to == 0 {
            self.levels.remove(&upstream);
        } else {
            self.levels.insert(upstream, to);
        }
        (from != to).then_some(SpeedChange { upstream, from, to })
    }
}

/// Returns the speed of a level, as a factor of the usual speed.
#[must_use]
pub fn speed_of_level(level: i8) -> f64 {
    LEVEL_FACTOR.powi(i32::from(level.clamp(*LEVELS.start(), *LEVELS.end())))
}

fn levels_of(factor: f64) -> f64 {
    factor.ln() / LEVEL_FACTOR.ln()
}
