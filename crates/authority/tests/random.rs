//! Long random runs of three processes, and the folds against naive versions.

mod world;

use cowslip_authority::{
    Holder, LeaseRecordResult, LeaseTimes, OrderTable, ScopeRecord, Target, Term, TermTable,
};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{Fault, Move, World, scope};

const TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 3, renew_every_ms: 1, drift_margin_ms: 0, silence_ms: 4 };
const IDLE_MS: u64 = 4;
const PROCESSES: usize = 3;
const ENDLESS: u32 = 1_000;

/// The newest term by going through the whole log again.
fn naive_newest(log: &[ScopeRecord]) -> Option<(Term, Holder, u64, bool)> {
    let mut newest: Option<(Term, Holder, u64, bool)> = None;
    for (offset, record) in (0u64..).zip(log) {
        let last = newest.as_ref().map(|(_, _, last_offset, _)| *last_offset);
        match (record, &mut newest) {
            (ScopeRecord::Claim { holder, expected_offset, .. }, _) if *expected_offset == last => {
                newest = Some((offset, holder.clone(), offset, false));
            }
            (ScopeRecord::Renewal { term, .. }, Some((current, _, last_offset, false)))
                if term == current =>
            {
                *last_offset = offset;
            }
            (ScopeRecord::Release { term }, Some((current, _, last_offset, released)))
                if term == current && !*released =>
            {
                (*last_offset, *released) = (offset, true);
            }
            _ => {}
        }
    }
    newest
}

fn any_record() -> impl Strategy<Value = ScopeRecord> {
    let claim = (0u64..3, 0u64..9, prop::option::of(0u64..12)).prop_map(
        |(incarnation, nonce, expected_offset)| {
            let instance = Name::new("entry-1").expect("valid name");
            let holder = Holder { instance, incarnation };
            ScopeRecord::Claim { holder, nonce, expected_offset }
        },
    );
    let renewal =
        (0u64..12, 0u64..9).prop_map(|(term, nonce)| ScopeRecord::Renewal { term, nonce });
    let release = (0u64..12).prop_map(|term| ScopeRecord::Release { term });
    prop_oneof![3 => claim, 3 => renewal, 1 => release]
}

fn chosen(kind: u8, index: usize) -> Move {
    let process = index % PROCESSES;
    match kind {
        0 => Move::Clock,
        1..=3 => Move::Land(index % 2),
        4..=9 => Move::Read(process),
        10..=12 => Move::Tick(process),
        13 | 14 => Move::Connect(process),
        15 | 16 => Move::RoundTrip(process),
        17 | 18 => Move::Check(process),
        _ => Move::Write(process),
    }
}

fn moves() -> impl Strategy<Value = Vec<(u8, usize)>> {
    prop::collection::vec((0u8..20, 0usize..6), 0..800)
}

/// The first violation of a run.
fn violation(fault: Fault, moves: Vec<(u8, usize)>) -> Option<&'static str> {
    let mut world = World::new(PROCESSES, TIMES, IDLE_MS, ENDLESS, fault);
    moves.into_iter().find_map(|(kind, index)| {
        let chosen = chosen(kind, index);
        // A check without a round trip is not a step that the sender can take.
        let is_early = matches!(chosen, Move::Check(process)
            if world.processes[process].connection.as_ref().is_some_and(|c| c.closes_at_ms.is_none()));
        if !is_early {
            world.step(chosen);
        }
        world.violation()
    })
}

/// The rules that random runs show; the rarer ones are shown by the exhaustive walk.
#[test]
fn each_rule_is_needed() {
    struct Case {
        fault: Fault,
        is_found: bool,
    }
    const CASES: &[Case] = &[
        Case { fault: Fault::None, is_found: false },
        Case { fault: Fault::ClaimByTermOnly, is_found: true },
        Case { fault: Fault::LeaseFromReadBack, is_found: true },
    ];
    for case in CASES {
        let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let found = TestRunner::new_with_rng(config, rng).run(&moves(), |moves| {
            prop_assert_eq!(violation(case.fault, moves), None);
            Ok(())
        });
        assert_eq!(found.is_err(), case.is_found, "{:?}", case.fault);
    }
}

proptest! {
    #[test]
    fn one_process_in_charge(moves in moves()) {
        prop_assert_eq!(violation(Fault::None, moves), None);
    }

    #[test]
    fn fold_equals_naive(log in prop::collection::vec(any_record(), 0..40)) {
        let mut fold = TermTable::default();
        for (index, record) in log.iter().enumerate() {
            fold.apply(&scope(), index as u64, record);
            let newest = fold.newest(&scope()).map(|newest| {
                (newest.term, newest.holder.clone(), newest.last_offset, newest.released)
            });
            prop_assert_eq!(newest, naive_newest(&log[..=index]));
        }
    }

    #[test]
    fn repeated_appends_change_nothing(log in prop::collection::vec(any_record(), 1..40), repeat in 0usize..40) {
        let mut fold = TermTable::default();
        for (offset, record) in (0u64..).zip(&log) {
            fold.apply(&scope(), offset, record);
        }
        let before = fold.newest(&scope()).map(|newest| (newest.term, newest.released));
        let repeated = &log[repeat % log.len()];
        if matches!(repeated, ScopeRecord::Claim { expected_offset: Some(_), .. } | ScopeRecord::Release { .. }) {
            let was_counted = fold.apply(&scope(), log.len() as u64, repeated) != LeaseRecordResult::Ignored;
            let first_time = fold.newest(&scope()).map(|newest| (newest.term, newest.released)) != before;
            prop_assert_eq!(was_counted, first_time);
        }
    }

    #[test]
    fn orders_never_conflict(steps in prop::collection::vec((0u8..4, 0u64..4, 0u64..5, 0u8..3), 0..60)) {
        let mut terms = TermTable::default();
        let mut book = OrderTable::default();
        let target = Target { scope: scope(), upstream: Name::new("engine-1").expect("valid name") };
        let mut counted: Vec<(u64, u8)> = Vec::new();
        for (offset, (kind, term, sequence, action)) in (0u64..).zip(steps) {
            match kind {
                0 => {
                    let holder = Holder { instance: scope(), incarnation: term };
                    let expected_offset = terms.newest(&scope()).map(|newest| newest.last_offset);
                    terms.apply(&scope(), offset, &ScopeRecord::Claim { holder, nonce: 0, expected_offset });
                }
                1 => { book.apply_done(&terms, &target, current(&terms), sequence); }
                _ => {
                    let term = if kind == 2 { current(&terms) } else { term };
                    if book.apply_intent(&terms, offset, &target, term, sequence, &action) {
                        prop_assert_eq!(term, current(&terms));
                        counted.push((sequence, action));
                    }
                }
            }
        }
        let expected: Vec<u64> = (1..=counted.len() as u64).collect();
        prop_assert_eq!(counted.iter().map(|(sequence, _)| *sequence).collect::<Vec<_>>(), expected);
    }
}

fn current(terms: &TermTable) -> Term {
    terms.newest(&scope()).map_or(u64::MAX, |newest| newest.term)
}
