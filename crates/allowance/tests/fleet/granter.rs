//! Which shares the lease holder gives out.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_allowance::{Grant, Granter};
use cowslip_name::Name;

use super::simulation::workspace;

const GRANT_MS: u64 = 6_000;

/// Has the brokers report every 0.5 s until `until_ms`; `demands` are in units per second.
fn report(
    granter: &mut Granter,
    held: &mut BTreeMap<Name, Grant>,
    times_ms: std::ops::Range<u64>,
    demands: &[(&Name, f64)],
) {
    let listed: BTreeSet<Name> = demands.iter().map(|(name, _)| (*name).clone()).collect();
    for now_ms in times_ms.step_by(500) {
        for &(name, per_s) in demands {
            let demand = BTreeMap::from([(workspace(), per_s)]);
            let grant = granter.on_report(now_ms, name, held.get(name), demand, &listed);
            held.extend(grant.map(|grant| (name.clone(), grant)));
        }
    }
}

#[test]
fn the_share_of_a_lost_broker_is_given_out() {
    struct Case {
        name: &'static str,
        before: [f64; 3],
        /// Demand at the brokers that remain.
        after: [f64; 2],
    }
    let cases = [
        Case { name: "no demand", before: [0.0; 3], after: [0.0; 2] },
        Case { name: "equal demand", before: [100.0; 3], after: [100.0; 2] },
        Case { name: "unequal demand", before: [100.0, 50.0, 50.0], after: [100.0, 50.0] },
    ];
    let names = ["b0", "b1", "b2"].map(|name| Name::new(name).expect("a name"));
    for Case { name, before, after } in cases {
        let mut granter = Granter::new(0, 1, GRANT_MS);
        let mut held = BTreeMap::new();
        let demands: Vec<(&Name, f64)> = names.iter().zip(before).collect();
        report(&mut granter, &mut held, 0..10_000, &demands);
        let demands: Vec<(&Name, f64)> = names.iter().zip(after).collect();
        report(&mut granter, &mut held, 10_000..30_000, &demands);
        let remaining = names.iter().take(after.len());
        let sum: f64 = remaining.map(|name| held[name].shares.of(&workspace())).sum();
        assert!((0.99..=1.000_001).contains(&sum), "{name}: {sum}");
    }
}

#[test]
fn a_new_holder_gives_out_more_once_earlier_grants_have_expired() {
    struct Case {
        name: &'static str,
        after_ms: u64,
        share: f64,
    }
    let cases = [
        Case { name: "at once", after_ms: 500, share: 0.5 },
        Case { name: "before the last one expires", after_ms: GRANT_MS - 500, share: 0.5 },
        Case { name: "after it", after_ms: GRANT_MS, share: 1.0 },
    ];
    let names = ["b0", "b1"].map(|name| Name::new(name).expect("a name"));
    for Case { name, after_ms, share } in cases {
        let mut held = BTreeMap::new();
        let mut first = Granter::new(0, 1, GRANT_MS);
        report(&mut first, &mut held, 0..20_000, &[(&names[0], 0.0), (&names[1], 0.0)]);
        // The second broker is frozen with its grant, and no longer listed.
        let mut second = Granter::new(20_000, 2, GRANT_MS);
        report(&mut second, &mut held, 20_000..20_001 + after_ms, &[(&names[0], 0.0)]);
        let given = held[&names[0]].shares.of(&workspace());
        assert!((given - share).abs() < 1e-6, "{name}: {given}");
    }
}
