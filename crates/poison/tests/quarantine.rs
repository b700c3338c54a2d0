//! Checks which requests are quarantined, and what instances learn from each other.

use std::collections::BTreeSet;

use cowslip_name::Name;
use cowslip_poison::{
    Accused, LostUpstream, Quarantine, Refusal, RequestDigest, SegmentId, SuspectKey, SuspectLimits,
};
use proptest::prelude::*;

const LIMITS: SuspectLimits = SuspectLimits {
    losses: 3,
    min_span_ms: 500,
    hold_ms: 60_000,
    probe_after_ms: 10_000,
    capacity: 16,
};

const COMMON: SegmentId = 0xaa;
const DEADLY: SegmentId = 0xdead;
const RARE: SegmentId = 0xbb;
const LAST: SegmentId = 0xcc;

fn upstream(index: u64) -> LostUpstream {
    incarnation(index, 1)
}

fn incarnation(index: u64, started_at_ms: u64) -> LostUpstream {
    LostUpstream { name: Name::new(&format!("u{index}")).expect("a valid name"), started_at_ms }
}

/// Returns a request that no other request equals.
fn unique_request(segments: &[SegmentId]) -> Accused<'_> {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut request = [0; 32];
    request[..8].copy_from_slice(&NEXT.fetch_add(1, Ordering::Relaxed).to_le_bytes());
    Accused { request, segments }
}

fn is_refused(quarantine: &Quarantine, now_ms: u64, segments: &[SegmentId]) -> bool {
    quarantine.refusal(now_ms, &unique_request(segments)).is_some()
}

enum Step {
    /// An upstream with this index was lost while it served requests with these segments.
    Lost(u64, u64, &'static [&'static [SegmentId]]),
    Success(u64, &'static [SegmentId]),
}

use Step::{Lost, Success};

const WITH_DEADLY: &[SegmentId] = &[COMMON, DEADLY];
const WITH_RARE: &[SegmentId] = &[COMMON, RARE];

fn apply(quarantine: &mut Quarantine, steps: &[Step]) {
    for step in steps {
        match step {
            Lost(at_ms, index, requests) => requests.iter().for_each(|segments| {
                let accused = unique_request(segments);
                quarantine.on_upstream_lost(*at_ms, &accused, &upstream(*index));
            }),
            Success(at_ms, segments) => quarantine.on_success(*at_ms, &unique_request(segments)),
        }
    }
}

/// Prompts of which each case names the refused ones.
const PROMPTS: [&[SegmentId]; 5] =
    [WITH_DEADLY, WITH_RARE, &[COMMON, RARE, LAST], &[COMMON, DEADLY, LAST], &[DEADLY]];

struct Case {
    name: &'static str,
    steps: &'static [Step],
    now_ms: u64,
    refused: &'static [&'static [SegmentId]],
}

const CASES: &[Case] = &[
    Case {
        name: "two losses",
        steps: &[Lost(0, 1, &[WITH_DEADLY]), Lost(600, 2, &[WITH_DEADLY])],
        now_ms: 700,
        refused: &[],
    },
    Case {
        name: "three losses without any success: only both segments together",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 2, &[WITH_DEADLY]),
            Lost(900, 3, &[WITH_DEADLY]),
        ],
        now_ms: 1_000,
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST]],
    },
    Case {
        name: "three losses at once",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(10, 2, &[WITH_DEADLY]),
            Lost(20, 3, &[WITH_DEADLY]),
        ],
        now_ms: 1_000,
        refused: &[],
    },
    // Guards against refusals of sound requests (rule LOST): the deadly part seemed to be lost at one
    // moment only, and popular parts were blamed whose first loss a success contradicts.
    Case {
        name: "upstreams are lost at once and again, the first time just after a success",
        steps: &[
            Success(100, &[COMMON, RARE, LAST]),
            Lost(100, 1, &[&[COMMON, DEADLY, LAST]]),
            Lost(300, 2, &[&[COMMON, DEADLY, LAST]]),
            Lost(500, 3, &[&[COMMON, DEADLY, LAST]]),
            Lost(700, 2, &[&[COMMON, DEADLY, LAST]]),
            Lost(900, 1, &[&[COMMON, DEADLY, LAST]]),
        ],
        now_ms: 1_000,
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST], &[DEADLY]],
    },
    Case {
        name: "losses at once of a part that never succeeded explain those of one that has",
        steps: &[
            Success(0, WITH_RARE),
            Lost(100, 1, &[WITH_DEADLY]),
            Lost(110, 2, &[WITH_DEADLY]),
            Lost(120, 3, &[WITH_DEADLY]),
            Lost(800, 4, &[WITH_RARE]),
        ],
        now_ms: 900,
        refused: &[],
    },
    Case {
        name: "three losses at once, and one of them again",
        steps: &[
            Lost(0, 1, &[&[DEADLY]]),
            Lost(10, 2, &[&[DEADLY]]),
            Lost(20, 3, &[&[DEADLY]]),
            Lost(500, 3, &[&[DEADLY]]),
        ],
        now_ms: 1_000,
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST], &[DEADLY]],
    },
    Case {
        name: "one upstream lost three times in one incarnation",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 1, &[WITH_DEADLY]),
            Lost(900, 1, &[WITH_DEADLY]),
        ],
        now_ms: 1_000,
        refused: &[],
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
        refused: &[],
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
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST]],
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
        refused: &[
            WITH_DEADLY,
            WITH_RARE,
            &[COMMON, RARE, LAST],
            &[COMMON, DEADLY, LAST],
            &[DEADLY],
        ],
    },
    Case {
        name: "the time of the quarantine has passed",
        steps: &[
            Lost(0, 1, &[WITH_DEADLY]),
            Lost(600, 2, &[WITH_DEADLY]),
            Lost(900, 3, &[WITH_DEADLY]),
        ],
        now_ms: 60_900,
        refused: &[],
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
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST]],
    },
    Case {
        name: "the parts that have served requests before are not refused",
        steps: &[
            Success(0, &[COMMON, RARE, LAST]),
            Lost(100, 1, &[&[COMMON, DEADLY, LAST]]),
            Lost(400, 2, &[&[COMMON, DEADLY, LAST]]),
            Lost(700, 3, &[&[COMMON, DEADLY, LAST]]),
        ],
        now_ms: 800,
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST], &[DEADLY]],
    },
    Case {
        name: "parts that the losses do not tell apart are refused together only",
        steps: &[
            Lost(100, 1, &[&[COMMON, DEADLY, LAST]]),
            Lost(400, 2, &[&[COMMON, DEADLY, LAST]]),
            Lost(700, 3, &[&[COMMON, DEADLY, LAST]]),
        ],
        now_ms: 800,
        refused: &[&[COMMON, DEADLY, LAST]],
    },
    Case {
        name: "a popular part with more losses than the deadly one",
        steps: &[
            Success(0, WITH_RARE),
            Lost(100, 1, &[WITH_DEADLY]),
            Lost(400, 2, &[WITH_DEADLY]),
            Lost(500, 4, &[WITH_RARE]),
            Lost(700, 3, &[WITH_DEADLY]),
        ],
        now_ms: 800,
        refused: &[WITH_DEADLY, &[COMMON, DEADLY, LAST], &[DEADLY]],
    },
];

#[test]
fn only_requests_with_the_parts_that_explain_the_losses_are_refused() {
    for Case { name, steps, now_ms, refused } in CASES {
        let mut quarantine = Quarantine::new(LIMITS);
        apply(&mut quarantine, steps);
        let actual: Vec<&[SegmentId]> = PROMPTS
            .into_iter()
            .filter(|segments| is_refused(&quarantine, *now_ms, segments))
            .collect();
        assert_eq!(actual, *refused, "{name}");
    }
}

/// Crashes of upstreams that returned under their names were counted once.
#[test]
fn request_is_refused_after_three_lost_upstreams_without_a_success() {
    const REQUEST: Accused<'_> = Accused { request: [7; 32], segments: &[] };
    #[derive(Clone, Copy)]
    enum Event {
        Crash(u64, u64, u64),
        Served(u64),
    }
    use Event::{Crash, Served};
    struct Case {
        name: &'static str,
        /// A loss by time, upstream and start of the incarnation.
        steps: &'static [Event],
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "two upstreams lost",
            steps: &[Crash(0, 1, 1), Crash(0, 2, 1)],
            is_refused: false,
        },
        Case {
            name: "three upstreams lost, at once",
            steps: &[Crash(0, 1, 1), Crash(0, 2, 1), Crash(0, 3, 1)],
            is_refused: true,
        },
        Case {
            name: "one incarnation lost three times",
            steps: &[Crash(0, 1, 1), Crash(600, 1, 1), Crash(900, 1, 1)],
            is_refused: false,
        },
        Case {
            name: "two upstreams, one of them lost again after its return",
            steps: &[Crash(0, 1, 1), Crash(10, 2, 1), Crash(2_000, 1, 1_900)],
            is_refused: true,
        },
        Case {
            name: "a success between the losses",
            steps: &[Crash(0, 1, 1), Crash(0, 2, 1), Served(10), Crash(600, 3, 1)],
            is_refused: false,
        },
        Case {
            name: "losses after a success",
            steps: &[
                Crash(0, 1, 1),
                Served(10),
                Crash(20, 1, 1),
                Crash(300, 2, 1),
                Crash(600, 3, 1),
            ],
            is_refused: true,
        },
        Case {
            name: "losses at once of a request that has succeeded before",
            steps: &[Served(0), Crash(10, 1, 1), Crash(10, 2, 1), Crash(20, 3, 1)],
            is_refused: false,
        },
        Case {
            name: "a success before all losses",
            steps: &[Served(0), Crash(10, 1, 1), Crash(300, 2, 1), Crash(600, 3, 1)],
            is_refused: true,
        },
    ];
    for Case { name, steps, is_refused } in cases {
        let mut quarantine = Quarantine::new(LIMITS);
        for step in steps {
            match *step {
                Crash(at_ms, index, started_at_ms) => {
                    let lost = incarnation(index, started_at_ms);
                    quarantine.on_upstream_lost(at_ms, &REQUEST, &lost);
                }
                Served(at_ms) => quarantine.on_success(at_ms, &REQUEST),
            }
        }
        let refusal = quarantine.refusal(2_000, &REQUEST);
        assert_eq!(refusal.is_some(), is_refused, "{name}");
        assert_eq!(quarantine.refusal(70_000, &REQUEST), None, "{name}: it ends");
    }
}

/// Sends all changes of one instance to another, `delay_ms` after `now_ms`.
fn exchange(from: &Quarantine, to: &mut Quarantine, now_ms: u64, delay_ms: u64) {
    let changes = from.changes_since(now_ms, 0, usize::MAX);
    for (key, age_ms) in changes.cleared {
        to.on_success_of(now_ms + delay_ms, key, age_ms);
    }
    to.on_reports(now_ms + delay_ms, changes.reports);
}

#[test]
fn instances_merge_losses_and_successes_by_their_age() {
    let mut first = Quarantine::new(LIMITS);
    let mut second = Quarantine::new(LIMITS);
    apply(&mut first, &[Lost(0, 1, &[WITH_DEADLY]), Lost(700, 2, &[WITH_DEADLY])]);
    apply(&mut second, &[Lost(900, 3, &[WITH_DEADLY]), Success(950, &[COMMON])]);
    exchange(&first, &mut second, 1_000, 10);
    assert!(is_refused(&second, 1_010, &[DEADLY]));
    assert!(!is_refused(&second, 1_010, &[COMMON]));
    exchange(&second, &mut first, 1_020, 10);
    assert!(is_refused(&first, 1_030, &[DEADLY]));
    let reports = first.changes_since(1_030, 0, usize::MAX).reports;
    assert!(
        reports.iter().all(|report| report.key != SuspectKey::Segment(COMMON)),
        "the success of the second instance is newer than the losses"
    );
    let version = first.version();
    exchange(&second, &mut first, 1_040, 10);
    assert_eq!(first.version(), version, "a repeated exchange changes nothing");
}

/// An instance that had not served the sound parts itself refused them.
#[test]
fn instances_learn_which_parts_have_succeeded_before() {
    const WITH_LAST: &[SegmentId] = &[COMMON, DEADLY, LAST];
    let mut first = Quarantine::new(LIMITS);
    let mut second = Quarantine::new(LIMITS);
    apply(
        &mut first,
        &[Lost(0, 1, &[WITH_LAST]), Lost(300, 2, &[WITH_LAST]), Lost(600, 3, &[WITH_LAST])],
    );
    apply(&mut second, &[Success(0, &[COMMON, RARE, LAST])]);
    exchange(&first, &mut second, 700, 10);
    exchange(&second, &mut first, 710, 10);
    let only_deadly = BTreeSet::from([Refusal::Segments(vec![DEADLY])]);
    for quarantine in [&first, &second] {
        let by_segments: BTreeSet<Refusal> = quarantine
            .refusals()
            .iter()
            .filter(|refusal| matches!(refusal, Refusal::Segments(_)))
            .cloned()
            .collect();
        assert_eq!(by_segments, only_deadly);
    }
}

#[test]
fn losses_before_the_start_of_an_instance_keep_their_distance() {
    let mut first = Quarantine::new(LIMITS);
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
    let mut second = Quarantine::new(LIMITS);
    second.on_reports(100, first.changes_since(30_100, 0, usize::MAX).reports);
    assert!(is_refused(&second, 100, WITH_DEADLY));
    assert!(is_refused(&second, 50_899, WITH_DEADLY));
    assert!(!is_refused(&second, 50_900, WITH_DEADLY), "60 s after the last loss");
    let mut third = Quarantine::new(LIMITS);
    third.on_reports(100, first.refusal_reports(30_100));
    assert_eq!(third.refusals(), second.refusals(), "the stored part has the same effect");
}

#[test]
fn quarantines_are_probed_ever_more_rarely() {
    struct Case {
        at_ms: u64,
        is_probed: bool,
    }
    let mut quarantine = Quarantine::new(LIMITS);
    assert!(!quarantine.try_probe(0, &unique_request(WITH_DEADLY)), "nothing to probe");
    let losses =
        [Lost(0, 1, &[WITH_DEADLY]), Lost(600, 2, &[WITH_DEADLY]), Lost(1_000, 3, &[WITH_DEADLY])];
    apply(&mut quarantine, &losses);
    let cases = [
        Case { at_ms: 10_999, is_probed: false },
        Case { at_ms: 11_000, is_probed: true },
        Case { at_ms: 11_001, is_probed: false },
        Case { at_ms: 30_999, is_probed: false },
        Case { at_ms: 31_000, is_probed: true },
        Case { at_ms: 70_999, is_probed: false },
    ];
    for Case { at_ms, is_probed } in cases {
        let probed = quarantine.try_probe(at_ms, &unique_request(WITH_DEADLY));
        assert_eq!(probed, is_probed, "at {at_ms} ms");
    }
    apply(&mut quarantine, &[Lost(60_000, 4, &[WITH_DEADLY])]);
    let is_probed = quarantine.try_probe(99_999, &unique_request(WITH_DEADLY));
    assert!(!is_probed, "40 s after the newest loss");
    apply(&mut quarantine, &[Success(99_999, WITH_DEADLY)]);
    assert!(!is_refused(&quarantine, 99_999, WITH_DEADLY));
}

#[test]
fn changes_are_sent_in_parts_without_losing_any() {
    struct Case {
        name: &'static str,
        max_changes: usize,
        messages: usize,
    }
    let cases = [
        Case { name: "one message", max_changes: 12, messages: 1 },
        Case { name: "several messages", max_changes: 5, messages: 3 },
    ];
    let mut first = Quarantine::new(LIMITS);
    for number in 0..12_u8 {
        let accused = Accused { request: [number; 32], segments: &[] };
        first.on_upstream_lost(u64::from(number), &accused, &upstream(1));
    }
    for Case { name, max_changes, messages } in cases {
        let mut received: Vec<RequestDigest> = Vec::new();
        let mut version = 0;
        for _ in 0..messages {
            let changes = first.changes_since(100, version, max_changes);
            version = changes.version;
            received.extend(changes.reports.iter().map(|report| match report.key {
                SuspectKey::Request(digest) => digest,
                SuspectKey::Segment(_) => panic!("no segment is suspected"),
            }));
        }
        let expected: Vec<RequestDigest> = (0..12).map(|number| [number; 32]).collect();
        assert_eq!((received, version), (expected, first.version()), "{name}");
        assert_eq!(first.changes_since(100, version, max_changes).reports, [], "{name}");
    }
}

#[test]
fn refused_suspects_outlive_a_flood_of_others() {
    let mut quarantine = Quarantine::new(LIMITS);
    let refused = Accused { request: [255; 32], segments: &[] };
    for index in 0..3 {
        quarantine.on_upstream_lost(index, &refused, &upstream(index));
    }
    for number in 0..200_u8 {
        let accused = Accused { request: [number; 32], segments: &[] };
        quarantine.on_upstream_lost(100 + u64::from(number), &accused, &upstream(9));
    }
    assert!(quarantine.refusal(1_000, &refused).is_some());
    let gravest = quarantine.gravest_reports(1_000, 2);
    assert_eq!(gravest[0].key, SuspectKey::Request([255; 32]));
    assert_eq!(gravest[1].key, SuspectKey::Request([199; 32]), "the newest of the others");
}

proptest! {
    #[test]
    fn quarantine_agrees_with_a_naive_version(
        steps in prop::collection::vec((0u64..4, 1u64..400, 0u64..6), 0..60)
    ) {
        let mut quarantine = Quarantine::new(SuspectLimits { min_span_ms: 0, ..LIMITS });
        let mut now_ms = 0;
        let mut naive: Vec<(u64, u64)> = Vec::new();
        for (kind, elapsed_ms, index) in steps {
            now_ms += elapsed_ms;
            if kind == 0 {
                quarantine.on_success(now_ms, &unique_request(&[RARE]));
                naive.clear();
            } else {
                quarantine.on_upstream_lost(now_ms, &unique_request(&[RARE]), &upstream(index));
                if naive.iter().all(|(known, _)| *known != index) {
                    naive.push((index, now_ms));
                }
            }
            let newest_ms = naive.last().map_or(0, |(_, at_ms)| *at_ms);
            let expected = naive.len() >= LIMITS.losses && now_ms < newest_ms + LIMITS.hold_ms;
            prop_assert_eq!(is_refused(&quarantine, now_ms, &[RARE]), expected);
        }
    }

    /// A deadly part crashes each upstream that serves it, beside sound parts in any order.
    #[test]
    fn sound_requests_are_never_refused_and_crashes_are_bounded(
        prompts in prop::collection::vec(
            (prop::collection::btree_set(0u64..5, 1..4), any::<bool>()), 0..80
        )
    ) {
        const OTHER_PARTS: usize = 5;
        let mut quarantine = Quarantine::new(SuspectLimits { capacity: 512, ..LIMITS });
        let mut crash_count = 0;
        for (now_ms, (parts, is_deadly)) in (0..).step_by(300).zip(prompts) {
            let deadly = is_deadly.then_some(DEADLY);
            let segments: Vec<SegmentId> = parts.into_iter().chain(deadly).collect();
            let accused = unique_request(&segments);
            let is_refused = quarantine.refusal(now_ms, &accused).is_some();
            if is_deadly && !is_refused {
                crash_count += 1;
                quarantine.on_upstream_lost(now_ms, &accused, &upstream(now_ms));
            } else if !is_deadly {
                prop_assert!(!is_refused, "{segments:?} is sound");
                quarantine.on_success(now_ms, &accused);
            }
        }
        // Each further crash tells at least one part apart from the deadly one.
        prop_assert!(crash_count <= LIMITS.losses + OTHER_PARTS, "{crash_count} crashes");
    }

    #[test]
    fn kept_suspects_are_bounded(segments in prop::collection::vec(any::<u64>(), 0..100)) {
        let mut quarantine = Quarantine::new(LIMITS);
        for (at_ms, segment) in (0..).zip(&segments) {
            quarantine.on_upstream_lost(at_ms, &unique_request(&[*segment]), &upstream(at_ms));
        }
        let reports = quarantine.changes_since(1_000, 0, usize::MAX).reports;
        prop_assert!(reports.len() <= LIMITS.capacity);
    }
}

#[test]
fn upstreams_lost_with_a_request_are_known_until_its_next_success() {
    struct Case {
        name: &'static str,
        /// Losses by time, index and start of the upstream.
        losses: &'static [(u64, u64, u64)],
        success_ms: Option<u64>,
        known: &'static [(u64, u64)],
    }
    let cases = [
        Case { name: "none", losses: &[], success_ms: None, known: &[] },
        Case {
            name: "one upstream twice, and its next incarnation",
            losses: &[(0, 1, 1), (100, 1, 1), (200, 1, 2)],
            success_ms: None,
            known: &[(1, 1), (1, 2)],
        },
        Case {
            name: "a success between two losses",
            losses: &[(0, 1, 1), (200, 2, 1)],
            success_ms: Some(100),
            known: &[(2, 1)],
        },
    ];
    for Case { name, losses, success_ms, known } in cases {
        let mut quarantine = Quarantine::new(LIMITS);
        let accused = unique_request(&[]);
        for (at_ms, index, started_at_ms) in losses {
            quarantine.on_upstream_lost(*at_ms, &accused, &incarnation(*index, *started_at_ms));
        }
        if let Some(at_ms) = success_ms {
            quarantine.on_success(at_ms, &accused);
        }
        let lost: Vec<LostUpstream> = quarantine.lost_upstreams(accused.request).cloned().collect();
        let expected: Vec<LostUpstream> = known
            .iter()
            .map(|(index, started_at_ms)| incarnation(*index, *started_at_ms))
            .collect();
        assert_eq!(lost, expected, "{name}");
        let others = quarantine.lost_upstreams(unique_request(&[]).request).count();
        assert_eq!(others, 0, "{name}");
    }
}
