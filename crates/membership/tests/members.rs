//! The membership against a naive version that goes through everything it ever heard.

use std::collections::BTreeMap;

use cowslip_membership::{Heartbeat, ListedMember, Members};
use cowslip_name::Name;
use proptest::prelude::*;

const TIMEOUT_MS: u64 = 10;
const NAMES: [&str; 4] = ["entry-0", "entry-1", "entry-2", "entry-3"];

fn name(text: &str) -> Name {
    Name::new(text).expect("a constant name")
}

#[derive(Clone, Debug)]
enum Step {
    Time(u64),
    List(Vec<bool>),
    Report { from: usize, incarnation: u64, next_offset: u64, load: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0u64..6).prop_map(Step::Time),
        1 => prop::collection::vec(any::<bool>(), 4).prop_map(Step::List),
        4 => (0usize..4, 0u64..2, 0u64..4, 0u32..3).prop_map(
            |(from, incarnation, next_offset, load)| Step::Report { from, incarnation, next_offset, load }
        ),
    ]
}

fn report(incarnation: u64, next_offset: u64, load: u32) -> Heartbeat {
    Heartbeat {
        incarnation,
        failure_domain: name("uusimaa"),
        next_offset,
        in_flight: load,
        loads: BTreeMap::from([(name("engine"), load)]),
        drained: Vec::new(),
    }
}

fn listed(index: usize) -> ListedMember {
    ListedMember {
        name: name(NAMES[index]),
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: name("uusimaa"),
        is_leaving: false,
    }
}

/// Newest report of each listed other within the timeout, from the whole history.
fn naive_live(history: &[(u64, Step)], now_ms: u64) -> BTreeMap<usize, (u64, u64, u32)> {
    let mut heard: BTreeMap<usize, (u64, u64, u64, u32)> = BTreeMap::new();
    for (at_ms, step) in history {
        heard.retain(|_, (heard_ms, ..)| at_ms - *heard_ms <= TIMEOUT_MS);
        match step {
            Step::Time(_) => {}
            Step::List(rows) => heard.retain(|from, _| rows[*from]),
            Step::Report { from, incarnation, next_offset, load } => {
                let is_late = heard
                    .get(from)
                    .is_some_and(|(_, old, offset, _)| old == incarnation && offset > next_offset);
                if *from != 0 && !is_late {
                    heard.insert(*from, (*at_ms, *incarnation, *next_offset, *load));
                }
            }
        }
    }
    heard
        .into_iter()
        .filter(|(_, (at_ms, ..))| now_ms - at_ms <= TIMEOUT_MS)
        .map(|(from, (_, incarnation, offset, load))| (from, (incarnation, offset, load)))
        .collect()
}

proptest! {
    #[test]
    fn members_equal_naive(steps in prop::collection::vec(step(), 0..60)) {
        let mut members = Members::new(name(NAMES[0]), TIMEOUT_MS);
        let mut history = Vec::new();
        let mut now_ms = 0;
        for step in steps {
            if let Step::Time(passed_ms) = step {
                now_ms += passed_ms;
            }
            members.on_tick(now_ms);
            match &step {
                Step::Time(_) => {}
                Step::List(rows) => {
                    members.set_list((0..4).filter(|index| rows[*index]).map(listed));
                }
                Step::Report { from, incarnation, next_offset, load } => members.on_heartbeat(
                    now_ms,
                    &name(NAMES[*from]),
                    report(*incarnation, *next_offset, *load),
                ),
            }
            history.push((now_ms, step));
            let live = naive_live(&history, now_ms);
            let found: Vec<(Name, u64)> =
                members.live(now_ms).map(|(from, report, _)| (from.clone(), report.next_offset)).collect();
            let expected: Vec<(Name, u64)> =
                live.iter().map(|(from, (_, offset, _))| (name(NAMES[*from]), *offset)).collect();
            prop_assert_eq!(found, expected);
            let load: u32 = live.values().map(|(_, _, load)| load).sum();
            prop_assert_eq!(members.peer_load(&name("engine")), load);
            let level = 1 + live.values().filter(|(_, offset, _)| *offset <= 2).count();
            prop_assert_eq!(members.count_at_or_below(now_ms, 2), level);
        }
    }
}
