//! Tickets applied one by one, against a naive replay that sorts all of them by number.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cowslip_config::{
    ConfigState, NUMBER_WINDOW, Object, ObjectId, ObjectKind, ObjectOutcome, Ticket, TicketRefusal,
    TicketResult, Workspace,
};
use cowslip_name::Name;
use proptest::prelude::*;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn id(index: usize) -> ObjectId {
    ObjectId { kind: ObjectKind::Workspace, name: Name::new(NAMES[index]).expect("valid name") }
}

fn object(index: usize, share_weight: u32) -> Object {
    Object::Workspace(Workspace {
        name: id(index).name,
        share_weight,
        max_in_flight: 1,
        deployments: Vec::new(),
        services: Vec::new(),
    })
}

/// Number, variant and change of each object: none, removal, or a new share.
type TicketSpec = (u64, u8, [Option<Option<u32>>; 3]);

fn ticket((number, variant, changes): &TicketSpec) -> Ticket {
    let changes: Vec<_> = changes
        .iter()
        .enumerate()
        .filter_map(|(index, change)| {
            change.map(|share| (id(index), share.map(|share| object(index, share))))
        })
        .collect();
    let mut hasher = DefaultHasher::new();
    format!("{variant} {changes:?}").hash(&mut hasher);
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&hasher.finish().to_be_bytes());
    Ticket { number: *number, digest, changes }
}

fn ticket_spec() -> impl Strategy<Value = TicketSpec> {
    let change = || prop::option::of(prop::option::of(1u32..9));
    (1u64..12, 0u8..2, [change(), change(), change()])
}

/// Returns the objects after a replay in which the first ticket of each number is accepted, and the
/// highest number sets each object.
fn naive_objects(tickets: &[Ticket]) -> BTreeMap<ObjectId, (u64, Option<Object>)> {
    let mut by_number: BTreeMap<u64, &Ticket> = BTreeMap::new();
    for ticket in tickets {
        by_number.entry(ticket.number).or_insert(ticket);
    }
    let mut objects = BTreeMap::new();
    for ticket in by_number.values() {
        for (id, object) in &ticket.changes {
            objects.insert(id.clone(), (ticket.number, object.clone()));
        }
    }
    objects
}

fn objects_of(state: &ConfigState) -> BTreeMap<ObjectId, (u64, Option<Object>)> {
    state
        .objects()
        .map(|(id, versioned)| {
            (id.clone(), (versioned.number, versioned.object.as_deref().cloned()))
        })
        .collect()
}

proptest! {
    #[test]
    fn state_matches_naive_replay(specs in prop::collection::vec(ticket_spec(), 0..40)) {
        let tickets: Vec<Ticket> = specs.iter().map(ticket).collect();
        let mut state = ConfigState::default();
        for ticket in &tickets {
            state.apply(ticket);
        }
        prop_assert_eq!(objects_of(&state), naive_objects(&tickets));
    }

    #[test]
    fn objects_never_revert_to_a_lower_ticket_number(specs in prop::collection::vec(ticket_spec(), 0..40)) {
        let mut state = ConfigState::default();
        let mut numbers: BTreeMap<ObjectId, u64> = BTreeMap::new();
        for spec in &specs {
            let result = state.apply(&ticket(spec));
            for (id, (number, _)) in objects_of(&state) {
                let before = numbers.insert(id, number).unwrap_or(0);
                prop_assert!(before <= number);
            }
            if let TicketResult::Accepted(outcomes) = result {
                for (id, outcome) in outcomes {
                    let is_set_by_ticket = numbers.get(&id) == Some(&spec.0);
                    prop_assert_eq!(outcome == ObjectOutcome::Applied, is_set_by_ticket);
                }
            }
        }
    }

    #[test]
    fn state_is_independent_of_ticket_order(specs in prop::collection::vec(ticket_spec(), 0..20), seed in any::<u64>()) {
        let mut tickets: BTreeMap<u64, Ticket> = BTreeMap::new();
        for spec in &specs {
            tickets.entry(spec.0).or_insert_with(|| ticket(spec));
        }
        let mut shuffled: Vec<&Ticket> = tickets.values().collect();
        shuffled.sort_by_key(|ticket| ticket.number.wrapping_mul(seed | 1));
        let (mut ordered, mut unordered) = (ConfigState::default(), ConfigState::default());
        for ticket in tickets.values() {
            ordered.apply(ticket);
        }
        for ticket in shuffled {
            unordered.apply(ticket);
        }
        prop_assert_eq!(objects_of(&ordered), objects_of(&unordered));
    }
}

#[test]
fn numbers_outside_the_window_are_refused() {
    struct Case {
        name: &'static str,
        number: u64,
        expected: Option<TicketRefusal>,
    }
    const HIGHEST: u64 = 1_000_000;
    const FLOOR: u64 = HIGHEST - NUMBER_WINDOW;
    const CEILING: u64 = HIGHEST + NUMBER_WINDOW;
    const CASES: &[Case] = &[
        Case { name: "at the floor", number: FLOOR, expected: None },
        Case {
            name: "below the floor",
            number: FLOOR - 1,
            expected: Some(TicketRefusal::TooOld { floor: FLOOR }),
        },
        Case { name: "at the ceiling", number: CEILING, expected: None },
        Case {
            name: "above the ceiling",
            number: CEILING + 1,
            expected: Some(TicketRefusal::TooFarAhead { ceiling: CEILING }),
        },
    ];
    for case in CASES {
        let mut state = ConfigState::default();
        state.apply(&ticket(&(HIGHEST, 0, [Some(Some(1)), None, None])));
        let result = state.apply(&ticket(&(case.number, 0, [None, Some(Some(2)), None])));
        let found = match result {
            TicketResult::Refused(refusal) => Some(refusal),
            TicketResult::Accepted(_) => None,
        };
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
