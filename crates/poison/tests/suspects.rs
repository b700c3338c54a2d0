//! Checks when suspected requests are quarantined, how many are kept, and which changes are shared.

use cowslip_name::Name;
use cowslip_poison::Suspects;

const REQUEST: [u8; 32] = [7; 32];

enum Step {
    UpstreamLost(&'static str),
    Success,
}

use Step::{Success, UpstreamLost};

#[test]
fn request_is_quarantined_after_three_lost_upstreams_without_a_success() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        is_quarantined: bool,
    }
    let cases = [
        Case {
            name: "two upstreams lost",
            steps: &[UpstreamLost("a"), UpstreamLost("b")],
            is_quarantined: false,
        },
        Case {
            name: "three upstreams lost",
            steps: &[UpstreamLost("a"), UpstreamLost("b"), UpstreamLost("c")],
            is_quarantined: true,
        },
        Case {
            name: "one upstream lost three times",
            steps: &[UpstreamLost("a"), UpstreamLost("a"), UpstreamLost("a")],
            is_quarantined: false,
        },
        Case {
            name: "a success between the losses",
            steps: &[UpstreamLost("a"), UpstreamLost("b"), Success, UpstreamLost("c")],
            is_quarantined: false,
        },
        Case {
            name: "a loss reported again after a success",
            steps: &[
                UpstreamLost("a"),
                Success,
                UpstreamLost("a"),
                UpstreamLost("b"),
                UpstreamLost("c"),
            ],
            is_quarantined: false,
        },
        Case {
            name: "a success before all losses",
            steps: &[Success, UpstreamLost("a"), UpstreamLost("b"), UpstreamLost("c")],
            is_quarantined: true,
        },
    ];
    for Case { name, steps, is_quarantined } in cases {
        let mut suspects = Suspects::new(3, 4);
        for step in steps {
            match step {
                UpstreamLost(upstream) => {
                    suspects.on_upstream_lost(REQUEST, Name::new(upstream).expect("a name"));
                }
                Success => suspects.on_success(&REQUEST),
            }
        }
        assert_eq!(suspects.is_quarantined(&REQUEST), is_quarantined, "{name}");
    }
}

#[test]
fn suspects_are_bounded_by_capacity() {
    let mut suspects = Suspects::new(3, 4);
    for number in 0..100 {
        suspects.on_upstream_lost([number; 32], Name::new("a").expect("a name"));
        if number % 2 == 0 {
            suspects.on_success(&[number; 32]);
        }
    }
    assert!(suspects.changed_since(0).count() <= 4);
}

#[test]
fn only_suspects_changed_since_a_version_are_returned() {
    struct Case {
        name: &'static str,
        losses: &'static [(u8, &'static str)],
        since: u64,
        expected: &'static [u8],
    }
    let cases = [
        Case { name: "no loss", losses: &[], since: 0, expected: &[] },
        Case {
            name: "all requests are new",
            losses: &[(1, "a"), (2, "a")],
            since: 0,
            expected: &[2, 1],
        },
        Case { name: "the newer request", losses: &[(1, "a"), (2, "a")], since: 1, expected: &[2] },
        Case {
            name: "another upstream lost with the older request",
            losses: &[(1, "a"), (2, "a"), (1, "b")],
            since: 2,
            expected: &[1],
        },
        Case {
            name: "a known loss",
            losses: &[(1, "a"), (2, "a"), (1, "a")],
            since: 2,
            expected: &[],
        },
    ];
    for Case { name, losses, since, expected } in cases {
        let mut suspects = Suspects::new(3, 4);
        for (number, upstream) in losses {
            suspects.on_upstream_lost([*number; 32], Name::new(upstream).expect("a name"));
        }
        let changed: Vec<u8> = suspects.changed_since(since).map(|(digest, _)| digest[0]).collect();
        assert_eq!(changed, expected, "{name}");
    }
}
