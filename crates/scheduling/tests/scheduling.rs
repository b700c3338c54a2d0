//! Properties of load balancing, fair queueing and the retry budget.

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
        |(
            local_load_units,
            in_flight,
            slots,
            distance,
            accepts_work,
            domain_weight,
            last_used_sequence,
        )| {
            Candidate {
                local_load_units,
                in_flight,
                slots,
                distance,
                accepts_work,
                domain_weight,
                prefix_hit_ratio: 0.0,
                last_used_sequence,
            }
        },
    )
}

fn request(workspace: &str, share_weight: u32, cost_tokens: u64) -> QueuedRequest {
    let workspace = Name::new(workspace).expect("a name");
    QueuedRequest { workspace, share_weight, max_in_flight: 1_000, cost_tokens }
}

proptest! {
    /// The picked candidate accepts requests, has a free slot, and no such candidate is cheaper or,
    /// at the same cost, less recently used. Nothing is picked only if there is no such candidate.
    #[test]
    fn picked_upstream_is_eligible_and_cheapest(
        candidates in prop::collection::vec(candidate(), 0..8),
        tie_breaker in any::<u64>(),
    ) {
        let eligible: Vec<usize> = (0..candidates.len())
            .filter(|index| {
                let candidate = &candidates[*index];
                candidate.accepts_work && candidate.domain_weight > 0 && candidate.in_flight < candidate.slots
            })
            .collect();
        match pick_upstream(&candidates, tie_breaker) {
            None => prop_assert!(eligible.is_empty()),
            Some(picked) => {
                prop_assert!(eligible.contains(&picked));
                for index in eligible {
                    let (best, other) = (&candidates[picked], &candidates[index]);
                    prop_assert!(cost(best) <= cost(other));
                    let is_equal = cost(best).total_cmp(&cost(other)).is_eq();
                    prop_assert!(!is_equal || best.last_used_sequence <= other.last_used_sequence);
                }
            }
        }
    }

    /// Two workspaces that always have queued requests get tokens in proportion to their share
    /// weights, even if one queues twice as many requests as the other.
    #[test]
    fn shares_follow_weights_although_one_workspace_queues_more(
        (small, large) in (1u32..5, 1u32..5),
        costs in prop::collection::vec(1u64..50, 400),
    ) {
        let mut queue = FairQueue::default();
        let mut served = [0u64; 2];
        let weights = [small, large];
        let names = ["small", "large"];
        let mut queued = std::collections::BTreeMap::new();
        let mut enqueue = |queue: &mut FairQueue, index: usize, cost: u64| {
            if let EnqueueResult::Queued(id) =
                queue.enqueue(request(names[index], weights[index], cost))
            {
                queued.insert(id, (index, cost));
            }
        };
        for cost in &costs[..200] {
            enqueue(&mut queue, 0, *cost);
            enqueue(&mut queue, 1, 50);
            enqueue(&mut queue, 1, 50);
        }
        for _ in 0..100 {
            let id = queue.heads()[0];
            queue.start(id);
            let (index, cost) = queued[&id];
            served[index] += cost;
        }
        // The shares differ by at most one request of the largest cost, 50 tokens, on each side.
        let per_share = |index: usize| served[index] as f64 / f64::from(weights[index]);
        prop_assert!((per_share(0) - per_share(1)).abs() <= 2.0 * 50.0, "{served:?} {weights:?}");
    }

    /// Retries never exceed a tenth of the first attempts plus the initial balance of 10.
    #[test]
    fn retries_stay_within_a_tenth_of_requests(steps in prop::collection::vec(any::<bool>(), 0..2_000)) {
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
