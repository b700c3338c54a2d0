//! Random runs of three processes, a naive replay for the term table, and the numbers of orders.

mod simulation;

use cowslip_authority::{
    Holder, LeaseRecord, LeaseRecordResult, LeaseTimes, OrderTable, Target, Term, TermTable,
};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{Fault, Simulation, Step, scope};

const TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 3, renew_every_ms: 1, drift_margin_ms: 0, silence_ms: 4 };
const IDLE_TIMEOUT_MS: u64 = 4;
const PROCESSES: usize = 3;
const MAX_ORDER_ATTEMPTS: u32 = 1_000;

/// Returns term, holder, last offset and release of the newest term, by a replay of all records.
fn naive_newest(log: &[LeaseRecord]) -> Option<(Term, Holder, u64, bool)> {
    let mut newest: Option<(Term, Holder, u64, bool)> = None;
    for (offset, record) in (0u64..).zip(log) {
        let newest_offset = newest.as_ref().map(|(_, _, last_offset, _)| *last_offset);
        match (record, &mut newest) {
            (LeaseRecord::Claim { holder, expected_offset, .. }, _)
                if *expected_offset == newest_offset =>
            {
                newest = Some((offset, holder.clone(), offset, false));
            }
            (LeaseRecord::Renewal { term, .. }, Some((current, _, last_offset, false)))
                if term == current =>
            {
                *last_offset = offset;
            }
            (LeaseRecord::Release { term }, Some((current, _, last_offset, released)))
                if term == current && !*released =>
            {
                (*last_offset, *released) = (offset, true);
            }
            _ => {}
        }
    }
    newest
}

fn lease_record() -> impl Strategy<Value = LeaseRecord> {
    let claim = (0u64..3, 0u64..9, prop::option::of(0u64..12)).prop_map(
        |(incarnation, nonce, expected_offset)| {
            let instance = Name::new("entry-1").expect("valid name");
            let holder = Holder { instance, incarnation };
            LeaseRecord::Claim { holder, nonce, expected_offset }
        },
    );
    let renewal =
        (0u64..12, 0u64..9).prop_map(|(term, nonce)| LeaseRecord::Renewal { term, nonce });
    let release = (0u64..12).prop_map(|term| LeaseRecord::Release { term });
    prop_oneof![3 => claim, 3 => renewal, 1 => release]
}

fn step(kind: u8, index: usize) -> Step {
    let process = index % PROCESSES;
    match kind {
        0 => Step::AdvanceClock,
        1..=3 => Step::Append(index % 2),
        4..=9 => Step::Read(process),
        10..=12 => Step::Tick(process),
        13 | 14 => Step::Connect(process),
        15 | 16 => Step::RoundTrip(process),
        17 | 18 => Step::Check(process),
        _ => Step::Write(process),
    }
}

fn steps() -> impl Strategy<Value = Vec<(u8, usize)>> {
    prop::collection::vec((0u8..20, 0usize..6), 0..800)
}

/// Returns the first violation of a run.
fn violation(fault: Fault, steps: Vec<(u8, usize)>) -> Option<&'static str> {
    let mut simulation =
        Simulation::new(PROCESSES, TIMES, IDLE_TIMEOUT_MS, MAX_ORDER_ATTEMPTS, fault);
    steps.into_iter().find_map(|(kind, index)| {
        let step = step(kind, index);
        // A sender checks the lease only after the round trip.
        let lacks_round_trip = matches!(step, Step::Check(process)
            if simulation.processes[process].connection.as_ref().is_some_and(|c| c.closes_at_ms.is_none()));
        if !lacks_round_trip {
            simulation.step(step);
        }
        simulation.violation()
    })
}

/// Covers the rules whose omission random runs detect; `explore.rs` covers the rarer ones.
#[test]
fn omitting_a_rule_causes_a_violation() {
    struct Case {
        fault: Fault,
        is_violated: bool,
    }
    const CASES: &[Case] = &[
        Case { fault: Fault::None, is_violated: false },
        Case { fault: Fault::ClaimByTermOnly, is_violated: true },
        Case { fault: Fault::LeaseFromReadBack, is_violated: true },
    ];
    for case in CASES {
        let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let found = TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
            prop_assert_eq!(violation(case.fault, steps), None);
            Ok(())
        });
        assert_eq!(found.is_err(), case.is_violated, "{:?}", case.fault);
    }
}

proptest! {
    #[test]
    fn at_most_one_process_holds_the_lease(steps in steps()) {
        prop_assert_eq!(violation(Fault::None, steps), None);
    }

    #[test]
    fn term_table_matches_naive_replay(log in prop::collection::vec(lease_record(), 0..40)) {
        let mut table = TermTable::default();
        for (index, record) in log.iter().enumerate() {
            table.apply(&scope(), index as u64, record);
            let newest = table.newest(&scope()).map(|newest| {
                (newest.term, newest.holder.clone(), newest.last_offset, newest.released)
            });
            prop_assert_eq!(newest, naive_newest(&log[..=index]));
        }
    }

    #[test]
    fn repeated_record_takes_effect_only_if_it_changes_the_term(log in prop::collection::vec(lease_record(), 1..40), repeated_index in 0usize..40) {
        let mut table = TermTable::default();
        for (offset, record) in (0u64..).zip(&log) {
            table.apply(&scope(), offset, record);
        }
        let before = table.newest(&scope()).map(|newest| (newest.term, newest.released));
        let repeated = &log[repeated_index % log.len()];
        if matches!(repeated, LeaseRecord::Claim { expected_offset: Some(_), .. } | LeaseRecord::Release { .. }) {
            let took_effect = table.apply(&scope(), log.len() as u64, repeated) != LeaseRecordResult::Ignored;
            let is_changed = table.newest(&scope()).map(|newest| (newest.term, newest.released)) != before;
            prop_assert_eq!(took_effect, is_changed);
        }
    }

    #[test]
    fn effective_orders_are_numbered_without_gaps(steps in prop::collection::vec((0u8..4, 0u64..4, 0u64..5, 0u8..3), 0..60)) {
        let mut terms = TermTable::default();
        let mut orders = OrderTable::default();
        let target = Target { scope: scope(), upstream: Name::new("engine-1").expect("valid name") };
        let mut effective: Vec<(u64, u8)> = Vec::new();
        for (offset, (kind, term, sequence, action)) in (0u64..).zip(steps) {
            match kind {
                0 => {
                    let holder = Holder { instance: scope(), incarnation: term };
                    let expected_offset = terms.newest(&scope()).map(|newest| newest.last_offset);
                    terms.apply(&scope(), offset, &LeaseRecord::Claim { holder, nonce: 0, expected_offset });
                }
                1 => { orders.apply_completion(&terms, &target, current(&terms), sequence); }
                _ => {
                    let term = if kind == 2 { current(&terms) } else { term };
                    if orders.apply_intent(&terms, offset, &target, term, sequence, &action) {
                        prop_assert_eq!(term, current(&terms));
                        effective.push((sequence, action));
                    }
                }
            }
        }
        let expected: Vec<u64> = (1..=effective.len() as u64).collect();
        prop_assert_eq!(effective.iter().map(|(sequence, _)| *sequence).collect::<Vec<_>>(), expected);
    }
}

fn current(terms: &TermTable) -> Term {
    terms.newest(&scope()).map_or(u64::MAX, |newest| newest.term)
}
