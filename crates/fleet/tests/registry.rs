//! Entries of upstreams: who takes work, and from when on not any more.

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
        address: "10.0.0.1:80".parse().expect("an address"),
        failure_domain: Arc::from("d0"),
        slots: 8,
        is_draining,
        role: Some(role),
        is_reclaimable: false,
    }
}

enum Step {
    Entry(u64, bool, EngineRole),
    Removed,
    List(&'static [&'static str]),
    StoreReturn,
    Misdirected,
}

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    at_ms: u64,
    is_usable: bool,
}

use EngineRole::{Decode, Prefill};
use Step::{Entry, List, Misdirected, Removed, StoreReturn};

const CASES: &[Case] = &[
    Case { name: "ready", steps: &[(0, Entry(1, false, Decode))], at_ms: 0, is_usable: true },
    Case {
        name: "draining",
        steps: &[(0, Entry(1, false, Decode)), (5, Entry(1, true, Decode))],
        at_ms: 5,
        is_usable: false,
    },
    Case {
        name: "an old entry after it drains",
        steps: &[(0, Entry(1, true, Decode)), (5, Entry(1, false, Decode))],
        at_ms: 5,
        is_usable: false,
    },
    Case {
        name: "another life after it drained",
        steps: &[(0, Entry(1, true, Decode)), (5, Entry(2, false, Decode))],
        at_ms: 5,
        is_usable: true,
    },
    Case {
        name: "a former life's entry",
        steps: &[(0, Entry(2, true, Decode)), (5, Entry(1, false, Decode))],
        at_ms: 5,
        is_usable: false,
    },
    Case {
        name: "removed",
        steps: &[(0, Entry(1, false, Decode)), (5, Removed)],
        at_ms: 5,
        is_usable: false,
    },
    Case {
        name: "missing from a list",
        steps: &[(0, Entry(1, false, Decode)), (5, List(&["other"]))],
        at_ms: 5,
        is_usable: false,
    },
    Case {
        name: "in a list",
        steps: &[(0, Entry(1, false, Decode)), (5, List(&["up"]))],
        at_ms: 5,
        is_usable: true,
    },
    Case {
        name: "lapsed while the store was away",
        steps: &[(0, Entry(1, false, Decode)), (5, StoreReturn), (6, Removed)],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS - 1,
        is_usable: true,
    },
    Case {
        name: "still away two seconds later",
        steps: &[(0, Entry(1, false, Decode)), (5, StoreReturn), (6, Removed)],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS,
        is_usable: false,
    },
    Case {
        name: "back in time",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, StoreReturn),
            (6, Removed),
            (900, Entry(1, false, Decode)),
        ],
        at_ms: 9_000,
        is_usable: true,
    },
    Case {
        name: "refused by its role",
        steps: &[(0, Entry(1, false, Decode)), (5, Misdirected)],
        at_ms: 6,
        is_usable: false,
    },
    Case {
        name: "its entry repeated meanwhile",
        steps: &[(0, Entry(1, false, Decode)), (5, Misdirected), (6, Entry(1, false, Decode))],
        at_ms: 7,
        is_usable: false,
    },
    Case {
        name: "its entry has the new role",
        steps: &[(0, Entry(1, false, Decode)), (5, Misdirected), (6, Entry(1, false, Prefill))],
        at_ms: 7,
        is_usable: true,
    },
];

#[test]
fn entries_decide_who_takes_work() {
    for Case { name, steps, at_ms, is_usable } in CASES {
        let mut roster = UpstreamRegistry::default();
        for (now_ms, step) in *steps {
            match step {
                Entry(born_ms, is_leaving, role) => {
                    roster.on_entry(upstream("up", *born_ms, *is_leaving, *role));
                }
                Removed => drop(roster.on_removed(*now_ms, "up")),
                List(ids) => drop(roster.on_list(*now_ms, ids.iter().copied())),
                StoreReturn => roster.on_store_recovered(*now_ms),
                Misdirected => roster.on_role_mismatch(*now_ms, "up"),
            }
        }
        roster.on_tick(*at_ms);
        assert_eq!(roster.eligible(*at_ms, "models").count() == 1, *is_usable, "{name}");
    }
}

#[test]
fn changes_tell_what_happened() {
    let mut roster = UpstreamRegistry::default();
    let id: Arc<str> = Arc::from("up");
    assert_eq!(
        roster.on_entry(upstream("up", 1, false, Decode)),
        [UpstreamChange::Joined(id.clone())]
    );
    assert_eq!(roster.on_entry(upstream("up", 1, false, Decode)), []);
    let role = UpstreamChange::Role(id.clone(), Some(Prefill));
    assert_eq!(roster.on_entry(upstream("up", 1, false, Prefill)), [role]);
    let draining = UpstreamChange::Left(id.clone(), LeaveReason::Draining);
    assert_eq!(roster.on_entry(upstream("up", 1, true, Prefill)), [draining]);
    let gone = UpstreamChange::Left(id.clone(), LeaveReason::Gone);
    let reborn = roster.on_entry(upstream("up", 2, false, Decode));
    assert_eq!(reborn, [gone.clone(), UpstreamChange::Joined(id)]);
    assert_eq!(roster.on_removed(0, "up"), [gone]);
    assert_eq!(roster.on_removed(0, "up"), []);
}

proptest! {
    /// Whatever comes in whatever order: a life that was leaving never takes work again.
    #[test]
    fn a_life_that_leaves_never_comes_back(entries in prop::collection::vec((1u64..4, any::<bool>()), 0..40)) {
        let mut roster = UpstreamRegistry::default();
        let mut left = std::collections::BTreeSet::new();
        for (born_ms, is_leaving) in entries {
            roster.on_entry(upstream("up", born_ms, is_leaving, Decode));
            let newest = roster.get("up").expect("an entry").started_at_ms;
            if is_leaving && newest == born_ms {
                left.insert(born_ms);
            }
            let usable: Vec<u64> = roster.eligible(0, "models").map(|up| up.started_at_ms).collect();
            prop_assert!(usable.iter().all(|born_ms| !left.contains(born_ms)));
        }
    }
}
