//! What outcomes say of upstreams.

use std::sync::Arc;

use cowslip_fleet::{SendOutcome, UpstreamHealth};

use SendOutcome::{Answered, ConnectionFailed, Failed, Refused};

#[test]
fn upstreams_are_left_alone_for_a_while() {
    struct Case {
        name: &'static str,
        outcomes: &'static [(u64, SendOutcome)],
        paused_at_ms: &'static [u64],
        tried_at_ms: &'static [u64],
    }
    let cases = [
        Case { name: "nothing known", outcomes: &[], paused_at_ms: &[], tried_at_ms: &[0] },
        Case {
            name: "an answer",
            outcomes: &[(0, Answered)],
            paused_at_ms: &[],
            tried_at_ms: &[0, 10],
        },
        Case {
            name: "a failed answer",
            outcomes: &[(0, Failed)],
            paused_at_ms: &[],
            tried_at_ms: &[0, 10],
        },
        Case {
            name: "a refusal",
            outcomes: &[(0, Refused)],
            paused_at_ms: &[0, 999],
            tried_at_ms: &[1_000],
        },
        Case {
            name: "a break",
            outcomes: &[(0, ConnectionFailed)],
            paused_at_ms: &[0, 499],
            tried_at_ms: &[500],
        },
        Case {
            name: "breaks in a row take longer, up to a limit",
            outcomes: &[
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
            ],
            paused_at_ms: &[3_999],
            tried_at_ms: &[4_000],
        },
        Case {
            name: "a refusal does not shorten the pause after breaks",
            outcomes: &[
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, Refused),
            ],
            paused_at_ms: &[1_999],
            tried_at_ms: &[2_000],
        },
        Case {
            name: "an answer ends the row",
            outcomes: &[
                (0, ConnectionFailed),
                (0, ConnectionFailed),
                (0, Answered),
                (5_000, ConnectionFailed),
            ],
            paused_at_ms: &[5_499],
            tried_at_ms: &[5_500],
        },
    ];
    for Case { name, outcomes, paused_at_ms, tried_at_ms } in cases {
        let id: Arc<str> = Arc::from("engine");
        let mut health = UpstreamHealth::default();
        for (at_ms, outcome) in outcomes {
            health.on_outcome(*at_ms, &id, *outcome);
        }
        assert!(paused_at_ms.iter().all(|at_ms| health.is_backing_off(*at_ms, &id)), "{name}");
        assert!(!tried_at_ms.iter().any(|at_ms| health.is_backing_off(*at_ms, &id)), "{name}");
        health.forget(&id);
        assert!(!health.is_backing_off(0, &id), "{name}");
    }
}

#[test]
fn failures_weigh_more_the_newer_they_are_and_refusals_do_not_count() {
    struct Case {
        name: &'static str,
        outcomes: &'static [SendOutcome],
        is_mostly_failing: bool,
        is_spotless: bool,
    }
    const ROW: &[SendOutcome] = &[Failed, Failed, Failed, Failed, Failed];
    let cases = [
        Case { name: "none", outcomes: &[], is_mostly_failing: false, is_spotless: true },
        Case { name: "one", outcomes: &[Failed], is_mostly_failing: false, is_spotless: false },
        Case { name: "a row", outcomes: ROW, is_mostly_failing: true, is_spotless: false },
        Case {
            name: "a row of refusals",
            outcomes: &[Refused, Refused, Refused, Refused, Refused],
            is_mostly_failing: false,
            is_spotless: true,
        },
    ];
    for Case { name, outcomes, is_mostly_failing, is_spotless } in cases {
        let id: Arc<str> = Arc::from("engine");
        let mut health = UpstreamHealth::default();
        for outcome in outcomes {
            health.on_outcome(0, &id, *outcome);
        }
        assert_eq!(health.failure_rate(&id) > 0.5, is_mostly_failing, "{name}");
        assert_eq!(health.failure_rate(&id) <= 0.0, is_spotless, "{name}");
    }
}
