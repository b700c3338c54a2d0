//! Registry entries of upstreams: which upstreams take work, and when they stop.

use std::sync::Arc;

use cowslip_fleet::{
    EngineRole, EntryOrder, EntryResult, LeaveReason, ResponseOrigin, STORE_RECOVERY_GRACE_MS,
    Upstream, UpstreamChange, UpstreamEntry, UpstreamRegistry,
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

fn entry(started_at_ms: u64, seq: u64, is_draining: bool) -> UpstreamEntry {
    UpstreamEntry { upstream: upstream("up", started_at_ms, is_draining, Decode), seq }
}

/// Origin of a response to a request that was sent under the entry of this incarnation.
fn origin(known_started_at_ms: u64, connected_at_ms: u64) -> ResponseOrigin {
    let address = "10.0.0.1:80".parse().expect("valid address");
    ResponseOrigin { known_started_at_ms, connected_at_ms, address }
}

/// Applies an entry without a sequence number that is newer than all known ones.
fn apply(registry: &mut UpstreamRegistry, upstream: Upstream) -> EntryResult {
    registry.on_entry(UpstreamEntry { upstream, seq: 0 }, EntryOrder::Newer)
}

enum Step {
    /// Incarnation, whether it is draining and its role, in an entry without a sequence number.
    Entry(u64, bool, EngineRole),
    /// Incarnation, sequence number and whether it is draining.
    Numbered(u64, u64, bool),
    /// The same in an entry that may be an older copy.
    Copied(u64, u64, bool),
    Remove,
    Missing,
    Restored,
    /// A peer knows of more entries.
    Raised(u64),
    List(&'static [&'static str]),
    StoreRecovered,
    RoleMismatch,
    Tick,
    /// A response to a request for this incarnation, over a connection from before it started, states
    /// that the upstream is leaving.
    Leaving(u64),
    /// The same over a connection that was opened at this time.
    LeavingVia(u64, u64),
    /// A response from another address than that of the entries.
    LeavingElsewhere(u64, u64),
    /// The upstream wants no requests until this time.
    Hold(u64),
    /// A response to a request for this incarnation, over a connection of this time, refuses work for
    /// the role.
    RoleMismatchVia(u64, u64, EngineRole),
}

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    at_ms: u64,
    is_eligible: bool,
}

use EngineRole::{Decode, Prefill};
use Step::{
    Copied, Entry, Hold, Leaving, LeavingElsewhere, LeavingVia, List, Missing, Numbered, Raised,
    Remove, Restored, RoleMismatch, RoleMismatchVia, StoreRecovered, Tick,
};

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
        steps: &[(0, Entry(1, false, Decode)), (5, Leaving(1)), (6, Entry(1_000, false, Decode))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a late response of a former incarnation",
        steps: &[(0, Entry(1_000, false, Decode)), (5, Hold(6)), (7, Leaving(1))],
        at_ms: 7,
        is_eligible: true,
    },
    Case {
        name: "on hold",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(800)), (6, Hold(300))],
        at_ms: 799,
        is_eligible: false,
    },
    // Guards against requests in the last millisecond of a hold (rule BUDGET): times are truncated.
    Case {
        name: "in the millisecond in which the hold ends",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(800))],
        at_ms: 800,
        is_eligible: false,
    },
    Case {
        name: "after the hold",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(800))],
        at_ms: 801,
        is_eligible: true,
    },
    Case {
        name: "on hold over a role change and an expired entry",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, Hold(800)),
            (6, Entry(1, false, Prefill)),
            (7, Remove),
            (8, Entry(1, false, Prefill)),
        ],
        at_ms: 799,
        is_eligible: false,
    },
    Case {
        name: "on hold, and a new incarnation registers",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(800)), (6, Entry(1_000, false, Decode))],
        at_ms: 799,
        is_eligible: false,
    },
    Case {
        name: "a new incarnation registers before its response to an earlier request",
        steps: &[(0, Entry(1, false, Decode)), (6, Entry(1_000, false, Decode)), (8, Hold(800))],
        at_ms: 799,
        is_eligible: false,
    },
    Case {
        name: "a new incarnation after the hold of the former one",
        steps: &[(0, Entry(1, false, Decode)), (5, Hold(800)), (6, Entry(1_000, false, Decode))],
        at_ms: 801,
        is_eligible: true,
    },
    Case {
        name: "a new incarnation leaves before its entry is read",
        steps: &[
            (0, Entry(1, false, Decode)),
            (8, LeavingVia(1, 850)),
            (9, Entry(1_000, false, Decode)),
        ],
        at_ms: 9_000,
        is_eligible: false,
    },
    Case {
        name: "a new incarnation leaves in a response to a request for the former one",
        steps: &[
            (0, Entry(1, false, Decode)),
            (8, Entry(1_000, false, Decode)),
            (9, LeavingVia(1, 850)),
        ],
        at_ms: 9_000,
        is_eligible: false,
    },
    Case {
        name: "a late response of a former incarnation that is leaving",
        steps: &[
            (0, Entry(1, false, Decode)),
            (8, LeavingVia(1, 850)),
            (9, Entry(1_000, false, Decode)),
            (9, LeavingVia(1, 849)),
        ],
        at_ms: 9_000,
        is_eligible: false,
    },
    Case {
        name: "a former incarnation left in a response over a connection of its own",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, LeavingVia(1, 849)),
            (9, Entry(1_000, false, Decode)),
        ],
        at_ms: 9_000,
        is_eligible: true,
    },
    Case {
        name: "a former incarnation leaves at another address after the new one has started",
        steps: &[
            (0, Entry(1, false, Decode)),
            (8, LeavingElsewhere(1, 1_000)),
            (9, Entry(1_000, false, Decode)),
        ],
        at_ms: 9_000,
        is_eligible: true,
    },
    Case {
        name: "an entry without an incarnation after the leave of one",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, LeavingVia(1, 4)),
            (6, Remove),
            (7, Entry(0, false, Decode)),
        ],
        at_ms: 9_000,
        is_eligible: true,
    },
    Case {
        name: "a new incarnation refuses the role before its entry is read",
        steps: &[
            (0, Entry(1, false, Decode)),
            (8, RoleMismatchVia(1, 850, Decode)),
            (9, Entry(1_000, false, Decode)),
        ],
        at_ms: 10,
        is_eligible: false,
    },
    Case {
        name: "a former incarnation refused the role",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, RoleMismatchVia(1, 4, Decode)),
            (9, Entry(1_000, false, Decode)),
        ],
        at_ms: 10,
        is_eligible: true,
    },
    // Guards against refusals that a newer connection hides: connections are reused in any order.
    Case {
        name: "the role is refused again on an older connection",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, RoleMismatchVia(1, 4, Decode)),
            (4_000, RoleMismatchVia(1, 2, Decode)),
        ],
        at_ms: 8_499,
        is_eligible: false,
    },
    Case {
        name: "a late refusal of the role before the entry",
        steps: &[
            (0, Entry(1, false, Decode)),
            (5, Entry(1, false, Prefill)),
            (6, RoleMismatchVia(1, 4, Decode)),
        ],
        at_ms: 7,
        is_eligible: true,
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
    Case {
        name: "a copy of an earlier entry",
        steps: &[(0, Numbered(1, 3, false)), (5, Copied(1, 2, true))],
        at_ms: 5,
        is_eligible: true,
    },
    Case {
        name: "a later entry in a restored store",
        steps: &[(0, Numbered(1, 3, false)), (5, Copied(1, 4, true))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "a copy without a sequence number",
        steps: &[(0, Numbered(1, 3, false)), (5, Copied(1, 0, true))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "a copy of an entry without a sequence number",
        steps: &[(0, Numbered(1, 0, false)), (5, Copied(1, 2, true))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "a copy without an incarnation",
        steps: &[(0, Numbered(0, 3, false)), (5, Copied(0, 2, true))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "a copy from before draining",
        steps: &[(0, Numbered(1, 0, true)), (5, Copied(1, 0, false))],
        at_ms: 5,
        is_eligible: false,
    },
    Case {
        name: "a copy of a removed entry",
        steps: &[(0, Numbered(1, 3, false)), (5, Remove), (6, Copied(1, 3, false))],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "a copy of an entry that only a peer has read",
        steps: &[
            (0, Numbered(1, 3, false)),
            (5, Raised(40)),
            (5, Remove),
            (6, Copied(1, 30, false)),
        ],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "a copy of an entry that was missing from a list",
        steps: &[(0, Numbered(1, 3, false)), (5, Missing), (6, Copied(1, 2, false))],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "a later entry after the removal",
        steps: &[(0, Numbered(1, 3, false)), (5, Remove), (6, Copied(1, 4, false))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "the same entry read after the removal in the same era",
        steps: &[(0, Numbered(1, 3, false)), (5, Remove), (6, Numbered(1, 3, false))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a copy without a sequence number after the removal",
        steps: &[(0, Numbered(1, 3, false)), (5, Remove), (6, Copied(1, 0, false))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a copy after the removal of an entry without a sequence number",
        steps: &[(0, Numbered(1, 0, false)), (5, Remove), (6, Copied(1, 3, false))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a copy without an incarnation after the removal",
        steps: &[(0, Numbered(0, 3, true)), (5, Remove), (6, Copied(0, 2, false))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a copy of an incarnation before the removed one",
        steps: &[(0, Numbered(2, 1, false)), (5, Remove), (6, Copied(1, 9, false))],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "a new incarnation after the removal",
        steps: &[(0, Numbered(1, 3, true)), (5, Remove), (6, Copied(2, 1, false))],
        at_ms: 6,
        is_eligible: true,
    },
    Case {
        name: "a copy from before draining and the removal",
        steps: &[(0, Numbered(1, 3, true)), (5, Remove), (6, Copied(1, 0, false))],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "a copy of an entry that expired",
        steps: &[
            (0, Numbered(1, 3, false)),
            (5, Restored),
            (6, Missing),
            (2_005, Tick),
            (2_006, Copied(1, 3, false)),
        ],
        at_ms: 9_000,
        is_eligible: false,
    },
    Case {
        name: "still missing after the grace period of a restore",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (6, Missing)],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS,
        is_eligible: false,
    },
    Case {
        name: "missing from the list of a restored store",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (6, List(&["other"]))],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS - 1,
        is_eligible: true,
    },
    Case {
        name: "missing after the grace period of a restore",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (2_005, Missing)],
        at_ms: 2_005,
        is_eligible: false,
    },
    Case {
        name: "the same entry reappears after a restore",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (6, Missing), (7, Copied(1, 3, false))],
        at_ms: 9_000,
        is_eligible: true,
    },
    Case {
        name: "an earlier entry appears after a restore",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (6, Missing), (7, Copied(1, 2, false))],
        at_ms: 9_000,
        is_eligible: false,
    },
    Case {
        name: "removed within the grace period of a restore",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (6, Remove)],
        at_ms: 6,
        is_eligible: false,
    },
    Case {
        name: "removed while missing after a restore",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (6, Missing), (7, Remove)],
        at_ms: 7,
        is_eligible: false,
    },
    Case {
        name: "missing in an outage and a later restore",
        steps: &[
            (0, Numbered(1, 3, false)),
            (5, StoreRecovered),
            (6, Missing),
            (900, Restored),
            (901, Missing),
        ],
        at_ms: 900 + STORE_RECOVERY_GRACE_MS - 1,
        is_eligible: true,
    },
    Case {
        name: "still missing after an outage and a later restore",
        steps: &[(0, Numbered(1, 3, false)), (5, StoreRecovered), (900, Restored), (901, Missing)],
        at_ms: 900 + STORE_RECOVERY_GRACE_MS,
        is_eligible: false,
    },
    Case {
        name: "missing in a restore and a later outage",
        steps: &[(0, Numbered(1, 3, false)), (5, Restored), (900, StoreRecovered), (901, Missing)],
        at_ms: 900 + STORE_RECOVERY_GRACE_MS - 1,
        is_eligible: true,
    },
    Case {
        name: "removed in an outage and missing after a later restore",
        steps: &[
            (0, Numbered(1, 3, false)),
            (5, StoreRecovered),
            (6, Remove),
            (900, Restored),
            (901, Missing),
        ],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS,
        is_eligible: false,
    },
    Case {
        name: "removed in an outage while missing after a later restore",
        steps: &[
            (0, Numbered(1, 3, false)),
            (5, StoreRecovered),
            (900, Restored),
            (901, Missing),
            (902, Remove),
        ],
        at_ms: 5 + STORE_RECOVERY_GRACE_MS,
        is_eligible: false,
    },
];

#[test]
fn entries_determine_which_upstreams_are_eligible() {
    for Case { name, steps, at_ms, is_eligible } in CASES {
        let mut registry = UpstreamRegistry::default();
        let id: Arc<str> = Arc::from("up");
        for (now_ms, step) in *steps {
            match step {
                Entry(started_at_ms, is_draining, role) => {
                    apply(&mut registry, upstream("up", *started_at_ms, *is_draining, *role));
                }
                Numbered(started_at_ms, seq, is_draining) => {
                    let entry = entry(*started_at_ms, *seq, *is_draining);
                    registry.on_entry(entry, EntryOrder::Newer);
                }
                Copied(started_at_ms, seq, is_draining) => {
                    let entry = entry(*started_at_ms, *seq, *is_draining);
                    registry.on_entry(entry, EntryOrder::MaybeCopy);
                }
                Raised(seq) => registry.raise_seq("up", *seq),
                Remove => drop(registry.on_removed(*now_ms, "up")),
                Missing => drop(registry.on_missing(*now_ms, "up")),
                Restored => registry.on_restored(*now_ms),
                Tick => drop(registry.on_tick(*now_ms)),
                List(ids) => drop(registry.on_list(*now_ms, ids.iter().copied())),
                StoreRecovered => registry.on_store_recovered(*now_ms),
                RoleMismatch => {
                    registry.on_role_mismatch(*now_ms, &id, Some(Decode), origin(1, 0));
                }
                RoleMismatchVia(known, connected, role) => {
                    let origin = origin(*known, *connected);
                    registry.on_role_mismatch(*now_ms, &id, Some(*role), origin);
                }
                Leaving(known) => drop(registry.on_leaving(&id, origin(*known, 0))),
                LeavingVia(known, connected) => {
                    drop(registry.on_leaving(&id, origin(*known, *connected)));
                }
                LeavingElsewhere(known, connected) => {
                    let address = "10.0.0.2:80".parse().expect("valid address");
                    let origin = ResponseOrigin { address, ..origin(*known, *connected) };
                    drop(registry.on_leaving(&id, origin));
                }
                Hold(until_ms) => registry.on_hold(&id, *until_ms),
            }
        }
        registry.on_tick(*at_ms);
        assert_eq!(registry.eligible(*at_ms, "models").count() == 1, *is_eligible, "{name}");
    }
}

#[test]
fn refusals_are_of_the_incarnation_that_responded() {
    struct Case {
        name: &'static str,
        /// Incarnation in the entry known at the refusal, and the time of the connection.
        origin: (u64, u64),
        /// Incarnation that registers after the refusal.
        next: Option<u64>,
        refuses_until_ms: u64,
    }
    let cases = [
        Case { name: "same", origin: (1, 4), next: None, refuses_until_ms: 1_005 },
        Case { name: "next one", origin: (1, 850), next: Some(1_000), refuses_until_ms: 1_005 },
        Case { name: "former one", origin: (1, 849), next: Some(1_000), refuses_until_ms: 0 },
    ];
    let mut registry = UpstreamRegistry::default();
    apply(&mut registry, upstream("up", 1, false, Decode));
    registry.on_refusal(5, &Arc::from("up"), origin(1, 4));
    registry.on_refusal(2_000, &Arc::from("up"), origin(1, 2));
    let up = registry.get("up").expect("registered upstream");
    assert!(registry.is_refusing(2_999, up), "again, on an older connection");
    for Case { name, origin: (known, connected), next, refuses_until_ms } in cases {
        let mut registry = UpstreamRegistry::default();
        apply(&mut registry, upstream("up", 1, false, Decode));
        registry.on_refusal(5, &Arc::from("up"), origin(known, connected));
        if let Some(started_at_ms) = next {
            apply(&mut registry, upstream("up", started_at_ms, false, Decode));
        }
        let up = registry.get("up").expect("registered upstream");
        for at_ms in [5, 1_004, 1_005] {
            let is_refusing = registry.is_refusing(at_ms, up);
            assert_eq!(is_refusing, at_ms < refuses_until_ms, "{name} at {at_ms}");
        }
    }
}

#[test]
fn changes_report_joins_roles_and_departures() {
    let mut registry = UpstreamRegistry::default();
    let id: Arc<str> = Arc::from("up");
    let joined = UpstreamChange::Joined(id.clone());
    let role = UpstreamChange::Role(id.clone(), Some(Prefill));
    let draining = UpstreamChange::Left(id.clone(), LeaveReason::Draining);
    let gone = UpstreamChange::Left(id.clone(), LeaveReason::Gone);
    let steps = [
        (upstream("up", 1, false, Decode), EntryResult::Applied(vec![joined.clone()])),
        (upstream("up", 1, false, Decode), EntryResult::Applied(Vec::new())),
        (upstream("up", 1, false, Prefill), EntryResult::Applied(vec![role])),
        (upstream("up", 1, true, Prefill), EntryResult::Applied(vec![draining])),
        (upstream("up", 1, false, Prefill), EntryResult::Stale),
        (upstream("up", 2, false, Decode), EntryResult::Applied(vec![gone.clone(), joined])),
        (upstream("up", 1, false, Decode), EntryResult::Stale),
    ];
    for (entry, expected) in steps {
        assert_eq!(apply(&mut registry, entry), expected);
    }
    registry.on_restored(0);
    assert_eq!(registry.on_missing(0, "up"), []);
    assert_eq!(registry.on_removed(0, "up"), [gone]);
    assert_eq!(registry.on_removed(0, "up"), []);
}

#[test]
fn copies_of_upstreams_that_announced_their_leave_are_stale() {
    struct Case {
        name: &'static str,
        is_removed_first: bool,
        /// Number of other upstreams that announce their leave afterwards.
        other_leaves: usize,
        copy: UpstreamEntry,
        is_stale: bool,
    }
    let case = |name, is_removed_first, other_leaves, copy, is_stale| Case {
        name,
        is_removed_first,
        other_leaves,
        copy,
        is_stale,
    };
    let cases = [
        case("left before the removal", false, 0, entry(1, 9, false), true),
        case("left after the removal", true, 0, entry(1, 9, false), true),
        case("announcement forgotten", false, 5_000, entry(1, 9, false), true),
        case("without a sequence number", false, 0, entry(1, 0, false), true),
        case("new incarnation", false, 0, entry(2, 1, false), false),
    ];
    for Case { name, is_removed_first, other_leaves, copy, is_stale } in cases {
        let mut registry = UpstreamRegistry::default();
        registry.on_entry(entry(1, 3, false), EntryOrder::Newer);
        if is_removed_first {
            registry.on_removed(0, "up");
        }
        registry.on_leaving(&Arc::from("up"), origin(1, 0));
        registry.on_removed(0, "up");
        for index in 0..other_leaves {
            registry.on_leaving(&Arc::from(format!("other-{index}")), origin(1, 0));
        }
        let result = registry.on_entry(copy, EntryOrder::MaybeCopy);
        assert_eq!(result == EntryResult::Stale, is_stale, "{name}");
    }
}

#[test]
fn upstreams_that_were_dropped_first_are_forgotten_first() {
    const REMEMBERED: usize = 4_096;
    let mut registry = UpstreamRegistry::default();
    let entry = |index: usize, seq| UpstreamEntry {
        upstream: upstream(&format!("up-{index}"), 1, false, Decode),
        seq,
    };
    let mut drop_upstream = |index, seq| {
        registry.on_entry(entry(index, seq), EntryOrder::Newer);
        registry.on_removed(0, &format!("up-{index}"));
    };
    (0..REMEMBERED).for_each(|index| drop_upstream(index, 1));
    drop_upstream(0, 2);
    drop_upstream(REMEMBERED, 1);
    let is_stale = |registry: &mut UpstreamRegistry, index| {
        registry.on_entry(entry(index, 1), EntryOrder::MaybeCopy) == EntryResult::Stale
    };
    let forgotten: Vec<usize> =
        (0..=REMEMBERED).filter(|index| !is_stale(&mut registry, *index)).collect();
    assert_eq!(forgotten, [1]);
}

proptest! {
    /// Of all entries that were read before, a restored store revives or changes none, and a live
    /// upstream's next entry applies.
    #[test]
    fn copies_of_known_entries_change_nothing(
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..20),
        drops in any::<bool>(),
    ) {
        let mut registry = UpstreamRegistry::default();
        let mut history = vec![entry(1, 1, false)];
        registry.on_entry(entry(1, 1, false), EntryOrder::Newer);
        for (restarts, drains, is_removed) in steps {
            let UpstreamEntry { upstream, seq } = history.last().expect("first entry").clone();
            let next = if restarts {
                entry(upstream.started_at_ms + 1, 1, drains)
            } else {
                entry(upstream.started_at_ms, seq + 1, upstream.is_draining || drains)
            };
            history.push(next.clone());
            registry.on_entry(next, EntryOrder::Newer);
            if is_removed {
                registry.on_removed(0, "up");
            }
        }
        if drops {
            registry.on_removed(0, "up");
        }
        let known = registry.get("up").cloned();
        let (newest, older) = history.split_last().expect("first entry");
        for copy in older {
            prop_assert_eq!(registry.on_entry(copy.clone(), EntryOrder::MaybeCopy), EntryResult::Stale);
        }
        let expected =
            if known.is_some() { EntryResult::Applied(Vec::new()) } else { EntryResult::Stale };
        prop_assert_eq!(registry.on_entry(newest.clone(), EntryOrder::MaybeCopy), expected);
        prop_assert_eq!(registry.get("up"), known.as_ref());
        let next = UpstreamEntry { seq: newest.seq + 1, ..newest.clone() };
        let is_live = known.is_some() || !newest.upstream.is_draining;
        let result = registry.on_entry(next, EntryOrder::MaybeCopy);
        prop_assert_eq!(result != EntryResult::Stale, is_live);
    }

    /// A draining incarnation takes no work again, in whatever order entries arrive.
    #[test]
    fn draining_incarnation_is_never_eligible_again(entries in prop::collection::vec((1u64..4, any::<bool>()), 0..40)) {
        let mut registry = UpstreamRegistry::default();
        let mut drained = std::collections::BTreeSet::new();
        for (started_at_ms, is_draining) in entries {
            apply(&mut registry, upstream("up", started_at_ms, is_draining, Decode));
            let newest = registry.get("up").expect("registered upstream").started_at_ms;
            if is_draining && newest == started_at_ms {
                drained.insert(started_at_ms);
            }
            let eligible: Vec<u64> = registry.eligible(0, "models").map(|up| up.started_at_ms).collect();
            prop_assert!(eligible.iter().all(|started_at_ms| !drained.contains(started_at_ms)));
        }
    }
}
