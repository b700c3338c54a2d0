//! What the one in charge orders.

use std::sync::Arc;

use cowslip_fleet::{
    CapacityLimits, DeclaredConfig, EngineRole, Service, Upstream, UpstreamRegistry, plan_capacity,
    plan_roles,
};

use EngineRole::{Decode, Prefill};

struct Engine {
    domain: &'static str,
    role: EngineRole,
    is_reclaimable: bool,
}

const fn engine(domain: &'static str, role: EngineRole, is_reclaimable: bool) -> Engine {
    Engine { domain, role, is_reclaimable }
}

fn roster(engines: &[Engine]) -> UpstreamRegistry {
    let mut roster = UpstreamRegistry::default();
    for (index, engine) in engines.iter().enumerate() {
        roster.on_entry(Upstream {
            id: Arc::from(format!("engine-{index}")),
            started_at_ms: 1,
            service: Arc::from("models"),
            address: "10.0.0.1:80".parse().expect("an address"),
            failure_domain: Arc::from(engine.domain),
            slots: 8,
            is_draining: false,
            role: Some(engine.role),
            is_reclaimable: engine.is_reclaimable,
        });
    }
    roster
}

fn deployment(reclaimable_price: Option<f64>) -> DeclaredConfig {
    let failure_domains = ["d0", "d1"].map(Arc::from).to_vec();
    let capacity = CapacityLimits { min: 1, max: 4, reclaimable_price, failure_domains };
    let models = Service { is_engine: true, capacity: Some(capacity) };
    let app = Service { is_engine: false, capacity: None };
    let services = [(Arc::from("models"), models), (Arc::from("app"), app)];
    DeclaredConfig { services: services.into_iter().collect(), ..DeclaredConfig::default() }
}

#[test]
fn reclaimable_upstreams_fill_what_is_left() {
    struct Case {
        name: &'static str,
        price: Option<f64>,
        engines: &'static [Engine],
        expected: &'static [(&'static str, u32)],
    }
    const ORDINARY: Engine = engine("d0", Decode, false);
    const CHEAP: Engine = engine("d0", Decode, true);
    let cases = [
        Case {
            name: "none are there",
            price: Some(0.2),
            engines: &[ORDINARY, ORDINARY],
            expected: &[("d0", 2), ("d1", 4)],
        },
        Case {
            name: "some are there",
            price: Some(0.2),
            engines: &[ORDINARY, CHEAP, CHEAP],
            expected: &[("d0", 3), ("d1", 4)],
        },
        Case {
            name: "all are there",
            price: Some(0.2),
            engines: &[ORDINARY, CHEAP, CHEAP, CHEAP],
            expected: &[("d1", 4)],
        },
        Case { name: "no cheaper ones exist", price: None, engines: &[ORDINARY], expected: &[] },
        Case { name: "they cost as much", price: Some(1.0), engines: &[ORDINARY], expected: &[] },
    ];
    for Case { name, price, engines, expected } in cases {
        let orders = plan_capacity(&deployment(price), &roster(engines));
        let found: Vec<(&str, u32)> =
            orders.iter().map(|order| (&*order.failure_domain, order.desired)).collect();
        assert_eq!(found, expected, "{name}");
        assert!(orders.iter().all(|order| order.is_reclaimable));
    }
}

#[test]
fn ordinary_upstreams_are_given_back_where_enough_would_be_left() {
    struct Case {
        name: &'static str,
        failure_domains: usize,
        max: u32,
        ordinary: usize,
        reclaimable: usize,
        /// Wanted ordinary ones, if fewer than there are.
        expected: Option<u32>,
    }
    let cases = [
        Case {
            name: "three domains keep half",
            failure_domains: 3,
            max: 8,
            ordinary: 4,
            reclaimable: 4,
            expected: None,
        },
        Case {
            name: "three domains with too many",
            failure_domains: 3,
            max: 8,
            ordinary: 6,
            reclaimable: 2,
            expected: Some(4),
        },
        Case {
            name: "two domains keep two thirds",
            failure_domains: 2,
            max: 6,
            ordinary: 6,
            reclaimable: 0,
            expected: Some(4),
        },
        Case {
            name: "six domains, no reclaimable ones there yet",
            failure_domains: 6,
            max: 38,
            ordinary: 19,
            reclaimable: 0,
            expected: None,
        },
        Case {
            name: "six domains, the first step",
            failure_domains: 6,
            max: 38,
            ordinary: 19,
            reclaimable: 19,
            expected: Some(9),
        },
        Case {
            name: "six domains, the last step",
            failure_domains: 6,
            max: 38,
            ordinary: 9,
            reclaimable: 29,
            expected: Some(5),
        },
        Case {
            name: "six domains, done",
            failure_domains: 6,
            max: 38,
            ordinary: 5,
            reclaimable: 33,
            expected: None,
        },
        Case {
            name: "a domain whose reclaimable ones were taken away",
            failure_domains: 6,
            max: 38,
            ordinary: 5,
            reclaimable: 0,
            expected: None,
        },
    ];
    for case in cases {
        let failure_domains: Vec<Arc<str>> =
            (0..case.failure_domains).map(|index| Arc::from(format!("d{index}"))).collect();
        let capacity =
            CapacityLimits { min: 1, max: case.max, reclaimable_price: Some(0.2), failure_domains };
        let service = Service { is_engine: true, capacity: Some(capacity) };
        let services = [(Arc::from("models"), service)].into_iter().collect();
        let deployment = DeclaredConfig { services, ..DeclaredConfig::default() };
        let engines: Vec<Engine> = (0..case.ordinary + case.reclaimable)
            .map(|index| engine("d0", Decode, index >= case.ordinary))
            .collect();
        let orders = plan_capacity(&deployment, &roster(&engines));
        let ordinary = orders.iter().find(|order| !order.is_reclaimable);
        assert_eq!(ordinary.map(|order| order.desired), case.expected, "{}", case.name);
    }
}

#[test]
fn each_group_of_engines_is_balanced_for_itself() {
    struct Case {
        name: &'static str,
        engines: &'static [Engine],
        expected: &'static [(&'static str, EngineRole)],
    }
    const D: Engine = engine("d0", Decode, false);
    const P: Engine = engine("d0", Prefill, false);
    const CHEAP_D: Engine = engine("d0", Decode, true);
    const CHEAP_P: Engine = engine("d0", Prefill, true);
    const ELSEWHERE_D: Engine = engine("d1", Decode, false);
    let cases = [
        Case { name: "half and half", engines: &[D, D, P, P], expected: &[] },
        Case {
            name: "one too few reads",
            engines: &[D, D, D, P],
            expected: &[("engine-0", Prefill)],
        },
        Case {
            name: "one too many reads",
            engines: &[D, P, P, P],
            expected: &[("engine-1", Decode)],
        },
        Case {
            name: "each kind for itself",
            engines: &[D, P, CHEAP_P, CHEAP_P],
            expected: &[("engine-2", Decode)],
        },
        Case {
            name: "each domain for itself",
            engines: &[P, D, ELSEWHERE_D, ELSEWHERE_D],
            expected: &[("engine-2", Prefill)],
        },
        Case { name: "a single engine answers", engines: &[P], expected: &[("engine-0", Decode)] },
        Case { name: "a single cheap one too", engines: &[D, P, CHEAP_D], expected: &[] },
        Case { name: "no engines", engines: &[], expected: &[] },
    ];
    for Case { name, engines, expected } in cases {
        let orders = plan_roles(&deployment(None), &roster(engines));
        let found: Vec<(&str, EngineRole)> =
            orders.iter().map(|order| (&*order.upstream.id, order.role)).collect();
        assert_eq!(found, expected, "{name}");
    }
}
