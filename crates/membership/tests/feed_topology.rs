//! Checks which instances read the store, and with which peers they exchange feeds.

use cowslip_membership::{
    FeedRole, FeedTimes, FeedTopology, Location, select_feeders, select_readers,
};
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

/// Returns the topology of an instance that has just started.
fn started(own_name: &str) -> FeedTopology {
    FeedTopology::new(name(own_name), location(own_name), TIMES, 0)
}

enum Step {
    /// Names of the live instances, as read from the store.
    Listed(&'static [&'static str]),
    /// Time of a feed, the instance that sent it, and the age of the read that it is based on.
    Fed(u64, &'static str, Option<u64>),
    /// Instance with which an exchange failed.
    Failed(&'static str),
    /// Time of a feed request, the instance that sent it, and whether its store reads succeed.
    Requested(u64, &'static str, bool),
    /// Names of the feeders that a peer sent.
    FeedersSet(&'static [&'static str]),
}

use Step::{Failed, Fed, FeedersSet, Listed, Requested};

/// Regions `a` to `c`: the feeders are those numbered 0 and 1, the readers `a0` and `b0`.
const ALL: Step = Listed(&["a0", "a1", "a2", "a3", "b0", "b1", "b2", "c0", "c1"]);

struct Case {
    name: &'static str,
    own_name: &'static str,
    steps: &'static [Step],
    at_ms: u64,
    reads_store: bool,
    role: FeedRole,
    must_read_store: bool,
    feed_peers: &'static [&'static str],
}

impl Case {
    fn check(&self) {
        let mut topology = started(self.own_name);
        for step in self.steps {
            match step {
                Listed(names) => {
                    let rows = names.iter().map(|text| (name(text), location(text)));
                    topology.set_live_instances(rows);
                }
                Fed(at_ms, by, age_ms) => topology.on_feed_received(*at_ms, &name(by), *age_ms),
                Failed(peer) => topology.on_feed_failed(&name(peer)),
                Requested(at_ms, by, reads) => topology.on_feed_request(*at_ms, &name(by), *reads),
                FeedersSet(names) => {
                    topology.set_feeders(names.iter().map(|text| (name(text), name(&text[..1]))));
                }
            }
        }
        assert_eq!(topology.role(), self.role, "{}", self.name);
        assert_eq!(topology.must_read_store(self.at_ms), self.must_read_store, "{}", self.name);
        let peers = topology.feed_peers(self.at_ms, self.reads_store);
        let peers: Vec<&str> = peers.iter().map(Name::as_str).collect();
        assert_eq!(peers, self.feed_peers, "{}", self.name);
    }
}

#[test]
fn readers_exchange_with_each_other_and_with_instances_that_send_no_request() {
    let cases = [
        Case {
            name: "a reader without any feed request",
            own_name: "a0",
            steps: &[ALL],
            at_ms: 0,
            reads_store: true,
            role: FeedRole::Reader,
            must_read_store: true,
            feed_peers: &["a1", "a2", "a3", "b0"],
        },
        Case {
            name: "a reader with requests from all instances assigned to it",
            own_name: "a0",
            steps: &[
                ALL,
                Requested(0, "a1", false),
                Requested(0, "a2", false),
                Requested(0, "a3", false),
            ],
            at_ms: 900,
            reads_store: true,
            role: FeedRole::Reader,
            must_read_store: true,
            feed_peers: &["b0"],
        },
        Case {
            name: "a reader with one expired request",
            own_name: "a0",
            steps: &[
                ALL,
                Requested(400, "a1", false),
                Requested(0, "a2", false),
                Requested(500, "a3", false),
            ],
            at_ms: 1_200,
            reads_store: true,
            role: FeedRole::Reader,
            must_read_store: true,
            feed_peers: &["a2", "b0"],
        },
        Case {
            name: "a reader whose reads fail exchanges with all feeders and a successful reader",
            own_name: "b0",
            steps: &[
                ALL,
                Requested(0, "a2", true),
                Requested(0, "a3", false),
                Requested(0, "b1", true),
                Requested(0, "b2", false),
            ],
            at_ms: 100,
            reads_store: false,
            role: FeedRole::Reader,
            must_read_store: true,
            feed_peers: &["a0", "a1", "a2", "b1", "c0", "c1"],
        },
        Case {
            name: "a fed reader still reads, so that the loss of the other one leaves no gap",
            own_name: "b0",
            steps: &[
                ALL,
                Requested(900, "b1", false),
                Requested(900, "b2", false),
                Fed(900, "a0", Some(0)),
            ],
            at_ms: 1_000,
            reads_store: true,
            role: FeedRole::Reader,
            must_read_store: true,
            feed_peers: &["a0"],
        },
    ];
    cases.iter().for_each(Case::check);
}

#[test]
fn feeder_reads_the_store_only_while_no_reader_feeds_it() {
    let cases = [
        Case {
            name: "started a moment ago",
            own_name: "c0",
            steps: &[ALL, Requested(900, "c1", false)],
            at_ms: 999,
            reads_store: false,
            role: FeedRole::Feeder,
            must_read_store: false,
            feed_peers: &["a0", "b0"],
        },
        Case {
            name: "not fed for as long as a read may be old",
            own_name: "c0",
            steps: &[ALL, Requested(900, "c1", false)],
            at_ms: 1_000,
            reads_store: true,
            role: FeedRole::Feeder,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c1"],
        },
        Case {
            name: "one reader is too far behind the store, the other is not",
            own_name: "c0",
            steps: &[
                ALL,
                Requested(1_900, "c1", false),
                Fed(2_000, "a0", Some(1_500)),
                Fed(2_000, "b0", Some(700)),
            ],
            at_ms: 2_299,
            reads_store: false,
            role: FeedRole::Feeder,
            must_read_store: false,
            feed_peers: &["a0", "b0"],
        },
        Case {
            name: "both readers are too far behind the store",
            own_name: "c0",
            steps: &[
                ALL,
                Requested(1_900, "c1", false),
                Fed(2_000, "a0", Some(1_500)),
                Fed(2_000, "b0", Some(700)),
            ],
            at_ms: 2_300,
            reads_store: true,
            role: FeedRole::Feeder,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c1"],
        },
        Case {
            name: "the exchange with one reader failed, and the other cannot read",
            own_name: "c0",
            steps: &[
                ALL,
                Requested(1_900, "c1", false),
                Fed(2_000, "a0", Some(0)),
                Fed(2_000, "b0", None),
                Failed("a0"),
            ],
            at_ms: 2_001,
            reads_store: false,
            role: FeedRole::Feeder,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c1"],
        },
        Case {
            name: "fed by a feeder that is no reader",
            own_name: "c0",
            steps: &[ALL, Requested(1_900, "c1", false), Fed(2_000, "c1", Some(0))],
            at_ms: 2_001,
            reads_store: true,
            role: FeedRole::Feeder,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c1"],
        },
    ];
    cases.iter().for_each(Case::check);
}

#[test]
fn instance_reads_the_store_unless_fed_by_a_feeder_of_its_region() {
    let cases = [
        Case {
            name: "knows no other instance yet",
            own_name: "a2",
            steps: &[],
            at_ms: 1_499,
            reads_store: false,
            role: FeedRole::Fed,
            must_read_store: false,
            feed_peers: &[],
        },
        Case {
            name: "cannot read and knows only an instance that sent it a request",
            own_name: "a2",
            steps: &[Requested(0, "a1", true)],
            at_ms: 100,
            reads_store: false,
            role: FeedRole::Fed,
            must_read_store: false,
            feed_peers: &["a1"],
        },
        Case {
            name: "not fed yet",
            own_name: "a2",
            steps: &[ALL],
            at_ms: 1_500,
            reads_store: true,
            role: FeedRole::Fed,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c0", "c1"],
        },
        Case {
            name: "fed by a feeder of its region",
            own_name: "a2",
            steps: &[ALL, Fed(100, "a1", Some(50))],
            at_ms: 1_549,
            reads_store: false,
            role: FeedRole::Fed,
            must_read_store: false,
            feed_peers: &["a0", "a1"],
        },
        Case {
            name: "the last feed is too old",
            own_name: "a2",
            steps: &[ALL, Fed(100, "a1", Some(50))],
            at_ms: 1_550,
            reads_store: true,
            role: FeedRole::Fed,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c0", "c1"],
        },
        Case {
            name: "the only feeder that fed it is lost",
            own_name: "a2",
            steps: &[ALL, Fed(100, "a1", Some(50)), Failed("a1")],
            at_ms: 101,
            reads_store: true,
            role: FeedRole::Fed,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c0", "c1"],
        },
        Case {
            name: "fed by a feeder of another region",
            own_name: "a2",
            steps: &[ALL, Fed(100, "b1", Some(0))],
            at_ms: 200,
            reads_store: true,
            role: FeedRole::Fed,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1", "c0", "c1"],
        },
        Case {
            name: "received a list of feeders with itself in it",
            own_name: "a2",
            steps: &[ALL, Fed(100, "a1", Some(0)), FeedersSet(&["a1", "a2", "b0"])],
            at_ms: 200,
            reads_store: true,
            role: FeedRole::Feeder,
            must_read_store: false,
            feed_peers: &["a0", "a1", "a3", "b0"],
        },
    ];
    cases.iter().for_each(Case::check);
}

#[test]
fn readers_are_spread_over_the_regions() {
    struct Readers {
        name: &'static str,
        listed: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let cases = [
        Readers { name: "no feeder", listed: &[], expected: &[] },
        Readers { name: "one region", listed: &["a2", "a1", "a3"], expected: &["a1", "a2"] },
        Readers {
            name: "three regions",
            listed: &["c1", "b2", "a3", "a4"],
            expected: &["a3", "b2"],
        },
    ];
    for Readers { name: case, listed, expected } in cases {
        let rows: Vec<(Name, Name)> =
            listed.iter().map(|text| (name(text), name(&text[..1]))).collect();
        let found = select_readers(rows.iter().map(|(name, region)| (name, region)));
        let found: Vec<&str> = found.into_iter().map(Name::as_str).collect();
        assert_eq!(found, expected, "{case}");
    }
}

#[test]
fn feeders_of_a_region_are_spread_over_its_failure_domains() {
    struct Region {
        name: &'static str,
        instances: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let cases = [
        Region { name: "no instance", instances: &[], expected: &[] },
        Region { name: "one instance", instances: &["a7"], expected: &["a7"] },
        Region {
            name: "one failure domain",
            instances: &["a3", "a1", "a2"],
            expected: &["a1", "a2"],
        },
        Region {
            name: "two failure domains",
            instances: &["a3", "a1", "b5", "b6"],
            expected: &["a1", "b5"],
        },
        Region {
            name: "an instance listed twice",
            instances: &["a1", "a1", "a2"],
            expected: &["a1", "a2"],
        },
    ];
    for Region { name: case, instances, expected } in cases {
        let rows: Vec<(Name, Location)> =
            instances.iter().map(|text| (name(text), location(text))).collect();
        let found =
            select_feeders(rows.iter().map(|(name, location)| (name, &location.failure_domain)));
        let found: Vec<&str> = found.into_iter().map(Name::as_str).collect();
        assert_eq!(found, expected, "{case}");
    }
}
