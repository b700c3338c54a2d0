//! Windows against a naive version, and the way from counts to reports with losses at random.

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
    Flush(usize),
    /// A record in flight reaches the log, for good or to come again.
    Land(usize, bool),
    Lose(usize),
    Read(usize),
    Fix(bool),
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

fn total(figures: &UsageTotals) -> u64 {
    figures.iter().map(|(_, usage)| usage.output_tokens).sum()
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..INSTANCES, 1u64..9).prop_map(|(index, tokens)| Step::Count(index, tokens)),
        3 => (0..INSTANCES).prop_map(Step::Flush),
        4 => (0usize..4, any::<bool>()).prop_map(|(flight, again)| Step::Land(flight, again)),
        1 => (0usize..4).prop_map(Step::Lose),
        4 => (0..INSTANCES).prop_map(Step::Read),
        1 => any::<bool>().prop_map(Step::Fix),
        1 => any::<bool>().prop_map(Step::Report),
    ]
}

fn apply(fold: &mut UsageState, record: &Record) {
    match record {
        Record::Count(index, sequence, figures) => {
            fold.apply_count(&holder(*index), *sequence, figures);
        }
        Record::Fixed(is_current, window) => {
            fold.apply_fixed(*is_current, *window);
        }
        Record::Reported(is_current, window) => {
            fold.apply_reported(*is_current, *window);
        }
    }
}

/// Tokens by window: each batch once, in the window during which it first came.
fn naive(log: &[Record]) -> BTreeMap<u64, u64> {
    let mut windows = BTreeMap::new();
    let mut batches = BTreeSet::new();
    let mut open = 0;
    for record in log {
        match record {
            Record::Count(index, sequence, figures) if batches.insert((*index, *sequence)) => {
                *windows.entry(open).or_insert(0) += total(figures);
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
    #[test]
    fn every_count_is_in_one_window(steps in prop::collection::vec(step(), 0..120)) {
        let mut meters: Vec<Meter> = (0..INSTANCES).map(|_| Meter::default()).collect();
        let mut cursors = [0; INSTANCES];
        let mut log: Vec<Record> = Vec::new();
        let mut flights: Vec<Record> = Vec::new();
        let mut fold = UsageState::default();
        let mut counted = 0;
        // What a reporter would send for a window, at whatever time.
        let mut reports: BTreeMap<u64, UsageTotals> = BTreeMap::new();
        for step in steps {
            let before = log.len();
            match step {
                Step::Count(index, tokens) => {
                    meters[index].count(&name("co-op"), usage(tokens));
                    counted += tokens;
                }
                Step::Flush(index) => {
                    if let Some(Batch { sequence, figures }) = meters[index].batch() {
                        flights.push(Record::Count(index, *sequence, figures.clone()));
                    }
                }
                Step::Land(flight, is_again) if flight < flights.len() => {
                    log.push(flights[flight].clone());
                    if !is_again {
                        flights.remove(flight);
                    }
                }
                Step::Lose(flight) if flight < flights.len() => drop(flights.remove(flight)),
                Step::Land(..) | Step::Lose(_) => {}
                Step::Read(index) => {
                    if let Some(Record::Count(from, sequence, _)) = log.get(cursors[index])
                        && *from == index
                    {
                        meters[index].on_read_back(*sequence);
                    }
                    cursors[index] = log.len().min(cursors[index] + 1);
                }
                Step::Fix(is_current) => log.push(Record::Fixed(is_current, fold.open_window())),
                Step::Report(is_current) => {
                    if let Some((window, _)) = fold.oldest_unreported() {
                        log.push(Record::Reported(is_current, window));
                    }
                }
            }
            for record in &log[before..] {
                apply(&mut fold, record);
            }
            for (window, figures) in fold.unreported() {
                let first = reports.entry(window).or_insert_with(|| figures.clone());
                prop_assert_eq!(&*first, figures, "a window changed");
            }
        }
        let expected = naive(&log);
        for (window, figures) in &reports {
            prop_assert_eq!(total(figures), expected[window]);
        }
        prop_assert_eq!(total(fold.open()), expected[&fold.open_window()]);
        // Nothing is lost while the instances live: one more flush of each settles the sum.
        for (index, meter) in meters.iter_mut().enumerate() {
            while let Some(Batch { sequence, figures }) = meter.batch().cloned() {
                apply(&mut fold, &Record::Count(index, sequence, figures));
                meter.on_read_back(sequence);
            }
        }
        let fixed: u64 = reports.values().map(total).sum();
        prop_assert_eq!(fixed + total(fold.open()), counted);
    }
}
