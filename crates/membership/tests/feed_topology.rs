//! Checks which instances read the store, and with which peers they exchange feeds.

use std::collections::BTreeSet;

use cowslip_membership::{FeedTopology, Location, assigned_feeders, select_feeders};
use cowslip_name::Name;
use proptest::prelude::*;

const FEED_TIMEOUT_MS: u64 = 1_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Returns a location whose region and failure domain are the first letter of the instance's name.
fn location(instance: &str) -> Location {
    let letter = name(&instance[..1]);
    Location { region: letter.clone(), failure_domain: letter }
}

/// Returns the topology as `own_name` knows it, with the instances `a0` to `a3` in region `a` and
/// `b0` and `b1` in region `b`.
fn topology(own_name: &str) -> FeedTopology {
    let mut topology = FeedTopology::new(name(own_name), location(own_name), FEED_TIMEOUT_MS);
    topology.set_live_instances(
        ["a0", "a1", "a2", "a3", "b0", "b1"].map(|text| (name(text), location(text))),
    );
    topology
}

enum Step {
    /// Time of a feed, and the instance that sent it.
    Fed(u64, &'static str),
    /// Time of a feed request, the instance that sent it, and whether its store reads succeed.
    Requested(u64, &'static str, bool),
    /// Names of the feeders that a peer sent.
    FeedersSet(&'static [&'static str]),
}

use Step::{Fed, FeedersSet, Requested};

struct Case {
    name: &'static str,
    own_name: &'static str,
    steps: &'static [Step],
    at_ms: u64,
    reads_store: bool,
    must_read_store: bool,
    feed_peers: &'static [&'static str],
}

impl Case {
    fn check(&self) {
        let mut topology = topology(self.own_name);
        for step in self.steps {
            match step {
                Fed(at_ms, by) => topology.on_feed_received(*at_ms, &name(by)),
                Requested(at_ms, by, reads) => topology.on_feed_request(*at_ms, &name(by), *reads),
                FeedersSet(names) => {
                    topology.set_feeders(names.iter().map(|text| (name(text), name(&text[..1]))));
                }
            }
        }
        assert_eq!(topology.must_read_store(self.at_ms), self.must_read_store, "{}", self.name);
        let peers = topology.feed_peers(self.at_ms, self.reads_store);
        let peers: Vec<&str> = peers.iter().map(Name::as_str).collect();
        assert_eq!(peers, self.feed_peers, "{}", self.name);
    }
}

#[test]
fn feeders_exchange_with_feeders_and_with_instances_that_send_no_request() {
    let cases = [
        Case {
            name: "a feeder without any feed request",
            own_name: "a0",
            steps: &[],
            at_ms: 0,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a1", "a2", "a3", "b0", "b1"],
        },
        Case {
            name: "a feeder with requests from all instances assigned to it",
            own_name: "a1",
            steps: &[Requested(0, "a2", false), Requested(0, "a3", false)],
            at_ms: 900,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a0", "b0", "b1"],
        },
        Case {
            name: "a feeder with one expired request",
            own_name: "a1",
            steps: &[Requested(0, "a2", false), Requested(500, "a3", false)],
            at_ms: 1_200,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a0", "a2", "b0", "b1"],
        },
        Case {
            name: "a feeder whose reads fail adds an instance whose reads succeed",
            own_name: "b0",
            steps: &[Requested(0, "a2", true), Requested(0, "a3", false)],
            at_ms: 100,
            reads_store: false,
            must_read_store: true,
            feed_peers: &["a0", "a1", "a2", "b1"],
        },
    ];
    cases.iter().for_each(Case::check);
}

#[test]
fn instance_reads_the_store_unless_fed_by_a_feeder_of_its_region() {
    let cases = [
        Case {
            name: "not fed yet",
            own_name: "a2",
            steps: &[],
            at_ms: 0,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1"],
        },
        Case {
            name: "fed by a feeder of its region",
            own_name: "a2",
            steps: &[Fed(100, "a1")],
            at_ms: 1_000,
            reads_store: false,
            must_read_store: false,
            feed_peers: &["a0", "a1"],
        },
        Case {
            name: "the last feed has expired",
            own_name: "a2",
            steps: &[Fed(100, "a1")],
            at_ms: 1_100,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1"],
        },
        Case {
            name: "fed by a feeder of another region",
            own_name: "a2",
            steps: &[Fed(100, "b0")],
            at_ms: 200,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a0", "a1", "b0", "b1"],
        },
        Case {
            name: "received a list of feeders with itself in it",
            own_name: "a2",
            steps: &[Fed(100, "a1"), FeedersSet(&["a1", "a2", "b0"])],
            at_ms: 200,
            reads_store: true,
            must_read_store: true,
            feed_peers: &["a0", "a1", "a3", "b0"],
        },
    ];
    cases.iter().for_each(Case::check);
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

/// Selects a region's feeders one at a time, each from the failure domain with the fewest so far.
fn naive_feeders(region: &[(Name, Name)]) -> BTreeSet<Name> {
    let feeder_count = region.len().div_ceil(32).max(2).min(region.len());
    let mut selected: Vec<(Name, Name)> = Vec::new();
    while selected.len() < feeder_count {
        let count_selected_in =
            |domain: &Name| selected.iter().filter(|(_, other)| other == domain).count();
        let next = region.iter().filter(|row| !selected.contains(row));
        let next = next.min_by_key(|(name, domain)| (count_selected_in(domain), domain, name));
        selected.push(next.expect("enough are left").clone());
    }
    selected.into_iter().map(|(name, _)| name).collect()
}

proptest! {
    /// Instances with the same list select the same feeders, and a change that any feeder knows can
    /// reach every instance: feeders exchange with all feeders, every other instance with feeders
    /// of its region.
    #[test]
    fn changes_can_reach_every_instance(rows in prop::collection::vec((0u8..2, 0u8..3), 1..100)) {
        let all: Vec<(Name, Location)> = rows
            .iter()
            .enumerate()
            .map(|(index, (region, domain))| {
                let location = Location { region: name(&format!("r{region}")), failure_domain: name(&format!("r{region}d{domain}")) };
                (name(&format!("i{index:02}")), location)
            })
            .collect();
        let region_feeders = |region: &Name| -> BTreeSet<Name> {
            let rows = all.iter().filter(|(_, location)| location.region == *region);
            naive_feeders(&rows.map(|(name, location)| (name.clone(), location.failure_domain.clone())).collect::<Vec<_>>())
        };
        let all_feeders: BTreeSet<Name> = ["r0", "r1"].iter().flat_map(|region| region_feeders(&name(region))).collect();
        for (own_name, location) in &all {
            let mut topology = FeedTopology::new(own_name.clone(), location.clone(), FEED_TIMEOUT_MS);
            topology.set_live_instances(all.iter().cloned());
            prop_assert_eq!(topology.feeders().cloned().collect::<BTreeSet<_>>(), all_feeders.clone());
            prop_assert_eq!(topology.is_feeder(), all_feeders.contains(own_name));
            let own_region_feeders = region_feeders(&location.region);
            let assigned: BTreeSet<Name> =
                assigned_feeders(own_name, &own_region_feeders.iter().collect::<Vec<_>>()).into_iter().cloned().collect();
            prop_assert!(assigned.is_subset(&own_region_feeders) && assigned.len() == own_region_feeders.len().min(2));
            for feeder in &own_region_feeders {
                topology.on_feed_received(0, feeder);
            }
            let peers = topology.feed_peers(0, true);
            prop_assert!(!peers.contains(own_name));
            if all_feeders.contains(own_name) {
                prop_assert!(all_feeders.iter().all(|other| other == own_name || peers.contains(other)));
                prop_assert!(topology.must_read_store(0));
            } else {
                prop_assert_eq!(peers, assigned);
                prop_assert!(!topology.must_read_store(0));
                prop_assert!(topology.must_read_store(FEED_TIMEOUT_MS));
            }
        }
    }
}
