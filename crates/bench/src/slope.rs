//! Timing, memory and straight lines.

use std::hint::black_box;
use std::time::{Duration, Instant};

use stats_alloc::Region;

use crate::ALLOCATOR;

const MEASURE: Duration = Duration::from_millis(150);
const ROUNDS: usize = 5;

/// Median time of one call over several rounds, in nanoseconds.
pub(crate) fn time_ns<T, F>(mut work: F) -> f64
where
    F: FnMut() -> T,
{
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round_ns(&mut work)).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn round_ns<T, F>(work: &mut F) -> f64
where
    F: FnMut() -> T,
{
    let start = Instant::now();
    let mut calls = 0u32;
    while start.elapsed() < MEASURE / 5 {
        black_box(work());
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(calls)
}

/// Builds a state; returns it and the bytes that it keeps allocated.
pub(crate) fn memory_of<T, F>(build: F) -> (T, f64)
where
    F: FnOnce() -> T,
{
    let region = Region::new(ALLOCATOR);
    let state = build();
    let change = region.change();
    let kept_bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (state, kept_bytes + change.bytes_reallocated as f64)
}

/// Slope of the straight line through the points by least squares.
pub(crate) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
