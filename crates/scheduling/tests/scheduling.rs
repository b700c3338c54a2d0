//! Routing, admission and retries against naive versions.

use cowslip_name::Name;
use cowslip_scheduling::{
    Candidate, Distance, EnqueueResult, FairQueue, QueuedRequest, RetryBudget, cost, pick_upstream,
};
use proptest::prelude::*;

fn candidate() -> impl Strategy<Value = Candidate> {
    let distance = prop_oneof![
        Just(Distance::SameDomain),
        Just(Distance::SameRegion),
        Just(Distance::OtherRegion)
    ];
    (0u32..6, 0u32..9, 1u32..8, distance, any::<bool>(), 0u32..3, 0u64..3).prop_map(
        |(local_load_units, in_flight, slots, distance, accepts_work, domain_weight, last_used)| {
            Candidate {
                local_load_units,
                in_flight,
                slots,
                distance,
                accepts_work,
                domain_weight,
                prefix_hit_ratio: 0.0,
                last_used,
            }
        },
    )
}

fn claim(workspace: &str, share_weight: u32, cost_tokens: u64) -> QueuedRequest {
    let workspace = Name::new(workspace).expect("a name");
    QueuedRequest { workspace, share_weight, max_in_flight: 1_000, cost_tokens }
}

proptest! {
    #[test]
    fn the_choice_is_free_and_cheapest(
        candidates in prop::collection::vec(candidate(), 0..8),
        draw in any::<u64>(),
    ) {
        let usable: Vec<usize> = (0..candidates.len())
            .filter(|index| {
                let one = &candidates[*index];
                one.accepts_work && one.domain_weight > 0 && one.in_flight < one.slots
            })
            .collect();
        match pick_upstream(&candidates, draw) {
            None => prop_assert!(usable.is_empty()),
            Some(chosen) => {
                prop_assert!(usable.contains(&chosen));
                for index in usable {
                    let (best, other) = (&candidates[chosen], &candidates[index]);
                    prop_assert!(cost(best) <= cost(other));
                    let is_equal = cost(best).total_cmp(&cost(other)).is_eq();
                    prop_assert!(!is_equal || best.last_used <= other.last_used);
                }
            }
        }
    }

    /// Two workspaces that always have work get tokens by their shares, whatever they ask.
    #[test]
    fn shares_hold_while_another_floods(
        (small, large) in (1u32..5, 1u32..5),
        costs in prop::collection::vec(1u64..50, 400),
    ) {
        let mut admitter = FairQueue::default();
        let mut served = [0u64; 2];
        let weights = [small, large];
        let names = ["small", "large"];
        let mut queue = std::collections::BTreeMap::new();
        let mut enqueue = |admitter: &mut FairQueue, which: usize, cost: u64| {
            if let EnqueueResult::Queued(wait) =
                admitter.enqueue(claim(names[which], weights[which], cost))
            {
                queue.insert(wait, (which, cost));
            }
        };
        for cost in &costs[..200] {
            enqueue(&mut admitter, 0, *cost);
            enqueue(&mut admitter, 1, 50);
            enqueue(&mut admitter, 1, 50);
        }
        for _ in 0..100 {
            let wait = admitter.heads()[0];
            admitter.start(wait);
            let (which, cost) = queue[&wait];
            served[which] += cost;
        }
        // Shares differ by at most one request of the largest size on each side.
        let per_share = |which: usize| served[which] as f64 / f64::from(weights[which]);
        prop_assert!((per_share(0) - per_share(1)).abs() <= 2.0 * 50.0, "{served:?} {weights:?}");
    }

    #[test]
    fn retries_stay_a_tenth_of_requests(steps in prop::collection::vec(any::<bool>(), 0..2_000)) {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0u64, 0u64);
        for is_request in steps {
            if is_request {
                budget.on_request();
                requests += 1;
            } else {
                retries += u64::from(budget.try_acquire());
            }
            prop_assert!(retries <= 10 + requests / 10);
        }
    }
}
