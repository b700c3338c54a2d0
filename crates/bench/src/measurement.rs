//! Measurement of time and memory, and linear regression.

use std::hint::black_box;
use std::time::{Duration, Instant};

use stats_alloc::Region;

use crate::ALLOCATOR;

/// Total time of the rounds of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_millis(150);
const ROUNDS: usize = 5;

/// Returns the time of one call in nanoseconds, as the median of several rounds.
pub(crate) fn time_ns<T, F>(mut operation: F) -> f64
where
    F: FnMut() -> T,
{
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round_ns(&mut operation)).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn round_ns<T, F>(operation: &mut F) -> f64
where
    F: FnMut() -> T,
{
    let start = Instant::now();
    let mut calls = 0u32;
    while start.elapsed() < MEASUREMENT_TIME / 5 {
        black_box(operation());
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(calls)
}

/// Builds a state and returns it with the number of bytes that it keeps allocated.
pub(crate) fn measure_memory<T, F>(build: F) -> (T, f64)
where
    F: FnOnce() -> T,
{
    let region = Region::new(ALLOCATOR);
    let state = build();
    let allocation_change = region.change();
    let net_bytes =
        allocation_change.bytes_allocated as f64 - allocation_change.bytes_deallocated as f64;
    (state, net_bytes + allocation_change.bytes_reallocated as f64)
}

/// Returns the slope of a least-squares line through the points.
pub(crate) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
