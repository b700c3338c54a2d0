//! Backoffs and failure rates of upstreams after the outcomes of sends.

use std::sync::Arc;

use cowslip_fleet::{SendOutcome, UpstreamHealth};

use SendOutcome::{ConnectionFailed, Failed, Refused, Responded};

#[test]
fn connection_failures_start_a_backoff() {
    struct Case {
        name: &'static str,
        outcomes: &'static [(u64, SendOutcome)],
        backing_off_at_ms: &'static [u64],
        available_at_ms: &'static [u64],
    }
    let cases = [
        Case { name: "no outcome", outcomes: &[], backing_off_at_ms: &[], available_at_ms: &[0] },
        Case {
            name: "a response",
            outcomes: &[(0, Responded)],
            backing_off_at_ms: &[],
            available_at_ms: &[0, 10],
        },
        Case {
            name: "an error response",
            outcomes: &[(0, Failed)],
            backing_off_at_ms: &[],
            available_at_ms: &[0, 10],
        },
        // The registry keeps refusals (`refusals_are_of_the_incarnation_that_responded`).
        Case {
            name: "a refusal",
            outcomes: &[(0, Refused)],
            backing_off_at_ms: &[],
            available_at_ms: &[0, 999],
        },
        Case {
            name: "a connection failure",
            outcomes: &[(0, ConnectionFailed)],
            backing_off_at_ms: &[0, 499],
            available_at_ms: &[500],
        },
        Case {
            name: "consecutive connection failures back off longer, up to a limit",
            outcomes: &[
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
            ],
            backing_off_at_ms: &[3_999],
            available_at_ms: &[4_000],
        },
        Case {
            name: "a refusal does not shorten the backoff after connection failures",
            outcomes: &[
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, Refused),
            ],
            backing_off_at_ms: &[1_999],
            available_at_ms: &[2_000],
        },
        Case {
            name: "a response resets the backoff",
            outcomes: &[
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, Responded),
                (5_000, ConnectionFailed),
            ],
            backing_off_at_ms: &[5_499],
            available_at_ms: &[5_500],
        },
    ];
    for Case { name, outcomes, backing_off_at_ms, available_at_ms } in cases {
        let id: Arc<str> = Arc::from("engine");
        let mut health = UpstreamHealth::default();
        for (at_ms, outcome) in outcomes {
            health.on_outcome(*at_ms, &id, *outcome);
        }
        assert!(backing_off_at_ms.iter().all(|at_ms| health.is_backing_off(*at_ms, &id)), "{name}");
        assert!(!available_at_ms.iter().any(|at_ms| health.is_backing_off(*at_ms, &id)), "{name}");
        health.forget(&id);
        assert!(!health.is_backing_off(0, &id), "{name}");
    }
}

#[test]
fn failure_rate_weighs_recent_failures_and_ignores_refusals() {
    struct Case {
        name: &'static str,
        outcomes: &'static [SendOutcome],
        exceeds_half: bool,
        is_zero: bool,
    }
    const FAILURES: &[SendOutcome] = &[Failed, Failed, Failed, Failed, Failed];
    let cases = [
        Case { name: "no outcome", outcomes: &[], exceeds_half: false, is_zero: true },
        Case { name: "one failure", outcomes: &[Failed], exceeds_half: false, is_zero: false },
        Case {
            name: "consecutive failures",
            outcomes: FAILURES,
            exceeds_half: true,
            is_zero: false,
        },
        Case {
            name: "consecutive refusals",
            outcomes: &[Refused, Refused, Refused, Refused, Refused],
            exceeds_half: false,
            is_zero: true,
        },
    ];
    for Case { name, outcomes, exceeds_half, is_zero } in cases {
        let id: Arc<str> = Arc::from("engine");
        let mut health = UpstreamHealth::default();
        for outcome in outcomes {
            health.on_outcome(0, &id, *outcome);
        }
        assert_eq!(health.failure_rate(&id) > 0.5, exceeds_half, "{name}");
        assert_eq!(health.failure_rate(&id) <= 0.0, is_zero, "{name}");
    }
}
