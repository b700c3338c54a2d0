//! Starts by window: sums that are written whole, and windows that are due.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_usage::{
    ClusterClock, StartCounters, StartWindows, WindowTimes, merge_max, sum_window,
};
use proptest::prelude::*;

const TIMES: WindowTimes = WindowTimes { window_ms: 5_000, settle_ms: 2_400, late_ms: 9_500 };

proptest! {
    /// Whatever writes and tellings are lost or come twice, what is stored and told adds up to what
    /// was counted: nothing is lost and nothing doubled.
    #[test]
    fn sums_are_what_was_counted(
        steps in prop::collection::vec((0usize..3, 0u64..4, 0usize..2, 0u8..5, any::<bool>()), 0..200)
    ) {
        let names: [Arc<str>; 2] = [Arc::from("alpha"), Arc::from("beta")];
        let keys: [Arc<str>; 3] = [Arc::from("one"), Arc::from("two"), Arc::from("three")];
        let mut books = vec![StartCounters::default(); 3];
        // What each instance knows that the next one has been told.
        let mut told = [0u64; 3];
        let mut stored: BTreeMap<Arc<str>, StartWindows> = BTreeMap::new();
        let mut naive: BTreeMap<(u64, Arc<str>), u64> = BTreeMap::new();
        for (instance, window, name, action, is_lost) in steps {
            match action {
                0..=2 => {
                    books[instance].count(&keys[instance], window, &names[name]);
                    *naive.entry((window, names[name].clone())).or_default() += 1;
                }
                3 => {
                    let taken = books[instance].take_changed();
                    // A write whose answer is lost may have been carried out.
                    for (key, windows) in taken.iter().filter(|_| !is_lost || name == 0) {
                        merge_max(stored.entry(key.clone()).or_default(), windows);
                    }
                    books[instance].on_write(!is_lost);
                    prop_assert_eq!(books[instance].has_failed(), is_lost);
                }
                _ => {
                    let changes = books[instance].version();
                    let news: Vec<_> = books[instance]
                        .changed_since(told[instance])
                        .map(|(key, windows)| (key.clone(), windows))
                        .collect();
                    let other = (instance + 1) % 3;
                    for (key, windows) in &news {
                        books[other].merge_peer(key, windows);
                        books[other].merge_peer(key, windows);
                    }
                    if !is_lost {
                        told[instance] = changes;
                    }
                }
            }
        }
        for book in &mut books {
            for (key, windows) in book.take_changed() {
                merge_max(stored.entry(key).or_default(), &windows);
            }
            book.on_write(true);
            prop_assert!(book.take_changed().is_empty());
        }
        for window in 0..4 {
            let sum = sum_window(window, stored.values());
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
    let mut book = StartCounters::default();
    let [name, key, old]: [Arc<str>; 3] = [Arc::from("alpha"), Arc::from("one"), Arc::from("old")];
    (0..10).for_each(|window| book.count(&key, window, &name));
    book.count(&old, 3, &name);
    book.forget_before(7);
    let taken = book.take_changed();
    let windows: Vec<(&str, Vec<u64>)> =
        taken.iter().map(|(key, windows)| (&**key, windows.keys().copied().collect())).collect();
    assert_eq!(windows, [("one", vec![7, 8, 9])]);
    book.on_write(true);
    assert!(book.take_changed().is_empty());
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
        let mut time = ClusterClock::new(1_000, 1_700_000_001_000);
        let before = time.now_ms(5_000);
        for ahead_ms in others_ahead_ms {
            time.on_estimate(5_000, before.saturating_add_signed(ahead_ms));
        }
        assert_eq!(time.now_ms(5_000), before.saturating_add_signed(moves_ms), "{name}");
    }
}
