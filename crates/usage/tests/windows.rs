//! Compares the windows with a naive model while records in flight to the log are lost or
//! duplicated at random.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_authority::Holder;
use cowslip_name::Name;
use cowslip_usage::{Batch, Meter, Usage, UsageState, UsageTotals};
use proptest::prelude::*;

const INSTANCES: usize = 2;

#[derive(Clone, Debug)]
enum Record {
    Count(usize, u64, UsageTotals),
    Fixed(bool, u64),
    Reported(bool, u64),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Count(usize, u64),
    /// Sends an instance's batch, which is then in flight to the log.
    Flush(usize),
    /// Appends a record in flight to the log; with `true` a duplicate stays in flight.
    Append(usize, bool),
    /// Drops a record in flight.
    Lose(usize),
    /// Lets an instance read its next record of the log.
    Read(usize),
    /// Appends the record that closes the open window; with `true` its writer holds the term.
    Fix(bool),
    /// Appends the report of the oldest unreported window; with `true` its writer holds the term.
    Report(bool),
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn holder(index: usize) -> Holder {
    Holder { instance: name(&format!("entry-{index}")), incarnation: 1 }
}

fn usage(tokens: u64) -> Usage {
    Usage { requests: 1, prompt_tokens: 0, output_tokens: tokens }
}

fn output_tokens_of(totals: &UsageTotals) -> u64 {
    totals.iter().map(|(_, usage)| usage.output_tokens).sum()
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..INSTANCES, 1u64..9).prop_map(|(index, tokens)| Step::Count(index, tokens)),
        3 => (0..INSTANCES).prop_map(Step::Flush),
        4 => (0usize..4, any::<bool>()).prop_map(|(index, is_duplicated)| Step::Append(index, is_duplicated)),
        1 => (0usize..4).prop_map(Step::Lose),
        4 => (0..INSTANCES).prop_map(Step::Read),
        1 => any::<bool>().prop_map(Step::Fix),
        1 => any::<bool>().prop_map(Step::Report),
    ]
}

fn apply(state: &mut UsageState, record: &Record) {
    match record {
        Record::Count(index, sequence, totals) => {
            state.apply_count(&holder(*index), *sequence, totals);
        }
        Record::Fixed(is_current, window) => {
            state.apply_finalized(*is_current, *window);
        }
        Record::Reported(is_current, window) => {
            state.apply_reported(*is_current, *window);
        }
    }
}

/// Returns the tokens of each window: each batch counts once, in the window that was open when it
/// was first appended.
fn naive_windows(log: &[Record]) -> BTreeMap<u64, u64> {
    let mut windows = BTreeMap::new();
    let mut applied_batches = BTreeSet::new();
    let mut open = 0;
    for record in log {
        match record {
            Record::Count(index, sequence, totals)
                if applied_batches.insert((*index, *sequence)) =>
            {
                *windows.entry(open).or_insert(0) += output_tokens_of(totals);
            }
            Record::Fixed(true, window) if *window == open => {
                windows.entry(open).or_insert(0);
                open += 1;
            }
            _ => {}
        }
    }
    windows.entry(open).or_insert(0);
    windows
}

proptest! {
    /// The totals of a closed window never change, and all counts are in exactly one window.
    #[test]
    fn every_count_is_in_one_window(steps in prop::collection::vec(step(), 0..120)) {
        let mut meters: Vec<Meter> = (0..INSTANCES).map(|_| Meter::default()).collect();
        let mut cursors = [0; INSTANCES];
        let mut log: Vec<Record> = Vec::new();
        let mut in_flight: Vec<Record> = Vec::new();
        let mut state = UsageState::default();
        let mut counted = 0;
        // Totals of each closed window when it was closed, which later reports have to equal.
        let mut reports: BTreeMap<u64, UsageTotals> = BTreeMap::new();
        for step in steps {
            let previous_len = log.len();
            match step {
                Step::Count(index, tokens) => {
                    meters[index].count(&name("co-op"), usage(tokens));
                    counted += tokens;
                }
                Step::Flush(index) => {
                    if let Some(Batch { sequence, totals }) = meters[index].batch() {
                        in_flight.push(Record::Count(index, *sequence, totals.clone()));
                    }
                }
                Step::Append(index, is_duplicated) if index < in_flight.len() => {
                    log.push(in_flight[index].clone());
                    if !is_duplicated {
                        in_flight.remove(index);
                    }
                }
                Step::Lose(index) if index < in_flight.len() => drop(in_flight.remove(index)),
                Step::Append(..) | Step::Lose(_) => {}
                Step::Read(index) => {
                    if let Some(Record::Count(from, sequence, _)) = log.get(cursors[index])
                        && *from == index
                    {
                        meters[index].on_read_back(*sequence);
                    }
                    cursors[index] = log.len().min(cursors[index] + 1);
                }
                Step::Fix(is_current) => log.push(Record::Fixed(is_current, state.open_window())),
                Step::Report(is_current) => {
                    if let Some((window, _)) = state.oldest_unreported() {
                        log.push(Record::Reported(is_current, window));
                    }
                }
            }
            for record in &log[previous_len..] {
                apply(&mut state, record);
            }
            for (window, totals) in state.unreported() {
                let first = reports.entry(window).or_insert_with(|| totals.clone());
                prop_assert_eq!(&*first, totals, "the totals of a closed window changed");
            }
        }
        let expected = naive_windows(&log);
        for (window, totals) in &reports {
            prop_assert_eq!(output_tokens_of(totals), expected[window]);
        }
        prop_assert_eq!(output_tokens_of(state.open_totals()), expected[&state.open_window()]);
        // No usage is lost while the instances run: after a last flush of each, all counts are in a
        // window.
        for (index, meter) in meters.iter_mut().enumerate() {
            while let Some(Batch { sequence, totals }) = meter.batch().cloned() {
                apply(&mut state, &Record::Count(index, sequence, totals));
                meter.on_read_back(sequence);
            }
        }
        let closed: u64 = reports.values().map(output_tokens_of).sum();
        prop_assert_eq!(closed + output_tokens_of(state.open_totals()), counted);
    }
}
