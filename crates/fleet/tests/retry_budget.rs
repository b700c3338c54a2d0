//! The shared budget of repeats against a naive count over all instances.

use std::sync::Arc;

use cowslip_fleet::{RetryBudget, RetryBudgetLimits};
use proptest::prelude::*;

const TERMS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 52.0, window_ms: 10_000 };

proptest! {
    /// In any window all instances together send no more repeats than the terms allow, for the
    /// requests of that window or the one before it.
    #[test]
    fn no_window_holds_more_than_the_terms_allow(
        steps in prop::collection::vec((0usize..6, any::<bool>(), 0u64..60), 0..1_500)
    ) {
        let service: Arc<str> = Arc::from("models");
        let mut instances = vec![RetryBudget::new(TERMS); 6];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for (instance, is_request, pause_ms) in steps {
            now_ms += pause_ms;
            if is_request {
                instances[instance].on_request(now_ms, &service);
                requests.push(now_ms);
            } else if instances[instance].try_acquire(now_ms, &service, 6) {
                repeats.push(now_ms);
            }
        }
        for from_ms in repeats.iter().copied() {
            let within = |times: &[u64], from: u64| {
                times.iter().filter(|at| (from..from + TERMS.window_ms).contains(at)).count() as f64
            };
            let before = from_ms.saturating_sub(TERMS.window_ms);
            let counted = within(&requests, from_ms).max(within(&requests, before));
            let allowed = TERMS.ratio * counted + TERMS.slack;
            prop_assert!(within(&repeats, from_ms) <= allowed);
        }
    }
}

#[test]
fn a_service_cannot_use_another_ones_budget() {
    let mut budget = RetryBudget::new(TERMS);
    let (busy, quiet): (Arc<str>, Arc<str>) = (Arc::from("busy"), Arc::from("quiet"));
    (0..1_000).for_each(|_| budget.on_request(5, &busy));
    let taken = |budget: &mut RetryBudget, service: &Arc<str>| {
        (0..1_000).filter(|_| budget.try_acquire(6, service, 1)).count()
    };
    assert_eq!(taken(&mut budget, &quiet), 36); // 0.7 of the slack
    assert_eq!(taken(&mut budget, &busy), 176); // 0.7 of the slack and a fifth of 1,000
    assert!(!budget.try_acquire(10_005, &busy, 1));
    assert!(budget.try_acquire(10_007, &busy, 1));
}
