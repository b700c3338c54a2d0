//! The fold of tickets against a naive version that sorts them all.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cowslip_config::{
    ConfigState, NUMBER_WINDOW, Object, ObjectId, ObjectKind, ObjectOutcome, Ticket, TicketRefusal,
    TicketVerdict, Workspace,
};
use cowslip_name::Name;
use proptest::prelude::*;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn id(index: usize) -> ObjectId {
    ObjectId { kind: ObjectKind::Workspace, name: Name::new(NAMES[index]).expect("a name") }
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

/// Number, variant and what is done to each object: not touched, removed, or set.
type Raw = (u64, u8, [Option<Option<u32>>; 3]);

fn ticket((number, variant, changes): &Raw) -> Ticket {
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

fn raw() -> impl Strategy<Value = Raw> {
    let change = || prop::option::of(prop::option::of(1u32..9));
    (1u64..12, 0u8..2, [change(), change(), change()])
}

/// The first ticket of each number counts; of those that touch an object the highest number wins.
fn naive(tickets: &[Ticket]) -> BTreeMap<ObjectId, (u64, Option<Object>)> {
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

fn held(fold: &ConfigState) -> BTreeMap<ObjectId, (u64, Option<Object>)> {
    fold.objects()
        .map(|(id, held)| (id.clone(), (held.number, held.object.as_deref().cloned())))
        .collect()
}

proptest! {
    #[test]
    fn fold_equals_naive(raws in prop::collection::vec(raw(), 0..40)) {
        let tickets: Vec<Ticket> = raws.iter().map(ticket).collect();
        let mut fold = ConfigState::default();
        for ticket in &tickets {
            fold.apply(ticket);
        }
        prop_assert_eq!(held(&fold), naive(&tickets));
    }

    #[test]
    fn no_object_reverts(raws in prop::collection::vec(raw(), 0..40)) {
        let mut fold = ConfigState::default();
        let mut numbers: BTreeMap<ObjectId, u64> = BTreeMap::new();
        for raw in &raws {
            let verdict = fold.apply(&ticket(raw));
            for (id, (number, _)) in held(&fold) {
                let before = numbers.insert(id, number).unwrap_or(0);
                prop_assert!(before <= number);
            }
            if let TicketVerdict::Accepted(outcomes) = verdict {
                for (id, outcome) in outcomes {
                    let is_own = numbers.get(&id) == Some(&raw.0);
                    prop_assert_eq!(outcome == ObjectOutcome::Applied, is_own);
                }
            }
        }
    }

    #[test]
    fn order_does_not_matter(raws in prop::collection::vec(raw(), 0..20), seed in any::<u64>()) {
        let mut tickets: BTreeMap<u64, Ticket> = BTreeMap::new();
        for raw in &raws {
            tickets.entry(raw.0).or_insert_with(|| ticket(raw));
        }
        let mut shuffled: Vec<&Ticket> = tickets.values().collect();
        shuffled.sort_by_key(|ticket| ticket.number.wrapping_mul(seed | 1));
        let (mut ordered, mut other) = (ConfigState::default(), ConfigState::default());
        for ticket in tickets.values() {
            ordered.apply(ticket);
        }
        for ticket in shuffled {
            other.apply(ticket);
        }
        prop_assert_eq!(held(&ordered), held(&other));
    }
}

#[test]
fn numbers_far_apart_are_refused() {
    struct Case {
        name: &'static str,
        number: u64,
        expected: Option<TicketRefusal>,
    }
    const HIGHEST: u64 = 1_000_000;
    const FLOOR: u64 = HIGHEST - NUMBER_WINDOW;
    const CEILING: u64 = HIGHEST + NUMBER_WINDOW;
    const CASES: &[Case] = &[
        Case { name: "floor", number: FLOOR, expected: None },
        Case {
            name: "below",
            number: FLOOR - 1,
            expected: Some(TicketRefusal::TooOld { floor: FLOOR }),
        },
        Case { name: "ceiling", number: CEILING, expected: None },
        Case {
            name: "above",
            number: CEILING + 1,
            expected: Some(TicketRefusal::TooFarAhead { ceiling: CEILING }),
        },
    ];
    for case in CASES {
        let mut fold = ConfigState::default();
        fold.apply(&ticket(&(HIGHEST, 0, [Some(Some(1)), None, None])));
        let verdict = fold.apply(&ticket(&(case.number, 0, [None, Some(Some(2)), None])));
        let found = match verdict {
            TicketVerdict::Refused(refusal) => Some(refusal),
            TicketVerdict::Accepted(_) => None,
        };
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
