//! The shared retry budget against a naive count over all instances.

use std::sync::Arc;

use cowslip_fleet::{RetryBudget, RetryBudgetLimits};
use proptest::prelude::*;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 52.0, window_ms: 10_000 };

proptest! {
    /// In any window all instances together send no more retries than the limits allow for the
    /// requests of that window or the previous one.
    #[test]
    fn no_window_has_more_retries_than_the_limits_allow(
        steps in prop::collection::vec((0usize..6, any::<bool>(), 0u64..60), 0..1_500)
    ) {
        let service: Arc<str> = Arc::from("models");
        let mut instances = vec![RetryBudget::new(LIMITS); 6];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for (instance, is_request, elapsed_ms) in steps {
            now_ms += elapsed_ms;
            if is_request {
                instances[instance].on_request(now_ms, &service);
                requests.push(now_ms);
            } else if instances[instance].try_acquire(now_ms, &service, 6) {
                retries.push(now_ms);
            }
        }
        for from_ms in retries.iter().copied() {
            let within = |times_ms: &[u64], from_ms: u64| {
                times_ms.iter().filter(|at_ms| (from_ms..from_ms + LIMITS.window_ms).contains(at_ms)).count() as f64
            };
            let previous_window_ms = from_ms.saturating_sub(LIMITS.window_ms);
            let counted = within(&requests, from_ms).max(within(&requests, previous_window_ms));
            let allowed = LIMITS.ratio * counted + LIMITS.slack;
            prop_assert!(within(&retries, from_ms) <= allowed);
        }
    }
}

#[test]
fn hedges_leave_half_of_the_allowance_to_retries() {
    struct Case {
        name: &'static str,
        retries_before: usize,
        hedges: usize,
        retries_after: usize,
    }
    // The allowance is 36 retries without a request.
    let cases = [
        Case { name: "no retries", retries_before: 0, hedges: 18, retries_after: 18 },
        Case { name: "some retries", retries_before: 10, hedges: 8, retries_after: 18 },
        Case { name: "half in use", retries_before: 18, hedges: 0, retries_after: 18 },
        Case { name: "more in use", retries_before: 30, hedges: 0, retries_after: 6 },
    ];
    let service: Arc<str> = Arc::from("models");
    for Case { name, retries_before, hedges, retries_after } in cases {
        let mut budget = RetryBudget::new(LIMITS);
        assert!((0..retries_before).all(|_| budget.try_acquire(5, &service, 1)), "{name}");
        let sent = (0..100).filter(|_| budget.try_acquire_hedge(6, &service, 1)).count();
        let retried = (0..100).filter(|_| budget.try_acquire(7, &service, 1)).count();
        assert_eq!((sent, retried), (hedges, retries_after), "{name}");
    }
}

#[test]
fn service_cannot_use_the_budget_of_another_service() {
    let mut budget = RetryBudget::new(LIMITS);
    let (busy, quiet): (Arc<str>, Arc<str>) = (Arc::from("busy"), Arc::from("quiet"));
    (0..1_000).for_each(|_| budget.on_request(5, &busy));
    let acquired = |budget: &mut RetryBudget, service: &Arc<str>| {
        (0..1_000).filter(|_| budget.try_acquire(6, service, 1)).count()
    };
    assert_eq!(acquired(&mut budget, &quiet), 36); // 0.7 of the slack
    assert_eq!(acquired(&mut budget, &busy), 176); // 0.7 of the slack plus a fifth of 1,000
    assert!(!budget.try_acquire(10_005, &busy, 1));
    assert!(budget.try_acquire(10_007, &busy, 1));
}
