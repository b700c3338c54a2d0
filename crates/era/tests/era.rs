//! Eras that responses state, and the order of positions.

use cowslip_era::{EraChange, EraStatement, EraTracker, Position, StoreEra};

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("an era")
}

fn stated(number: u64) -> EraStatement {
    EraStatement::Stated(era(number))
}

struct Case {
    name: &'static str,
    before: &'static [u64],
    has_unstated: bool,
    statement: EraStatement,
    change: EraChange,
    known: u64,
}

#[test]
fn statements_change_the_known_era() {
    let cases = [
        Case {
            name: "no statement at all",
            before: &[],
            has_unstated: false,
            statement: EraStatement::Absent,
            change: EraChange::Same,
            known: 0,
        },
        Case {
            name: "the first statement",
            before: &[],
            has_unstated: false,
            statement: stated(4),
            change: EraChange::Learned(era(4)),
            known: 4,
        },
        Case {
            name: "the first statement after responses without one",
            before: &[],
            has_unstated: true,
            statement: stated(1),
            change: EraChange::Restored { from: era(0), to: era(1) },
            known: 1,
        },
        Case {
            name: "era 0 after responses without a statement",
            before: &[],
            has_unstated: true,
            statement: stated(0),
            change: EraChange::Same,
            known: 0,
        },
        Case {
            name: "the same era",
            before: &[4],
            has_unstated: false,
            statement: stated(4),
            change: EraChange::Same,
            known: 4,
        },
        Case {
            name: "two restores at once",
            before: &[4],
            has_unstated: false,
            statement: stated(6),
            change: EraChange::Restored { from: era(4), to: era(6) },
            known: 6,
        },
        Case {
            name: "a late response",
            before: &[4, 5],
            has_unstated: false,
            statement: stated(4),
            change: EraChange::Rejected,
            known: 5,
        },
        Case {
            name: "a response without a statement later",
            before: &[4],
            has_unstated: false,
            statement: EraStatement::Absent,
            change: EraChange::Same,
            known: 4,
        },
        Case {
            name: "a malformed statement",
            before: &[4],
            has_unstated: false,
            statement: EraStatement::Malformed,
            change: EraChange::Rejected,
            known: 4,
        },
    ];
    for case in cases {
        let mut tracker = EraTracker::default();
        if case.has_unstated {
            tracker.on_statement(EraStatement::Absent);
        }
        for number in case.before {
            tracker.on_statement(stated(*number));
        }
        assert_eq!(tracker.on_statement(case.statement), case.change, "{}", case.name);
        assert_eq!(tracker.era(), era(case.known), "{}", case.name);
    }
}

#[test]
fn fencing_tokens_rise_with_positions_and_fit_into_json() {
    let positions = [(0, 0), (0, 7), (0, u64::MAX), (1, 0), (1, 3), (2, 0)]
        .map(|(number, offset)| Position { era: era(number), offset });
    assert!(positions.is_sorted());
    assert!(positions.map(Position::fencing_token).is_sorted());
    assert_eq!(positions[1].fencing_token(), 7, "within era 0 the token is the offset");
    let last = Position { era: StoreEra::MAX, offset: u64::MAX };
    assert_eq!(last.fencing_token(), (1 << 53) - 1);
    assert_eq!(StoreEra::new(StoreEra::MAX.number() + 1), None);
}
