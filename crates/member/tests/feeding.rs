//! Who reads the store for whom.

use std::collections::BTreeSet;

use cowslip_member::{FEEDERS_PER_DOMAIN, Feeding};
use cowslip_name::Name;
use proptest::prelude::*;

const FED_MS: u64 = 1_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Instances `a0` to `a3` in domain `a`, `b0` and `b1` in `b`, as `me` knows them.
fn feeding(me: &str) -> Feeding {
    let all = ["a0", "a1", "a2", "a3", "b0", "b1"].map(|text| (name(text), name(&text[..1])));
    let mut feeding = Feeding::new(name(me), name(&me[..1]), FED_MS);
    feeding.on_instances(all.iter().map(|(name, domain)| (name, domain)));
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
                Fed(at_ms, by) => feeding.on_fed(*at_ms, &name(by)),
                Asked(at_ms, by, reads) => feeding.on_asked(*at_ms, &name(by), *reads),
                Told(names) => {
                    feeding.on_feeders(names.iter().map(|text| (name(text), name(&text[..1]))));
                }
            }
        }
        assert_eq!(feeding.is_reader(self.at_ms), self.is_reader, "{}", self.name);
        let partners = feeding.partners(self.at_ms, self.reads_store);
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
fn an_instance_reads_unless_its_domains_feeders_tell_it() {
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
            name: "told by another domain's feeder",
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

proptest! {
    /// Whoever is listed, all agree on the feeders; each domain has its first two, and every change
    /// that a feeder knows can reach everyone: feeders go to each other and the others to theirs.
    #[test]
    fn changes_can_reach_everyone(domains in prop::collection::vec(0u8..4, 1..30)) {
        let all: Vec<(Name, Name)> = domains
            .iter()
            .enumerate()
            .map(|(index, domain)| (name(&format!("i{index:02}")), name(&format!("d{domain}"))))
            .collect();
        let rows = || all.iter().map(|(name, domain)| (name, domain));
        let naive = |domain: &Name| -> Vec<&Name> {
            rows().filter(|(_, other)| *other == domain).map(|(name, _)| name).take(FEEDERS_PER_DOMAIN).collect()
        };
        let feeders: BTreeSet<&Name> = rows().flat_map(|(_, domain)| naive(domain)).collect();
        for (me, domain) in rows() {
            let mut feeding = Feeding::new(me.clone(), domain.clone(), FED_MS);
            feeding.on_instances(rows());
            prop_assert_eq!(feeding.feeders().collect::<BTreeSet<_>>(), feeders.clone());
            prop_assert_eq!(feeding.is_feeder(), feeders.contains(me));
            for by in naive(domain) {
                feeding.on_fed(0, by);
            }
            let partners = feeding.partners(0, true);
            prop_assert!(!partners.contains(me));
            if feeders.contains(me) {
                prop_assert!(feeders.iter().all(|other| *other == me || partners.contains(*other)));
                prop_assert!(feeding.is_reader(0));
            } else {
                prop_assert_eq!(partners.iter().collect::<Vec<_>>(), naive(domain));
                prop_assert!(!feeding.is_reader(0));
                prop_assert!(feeding.is_reader(FED_MS));
            }
        }
    }
}
