//! Placement of requests on upstreams by load, distance, failures and role.

use std::collections::HashMap;
use std::sync::Arc;

use cowslip_fleet::{
    EngineRole, Load, Locality, PlacementRequest, Prompt, PromptSegment, Upstream, place,
};
use proptest::prelude::*;

fn upstream(id: &str, domain: &str, role: Option<EngineRole>) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: Arc::from(id),
        started_at_ms: 1,
        service: Arc::from("models"),
        address: "10.0.0.1:80".parse().expect("valid address"),
        failure_domain: Arc::from(domain),
        slots: 8,
        is_draining: false,
        role,
        is_reclaimable: false,
    })
}

fn locality() -> Locality {
    let regions = [("d0", "r0"), ("d1", "r0"), ("d2", "r2")];
    let regions = regions.map(|(domain, region)| (Arc::from(domain), Arc::from(region)));
    Locality { failure_domain: Arc::from("d0"), regions: HashMap::from(regions) }
}

fn prompt(shared_segment_id: u64, tokens: u64) -> Prompt {
    let segments = vec![
        PromptSegment { id: shared_segment_id, tokens: 100 },
        PromptSegment { id: 9, tokens: 50 },
    ];
    Prompt { tokens, max_output_tokens: 10, segments }
}

#[test]
fn upstream_has_lowest_cost_of_load_distance_and_failures() {
    struct Case {
        name: &'static str,
        loads: [Load; 3],
        expected: &'static str,
    }
    let idle = Load::default();
    let busy = |queued| Load { queued, ..idle };
    let failing = Load { failure_rate: 0.5, ..idle };
    let cases = [
        Case { name: "all idle: the nearest", loads: [idle, idle, idle], expected: "near" },
        Case {
            name: "the nearest is busy: the next in the region",
            loads: [busy(3), idle, idle],
            expected: "region",
        },
        Case {
            name: "the region is busy: another region",
            loads: [busy(9), busy(9), idle],
            expected: "far",
        },
        Case {
            name: "the nearest fails: the next in the region",
            loads: [failing, idle, idle],
            expected: "region",
        },
        Case {
            name: "a connection does not outweigh distance",
            loads: [idle, Load { is_connected: true, ..idle }, idle],
            expected: "near",
        },
    ];
    let eligible =
        [upstream("near", "d0", None), upstream("region", "d1", None), upstream("far", "d2", None)];
    let eligible: Vec<&Arc<Upstream>> = eligible.iter().collect();
    for Case { name, loads, expected } in cases {
        let load = |up: &Upstream| {
            loads[eligible
                .iter()
                .position(|candidate| candidate.id == up.id)
                .expect("known candidate")]
        };
        let request = PlacementRequest {
            prompt: None,
            may_disaggregate: true,
            preferred_domain: None,
            spreads_queues: false,
            tie_breaker: 5,
        };
        let placement = place(&request, &eligible, &locality(), load).expect("placement");
        assert_eq!(
            (&*placement.upstream.id, placement.prefill_upstream),
            (expected, None),
            "{name}"
        );
    }
}

#[test]
fn upstream_with_more_slots_takes_more_requests() {
    struct Case {
        name: &'static str,
        queued: [u32; 2],
        expected: &'static str,
    }
    let cases = [
        Case { name: "both idle", queued: [0, 0], expected: "large" },
        Case {
            name: "the large one has more than twice the load",
            queued: [0, 2],
            expected: "small",
        },
        Case { name: "equal load", queued: [1, 1], expected: "large" },
    ];
    let mut large = (*upstream("large", "d0", None)).clone();
    large.slots = 16;
    let eligible = [upstream("small", "d0", None), Arc::new(large)];
    let eligible: Vec<&Arc<Upstream>> = eligible.iter().collect();
    for Case { name, queued, expected } in cases {
        let load = |up: &Upstream| {
            let index = usize::from(&*up.id == "large");
            Load { queued: queued[index], ..Load::default() }
        };
        let request = PlacementRequest {
            prompt: None,
            may_disaggregate: true,
            preferred_domain: None,
            spreads_queues: false,
            tie_breaker: 0,
        };
        let placement = place(&request, &eligible, &locality(), load).expect("placement");
        assert_eq!(&*placement.upstream.id, expected, "{name}");
    }
}

#[test]
fn connected_upstream_wins_among_equals() {
    struct Case {
        name: &'static str,
        connected: [bool; 3],
        tie_breaker: u64,
        expected: &'static str,
    }
    let cases = [
        Case { name: "no connection", connected: [false; 3], tie_breaker: 1, expected: "one" },
        Case {
            name: "one connection",
            connected: [false, false, true],
            tie_breaker: 1,
            expected: "two",
        },
        Case {
            name: "two connections, odd tie breaker",
            connected: [true, false, true],
            tie_breaker: 1,
            expected: "two",
        },
        Case {
            name: "two connections, even tie breaker",
            connected: [true, false, true],
            tie_breaker: 2,
            expected: "zero",
        },
    ];
    let eligible = ["zero", "one", "two"].map(|id| upstream(id, "d0", None));
    let eligible: Vec<&Arc<Upstream>> = eligible.iter().collect();
    for Case { name, connected, tie_breaker, expected } in cases {
        let load = |up: &Upstream| {
            let index = eligible
                .iter()
                .position(|candidate| candidate.id == up.id)
                .expect("known candidate");
            Load { is_connected: connected[index], ..Load::default() }
        };
        let request = PlacementRequest {
            prompt: None,
            may_disaggregate: true,
            preferred_domain: None,
            spreads_queues: false,
            tie_breaker,
        };
        let placement = place(&request, &eligible, &locality(), load).expect("placement");
        assert_eq!(&*placement.upstream.id, expected, "{name}");
    }
}

#[test]
fn long_prompts_are_disaggregated_and_decoded_near_their_prefill_engine() {
    struct Case {
        name: &'static str,
        tokens: u64,
        may_disaggregate: bool,
        is_disaggregated: bool,
    }
    let cases = [
        Case { name: "long prompt", tokens: 9_000, may_disaggregate: true, is_disaggregated: true },
        Case {
            name: "short prompt",
            tokens: 1_000,
            may_disaggregate: true,
            is_disaggregated: false,
        },
        Case { name: "a retry", tokens: 9_000, may_disaggregate: false, is_disaggregated: false },
    ];
    let eligible = [
        upstream("prefill", "d2", Some(EngineRole::Prefill)),
        upstream("near", "d0", Some(EngineRole::Decode)),
        upstream("far", "d2", Some(EngineRole::Decode)),
    ];
    let eligible: Vec<&Arc<Upstream>> = eligible.iter().collect();
    for Case { name, tokens, may_disaggregate, is_disaggregated } in cases {
        let prompt = prompt(1, tokens);
        let request = PlacementRequest {
            prompt: Some(&prompt),
            may_disaggregate,
            preferred_domain: None,
            spreads_queues: false,
            tie_breaker: 0,
        };
        let placement =
            place(&request, &eligible, &locality(), |_| Load::default()).expect("placement");
        assert_eq!(placement.prefill_upstream.is_some(), is_disaggregated, "{name}");
        assert_eq!(
            &*placement.upstream.id,
            if is_disaggregated { "far" } else { "near" },
            "{name}"
        );
    }
}

proptest! {
    /// Instances that know the same engines prefill the same shared segment at the same engine while
    /// it is not busy with their own prefills.
    #[test]
    fn instances_agree_on_the_prefill_engine(
        shared_segment_id in any::<u64>(), prefill_engines in 1usize..8, active_prefills in prop::collection::vec(0u32..6, 8), tie_breaker in any::<u64>()
    ) {
        let engines: Vec<Arc<Upstream>> = (0..prefill_engines)
            .map(|index| upstream(&format!("prefill-{index}"), "d1", Some(EngineRole::Prefill)))
            .chain([upstream("decode", "d0", Some(EngineRole::Decode))])
            .collect();
        let eligible: Vec<&Arc<Upstream>> = engines.iter().collect();
        let mut reversed: Vec<&Arc<Upstream>> = engines.iter().collect();
        reversed.reverse();
        let prompt = prompt(shared_segment_id, 9_000);
        let idle = |_: &Upstream| Load::default();
        let request = |tie_breaker| PlacementRequest { prompt: Some(&prompt), may_disaggregate: true, preferred_domain: None, spreads_queues: false, tie_breaker };
        let first = place(&request(tie_breaker), &eligible, &locality(), idle).expect("placement");
        let second = place(&request(tie_breaker ^ 1), &reversed, &locality(), idle).expect("placement");
        prop_assert_eq!(&first.prefill_upstream, &second.prefill_upstream);
        let index = |up: &Upstream| eligible.iter().position(|candidate| candidate.id == up.id).expect("known candidate");
        // At most two engines prefill the same shared segment, whatever their load.
        let chosen: std::collections::BTreeSet<_> = (0..6)
            .map(|rotation| {
                let load = |up: &Upstream| Load { active_prefills: active_prefills[(index(up) + rotation) % 8], ..Load::default() };
                place(&request(tie_breaker), &eligible, &locality(), load).expect("placement").prefill_upstream.expect("prefill engine").id.clone()
            })
            .collect();
        prop_assert!(chosen.len() <= 2);
    }
}

#[test]
fn prefill_engines_alone_give_no_placement() {
    let eligible = [upstream("prefill", "d0", Some(EngineRole::Prefill))];
    let eligible: Vec<&Arc<Upstream>> = eligible.iter().collect();
    let request = PlacementRequest {
        prompt: None,
        may_disaggregate: true,
        preferred_domain: None,
        spreads_queues: false,
        tie_breaker: 0,
    };
    assert_eq!(place(&request, &eligible, &locality(), |_| Load::default()), None);
}
