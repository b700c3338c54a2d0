//! Capacity and role orders of the lease holder.

use std::sync::Arc;

use cowslip_fleet::{
    CapacityLimits, DeclaredConfig, EngineRole, EntryOrder, ResponseOrigin, Service, Upstream,
    UpstreamEntry, UpstreamRegistry, plan_capacity, plan_roles,
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

fn registry(engines: &[Engine]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for (index, engine) in engines.iter().enumerate() {
        let upstream = Upstream {
            id: Arc::from(format!("engine-{index}")),
            started_at_ms: 1,
            service: Arc::from("models"),
            address: "10.0.0.1:80".parse().expect("valid address"),
            failure_domain: Arc::from(engine.domain),
            slots: 8,
            is_draining: false,
            role: Some(engine.role),
            is_reclaimable: engine.is_reclaimable,
        };
        registry.on_entry(UpstreamEntry { upstream, seq: 0 }, EntryOrder::Newer);
    }
    registry
}

fn config(reclaimable_price: Option<f64>) -> DeclaredConfig {
    let failure_domains = ["d0", "d1"].map(Arc::from).to_vec();
    let capacity = CapacityLimits { min: 1, max: 4, reclaimable_price, failure_domains };
    let models = Service { is_engine: true, capacity: Some(capacity) };
    let app = Service { is_engine: false, capacity: None };
    let services = [(Arc::from("models"), models), (Arc::from("app"), app)];
    DeclaredConfig { services: services.into_iter().collect(), ..DeclaredConfig::default() }
}

#[test]
fn reclaimable_upstreams_fill_the_remaining_capacity() {
    struct Case {
        name: &'static str,
        price: Option<f64>,
        engines: &'static [Engine],
        expected: &'static [(&'static str, u32)],
    }
    const ORDINARY: Engine = engine("d0", Decode, false);
    const RECLAIMABLE: Engine = engine("d0", Decode, true);
    let cases = [
        Case {
            name: "no reclaimable ones yet",
            price: Some(0.2),
            engines: &[ORDINARY, ORDINARY],
            expected: &[("d0", 2), ("d1", 4)],
        },
        Case {
            name: "some reclaimable ones missing",
            price: Some(0.2),
            engines: &[ORDINARY, RECLAIMABLE, RECLAIMABLE],
            expected: &[("d0", 3), ("d1", 4)],
        },
        Case {
            name: "all reclaimable ones present",
            price: Some(0.2),
            engines: &[ORDINARY, RECLAIMABLE, RECLAIMABLE, RECLAIMABLE],
            expected: &[("d1", 4)],
        },
        Case {
            name: "no reclaimable ones offered",
            price: None,
            engines: &[ORDINARY],
            expected: &[],
        },
        Case {
            name: "reclaimable ones are not cheaper",
            price: Some(1.0),
            engines: &[ORDINARY],
            expected: &[],
        },
    ];
    for Case { name, price, engines, expected } in cases {
        let orders = plan_capacity(&config(price), &registry(engines));
        let found: Vec<(&str, u32)> =
            orders.iter().map(|order| (&*order.failure_domain, order.desired)).collect();
        assert_eq!(found, expected, "{name}");
        assert!(orders.iter().all(|order| order.is_reclaimable));
    }
}

#[test]
fn surplus_ordinary_upstreams_are_given_up_in_steps() {
    struct Case {
        name: &'static str,
        failure_domains: usize,
        max: u32,
        ordinary: usize,
        reclaimable: usize,
        /// Desired number of ordinary upstreams, `None` if none are given up.
        expected: Option<u32>,
    }
    let cases = [
        Case {
            name: "three domains: half stay ordinary",
            failure_domains: 3,
            max: 8,
            ordinary: 4,
            reclaimable: 4,
            expected: None,
        },
        Case {
            name: "three domains: the surplus is given up",
            failure_domains: 3,
            max: 8,
            ordinary: 6,
            reclaimable: 2,
            expected: Some(4),
        },
        Case {
            name: "two domains: two thirds stay ordinary",
            failure_domains: 2,
            max: 6,
            ordinary: 6,
            reclaimable: 0,
            expected: Some(4),
        },
        Case {
            name: "six domains: no reclaimable ones yet",
            failure_domains: 6,
            max: 38,
            ordinary: 19,
            reclaimable: 0,
            expected: None,
        },
        Case {
            name: "six domains: first step",
            failure_domains: 6,
            max: 38,
            ordinary: 19,
            reclaimable: 19,
            expected: Some(9),
        },
        Case {
            name: "six domains: last step",
            failure_domains: 6,
            max: 38,
            ordinary: 9,
            reclaimable: 29,
            expected: Some(5),
        },
        Case {
            name: "six domains: nothing left to give up",
            failure_domains: 6,
            max: 38,
            ordinary: 5,
            reclaimable: 33,
            expected: None,
        },
        Case {
            name: "six domains: the reclaimable ones were lost",
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
        let config = DeclaredConfig { services, ..DeclaredConfig::default() };
        let engines: Vec<Engine> = (0..case.ordinary + case.reclaimable)
            .map(|index| engine("d0", Decode, index >= case.ordinary))
            .collect();
        let orders = plan_capacity(&config, &registry(&engines));
        let ordinary = orders.iter().find(|order| !order.is_reclaimable);
        assert_eq!(ordinary.map(|order| order.desired), case.expected, "{}", case.name);
    }
}

#[test]
fn each_group_of_engines_is_balanced_separately() {
    struct Case {
        name: &'static str,
        engines: &'static [Engine],
        expected: &'static [(&'static str, EngineRole)],
    }
    const D: Engine = engine("d0", Decode, false);
    const P: Engine = engine("d0", Prefill, false);
    const RECLAIMABLE_D: Engine = engine("d0", Decode, true);
    const RECLAIMABLE_P: Engine = engine("d0", Prefill, true);
    const OTHER_DOMAIN_D: Engine = engine("d1", Decode, false);
    let cases = [
        Case { name: "half are prefill engines", engines: &[D, D, P, P], expected: &[] },
        Case {
            name: "one prefill engine too few",
            engines: &[D, D, D, P],
            expected: &[("engine-0", Prefill)],
        },
        Case {
            name: "one prefill engine too many",
            engines: &[D, P, P, P],
            expected: &[("engine-1", Decode)],
        },
        Case {
            name: "each kind is balanced separately",
            engines: &[D, P, RECLAIMABLE_P, RECLAIMABLE_P],
            expected: &[("engine-2", Decode)],
        },
        Case {
            name: "each failure domain is balanced separately",
            engines: &[P, D, OTHER_DOMAIN_D, OTHER_DOMAIN_D],
            expected: &[("engine-2", Prefill)],
        },
        Case { name: "a single engine decodes", engines: &[P], expected: &[("engine-0", Decode)] },
        Case {
            name: "a single reclaimable engine decodes",
            engines: &[D, P, RECLAIMABLE_D],
            expected: &[],
        },
        Case { name: "no engines", engines: &[], expected: &[] },
    ];
    for Case { name, engines, expected } in cases {
        let orders = plan_roles(0, &config(None), &registry(engines));
        let found: Vec<(&str, EngineRole)> =
            orders.iter().map(|order| (&*order.upstream.id, order.role)).collect();
        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against role orders to engines whose responses had asked for time or announced their leave.
#[test]
fn engines_that_want_no_calls_get_no_role_orders() {
    struct Case {
        name: &'static str,
        /// Incarnation of `engine-0` that is leaving.
        leaving: Option<u64>,
        /// End of the hold of `engine-0`.
        held_until_ms: Option<u64>,
        expected: &'static str,
    }
    let cases = [
        Case { name: "none", leaving: None, held_until_ms: None, expected: "engine-0" },
        Case { name: "leaving", leaving: Some(1), held_until_ms: None, expected: "engine-1" },
        Case { name: "on hold", leaving: None, held_until_ms: Some(60), expected: "engine-1" },
        Case { name: "after a hold", leaving: None, held_until_ms: Some(40), expected: "engine-0" },
    ];
    for Case { name, leaving, held_until_ms, expected } in cases {
        const D: Engine = engine("d0", Decode, false);
        let mut registry = registry(&[D, D, D]);
        let id = Arc::from("engine-0");
        if let Some(known_started_at_ms) = leaving {
            let address = "10.0.0.1:80".parse().expect("valid address");
            let origin = ResponseOrigin { known_started_at_ms, connected_at_ms: 2, address };
            registry.on_leaving(&id, origin);
        }
        if let Some(until_ms) = held_until_ms {
            registry.on_hold(&id, until_ms);
        }
        let orders = plan_roles(50, &config(None), &registry);
        assert_eq!(&*orders[0].upstream.id, expected, "{name}");
    }
}
