//! Checks that finalized counts of windows stay as they are, and which windows may be finalized.

use std::sync::Arc;

use cowslip_usage::{FinalizedWindows, StartCounts, WindowStanding, WindowTimes, window_standing};

const TIMES: WindowTimes = WindowTimes { window_ms: 100, settle_ms: 20, late_ms: 200 };

fn counts(starts: u64) -> StartCounts {
    StartCounts::from([(Arc::from("alpha"), starts)])
}

/// Windows with their counts of the workspace `alpha`.
type Windows = &'static [(u64, u64)];

fn rows<'a, I>(windows: I) -> Vec<(u64, u64)>
where
    I: Iterator<Item = (u64, &'a StartCounts)>,
{
    windows.map(|(window, counts)| (window, counts["alpha"])).collect()
}

#[test]
fn first_counts_of_a_window_are_kept() {
    struct Case {
        name: &'static str,
        inserted: Windows,
        forgotten_before: u64,
        kept: Windows,
        newest_two: Windows,
        /// Windows inserted after the first version.
        changed: Windows,
        version: u64,
    }
    let cases = [
        Case {
            name: "none",
            inserted: &[],
            forgotten_before: 0,
            kept: &[],
            newest_two: &[],
            changed: &[],
            version: 0,
        },
        Case {
            name: "one",
            inserted: &[(3, 10)],
            forgotten_before: 0,
            kept: &[(3, 10)],
            newest_two: &[(3, 10)],
            changed: &[],
            version: 1,
        },
        Case {
            name: "out of order",
            inserted: &[(5, 10), (3, 20), (4, 30)],
            forgotten_before: 0,
            kept: &[(3, 20), (4, 30), (5, 10)],
            newest_two: &[(4, 30), (5, 10)],
            changed: &[(3, 20), (4, 30)],
            version: 3,
        },
        Case {
            name: "other and equal counts of a known window",
            inserted: &[(3, 10), (4, 20), (3, 11), (4, 20), (3, 9)],
            forgotten_before: 0,
            kept: &[(3, 10), (4, 20)],
            newest_two: &[(3, 10), (4, 20)],
            changed: &[(4, 20)],
            version: 2,
        },
        Case {
            name: "earlier windows forgotten",
            inserted: &[(3, 10), (4, 20), (5, 30)],
            forgotten_before: 5,
            kept: &[(5, 30)],
            newest_two: &[(5, 30)],
            changed: &[(5, 30)],
            version: 3,
        },
        Case {
            name: "all windows forgotten",
            inserted: &[(3, 10), (4, 20)],
            forgotten_before: 9,
            kept: &[],
            newest_two: &[],
            changed: &[],
            version: 2,
        },
    ];
    for Case { name, inserted, forgotten_before, kept, newest_two, changed, version } in cases {
        let mut finalized = FinalizedWindows::default();
        for (window, starts) in inserted {
            let known = finalized.get(*window).cloned();
            finalized.insert(*window, counts(*starts));
            let expected = known.unwrap_or_else(|| counts(*starts));
            assert_eq!(finalized.get(*window), Some(&expected), "{name}");
        }
        finalized.forget_before(forgotten_before);
        assert_eq!(rows(finalized.changed_since(0)), kept, "{name}");
        assert_eq!(rows(finalized.newest(usize::MAX)), kept, "{name}");
        assert_eq!(rows(finalized.newest(2)), newest_two, "{name}");
        assert_eq!(rows(finalized.newest(0)), [], "{name}");
        assert_eq!(rows(finalized.changed_since(1)), changed, "{name}");
        assert_eq!(rows(finalized.changed_since(version)), [], "{name}");
        assert_eq!(finalized.version(), version, "{name}");
        for window in 0..10 {
            let expected = kept.iter().find(|(number, _)| *number == window);
            let expected = expected.map(|(_, starts)| counts(*starts));
            assert_eq!(finalized.get(window), expected.as_ref(), "{name}");
        }
    }
}

#[test]
fn counts_in_the_store_replace_those_of_peers() {
    struct Case {
        name: &'static str,
        inserted: Windows,
        stored: u64,
        version: u64,
    }
    let cases = [
        Case { name: "not known", inserted: &[], stored: 10, version: 1 },
        Case { name: "equal", inserted: &[(3, 10)], stored: 10, version: 1 },
        Case { name: "other counts", inserted: &[(3, 20)], stored: 10, version: 2 },
    ];
    for Case { name, inserted, stored, version } in cases {
        let mut finalized = FinalizedWindows::default();
        for (window, starts) in inserted {
            finalized.insert(*window, counts(*starts));
        }
        finalized.set_stored(3, counts(stored));
        finalized.insert(3, counts(30));
        assert_eq!(finalized.get(3), Some(&counts(stored)), "{name}");
        assert_eq!(rows(finalized.changed_since(version - 1)), [(3, stored)], "{name}");
        assert_eq!(finalized.version(), version, "{name}");
    }
}

#[test]
fn windows_that_may_have_been_reported_are_not_open() {
    struct Case {
        name: &'static str,
        window: u64,
        complete_since_ms: u64,
        standing: WindowStanding,
    }
    use WindowStanding::{MaybeReported, Open};
    // Window 0 is due at 120 ms, window 9 at 1020 ms.
    let cases = [
        Case { name: "always complete", window: 0, complete_since_ms: 0, standing: Open },
        Case { name: "due later", window: 9, complete_since_ms: 519, standing: Open },
        Case {
            name: "due within the spread of the clocks",
            window: 9,
            complete_since_ms: 520,
            standing: MaybeReported,
        },
        Case { name: "due before", window: 9, complete_since_ms: 9_000, standing: MaybeReported },
        Case { name: "the next window", window: 10, complete_since_ms: 520, standing: Open },
        Case { name: "the last number", window: u64::MAX, complete_since_ms: 1, standing: Open },
    ];
    for Case { name, window, complete_since_ms, standing } in cases {
        assert_eq!(window_standing(&TIMES, window, complete_since_ms), standing, "{name}");
    }
}
