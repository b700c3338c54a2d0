//! How long an instance waits for a feed after its start before it reads the store itself.

use cowslip_membership::{FeedTimes, FeedTopology, Location};
use cowslip_name::Name;

const TIMES: FeedTimes = FeedTimes { max_age_ms: 1_000, hop_ms: 500, request_ms: 1_000 };

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

#[test]
fn an_instance_that_has_started_waits_for_sources_that_answer() {
    /// An exchange with a source: the age that it stated, or `None` if it failed.
    type Exchange = (&'static str, Option<Option<u64>>);
    struct Case {
        name: &'static str,
        exchanges: &'static [Exchange],
        reads_at_once: bool,
        reads_at_1_500_ms: bool,
        reads_at_6_000_ms: bool,
    }
    const STARTING: Option<Option<u64>> = Some(None);
    const FAILED: Option<Option<u64>> = None;
    let cases = [
        Case {
            name: "no exchange",
            exchanges: &[],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "both sources start",
            exchanges: &[("a0", STARTING), ("a1", STARTING)],
            reads_at_once: false,
            reads_at_1_500_ms: false,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "one source is lost",
            exchanges: &[("a0", STARTING), ("a1", FAILED)],
            reads_at_once: false,
            reads_at_1_500_ms: false,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "both sources are lost",
            exchanges: &[("a0", FAILED), ("a1", FAILED)],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "a source is lost after its answer",
            exchanges: &[("a0", STARTING), ("a0", FAILED)],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "no source, but another instance answers",
            exchanges: &[("b0", STARTING)],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "a source was fed and is no longer",
            exchanges: &[("a0", Some(Some(0))), ("a0", STARTING)],
            reads_at_once: true,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
    ];
    for case in cases {
        let location = |text: &str| {
            let region = name(&text[..1]);
            Location { failure_domain: region.clone(), region }
        };
        let mut topology = FeedTopology::new(name("a3"), location("a3"), TIMES, 0);
        let live = ["a0", "a1", "a2", "a3", "b0", "b1"];
        topology.set_live_instances(live.map(|text| (name(text), location(text))));
        for (source, outcome) in case.exchanges {
            match outcome {
                Some(age_ms) => topology.on_feed_received(100, &name(source), *age_ms),
                None => topology.on_feed_failed(&name(source)),
            }
        }
        assert_eq!(topology.must_read_store(99), case.reads_at_once, "{}", case.name);
        assert_eq!(topology.must_read_store(1_500), case.reads_at_1_500_ms, "{}", case.name);
        assert_eq!(topology.must_read_store(6_000), case.reads_at_6_000_ms, "{}", case.name);
    }
}
