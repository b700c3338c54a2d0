//! Compares the membership with a naive model that replays every heartbeat and list received so
//! far.

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
    Advance(u64),
    List(Vec<bool>),
    Heartbeat { from: usize, incarnation: u64, next_offset: u64, load: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0u64..6).prop_map(Step::Advance),
        1 => prop::collection::vec(any::<bool>(), 4).prop_map(Step::List),
        4 => (0usize..4, 0u64..2, 0u64..4, 0u32..3).prop_map(
            |(from, incarnation, next_offset, load)| Step::Heartbeat { from, incarnation, next_offset, load }
        ),
    ]
}

fn heartbeat(incarnation: u64, next_offset: u64, load: u32) -> Heartbeat {
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
        is_draining: false,
    }
}

/// Replays the whole history and returns the newest heartbeat of each listed peer within the
/// timeout: incarnation, next offset and load by index of the peer.
fn replay_live(history: &[(u64, Step)], now_ms: u64) -> BTreeMap<usize, (u64, u64, u32)> {
    let mut received: BTreeMap<usize, (u64, u64, u64, u32)> = BTreeMap::new();
    for (at_ms, step) in history {
        received.retain(|_, (received_ms, ..)| at_ms - *received_ms <= TIMEOUT_MS);
        match step {
            Step::Advance(_) => {}
            Step::List(rows) => received.retain(|from, _| rows[*from]),
            Step::Heartbeat { from, incarnation, next_offset, load } => {
                let is_outdated = received
                    .get(from)
                    .is_some_and(|(_, old, offset, _)| old == incarnation && offset > next_offset);
                if *from != 0 && !is_outdated {
                    received.insert(*from, (*at_ms, *incarnation, *next_offset, *load));
                }
            }
        }
    }
    received
        .into_iter()
        .filter(|(_, (at_ms, ..))| now_ms - at_ms <= TIMEOUT_MS)
        .map(|(from, (_, incarnation, offset, load))| (from, (incarnation, offset, load)))
        .collect()
}

proptest! {
    /// The live peers, the load at an upstream and the count of instances at or below an offset
    /// equal those of the model after every step.
    #[test]
    fn members_match_replayed_history(steps in prop::collection::vec(step(), 0..60)) {
        let mut members = Members::new(name(NAMES[0]), TIMEOUT_MS);
        let mut history = Vec::new();
        let mut now_ms = 0;
        for step in steps {
            if let Step::Advance(elapsed_ms) = step {
                now_ms += elapsed_ms;
            }
            members.on_tick(now_ms);
            match &step {
                Step::Advance(_) => {}
                Step::List(rows) => {
                    members.set_list((0..4).filter(|index| rows[*index]).map(listed));
                }
                Step::Heartbeat { from, incarnation, next_offset, load } => members.on_heartbeat(
                    now_ms,
                    &name(NAMES[*from]),
                    heartbeat(*incarnation, *next_offset, *load),
                ),
            }
            history.push((now_ms, step));
            let live = replay_live(&history, now_ms);
            let found: Vec<(Name, u64)> =
                members.live(now_ms).map(|(from, heartbeat, _)| (from.clone(), heartbeat.next_offset)).collect();
            let expected: Vec<(Name, u64)> =
                live.iter().map(|(from, (_, offset, _))| (name(NAMES[*from]), *offset)).collect();
            prop_assert_eq!(found, expected);
            let load: u32 = live.values().map(|(_, _, load)| load).sum();
            prop_assert_eq!(members.peer_load(&name("engine")), load);
            let expected_count = 1 + live.values().filter(|(_, offset, _)| *offset <= 2).count();
            prop_assert_eq!(members.count_at_or_below(now_ms, 2), expected_count);
        }
    }
}
