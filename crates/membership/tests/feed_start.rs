//! How long an instance waits for a feed after its start before it reads the store itself.

use cowslip_membership::{FeedTimes, FeedTopology, Location};
use cowslip_name::Name;

const TIMES: FeedTimes = FeedTimes { max_age_ms: 1_000, hop_ms: 500, request_ms: 1_000 };

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Returns a location whose region and failure domain are the first letter of the instance's name.
fn location(instance: &str) -> Location {
    let letter = name(&instance[..1]);
    Location { region: letter.clone(), failure_domain: letter }
}

#[test]
fn an_instance_that_has_started_waits_for_sources_that_answer() {
    /// Result of an exchange with an instance.
    enum Outcome {
        Failed,
        /// The instance has not read the store and was not fed.
        Starting,
        Fed {
            age_ms: u64,
        },
    }
    use Outcome::{Failed, Fed, Starting};
    struct Case {
        name: &'static str,
        exchanges: &'static [(&'static str, Outcome)],
        reads_at_once: bool,
        reads_at_1_500_ms: bool,
        reads_at_6_000_ms: bool,
    }
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
            exchanges: &[("a0", Starting), ("a1", Starting)],
            reads_at_once: false,
            reads_at_1_500_ms: false,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "one source is lost",
            exchanges: &[("a0", Starting), ("a1", Failed)],
            reads_at_once: false,
            reads_at_1_500_ms: false,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "both sources are lost",
            exchanges: &[("a0", Failed), ("a1", Failed)],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "a source is lost after its answer",
            exchanges: &[("a0", Starting), ("a0", Failed)],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "no source, but another instance answers",
            exchanges: &[("b0", Starting)],
            reads_at_once: false,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
        Case {
            name: "a source was fed and is no longer",
            exchanges: &[("a0", Fed { age_ms: 0 }), ("a0", Starting)],
            reads_at_once: true,
            reads_at_1_500_ms: true,
            reads_at_6_000_ms: true,
        },
    ];
    for case in cases {
        let mut topology = FeedTopology::new(name("a3"), location("a3"), TIMES, 0);
        let live = ["a0", "a1", "a2", "a3", "b0", "b1"];
        topology.set_live_instances(live.map(|text| (name(text), location(text))));
        for (source, outcome) in case.exchanges {
            let source = name(source);
            match outcome {
                Failed => topology.on_feed_failed(&source),
                Starting => topology.on_feed_received(100, &source, None),
                Fed { age_ms } => topology.on_feed_received(100, &source, Some(*age_ms)),
            }
        }
        assert_eq!(topology.must_read_store(99), case.reads_at_once, "{}", case.name);
        assert_eq!(topology.must_read_store(1_500), case.reads_at_1_500_ms, "{}", case.name);
        assert_eq!(topology.must_read_store(6_000), case.reads_at_6_000_ms, "{}", case.name);
    }
}

#[test]
fn reads_after_a_failure_follow_the_present_role() {
    struct Case {
        name: &'static str,
        listed: &'static [&'static str],
        failures: u32,
        delay_ms: u64,
        is_hedged: bool,
    }
    let cases = [
        Case {
            name: "fed",
            listed: &["a0", "a1", "a2", "a3", "b0", "b1"],
            failures: 3,
            delay_ms: 6_400,
            is_hedged: false,
        },
        Case {
            name: "promoted to feeder",
            listed: &["a2", "a3", "b0", "b1"],
            failures: 3,
            delay_ms: 1_600,
            is_hedged: false,
        },
        Case {
            name: "promoted to reader",
            listed: &["a3", "b0", "b1"],
            failures: 3,
            delay_ms: 800,
            is_hedged: true,
        },
    ];
    let mut topology = FeedTopology::new(name("a3"), location("a3"), TIMES, 0);
    assert!(!topology.may_hold_back_instances());
    assert_eq!(topology.store_retry(3, 1_000).delay_ms, 1_600, "no list");
    topology.set_live_instances(cases[0].listed.iter().map(|text| (name(text), location(text))));
    assert!(topology.may_hold_back_instances());
    assert_eq!(topology.store_retry(3, 1_000).delay_ms, 1_600, "never fed");
    topology.on_feed_received(0, &name("a0"), Some(0));
    topology.on_feed_failed(&name("a0"));
    assert_eq!(topology.store_retry(3, 1_000).delay_ms, 1_600, "no source responds");
    topology.on_feed_received(0, &name("a0"), None);
    for case in cases {
        topology.set_live_instances(case.listed.iter().map(|text| (name(text), location(text))));
        let retry = topology.store_retry(case.failures, 1_000);
        assert_eq!(
            (retry.delay_ms, retry.is_hedged),
            (case.delay_ms, case.is_hedged),
            "{}",
            case.name
        );
    }
}
