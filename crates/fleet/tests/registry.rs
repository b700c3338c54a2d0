//! Registry entries of upstreams: which upstreams take work, and when they stop.

use std::sync::Arc;

use cowslip_fleet::{
    EngineRole, LeaveReason, STORE_RECOVERY_GRACE_MS, Upstream, UpstreamChange, UpstreamRegistry,
};
use proptest::prelude::*;

fn upstream(id: &str, started_at_ms: u64, is_draining: bool, role: EngineRole) -> Upstream {
    Upstream {
        id: Arc::from(id),
        started_at_ms,
        service: Arc::from("models"),
        address: "10.0.0.1:80".parse().expect("valid address"),
        failure_domain: Arc::from("d0"),
        slots: 8,
        is_draining,
        role: Some(role),
        is_reclaimable: false,
    }
}

enum Step {
    Entry(u64, bool, EngineRole),
    Remove,
    List(&'static [&'static str]),
    StoreRecovered,
    RoleMismatch,
    /// This incarnation stated that it is leaving.
    Leaving(u64),
    /// This incarnation wants no requests until this time.
    Hold(u64, u64),
}

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    at_ms: u64,
    is_eligible: bool,
}

use EngineRole::{Decode, Prefill};
use Step::{Entry, Hold, Leaving, List, Remove, RoleMismatch, StoreRecovered};

const CASES: &[Case] = &[
    Case { name: "ready", steps: &[(0, Entry(1, false, Decode))], at_ms: 0, is_eligible: true },
    Case {
        name: "draining",
        steps: &[(0, Entry(1, false, Decode)), (5, Entry(1, true, Decode))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "an outdated entry after draining",
        steps: &[(0, Entry(1, true, Decode)), (5, Entry(1, false, Decode))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "a new incarnation after draining",
        steps: &[(0, Entry(1, true, Decode)), (5, Entry(2, false, Decode))],
        at_ms: 5,
        is_eligible: true,
    },
    Case {
        name: "an entry of a former incarnation",
        steps: &[(0, Entry(2, true, Decode)), (5, Entry(1, false, Decode))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "entry removed",
        steps: &[(0, Entry(1, false, Decode)), (5, Remove)],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "missing from the list",
        steps: &[(0, Entry(1, false, Decode)), (5, List(&["other"]))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "in the list",
        steps: &[(0, Entry(1, false, Decode)), (5, List(&["up"]))],
        at_ms: 5,
        is_eligible: true,
    },
    Case {
        name: "entry expired during an outage of the store",
        steps: &[(0, Entry(1, false, Decode)), (5, StoreRecovered), (6, Remove)],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS - 1,
        is_eligible: true,
    },
    Case {
        name: "entry still missing after the grace period",
        steps: &[(0, Entry(1, false, Decode)), (5, StoreRecovered), (6, Remove)],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS,
        is_eligible: false,
    },
    Case {
        name: "entry reappears within the grace period",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, StoreRecovered),
            (6, Remove),
            (900, Entry(1, false, Decode)),
        ],
        at_ms: 9_000,
        is_eligible: true,
    },
    Case {
        name: "leaving by its own response",
        steps: &[(0, Entry(1, false, Decode)), (5, Leaving(1))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "leaving, and its entry expires and reappears",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, Leaving(1)),
            (6, Remove),
            (7, Entry(1, false, Decode)),
        ],
        at_ms: 9_000,
        is_eligible: false,
    },
    Case {
        name: "a new incarnation after leaving",
        steps: &[(0, Entry(1, false, Decode)), (5, Leaving(1)), (6, Entry(2, false, Decode))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a late response of a former incarnation",
        steps: &[(0, Entry(2, false, Decode)), (5, Hold(2, 6)), (7, Leaving(1))],
        at_ms: 7,
        is_eligible: true,
    },
    Case {
        name: "on hold",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(1, 800)), (6, Hold(1, 300))],
        at_ms: 799,
        is_eligible: false,
    },
    Case {
        name: "after the hold",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(1, 800))],
        at_ms: 800,
        is_eligible: true,
    },
    Case {
        name: "on hold over a role change and an expired entry",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, Hold(1, 800)),
            (6, Entry(1, false, Prefill)),
            (7, Remove),
            (8, Entry(1, false, Prefill)),
        ],
        at_ms: 799,
        is_eligible: false,
    },
    Case {
        name: "quarantined after a role mismatch",
        steps: &[(0, Entry(1, false, Decode)), (5, RoleMismatch)],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "same entry repeated during the quarantine",
        steps: &[(0, Entry(1, false, Decode)), (5, RoleMismatch), (6, Entry(1, false, Decode))],
        at_ms: 7,
        is_eligible: false,
    },
    Case {
        name: "entry with the new role ends the quarantine",
        steps: &[(0, Entry(1, false, Decode)), (5, RoleMismatch), (6, Entry(1, false, Prefill))],
        at_ms: 7,
        is_eligible: true,
    },
];

#[test]
fn entries_determine_which_upstreams_are_eligible() {
    for Case { name, steps, at_ms, is_eligible } in CASES {
        let mut registry = UpstreamRegistry::default();
        for (now_ms, step) in *steps {
            match step {
                Entry(started_at_ms, is_draining, role) => {
                    registry.on_entry(upstream("up", *started_at_ms, *is_draining, *role));
                }
                Remove => drop(registry.on_removed(*now_ms, "up")),
                List(ids) => drop(registry.on_list(*now_ms, ids.iter().copied())),
                StoreRecovered => registry.on_store_recovered(*now_ms),
                RoleMismatch => registry.on_role_mismatch(*now_ms, "up"),
                Leaving(started_at_ms) => {
                    drop(registry.on_leaving(&Arc::from("up"), *started_at_ms));
                }
                Hold(started_at_ms, until_ms) => {
                    registry.on_hold(&Arc::from("up"), *started_at_ms, *until_ms);
                }
            }
        }
        registry.on_tick(*at_ms);
        assert_eq!(registry.eligible(*at_ms, "models").count() == 1, *is_eligible, "{name}");
    }
}

#[test]
fn changes_report_joins_roles_and_departures() {
    let mut registry = UpstreamRegistry::default();
    let id: Arc<str> = Arc::from("up");
    assert_eq!(
        registry.on_entry(upstream("up", 1, false, Decode)),
        [UpstreamChange::Joined(id.clone())]
    );
    assert_eq!(registry.on_entry(upstream("up", 1, false, Decode)), []);
    let role = UpstreamChange::Role(id.clone(), Some(Prefill));
    assert_eq!(registry.on_entry(upstream("up", 1, false, Prefill)), [role]);
    let draining = UpstreamChange::Left(id.clone(), LeaveReason::Draining);
    assert_eq!(registry.on_entry(upstream("up", 1, true, Prefill)), [draining]);
    let gone = UpstreamChange::Left(id.clone(), LeaveReason::Gone);
    let replaced = registry.on_entry(upstream("up", 2, false, Decode));
    assert_eq!(replaced, [gone.clone(), UpstreamChange::Joined(id)]);
    assert_eq!(registry.on_removed(0, "up"), [gone]);
    assert_eq!(registry.on_removed(0, "up"), []);
}

proptest! {
    /// A draining incarnation takes no work again, in whatever order entries arrive.
    #[test]
    fn draining_incarnation_is_never_eligible_again(entries in prop::collection::vec((1u64..4, any::<bool>()), 0..40)) {
        let mut registry = UpstreamRegistry::default();
        let mut drained = std::collections::BTreeSet::new();
        for (started_at_ms, is_draining) in entries {
            registry.on_entry(upstream("up", started_at_ms, is_draining, Decode));
            let newest = registry.get("up").expect("registered upstream").started_at_ms;
            if is_draining && newest == started_at_ms {
                drained.insert(started_at_ms);
            }
            let eligible: Vec<u64> = registry.eligible(0, "models").map(|up| up.started_at_ms).collect();
            prop_assert!(eligible.iter().all(|started_at_ms| !drained.contains(started_at_ms)));
        }
    }
}
