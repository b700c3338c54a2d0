//! Ends of streams that a crash of their upstream may have caused.

use std::sync::Arc;

use cowslip_name::Name;
use cowslip_poison::{LostUpstream, UnprovenEnd, UnprovenEnds};

#[derive(Clone, Copy)]
enum Step {
    /// A stream ends at this time.
    End(u64),
    /// The upstream responds on a connection that it accepted at this time.
    Accepted(u64),
    OtherAccepted(u64),
    Refused,
    OtherRefused,
    /// A later incarnation has started at this time.
    Restarted(u64),
    Tick(u64),
}

use Step::{Accepted, End, OtherAccepted, OtherRefused, Refused, Restarted, Tick};

#[test]
fn ends_are_settled_by_what_the_upstream_does_next() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// Times of the settled ends, and whether the upstream was lost with them.
        settled: &'static [(u64, bool)],
    }
    let cases = [
        Case { name: "nothing yet", steps: &[End(0), Tick(2_999)], settled: &[] },
        Case { name: "nothing", steps: &[End(0), Tick(3_000)], settled: &[(0, false)] },
        Case { name: "refused", steps: &[End(0), Refused], settled: &[(0, true)] },
        Case { name: "refused twice", steps: &[End(0), Refused, Refused], settled: &[(0, true)] },
        Case {
            name: "refused after it accepted a connection",
            steps: &[End(0), Accepted(1), End(2), Refused],
            settled: &[(0, false), (2, true)],
        },
        Case {
            name: "refused after a response on an earlier connection",
            steps: &[End(1), Accepted(1), Refused],
            settled: &[(1, true)],
        },
        Case {
            name: "restarted, and only the next incarnation accepted a connection",
            steps: &[End(0), Accepted(900), Restarted(900)],
            settled: &[(0, true)],
        },
        Case {
            name: "restarted after it accepted a connection",
            steps: &[End(0), Accepted(899), Accepted(950), Restarted(900)],
            settled: &[(0, false)],
        },
        Case {
            name: "connections are reported out of order",
            steps: &[End(0), Accepted(950), Accepted(899), Restarted(900)],
            settled: &[(0, false)],
        },
        Case {
            name: "another upstream",
            steps: &[End(0), OtherAccepted(1), OtherRefused, Refused],
            settled: &[(0, true)],
        },
    ];
    for Case { name, steps, settled } in cases {
        let mut ends = UnprovenEnds::default();
        let mut found = Vec::new();
        for step in steps {
            match *step {
                End(at_ms) => found.extend(ends.on_end(end(at_ms))),
                Accepted(at_ms) => ends.on_accepted("up", at_ms),
                OtherAccepted(at_ms) => ends.on_accepted("other", at_ms),
                Refused => found.extend(ends.on_refused("up")),
                OtherRefused => found.extend(ends.on_refused("other")),
                Restarted(at_ms) => found.extend(ends.on_restarted("up", at_ms)),
                Tick(now_ms) => found.extend(ends.on_tick(now_ms)),
            }
        }
        let found: Vec<(u64, bool)> =
            found.iter().map(|settled| (settled.end.at_ms, settled.is_lost)).collect();
        assert_eq!(found, settled, "{name}");
    }
}

fn end(at_ms: u64) -> UnprovenEnd {
    UnprovenEnd {
        at_ms,
        attempt_id: Arc::from("a1"),
        request: [7; 32],
        segments: Arc::from([1]),
        upstream: LostUpstream { name: Name::new("up").expect("a valid name"), started_at_ms: 1 },
    }
}

#[test]
fn kept_ends_are_bounded() {
    const MAX_ENDS: usize = 4_096;
    let mut ends = UnprovenEnds::default();
    let settled: Vec<_> = (0..=MAX_ENDS).filter_map(|_| ends.on_end(end(0))).collect();
    assert_eq!(settled.iter().map(|settled| settled.is_lost).collect::<Vec<_>>(), [false]);
    assert_eq!(ends.on_refused("up").len(), MAX_ENDS);
    assert!(ends.on_end(end(0)).is_none(), "there is room again");
}
