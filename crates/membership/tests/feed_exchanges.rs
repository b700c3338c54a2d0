//! Plays feed exchanges and losses among the instances of one system.

use std::collections::BTreeSet;

use cowslip_membership::{FeedRole, FeedTimes, FeedTopology, Location, assigned_feeders};
use cowslip_name::Name;
use proptest::prelude::*;

const TIMES: FeedTimes = FeedTimes { max_age_ms: 1_000, hop_ms: 500, request_ms: 1_000 };

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
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

/// Instances of one system with a link from each to its feed peers, and the age of what they know.
struct System {
    topologies: Vec<(Name, FeedTopology)>,
}

impl System {
    /// Exchanges feeds over all links once, as `lost` instances neither send nor reply. Readers have
    /// just read the store.
    fn exchange(&mut self, now_ms: u64, lost: &BTreeSet<Name>) {
        let replies: Vec<(Name, Option<u64>)> = self
            .topologies
            .iter()
            .map(|(name, topology)| {
                let reads = topology.must_read_store(now_ms);
                let read_at_ms = reads.then_some(now_ms).max(topology.fed_read_at_ms());
                (name.clone(), read_at_ms.map(|at_ms| now_ms - at_ms))
            })
            .collect();
        for (name, topology) in &mut self.topologies {
            if lost.contains(name) {
                continue;
            }
            let reads_store = topology.must_read_store(now_ms);
            for peer in topology.feed_peers(now_ms, reads_store) {
                match replies.iter().find(|(other, _)| *other == peer && !lost.contains(other)) {
                    Some((_, age_ms)) => topology.on_feed_received(now_ms, &peer, *age_ms),
                    None => topology.on_feed_failed(&peer),
                }
            }
        }
    }

    fn readers(&self, now_ms: u64, lost: &BTreeSet<Name>) -> usize {
        let live = self.topologies.iter().filter(|(name, _)| !lost.contains(name));
        live.filter(|(_, topology)| topology.must_read_store(now_ms)).count()
    }
}

proptest! {
    /// Instances with the same list select the same feeders and readers. After a few exchanges only
    /// the readers read the store, and no instance is further behind it than the hops explain. After
    /// the loss of any instances the others are fed again or read themselves.
    #[test]
    fn only_readers_read_and_nobody_falls_behind(
        rows in prop::collection::vec((0u8..3, 0u8..3, prop::bool::weighted(0.3)), 1..100),
    ) {
        let all: Vec<(Name, Location)> = rows
            .iter()
            .enumerate()
            .map(|(index, (region, domain, _))| {
                let location = Location { region: name(&format!("r{region}")), failure_domain: name(&format!("r{region}d{domain}")) };
                (name(&format!("i{index:02}")), location)
            })
            .collect();
        let region_feeders = |region: &Name| -> BTreeSet<Name> {
            let rows = all.iter().filter(|(_, location)| location.region == *region);
            naive_feeders(&rows.map(|(name, location)| (name.clone(), location.failure_domain.clone())).collect::<Vec<_>>())
        };
        let all_feeders: BTreeSet<Name> = ["r0", "r1", "r2"].iter().flat_map(|region| region_feeders(&name(region))).collect();
        let mut system = System { topologies: Vec::new() };
        for (own_name, location) in &all {
            let mut topology = FeedTopology::new(own_name.clone(), location.clone(), TIMES, 0);
            topology.set_live_instances(all.iter().cloned());
            prop_assert_eq!(topology.feeders().cloned().collect::<BTreeSet<_>>(), all_feeders.clone());
            prop_assert_eq!(topology.role() != FeedRole::Fed, all_feeders.contains(own_name));
            let own_region_feeders = region_feeders(&location.region);
            let assigned: BTreeSet<Name> =
                assigned_feeders(own_name, &own_region_feeders.iter().collect::<Vec<_>>()).into_iter().cloned().collect();
            prop_assert!(assigned.is_subset(&own_region_feeders) && assigned.len() == own_region_feeders.len().min(2));
            prop_assert!(!topology.feed_peers(0, true).contains(own_name));
            system.topologies.push((own_name.clone(), topology));
        }
        let nobody = BTreeSet::new();
        for step in 1..=4 {
            system.exchange(step * 400, &nobody);
        }
        prop_assert_eq!(system.readers(1_600, &nobody), all.len().min(2));
        for (_, topology) in system.topologies.iter().filter(|(_, topology)| topology.role() != FeedRole::Reader) {
            // One hop is 400 ms here, and there are two at most.
            prop_assert!(topology.fed_read_at_ms().is_some_and(|at_ms| at_ms >= 800));
        }
        let lost: BTreeSet<Name> = all.iter().zip(&rows).filter(|(_, (_, _, is_lost))| *is_lost).map(|((name, _), _)| name.clone()).collect();
        for step in 5..=12 {
            system.exchange(step * 400, &lost);
        }
        for (own_name, topology) in system.topologies.iter().filter(|(name, _)| !lost.contains(name)) {
            let is_current = topology.must_read_store(4_800) || topology.fed_read_at_ms().is_some_and(|at_ms| at_ms >= 4_000);
            prop_assert!(is_current, "{own_name:?} knows only {:?}", topology.fed_read_at_ms());
        }
    }
}
