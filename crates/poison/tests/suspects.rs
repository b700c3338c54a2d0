//! Requests under suspicion.

use cowslip_name::Name;
use cowslip_poison::Suspects;

const REQUEST: [u8; 32] = [7; 32];

enum Step {
    Loss(&'static str),
    Answer,
}

use Step::{Answer, Loss};

#[test]
fn losses_without_an_answer_between_refuse_a_request() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        is_refused: bool,
    }
    let cases = [
        Case { name: "two losses", steps: &[Loss("a"), Loss("b")], is_refused: false },
        Case { name: "three losses", steps: &[Loss("a"), Loss("b"), Loss("c")], is_refused: true },
        Case {
            name: "one upstream three times",
            steps: &[Loss("a"), Loss("a"), Loss("a")],
            is_refused: false,
        },
        Case {
            name: "an answer between",
            steps: &[Loss("a"), Loss("b"), Answer, Loss("c")],
            is_refused: false,
        },
        Case {
            name: "told again by others",
            steps: &[Loss("a"), Answer, Loss("a"), Loss("b"), Loss("c")],
            is_refused: false,
        },
        Case {
            name: "an answer before all",
            steps: &[Answer, Loss("a"), Loss("b"), Loss("c")],
            is_refused: true,
        },
    ];
    for Case { name, steps, is_refused } in cases {
        let mut suspects = Suspects::new(3, 4);
        for step in steps {
            match step {
                Loss(upstream) => {
                    suspects.on_upstream_lost(REQUEST, Name::new(upstream).expect("a name"));
                }
                Answer => suspects.on_success(&REQUEST),
            }
        }
        assert_eq!(suspects.is_quarantined(&REQUEST), is_refused, "{name}");
    }
}

#[test]
fn what_is_remembered_is_bounded() {
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
fn only_what_changed_is_told_again() {
    struct Case {
        name: &'static str,
        losses: &'static [(u8, &'static str)],
        told: u64,
        expected: &'static [u8],
    }
    let cases = [
        Case { name: "nothing", losses: &[], told: 0, expected: &[] },
        Case { name: "all", losses: &[(1, "a"), (2, "a")], told: 0, expected: &[2, 1] },
        Case { name: "the newer one", losses: &[(1, "a"), (2, "a")], told: 1, expected: &[2] },
        Case {
            name: "the older one, lost again",
            losses: &[(1, "a"), (2, "a"), (1, "b")],
            told: 2,
            expected: &[1],
        },
        Case {
            name: "a loss that was known",
            losses: &[(1, "a"), (2, "a"), (1, "a")],
            told: 2,
            expected: &[],
        },
    ];
    for Case { name, losses, told, expected } in cases {
        let mut suspects = Suspects::new(3, 4);
        for (number, upstream) in losses {
            suspects.on_upstream_lost([*number; 32], Name::new(upstream).expect("a name"));
        }
        let changed: Vec<u8> = suspects.changed_since(told).map(|(digest, _)| digest[0]).collect();
        assert_eq!(changed, expected, "{name}");
    }
}
