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
        let step = admission.next_step(now_ms, &reservation, 8, &names, &tried);
        let expected = asked.map(|index| Step::Reserve(names[index].clone()));
        let expected = expected.unwrap_or(Step::Refuse { retry_after_ms: 1_000, left: 0 });
        assert_eq!(step, expected, "{name}");
    }
}
