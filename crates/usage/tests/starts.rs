//! Checks that sums of started requests survive lost and duplicated messages, when windows are due,
//! and that the cluster time follows the peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_usage::{
    ClusterClock, StartCounters, StartWindows, WindowTimes, merge_max, sum_window,
};
use proptest::prelude::*;

const TIMES: WindowTimes = WindowTimes { window_ms: 5_000, settle_ms: 2_400, late_ms: 9_500 };

proptest! {
    /// Batches are bounded, and a peer that gets them has all sums in the end, whatever changes
    /// between them.
    #[test]
    fn batches_are_bounded_and_deliver_all_sums(
        steps in prop::collection::vec((0usize..3, 0u64..4, 0usize..2, any::<bool>()), 0..100)
    ) {
        const MAX_BYTES: usize = 20;
        let names: [Arc<str>; 2] = [Arc::from("alpha"), Arc::from("beta")];
        let keys: [Arc<str>; 3] = [Arc::from("one"), Arc::from("two"), Arc::from("three")];
        let (mut source, mut peer) = (StartCounters::default(), StartCounters::default());
        let mut sent_version = 0;
        let rest = (0..12).map(|_| (None, true));
        let steps = steps.into_iter().map(|(key, window, name, sends)| (Some((key, window, name)), sends));
        for (counted, sends) in steps.chain(rest) {
            if let Some((key, window, name)) = counted {
                source.count(&keys[key], window, &names[name]);
            }
            if sends {
                let (batch, version) = source.batch_since(sent_version, MAX_BYTES);
                // A window with both workspaces takes up to 30 bytes, and only one may exceed.
                prop_assert!(batch.values().map(BTreeMap::len).sum::<usize>() <= 2);
                prop_assert!(version >= sent_version);
                sent_version = version;
                for (key, windows) in &batch {
                    peer.merge_peer(key, windows);
                }
            }
        }
        prop_assert_eq!(sent_version, source.version());
        let sums = |counters: &StartCounters| -> BTreeMap<Arc<str>, StartWindows> {
            counters.changed_since(0).map(|(key, windows)| (key.clone(), windows)).collect()
        };
        prop_assert_eq!(sums(&peer), sums(&source));
    }

    /// Whichever writes and messages to peers are lost or arrive twice, the stored sums add up to
    /// the counted starts: none is lost and none counts twice.
    #[test]
    fn stored_sums_equal_counted_starts(
        steps in prop::collection::vec((0usize..3, 0u64..4, 0usize..2, 0u8..5, any::<bool>()), 0..200)
    ) {
        let names: [Arc<str>; 2] = [Arc::from("alpha"), Arc::from("beta")];
        let keys: [Arc<str>; 3] = [Arc::from("one"), Arc::from("two"), Arc::from("three")];
        let mut counters = vec![StartCounters::default(); 3];
        // Version up to which each instance has sent its changes to the next one.
        let mut sent_versions = [0u64; 3];
        let mut stored: BTreeMap<Arc<str>, StartWindows> = BTreeMap::new();
        let mut expected_starts: BTreeMap<(u64, Arc<str>), u64> = BTreeMap::new();
        for (instance, window, name, action, is_lost) in steps {
            match action {
                0..=2 => {
                    counters[instance].count(&keys[instance], window, &names[name]);
                    *expected_starts.entry((window, names[name].clone())).or_default() += 1;
                }
                3 => {
                    let taken = counters[instance].take_changed();
                    // A write whose reply is lost may have been carried out.
                    for (key, windows) in taken.iter().filter(|_| !is_lost || name == 0) {
                        merge_max(stored.entry(key.clone()).or_default(), windows);
                    }
                    counters[instance].on_write(!is_lost);
                    prop_assert_eq!(counters[instance].has_failed(), is_lost);
                }
                _ => {
                    let version = counters[instance].version();
                    let changes: Vec<_> = counters[instance]
                        .changed_since(sent_versions[instance])
                        .map(|(key, windows)| (key.clone(), windows))
                        .collect();
                    let receiver = (instance + 1) % 3;
                    for (key, windows) in &changes {
                        counters[receiver].merge_peer(key, windows);
                        counters[receiver].merge_peer(key, windows);
                    }
                    if !is_lost {
                        sent_versions[instance] = version;
                    }
                }
            }
        }
        for counter in &mut counters {
            for (key, windows) in counter.take_changed() {
                merge_max(stored.entry(key).or_default(), &windows);
            }
            counter.on_write(true);
            prop_assert!(counter.take_changed().is_empty());
        }
        for window in 0..4 {
            let sum = sum_window(window, stored.values());
            for name in &names {
                let expected = expected_starts.get(&(window, name.clone())).copied().unwrap_or(0);
                prop_assert_eq!(sum.get(name).copied().unwrap_or(0), expected);
            }
        }
    }

    /// A window is due from `settle_ms` until `late_ms` after its end, and at no other time.
    #[test]
    fn windows_are_due_once_settled_until_late(cluster_ms in 100_000u64..10_000_000, window in 0u64..2_000) {
        let end_ms = (window + 1) * TIMES.window_ms;
        let is_due = end_ms + TIMES.settle_ms <= cluster_ms && cluster_ms <= end_ms + TIMES.late_ms;
        prop_assert_eq!(TIMES.due(cluster_ms).contains(&window), is_due);
    }
}

#[test]
fn forget_before_drops_earlier_windows() {
    let mut counter = StartCounters::default();
    let [name, key, old]: [Arc<str>; 3] = [Arc::from("alpha"), Arc::from("one"), Arc::from("old")];
    (0..10).for_each(|window| counter.count(&key, window, &name));
    counter.count(&old, 3, &name);
    counter.forget_before(7);
    let taken = counter.take_changed();
    let windows: Vec<(&str, Vec<u64>)> =
        taken.iter().map(|(key, windows)| (&**key, windows.keys().copied().collect())).collect();
    assert_eq!(windows, [("one", vec![7, 8, 9])]);
    counter.on_write(true);
    assert!(counter.take_changed().is_empty());
}

#[test]
fn wrong_initial_time_is_corrected_by_the_median_of_the_peers() {
    struct Case {
        name: &'static str,
        peer_leads_ms: [i64; 9],
        correction_ms: i64,
    }
    let cases = [
        Case {
            name: "all peers agree",
            peer_leads_ms: [0, 3, -4, 20, 0, 1, -30, 12, 5],
            correction_ms: 0,
        },
        Case { name: "the local time is behind", peer_leads_ms: [2_000; 9], correction_ms: 2_000 },
        Case { name: "the local time is ahead", peer_leads_ms: [-2_000; 9], correction_ms: -2_000 },
        Case {
            name: "one peer in three is wrong",
            peer_leads_ms: [5_000, 0, 0, 5_000, 0, 0, 5_000, 0, 0],
            correction_ms: 0,
        },
        Case {
            name: "outliers",
            peer_leads_ms: [0, i64::MAX / 4, 0, 0, 0, 0, -900, 0, 0],
            correction_ms: 0,
        },
    ];
    for Case { name, peer_leads_ms, correction_ms } in cases {
        let mut clock = ClusterClock::new(1_000, 1_700_000_001_000);
        let before = clock.now_ms(5_000);
        for lead_ms in peer_leads_ms {
            clock.on_estimate(5_000, before.saturating_add_signed(lead_ms));
        }
        assert_eq!(clock.now_ms(5_000), before.saturating_add_signed(correction_ms), "{name}");
    }
}

#[test]
fn all_sums_are_written_again_after_a_restore() {
    struct Case {
        name: &'static str,
        /// Whether a write was under way when the sums became due again.
        is_writing: bool,
    }
    let cases = [
        Case { name: "between two writes", is_writing: false },
        Case { name: "during a write", is_writing: true },
    ];
    for case in cases {
        let mut counter = StartCounters::default();
        let [name, key]: [Arc<str>; 2] = [Arc::from("alpha"), Arc::from("one")];
        counter.count(&key, 3, &name);
        let all = counter.take_changed();
        counter.on_write(true);
        assert!(counter.take_changed().is_empty(), "{}", case.name);
        counter.rewrite();
        if case.is_writing {
            counter.on_write(true);
        }
        assert_eq!(counter.take_changed(), all, "{}", case.name);
    }
}
