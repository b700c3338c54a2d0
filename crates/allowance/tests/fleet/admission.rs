//! Which brokers an instance asks.

use std::collections::HashMap;

use cowslip_allowance::{Admission, Budget, Reservation, Step};
use cowslip_name::Name;

use super::simulation::{BOUNDS, allowance, workspace};

#[test]
fn unreachable_brokers_are_skipped() {
    struct Case {
        name: &'static str,
        unreachable: &'static [usize],
        tried: &'static [usize],
        now_ms: u64,
        asked: Option<usize>,
    }
    let cases = [
        Case { name: "all reachable", unreachable: &[], tried: &[], now_ms: 0, asked: Some(0) },
        Case { name: "first lost", unreachable: &[0], tried: &[], now_ms: 0, asked: Some(1) },
        Case { name: "rest lost", unreachable: &[1, 2], tried: &[0], now_ms: 0, asked: None },
        Case { name: "all lost", unreachable: &[0, 1, 2], tried: &[], now_ms: 0, asked: None },
        Case { name: "later", unreachable: &[0, 1, 2], tried: &[], now_ms: 1_000, asked: Some(0) },
    ];
    let names = ["b0", "b1", "b2"].map(|name| Name::new(name).expect("a name"));
    let budget = Budget::new(&allowance(5_000.0, 5_000.0), &BOUNDS);
    for Case { name, unreachable, tried, now_ms, asked } in cases {
        let mut admission = Admission::default();
        admission.set_budgets(0, HashMap::from([(workspace(), budget)]));
        for index in unreachable {
            admission.on_unreachable(0, &names[*index]);
        }
        let tried: Vec<Name> = tried.iter().map(|index| names[*index].clone()).collect();
        let reservation = Reservation { workspace: workspace(), cost: 4_000.0 };
        let step = admission.next_step(now_ms, &reservation, Some(8), &names, &tried);
        let expected = asked.map(|index| Step::Reserve(names[index].clone()));
        let expected = expected.unwrap_or(Step::Refuse { retry_after_ms: 1_000, left: 0 });
        assert_eq!(step, expected, "{name}");
    }
}

#[test]
fn floors_are_shared_by_the_largest_known_number_of_instances() {
    struct Case {
        name: &'static str,
        /// Numbers of instances with the times at which they are known.
        counts: &'static [(u64, Option<usize>)],
        /// Parts of the floors that are used at the last time: too large, and covered.
        refused: f64,
        covered: f64,
    }
    let cases = [
        Case { name: "alone", counts: &[(60_000, Some(1))], refused: 1.01, covered: 0.99 },
        Case { name: "unknown", counts: &[(60_000, None)], refused: 0.01, covered: 0.0 },
        Case {
            name: "fewer a minute later",
            counts: &[(60_000, Some(10)), (120_000, Some(1))],
            refused: 0.11,
            covered: 0.09,
        },
        Case {
            name: "fewer for long",
            counts: &[(60_000, Some(10)), (120_000, Some(2)), (299_000, Some(1))],
            refused: 0.51,
            covered: 0.49,
        },
        Case {
            name: "more",
            counts: &[(60_000, Some(1)), (60_000, Some(10))],
            refused: 0.11,
            covered: 0.09,
        },
    ];
    let budget = Budget::new(&allowance(5_000.0, 5_000.0), &BOUNDS);
    for Case { name, counts, refused, covered } in cases {
        let mut admission = Admission::default();
        admission.set_budgets(0, HashMap::from([(workspace(), budget)]));
        let mut is_covered = |(now_ms, instances): (u64, Option<usize>), part: f64| {
            let cost = part * budget.floor_burst;
            let reservation = Reservation { workspace: workspace(), cost };
            admission.next_step(now_ms, &reservation, instances, &[], &[]) == Step::Covered
        };
        for count in counts {
            assert!(!is_covered(*count, refused.max(1.01)), "{name}: more than all");
        }
        let last = counts[counts.len() - 1];
        assert!(!is_covered(last, refused), "{name}: too large");
        assert_eq!(is_covered(last, covered), covered > 0.0, "{name}: covered");
    }
}

#[test]
fn a_broker_that_stays_unreachable_is_asked_ever_more_rarely() {
    let names = [Name::new("b0").expect("a name")];
    let budget = Budget::new(&allowance(5_000.0, 5_000.0), &BOUNDS);
    let mut admission = Admission::default();
    admission.set_budgets(0, HashMap::from([(workspace(), budget)]));
    let reservation = Reservation { workspace: workspace(), cost: 4_000.0 };
    let is_asked = |admission: &mut Admission, now_ms: u64| {
        let step = admission.next_step(now_ms, &reservation, None, &names, &[]);
        step == Step::Reserve(names[0].clone())
    };
    let mut now_ms = 0;
    for pause_ms in [1_000, 2_000, 4_000, 8_000, 8_000] {
        admission.on_unreachable(now_ms, &names[0]);
        assert!(!is_asked(&mut admission, now_ms + pause_ms - 1), "{pause_ms}");
        now_ms += pause_ms;
        assert!(is_asked(&mut admission, now_ms), "{pause_ms}");
    }
    admission.on_reachable(&names[0]);
    admission.on_unreachable(now_ms, &names[0]);
    assert!(is_asked(&mut admission, now_ms + 1_000), "after a response");
}

#[test]
fn a_covered_cost_is_put_back() {
    let budget = Budget::new(&allowance(5_000.0, 5_000.0), &BOUNDS);
    let mut admission = Admission::default();
    admission.set_budgets(0, HashMap::from([(workspace(), budget)]));
    let reservation = Reservation { workspace: workspace(), cost: budget.floor_burst };
    let is_covered = |admission: &mut Admission| {
        admission.next_step(60_000, &reservation, Some(1), &[], &[]) == Step::Covered
    };
    assert!(is_covered(&mut admission));
    assert!(!is_covered(&mut admission), "the floor is used");
    admission.put_back(&reservation);
    assert!(is_covered(&mut admission), "the floor was put back");
    assert!(!is_covered(&mut admission), "the floor is used again");
}
