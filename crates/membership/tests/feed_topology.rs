//! Who reads the store for whom.

use std::collections::BTreeSet;

use cowslip_membership::{FeedTopology, Location, assigned_feeders, select_feeders};
use cowslip_name::Name;
use proptest::prelude::*;

const FED_MS: u64 = 1_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Region and domain are the first letter.
fn place(instance: &str) -> Location {
    let letter = name(&instance[..1]);
    Location { region: letter.clone(), failure_domain: letter }
}

/// Instances `a0` to `a3` in region `a`, `b0` and `b1` in `b`, as `me` knows them.
fn feeding(me: &str) -> FeedTopology {
    let mut feeding = FeedTopology::new(name(me), place(me), FED_MS);
    feeding.set_live_instances(
        ["a0", "a1", "a2", "a3", "b0", "b1"].map(|text| (name(text), place(text))),
    );
    feeding
}

enum Step {
    Fed(u64, &'static str),
    Asked(u64, &'static str, bool),
    Told(&'static [&'static str]),
}

use Step::{Asked, Fed, Told};

struct Case {
    name: &'static str,
    me: &'static str,
    steps: &'static [Step],
    at_ms: u64,
    reads_store: bool,
    is_reader: bool,
    partners: &'static [&'static str],
}

impl Case {
    fn check(&self) {
        let mut feeding = feeding(self.me);
        for step in self.steps {
            match step {
                Fed(at_ms, by) => feeding.on_feed_received(*at_ms, &name(by)),
                Asked(at_ms, by, reads) => feeding.on_feed_request(*at_ms, &name(by), *reads),
                Told(names) => {
                    feeding.set_feeders(names.iter().map(|text| (name(text), name(&text[..1]))));
                }
            }
        }
        assert_eq!(feeding.must_read_store(self.at_ms), self.is_reader, "{}", self.name);
        let partners = feeding.feed_peers(self.at_ms, self.reads_store);
        let partners: Vec<&str> = partners.iter().map(Name::as_str).collect();
        assert_eq!(partners, self.partners, "{}", self.name);
    }
}

#[test]
fn feeders_go_to_each_other_and_to_those_who_may_know_nobody() {
    let cases = [
        Case {
            name: "a feeder, its neighbours not heard of",
            me: "a0",
            steps: &[],
            at_ms: 0,
            reads_store: true,
            is_reader: true,
            partners: &["a1", "a2", "a3", "b0", "b1"],
        },
        Case {
            name: "a feeder whose neighbours ask",
            me: "a1",
            steps: &[Asked(0, "a2", false), Asked(0, "a3", false)],
            at_ms: 900,
            reads_store: true,
            is_reader: true,
            partners: &["a0", "b0", "b1"],
        },
        Case {
            name: "a feeder whose neighbour has fallen silent",
            me: "a1",
            steps: &[Asked(0, "a2", false), Asked(500, "a3", false)],
            at_ms: 1_200,
            reads_store: true,
            is_reader: true,
            partners: &["a0", "a2", "b0", "b1"],
        },
        Case {
            name: "a feeder that is turned away goes to those that read",
            me: "b0",
            steps: &[Asked(0, "a2", true), Asked(0, "a3", false)],
            at_ms: 100,
            reads_store: false,
            is_reader: true,
            partners: &["a0", "a1", "a2", "b1"],
        },
    ];
    cases.iter().for_each(Case::check);
}

#[test]
fn an_instance_reads_unless_its_regions_feeders_tell_it() {
    let cases = [
        Case {
            name: "not fed yet",
            me: "a2",
            steps: &[],
            at_ms: 0,
            reads_store: true,
            is_reader: true,
            partners: &["a0", "a1", "b0", "b1"],
        },
        Case {
            name: "fed",
            me: "a2",
            steps: &[Fed(100, "a1")],
            at_ms: 1_000,
            reads_store: false,
            is_reader: false,
            partners: &["a0", "a1"],
        },
        Case {
            name: "fed too long ago",
            me: "a2",
            steps: &[Fed(100, "a1")],
            at_ms: 1_100,
            reads_store: true,
            is_reader: true,
            partners: &["a0", "a1", "b0", "b1"],
        },
        Case {
            name: "told by another region's feeder",
            me: "a2",
            steps: &[Fed(100, "b0")],
            at_ms: 200,
            reads_store: true,
            is_reader: true,
            partners: &["a0", "a1", "b0", "b1"],
        },
        Case {
            name: "told that it is a feeder now",
            me: "a2",
            steps: &[Fed(100, "a1"), Told(&["a1", "a2", "b0"])],
            at_ms: 200,
            reads_store: true,
            is_reader: true,
            partners: &["a0", "a1", "a3", "b0"],
        },
    ];
    cases.iter().for_each(Case::check);
}

#[test]
fn the_feeders_of_a_region_are_spread_over_its_domains() {
    struct Region {
        name: &'static str,
        instances: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let cases = [
        Region { name: "nobody", instances: &[], expected: &[] },
        Region { name: "one", instances: &["a7"], expected: &["a7"] },
        Region { name: "one domain", instances: &["a3", "a1", "a2"], expected: &["a1", "a2"] },
        Region { name: "two", instances: &["a3", "a1", "b5", "b6"], expected: &["a1", "b5"] },
        Region {
            name: "one is listed twice",
            instances: &["a1", "a1", "a2"],
            expected: &["a1", "a2"],
        },
    ];
    for Region { name: case, instances, expected } in cases {
        let rows: Vec<(Name, Location)> =
            instances.iter().map(|text| (name(text), place(text))).collect();
        let found = select_feeders(rows.iter().map(|(name, place)| (name, &place.failure_domain)));
        let found: Vec<&str> = found.into_iter().map(Name::as_str).collect();
        assert_eq!(found, expected, "{case}");
    }
}

/// Feeders of a region by picking one after the other: from the domain that has fewest so far.
fn naive_feeders(region: &[(Name, Name)]) -> BTreeSet<Name> {
    let wanted = region.len().div_ceil(32).max(2).min(region.len());
    let mut chosen: Vec<(Name, Name)> = Vec::new();
    while chosen.len() < wanted {
        let of_domain = |domain: &Name| chosen.iter().filter(|(_, other)| other == domain).count();
        let next = region.iter().filter(|row| !chosen.contains(row));
        let next = next.min_by_key(|(name, domain)| (of_domain(domain), domain, name));
        chosen.push(next.expect("enough are left").clone());
    }
    chosen.into_iter().map(|(name, _)| name).collect()
}

proptest! {
    /// All that have the same list agree on the feeders, and every change that a feeder knows can
    /// reach everyone: feeders go to each other, and the others to feeders of their region.
    #[test]
    fn changes_can_reach_everyone(rows in prop::collection::vec((0u8..2, 0u8..3), 1..100)) {
        let all: Vec<(Name, Location)> = rows
            .iter()
            .enumerate()
            .map(|(index, (region, domain))| {
                let place = Location { region: name(&format!("r{region}")), failure_domain: name(&format!("r{region}d{domain}")) };
                (name(&format!("i{index:02}")), place)
            })
            .collect();
        let of_region = |region: &Name| -> BTreeSet<Name> {
            let rows = all.iter().filter(|(_, place)| place.region == *region);
            naive_feeders(&rows.map(|(name, place)| (name.clone(), place.failure_domain.clone())).collect::<Vec<_>>())
        };
        let every: BTreeSet<Name> = ["r0", "r1"].iter().flat_map(|region| of_region(&name(region))).collect();
        for (me, place) in &all {
            let mut feeding = FeedTopology::new(me.clone(), place.clone(), FED_MS);
            feeding.set_live_instances(all.iter().cloned());
            prop_assert_eq!(feeding.feeders().cloned().collect::<BTreeSet<_>>(), every.clone());
            prop_assert_eq!(feeding.is_feeder(), every.contains(me));
            let own = of_region(&place.region);
            let mine: BTreeSet<Name> =
                assigned_feeders(me, &own.iter().collect::<Vec<_>>()).into_iter().cloned().collect();
            prop_assert!(mine.is_subset(&own) && mine.len() == own.len().min(2));
            for by in &own {
                feeding.on_feed_received(0, by);
            }
            let partners = feeding.feed_peers(0, true);
            prop_assert!(!partners.contains(me));
            if every.contains(me) {
                prop_assert!(every.iter().all(|other| other == me || partners.contains(other)));
                prop_assert!(feeding.must_read_store(0));
            } else {
                prop_assert_eq!(partners, mine);
                prop_assert!(!feeding.must_read_store(0));
                prop_assert!(feeding.must_read_store(FED_MS));
            }
        }
    }
}
