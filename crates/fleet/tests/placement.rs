//! Where requests run.

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
        address: "10.0.0.1:80".parse().expect("an address"),
        failure_domain: Arc::from(domain),
        slots: 8,
        is_draining: false,
        role,
        is_reclaimable: false,
    })
}

fn site() -> Locality {
    let regions = [("d0", "r0"), ("d1", "r0"), ("d2", "r2")];
    let regions = regions.map(|(domain, region)| (Arc::from(domain), Arc::from(region)));
    Locality { failure_domain: Arc::from("d0"), regions: HashMap::from(regions) }
}

fn prompt(shared_id: u64, tokens: u64) -> Prompt {
    let segments =
        vec![PromptSegment { id: shared_id, tokens: 100 }, PromptSegment { id: 9, tokens: 50 }];
    Prompt { tokens, max_output_tokens: 10, segments }
}

#[test]
fn load_distance_and_failures_decide_who_answers() {
    struct Case {
        name: &'static str,
        loads: [Load; 3],
        expected: &'static str,
    }
    let idle = Load::default();
    let busy = |waiting| Load { waiting, ..idle };
    let failing = Load { failure_rate: 0.5, ..idle };
    let cases = [
        Case { name: "the nearest", loads: [idle, idle, idle], expected: "near" },
        Case {
            name: "the next when that is busy",
            loads: [busy(3), idle, idle],
            expected: "region",
        },
        Case { name: "far away when both are", loads: [busy(9), busy(9), idle], expected: "far" },
        Case { name: "not one that fails", loads: [failing, idle, idle], expected: "region" },
        Case {
            name: "a connection does not make up for distance",
            loads: [idle, Load { is_connected: true, ..idle }, idle],
            expected: "near",
        },
    ];
    let open =
        [upstream("near", "d0", None), upstream("region", "d1", None), upstream("far", "d2", None)];
    let open: Vec<&Arc<Upstream>> = open.iter().collect();
    for Case { name, loads, expected } in cases {
        let load = |up: &Upstream| {
            loads[open.iter().position(|one| one.id == up.id).expect("one of them")]
        };
        let demand = PlacementRequest {
            prompt: None,
            may_disaggregate: true,
            preferred_domain: None,
            tie_breaker: 5,
        };
        let placement = place(&demand, &open, &site(), load).expect("a place");
        assert_eq!(
            (&*placement.upstream.id, placement.prefill_upstream),
            (expected, None),
            "{name}"
        );
    }
}

#[test]
fn an_upstream_with_more_slots_takes_more() {
    struct Case {
        name: &'static str,
        waiting: [u32; 2],
        expected: &'static str,
    }
    let cases = [
        Case { name: "both idle", waiting: [0, 0], expected: "large" },
        Case { name: "less than twice as many", waiting: [0, 2], expected: "small" },
        Case { name: "as many", waiting: [1, 1], expected: "large" },
    ];
    let mut large = (*upstream("large", "d0", None)).clone();
    large.slots = 16;
    let open = [upstream("small", "d0", None), Arc::new(large)];
    let open: Vec<&Arc<Upstream>> = open.iter().collect();
    for Case { name, waiting, expected } in cases {
        let load = |up: &Upstream| {
            let index = usize::from(&*up.id == "large");
            Load { waiting: waiting[index], ..Load::default() }
        };
        let demand = PlacementRequest {
            prompt: None,
            may_disaggregate: true,
            preferred_domain: None,
            tie_breaker: 0,
        };
        let placement = place(&demand, &open, &site(), load).expect("a place");
        assert_eq!(&*placement.upstream.id, expected, "{name}");
    }
}

#[test]
fn among_equals_one_that_is_connected_answers() {
    struct Case {
        name: &'static str,
        connected: [bool; 3],
        tie_breaker: u64,
        expected: &'static str,
    }
    let cases = [
        Case { name: "none", connected: [false; 3], tie_breaker: 1, expected: "one" },
        Case { name: "the last", connected: [false, false, true], tie_breaker: 1, expected: "two" },
        Case {
            name: "two, by the draw",
            connected: [true, false, true],
            tie_breaker: 1,
            expected: "two",
        },
        Case {
            name: "two, by another",
            connected: [true, false, true],
            tie_breaker: 2,
            expected: "zero",
        },
    ];
    let open = ["zero", "one", "two"].map(|id| upstream(id, "d0", None));
    let open: Vec<&Arc<Upstream>> = open.iter().collect();
    for Case { name, connected, tie_breaker, expected } in cases {
        let load = |up: &Upstream| {
            let index = open.iter().position(|one| one.id == up.id).expect("one of them");
            Load { is_connected: connected[index], ..Load::default() }
        };
        let demand = PlacementRequest {
            prompt: None,
            may_disaggregate: true,
            preferred_domain: None,
            tie_breaker,
        };
        let placement = place(&demand, &open, &site(), load).expect("a place");
        assert_eq!(&*placement.upstream.id, expected, "{name}");
    }
}

#[test]
fn long_prompts_are_read_apart_and_answered_near_by() {
    struct Case {
        name: &'static str,
        tokens: u64,
        may_disaggregate: bool,
        is_apart: bool,
    }
    let cases = [
        Case { name: "long", tokens: 9_000, may_disaggregate: true, is_apart: true },
        Case { name: "short", tokens: 1_000, may_disaggregate: true, is_apart: false },
        Case { name: "a repeat", tokens: 9_000, may_disaggregate: false, is_apart: false },
    ];
    let open = [
        upstream("reader", "d2", Some(EngineRole::Prefill)),
        upstream("near", "d0", Some(EngineRole::Decode)),
        upstream("far", "d2", Some(EngineRole::Decode)),
    ];
    let open: Vec<&Arc<Upstream>> = open.iter().collect();
    for Case { name, tokens, may_disaggregate, is_apart } in cases {
        let prompt = prompt(1, tokens);
        let demand = PlacementRequest {
            prompt: Some(&prompt),
            may_disaggregate,
            preferred_domain: None,
            tie_breaker: 0,
        };
        let placement = place(&demand, &open, &site(), |_| Load::default()).expect("a place");
        assert_eq!(placement.prefill_upstream.is_some(), is_apart, "{name}");
        assert_eq!(&*placement.upstream.id, if is_apart { "far" } else { "near" }, "{name}");
    }
}

proptest! {
    /// Instances that know the same engines send the same shared part to the same reader, as long
    /// as it is not busy with their own; nothing outside of the open ones is ever chosen.
    #[test]
    fn instances_agree_on_the_reader(
        shared_id in any::<u64>(), readers in 1usize..8, reads in prop::collection::vec(0u32..6, 8), tie_breaker in any::<u64>()
    ) {
        let engines: Vec<Arc<Upstream>> = (0..readers)
            .map(|index| upstream(&format!("reader-{index}"), "d1", Some(EngineRole::Prefill)))
            .chain([upstream("answerer", "d0", Some(EngineRole::Decode))])
            .collect();
        let open: Vec<&Arc<Upstream>> = engines.iter().collect();
        let mut turned: Vec<&Arc<Upstream>> = engines.iter().collect();
        turned.reverse();
        let prompt = prompt(shared_id, 9_000);
        let idle = |_: &Upstream| Load::default();
        let demand = |tie_breaker| PlacementRequest { prompt: Some(&prompt), may_disaggregate: true, preferred_domain: None, tie_breaker };
        let first = place(&demand(tie_breaker), &open, &site(), idle).expect("a place");
        let second = place(&demand(tie_breaker ^ 1), &turned, &site(), idle).expect("a place");
        prop_assert_eq!(&first.prefill_upstream, &second.prefill_upstream);
        let index = |up: &Upstream| open.iter().position(|one| one.id == up.id).expect("an open one");
        // Not more than two engines read what one would.
        let chosen: std::collections::BTreeSet<_> = (0..6)
            .map(|busy| {
                let load = |up: &Upstream| Load { active_prefills: reads[(index(up) + busy) % 8], ..Load::default() };
                place(&demand(tie_breaker), &open, &site(), load).expect("a place").prefill_upstream.expect("a reader").id.clone()
            })
            .collect();
        prop_assert!(chosen.len() <= 2);
    }
}

#[test]
fn without_an_answerer_there_is_no_place() {
    let open = [upstream("reader", "d0", Some(EngineRole::Prefill))];
    let open: Vec<&Arc<Upstream>> = open.iter().collect();
    let demand = PlacementRequest {
        prompt: None,
        may_disaggregate: true,
        preferred_domain: None,
        tie_breaker: 0,
    };
    assert_eq!(place(&demand, &open, &site(), |_| Load::default()), None);
}
