//! A retry budget per service, shared by all instances.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Limits on the retries in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Allowed retries as a share of the requests in the window.
    pub ratio: f64,
    /// Retries allowed beyond that share, for all instances together.
    pub slack: f64,
    /// Length of the sliding window in milliseconds.
    pub window_ms: u64,
}

/// Share of the allowance that an instance uses, 0 to 1, since peers' counts are not known exactly;
/// the rest covers instances that are not known yet, such as added ones.
const USABLE_SHARE: f64 = 0.7;
/// Part of the usable allowance that hedges leave to retries.
const RETRY_RESERVE: f64 = 0.5;

/// This instance's share of the retry budget, by service, over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    services: HashMap<Arc<str>, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    request_times_ms: VecDeque<u64>,
    retry_times_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Returns a budget without recorded requests.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, services: HashMap::new() }
    }

    /// Records a request for a service.
    pub fn on_request(&mut self, now_ms: u64, service: &Arc<str>) {
        let window_ms = self.limits.window_ms;
        let window = self.services.entry(service.clone()).or_default();
        window.evict_expired(now_ms, window_ms);
        window.request_times_ms.push_back(now_ms);
    }

    /// Records one retry and returns `true` if this instance's share of the budget allows it;
    /// `instances` is the number of instances that share the budget.
    pub fn try_acquire(&mut self, now_ms: u64, service: &Arc<str>, instances: usize) -> bool {
        self.try_acquire_part(now_ms, service, instances, 1.0)
    }

    /// As [`Self::try_acquire`] for a hedge, only while half of the allowance stays free: a hedge
    /// saves time, a retry saves a request that has failed.
    pub fn try_acquire_hedge(&mut self, now_ms: u64, service: &Arc<str>, instances: usize) -> bool {
        self.try_acquire_part(now_ms, service, instances, 1.0 - RETRY_RESERVE)
    }

    fn try_acquire_part(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        instances: usize,
        part: f64,
    ) -> bool {
        let limits = self.limits;
        let window = self.services.entry(service.clone()).or_default();
        window.evict_expired(now_ms, limits.window_ms);
        let own_slack = limits.slack / instances.max(1) as f64;
        let allowed =
            part * USABLE_SHARE * (limits.ratio * window.request_times_ms.len() as f64 + own_slack);
        let is_allowed = (window.retry_times_ms.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            window.retry_times_ms.push_back(now_ms);
        }
        is_allowed
    }
}

impl Window {
    fn evict_expired(&mut self, now_ms: u64, window_ms: u64) {
        for times_ms in [&mut self.request_times_ms, &mut self.retry_times_ms] {
            while times_ms.front().is_some_and(|at_ms| at_ms + window_ms <= now_ms) {
                times_ms.pop_front();
            }
        }
    }
}
