//! Searches every interleaving of a small simulation, depth first, with the real decision code.
//!
//! With all rules no interleaving may violate an invariant. Each case that omits a rule or its
//! condition has to find the violation that the rule prevents.

mod simulation;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use cowslip_authority::LeaseTimes;
use simulation::{Fault, Simulation, Step};

/// Times for searches over orders: the renewal interval exceeds the horizon, so no renewal is sent.
const ORDER_TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 3, renew_every_ms: 9, drift_margin_ms: 0, silence_ms: 2 };
/// Times for searches over renewals.
const RENEW_TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 2, renew_every_ms: 1, drift_margin_ms: 0, silence_ms: 2 };
const IDLE_TIMEOUT_MS: u64 = 2;
const MAX_PENDING_APPENDS: usize = 1;

const TWO_HOLDERS: &str = "two processes hold the lease";
const STALE_ORDER: &str = "an order of an older term was executed after one of a newer term";

struct Case {
    name: &'static str,
    fault: Fault,
    times: LeaseTimes,
    idle_timeout_ms: u64,
    order_attempts: u32,
    max_log: usize,
    horizon_ms: u64,
    expected: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        name: "all rules, with orders",
        fault: Fault::None,
        times: ORDER_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        order_attempts: 1,
        max_log: 2,
        horizon_ms: 6,
        expected: None,
    },
    Case {
        name: "all rules, with renewals",
        fault: Fault::None,
        times: RENEW_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        order_attempts: 0,
        max_log: 3,
        horizon_ms: 5,
        expected: None,
    },
    Case {
        name: "claim that expects only the current term",
        fault: Fault::ClaimByTermOnly,
        times: RENEW_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        order_attempts: 0,
        max_log: 3,
        horizon_ms: 5,
        expected: Some(TWO_HOLDERS),
    },
    Case {
        name: "lease that runs from the read-back",
        fault: Fault::LeaseFromReadBack,
        times: RENEW_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        order_attempts: 0,
        max_log: 3,
        horizon_ms: 5,
        expected: Some(TWO_HOLDERS),
    },
    Case {
        name: "no silence after a new term",
        fault: Fault::NoSilence,
        times: ORDER_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        order_attempts: 1,
        max_log: 2,
        horizon_ms: 6,
        expected: Some(STALE_ORDER),
    },
    Case {
        name: "silence shorter than the idle timeout",
        fault: Fault::None,
        times: ORDER_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS + 2,
        order_attempts: 1,
        max_log: 2,
        horizon_ms: 6,
        expected: Some(STALE_ORDER),
    },
    Case {
        name: "no lease check after the round trip",
        fault: Fault::NoCheckAfterRoundTrip,
        times: ORDER_TIMES,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        order_attempts: 1,
        max_log: 2,
        horizon_ms: 6,
        expected: Some(STALE_ORDER),
    },
];

struct Explorer {
    horizon_ms: u64,
    max_log: usize,
    visited: HashSet<u128>,
    path: Vec<Step>,
}

impl Explorer {
    fn is_within_bounds(&self, simulation: &Simulation) -> bool {
        simulation.now_ms <= self.horizon_ms
            && simulation.log.len() <= self.max_log
            && simulation.pending_appends.len() <= MAX_PENDING_APPENDS
    }

    fn search(&mut self, simulation: &Simulation) -> Option<&'static str> {
        if let Some(violation) = simulation.violation() {
            return Some(violation);
        }
        for step in simulation.steps() {
            let mut next = simulation.clone();
            if !next.step(step)
                || !self.is_within_bounds(&next)
                || !self.visited.insert(digest(&next))
            {
                continue;
            }
            self.path.push(step);
            let found = self.search(&next);
            if found.is_some() {
                return found;
            }
            self.path.pop();
        }
        None
    }
}

/// Returns two 64-bit hashes with different salts, which are kept instead of a visited state.
fn digest(simulation: &Simulation) -> u128 {
    let half = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        (salt, simulation).hash(&mut hasher);
        u128::from(hasher.finish())
    };
    (half(1) << 64) | half(2)
}

#[test]
fn exhaustive_search_finds_only_the_expected_violations() {
    for case in CASES {
        let mut explorer = Explorer {
            horizon_ms: case.horizon_ms,
            max_log: case.max_log,
            visited: HashSet::new(),
            path: Vec::new(),
        };
        let start =
            Simulation::new(2, case.times, case.idle_timeout_ms, case.order_attempts, case.fault);
        let found = explorer.search(&start);
        println!("{}: {} states, {found:?}", case.name, explorer.visited.len());
        if found.is_some() {
            println!("  {:?}", explorer.path);
        }
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
