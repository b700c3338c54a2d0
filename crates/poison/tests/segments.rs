//! Checks which prompt segments are quarantined, and what instances learn from each other.

use cowslip_name::Name;
use cowslip_poison::{LostUpstream, SegmentId, SegmentLimits, SegmentSuspects};
use proptest::prelude::*;

const LIMITS: SegmentLimits = SegmentLimits {
    losses: 3,
    min_span_ms: 500,
    hold_ms: 60_000,
    probe_after_ms: 10_000,
    capacity: 8,
};

const COMMON: SegmentId = 0xaa;
const DEADLY: SegmentId = 0xdead;
const RARE: SegmentId = 0xbb;

fn upstream(index: u64) -> LostUpstream {
    let name = Name::new(&format!("u{index}")).expect("a valid name");
    LostUpstream { name, started_at_ms: 1 }
}

enum Step {
    /// An upstream with this index was lost while it served requests with these segments.
    Lost(u64, u64, &'static [&'static [SegmentId]]),
    Success(u64, &'static [SegmentId]),
}

use Step::{Lost, Success};

const WITH_DEADLY: &[SegmentId] = &[COMMON, DEADLY];
const WITH_RARE: &[SegmentId] = &[COMMON, RARE];

fn apply(suspects: &mut SegmentSuspects, steps: &[Step]) {
    for step in steps {
        match step {
            Lost(at_ms, index, requests) => requests.iter().for_each(|segments| {
                suspects.on_upstream_lost(*at_ms, segments, &upstream(*index));
            }),
            Success(at_ms, segments) => suspects.on_success(*at_ms, segments, 0),
        }
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    now_ms: u64,
    quarantined: &'static [SegmentId],
}

const CASES: &[Case] = &[
    Case {
        name: "two losses",
        steps: &[Lost(0, 1, &[WITH_DEADLY]), Lost(600, 2, &[WITH_DEADLY])],
        now_ms: 700,
        quarantined: &[],
    },
    Case {
        name: "three losses without any success: the last segment",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 2, &[WITH_DEADLY]),
            Lost(900, 3, &[WITH_DEADLY]),
        ],
        now_ms: 1_000,
        quarantined: &[DEADLY],
    },
    Case {
        name: "three losses at once",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(10, 2, &[WITH_DEADLY]),
            Lost(20, 3, &[WITH_DEADLY]),
        ],
        now_ms: 1_000,
        quarantined: &[],
    },
    Case {
        name: "one upstream lost three times in one incarnation",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 1, &[WITH_DEADLY]),
            Lost(900, 1, &[WITH_DEADLY]),
        ],
        now_ms: 1_000,
        quarantined: &[],
    },
    Case {
        name: "a success clears the segments of its request",
        steps: &[
            Lost(0, 1, &[WITH_RARE]),
            Lost(600, 2, &[WITH_RARE]),
            Lost(900, 3, &[WITH_RARE]),
            Success(950, WITH_RARE),
        ],
        now_ms: 1_000,
        quarantined: &[],
    },
    Case {
        name: "a sound request beside the deadly one at each loss",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY, WITH_RARE]),
            Lost(600, 2, &[WITH_DEADLY, WITH_RARE]),
            Lost(900, 3, &[WITH_DEADLY, WITH_RARE]),
            Lost(1_200, 4, &[WITH_DEADLY]),
        ],
        now_ms: 1_300,
        quarantined: &[DEADLY],
    },
    Case {
        name: "two deadly segments",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(300, 4, &[&[RARE]]),
            Lost(600, 2, &[WITH_DEADLY]),
            Lost(800, 5, &[&[RARE]]),
            Lost(900, 3, &[WITH_DEADLY]),
            Lost(950, 6, &[&[RARE]]),
            Success(960, &[COMMON]),
        ],
        now_ms: 1_000,
        quarantined: &[RARE, DEADLY],
    },
    Case {
        name: "the time of the quarantine has passed",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 2, &[WITH_DEADLY]),
            Lost(900, 3, &[WITH_DEADLY]),
        ],
        now_ms: 60_900,
        quarantined: &[],
    },
    Case {
        name: "one further loss after that",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 2, &[WITH_DEADLY]),
            Lost(900, 3, &[WITH_DEADLY]),
            Lost(61_000, 4, &[WITH_DEADLY]),
        ],
        now_ms: 61_001,
        quarantined: &[DEADLY],
    },
];

#[test]
fn only_the_segment_that_explains_the_losses_is_quarantined() {
    for Case { name, steps, now_ms, quarantined } in CASES {
        let mut suspects = SegmentSuspects::new(LIMITS);
        apply(&mut suspects, steps);
        let actual: Vec<SegmentId> = [COMMON, RARE, DEADLY]
            .into_iter()
            .filter(|segment| suspects.quarantined_segment(*now_ms, &[*segment]).is_some())
            .collect();
        assert_eq!(actual, *quarantined, "{name}");
    }
}

/// Sends all changes of one instance to another, `delay_ms` after `now_ms`.
fn exchange(from: &SegmentSuspects, to: &mut SegmentSuspects, now_ms: u64, delay_ms: u64) {
    for (segment, age_ms) in from.cleared_since(now_ms, 0).collect::<Vec<_>>() {
        to.on_success(now_ms + delay_ms, &[segment], age_ms);
    }
    to.on_reports(now_ms + delay_ms, from.changed_since(now_ms, 0));
}

#[test]
fn instances_merge_losses_and_successes_by_their_age() {
    let mut first = SegmentSuspects::new(LIMITS);
    let mut second = SegmentSuspects::new(LIMITS);
    apply(&mut first, &[Lost(0, 1, &[WITH_DEADLY]), Lost(700, 2, &[WITH_DEADLY])]);
    apply(&mut second, &[Lost(900, 3, &[WITH_DEADLY]), Success(950, &[COMMON])]);
    exchange(&first, &mut second, 1_000, 10);
    assert_eq!(second.quarantined_segment(1_010, WITH_DEADLY), Some(DEADLY));
    assert_eq!(second.quarantined_segment(1_010, &[COMMON]), None);
    exchange(&second, &mut first, 1_020, 10);
    assert_eq!(first.quarantined_segment(1_030, WITH_DEADLY), Some(DEADLY));
    assert!(
        first.changed_since(1_030, 0).iter().all(|report| report.segment != COMMON),
        "the success of the second instance is newer than the losses"
    );
    let version = first.version();
    exchange(&second, &mut first, 1_040, 10);
    assert_eq!(first.version(), version, "a repeated exchange changes nothing");
}

#[test]
fn losses_before_the_start_of_an_instance_keep_their_distance() {
    let mut first = SegmentSuspects::new(LIMITS);
    apply(
        &mut first,
        &[
            Lost(20_000, 1, &[WITH_DEADLY]),
            Lost(20_600, 2, &[WITH_DEADLY]),
            Lost(20_900, 3, &[WITH_DEADLY]),
            Lost(21_000, 4, &[WITH_RARE]),
            Success(21_100, WITH_RARE),
        ],
    );
    // The second instance starts at 30,000 by the clock of the first.
    let mut second = SegmentSuspects::new(LIMITS);
    second.on_reports(100, first.changed_since(30_100, 0));
    assert_eq!(second.quarantined_segment(100, WITH_DEADLY), Some(DEADLY));
    assert_eq!(second.quarantined_segment(50_899, WITH_DEADLY), Some(DEADLY));
    assert_eq!(second.quarantined_segment(50_900, WITH_DEADLY), None, "60 s after the last loss");
}

#[test]
fn quarantined_segments_are_probed_ever_more_rarely() {
    struct Case {
        at_ms: u64,
        is_probed: bool,
    }
    let mut suspects = SegmentSuspects::new(LIMITS);
    assert!(!suspects.try_probe(0, WITH_DEADLY), "nothing to probe");
    let losses =
        [Lost(0, 1, &[WITH_DEADLY]), Lost(600, 2, &[WITH_DEADLY]), Lost(1_000, 3, &[WITH_DEADLY])];
    apply(&mut suspects, &losses);
    let cases = [
        Case { at_ms: 10_999, is_probed: false },
        Case { at_ms: 11_000, is_probed: true },
        Case { at_ms: 11_001, is_probed: false },
        Case { at_ms: 30_999, is_probed: false },
        Case { at_ms: 31_000, is_probed: true },
        Case { at_ms: 70_999, is_probed: false },
    ];
    for Case { at_ms, is_probed } in cases {
        assert_eq!(suspects.try_probe(at_ms, WITH_DEADLY), is_probed, "at {at_ms} ms");
    }
    apply(&mut suspects, &[Lost(60_000, 4, &[WITH_DEADLY])]);
    assert!(!suspects.try_probe(99_999, WITH_DEADLY), "40 s after the newest loss");
    apply(&mut suspects, &[Success(99_999, WITH_DEADLY)]);
    assert_eq!(suspects.quarantined_segment(99_999, WITH_DEADLY), None);
}

proptest! {
    #[test]
    fn quarantine_agrees_with_a_naive_version(
        steps in prop::collection::vec((0u64..4, 1u64..400, 0u64..6), 0..60)
    ) {
        let mut suspects = SegmentSuspects::new(SegmentLimits { min_span_ms: 0, ..LIMITS });
        let mut now_ms = 0;
        let mut naive: Vec<(u64, u64)> = Vec::new();
        for (kind, elapsed_ms, index) in steps {
            now_ms += elapsed_ms;
            if kind == 0 {
                suspects.on_success(now_ms, &[RARE], 0);
                naive.clear();
            } else {
                suspects.on_upstream_lost(now_ms, &[RARE], &upstream(index));
                if naive.iter().all(|(known, _)| *known != index) {
                    naive.push((index, now_ms));
                }
            }
            let newest_ms = naive.last().map_or(0, |(_, at_ms)| *at_ms);
            let expected = naive.len() >= LIMITS.losses && now_ms < newest_ms + LIMITS.hold_ms;
            prop_assert_eq!(suspects.quarantined_segment(now_ms, &[RARE]).is_some(), expected);
        }
    }

    #[test]
    fn kept_suspects_are_bounded(segments in prop::collection::vec(any::<u64>(), 0..100)) {
        let mut suspects = SegmentSuspects::new(LIMITS);
        for (at_ms, segment) in (0..).zip(&segments) {
            suspects.on_upstream_lost(at_ms, &[*segment], &upstream(at_ms));
        }
        prop_assert!(suspects.changed_since(1_000, 0).len() <= LIMITS.capacity);
    }
}
