//! Starts by window: sums that are written whole, and windows that are due.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_usage::{StartCounter, TrueTime, WindowTimes, merge, total};
use proptest::prelude::*;

const TIMES: WindowTimes = WindowTimes { window_ms: 5_000, settle_ms: 2_400, late_ms: 9_500 };

proptest! {
    /// Whatever writes are lost or repeated, the newest ones add up to what was counted.
    #[test]
    fn sums_are_what_was_counted(
        steps in prop::collection::vec((0usize..3, 0u64..4, 0usize..2, any::<bool>(), any::<bool>()), 0..200)
    ) {
        let names: [Arc<str>; 2] = [Arc::from("alpha"), Arc::from("beta")];
        let mut counters = vec![StartCounter::default(); 3];
        let mut stored: BTreeMap<usize, BTreeMap<u64, BTreeMap<Arc<str>, u64>>> = BTreeMap::new();
        let mut naive: BTreeMap<(u64, Arc<str>), u64> = BTreeMap::new();
        for (instance, window, name, is_written, is_lost) in steps {
            counters[instance].count(window, &names[name]);
            *naive.entry((window, names[name].clone())).or_default() += 1;
            if is_written && let Some(windows) = counters[instance].take_changed().cloned() {
                counters[instance].on_write(!is_lost);
                if is_lost {
                    // Told by another way, and by that one twice.
                    let told = counters[instance].unwritten().cloned().unwrap_or_default();
                    let known = stored.entry(instance).or_default();
                    merge(known, &told);
                    merge(known, &told);
                } else {
                    merge(stored.entry(instance).or_default(), &windows);
                }
            }
        }
        for (instance, counter) in counters.iter_mut().enumerate() {
            if let Some(windows) = counter.take_changed() {
                stored.insert(instance, windows.clone());
            }
        }
        for window in 0..4 {
            let sum = total(window, stored.values());
            for name in &names {
                let expected = naive.get(&(window, name.clone())).copied().unwrap_or(0);
                prop_assert_eq!(sum.get(name).copied().unwrap_or(0), expected);
            }
        }
    }

    /// Every window is due from its end and the wait on, until it is late, and at no other time.
    #[test]
    fn windows_are_due_once_they_have_settled(true_ms in 100_000u64..10_000_000, window in 0u64..2_000) {
        let end_ms = (window + 1) * TIMES.window_ms;
        let is_due = end_ms + TIMES.settle_ms <= true_ms && true_ms <= end_ms + TIMES.late_ms;
        prop_assert_eq!(TIMES.due(true_ms).contains(&window), is_due);
    }
}

#[test]
fn windows_before_the_kept_ones_are_forgotten() {
    let mut counter = StartCounter::default();
    let name: Arc<str> = Arc::from("alpha");
    (0..10).for_each(|window| counter.count(window, &name));
    counter.forget_before(7);
    let windows: Vec<u64> = counter.take_changed().expect("changes").keys().copied().collect();
    assert_eq!(windows, [7, 8, 9]);
    assert_eq!(counter.take_changed(), None);
}

#[test]
fn a_machine_whose_time_was_wrong_follows_the_others() {
    struct Case {
        name: &'static str,
        others_ahead_ms: [i64; 9],
        moves_ms: i64,
    }
    let cases = [
        Case { name: "all agree", others_ahead_ms: [0, 3, -4, 20, 0, 1, -30, 12, 5], moves_ms: 0 },
        Case { name: "own is behind", others_ahead_ms: [2_000; 9], moves_ms: 2_000 },
        Case { name: "own is ahead", others_ahead_ms: [-2_000; 9], moves_ms: -2_000 },
        Case {
            name: "one other is wrong",
            others_ahead_ms: [5_000, 0, 0, 5_000, 0, 0, 5_000, 0, 0],
            moves_ms: 0,
        },
        Case {
            name: "far off numbers",
            others_ahead_ms: [0, i64::MAX / 4, 0, 0, 0, 0, -900, 0, 0],
            moves_ms: 0,
        },
    ];
    for Case { name, others_ahead_ms, moves_ms } in cases {
        let mut time = TrueTime::new(1_000, 1_700_000_001_000);
        let before = time.at(5_000);
        for ahead_ms in others_ahead_ms {
            time.on_estimate(5_000, before.saturating_add_signed(ahead_ms));
        }
        assert_eq!(time.at(5_000), before.saturating_add_signed(moves_ms), "{name}");
    }
}
