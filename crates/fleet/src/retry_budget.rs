//! The budget of repeated sends, shared by all instances.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// What the budget allows in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats as a part of the requests in the window.
    pub ratio: f64,
    /// Repeats beside that, for all instances together.
    pub slack: f64,
    /// Length of a window.
    pub window_ms: u64,
}

/// Part of the allowance that is used, as other instances' counts are not known exactly.
const USED_PART: f64 = 0.7; // the rest covers instances that are not known yet, such as added ones

/// One instance's part of the budget, by service, over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    services: HashMap<Arc<str>, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests_ms: VecDeque<u64>,
    repeats_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Nothing was sent yet.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, services: HashMap::new() }
    }

    /// Notes a request for a service.
    pub fn on_request(&mut self, now_ms: u64, service: &Arc<str>) {
        let window_ms = self.limits.window_ms;
        let window = self.services.entry(service.clone()).or_default();
        window.expire(now_ms, window_ms);
        window.requests_ms.push_back(now_ms);
    }

    /// Takes one repeat, if this instance's part of the budget has one; `instances` share it.
    pub fn try_acquire(&mut self, now_ms: u64, service: &Arc<str>, instances: usize) -> bool {
        let limits = self.limits;
        let window = self.services.entry(service.clone()).or_default();
        window.expire(now_ms, limits.window_ms);
        let own_slack = limits.slack / instances.max(1) as f64;
        let allowed = USED_PART * (limits.ratio * window.requests_ms.len() as f64 + own_slack);
        let is_left = (window.repeats_ms.len() as f64) + 1.0 <= allowed;
        if is_left {
            window.repeats_ms.push_back(now_ms);
        }
        is_left
    }
}

impl Window {
    fn expire(&mut self, now_ms: u64, window_ms: u64) {
        for times_ms in [&mut self.requests_ms, &mut self.repeats_ms] {
            while times_ms.front().is_some_and(|at_ms| at_ms + window_ms <= now_ms) {
                times_ms.pop_front();
            }
        }
    }
}
