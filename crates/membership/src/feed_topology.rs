//! The feed topology: which instances read the store, and which they feed with what they read.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_name::Name;

use crate::feeder_selection::{assigned_feeders, select_feeders};

/// Maximum number of instances with successful reads that an instance whose own reads fail adds to
/// its feed peers.
const MAX_EXTRA_FEEDERS: usize = 3; // one may fail, and the store may refuse the reads of another

/// Location of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Region, whose feeders feed the instance.
    pub region: Name,
    /// Failure domain; the feeders of a region are spread over its failure domains.
    pub failure_domain: Name,
}

/// The feeders and the recent feeds and feed requests, as one instance knows them.
///
/// The feeders of each region read the store themselves. They feed every other instance of their
/// region with what has changed, and such an instance reads the store only while no feeder of its
/// region feeds it.
#[derive(Clone, Debug)]
pub struct FeedTopology {
    own_name: Name,
    location: Location,
    /// Time for which a feed or a feed request counts, in milliseconds.
    feed_timeout_ms: u64,
    /// Region of each feeder, for the feeders of all regions.
    feeders: BTreeMap<Name, Name>,
    /// Time of the newest feed from a feeder of the own region.
    last_fed_at_ms: Option<u64>,
    /// Live instances of the own region, this one included.
    region_instances: BTreeSet<Name>,
    /// Newest feed request of each instance.
    feed_requests: BTreeMap<Name, FeedRequest>,
}

#[derive(Clone, Copy, Debug)]
struct FeedRequest {
    at_ms: u64,
    reads_store: bool,
}

impl FeedTopology {
    /// Creates the topology of an instance that knows no other instance yet and is its own feeder.
    #[must_use]
    pub fn new(own_name: Name, location: Location, feed_timeout_ms: u64) -> Self {
        let feeders = BTreeMap::from([(own_name.clone(), location.region.clone())]);
        Self {
            own_name,
            location,
            feed_timeout_ms,
            feeders,
            last_fed_at_ms: None,
            region_instances: BTreeSet::new(),
            feed_requests: BTreeMap::new(),
        }
    }

    /// Selects the feeders of each region from all live instances. This instance counts as live
    /// whether or not it is listed.
    pub fn set_live_instances<I>(&mut self, live: I)
    where
        I: IntoIterator<Item = (Name, Location)>,
    {
        let mut regions: BTreeMap<Name, Vec<(Name, Name)>> = BTreeMap::new();
        let own_instance = (self.own_name.clone(), self.location.clone());
        for (name, location) in
            live.into_iter().filter(|(name, _)| *name != self.own_name).chain([own_instance])
        {
            regions.entry(location.region).or_default().push((name, location.failure_domain));
        }
        let region_rows = regions.get(&self.location.region).into_iter().flatten();
        self.region_instances = region_rows.map(|(name, _)| name.clone()).collect();
        self.feeders = regions
            .iter()
            .flat_map(|(region, rows)| {
                let selected = select_feeders(
                    rows.iter().map(|(name, failure_domain)| (name, failure_domain)),
                );
                selected.into_iter().map(move |name| (name.clone(), region.clone()))
            })
            .collect();
    }

    /// Replaces the feeders with the pairs of name and region that a peer has sent.
    pub fn set_feeders<I>(&mut self, feeders: I)
    where
        I: IntoIterator<Item = (Name, Name)>,
    {
        self.feeders = feeders.into_iter().collect();
    }

    /// Records a feed from `from`. Only feeders of the own region count.
    pub fn on_feed_received(&mut self, now_ms: u64, from: &Name) {
        if self.feeders.get(from) == Some(&self.location.region) {
            self.last_fed_at_ms = Some(now_ms);
        }
    }

    /// Records a feed request of `from`. `reads_store` is whether the requester's own reads of the
    /// store succeed.
    pub fn on_feed_request(&mut self, now_ms: u64, from: &Name, reads_store: bool) {
        let feed_timeout_ms = self.feed_timeout_ms;
        self.feed_requests
            .retain(|_, request| now_ms.saturating_sub(request.at_ms) < feed_timeout_ms);
        self.feed_requests.insert(from.clone(), FeedRequest { at_ms: now_ms, reads_store });
    }

    /// Returns the feeders of all regions, in name order.
    pub fn feeders(&self) -> impl Iterator<Item = &Name> {
        self.feeders.keys()
    }

    /// Returns whether this instance is a feeder.
    #[must_use]
    pub fn is_feeder(&self) -> bool {
        self.feeders.contains_key(&self.own_name)
    }

    /// Returns whether this instance has to read the store itself: it is a feeder, or no feeder of
    /// its region has fed it recently.
    #[must_use]
    pub fn must_read_store(&self, now_ms: u64) -> bool {
        let is_fed = self
            .last_fed_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < self.feed_timeout_ms);
        self.is_feeder() || !is_fed
    }

    /// Returns the instances to exchange feeds with. `reads_store` is whether this instance's own
    /// reads of the store succeed.
    ///
    /// An instance that is fed exchanges with the feeders assigned to it, and one that must read
    /// the store with the feeders of all regions. A feeder also exchanges with the instances
    /// assigned to it that send no feed requests, because they may know no feeder. If an instance's
    /// reads fail although it must read the store, it also exchanges with instances whose reads
    /// succeed.
    #[must_use]
    pub fn feed_peers(&self, now_ms: u64, reads_store: bool) -> BTreeSet<Name> {
        let must_read_store = self.must_read_store(now_ms);
        let region_feeders = self.region_feeders();
        let mut peers: BTreeSet<Name> = if must_read_store {
            self.feeders.keys().cloned().collect()
        } else {
            assigned_feeders(&self.own_name, &region_feeders).into_iter().cloned().collect()
        };
        let has_requested = |name: &&Name| {
            let request = self.feed_requests.get(*name);
            request
                .is_some_and(|request| now_ms.saturating_sub(request.at_ms) < self.feed_timeout_ms)
        };
        if self.is_feeder() {
            let not_requesting = self.region_instances.iter().filter(|name| {
                !has_requested(name)
                    && assigned_feeders(name, &region_feeders).contains(&&self.own_name)
            });
            peers.extend(not_requesting.cloned());
        }
        if must_read_store && !reads_store {
            let successful_readers =
                self.feed_requests.iter().filter(|(_, request)| request.reads_store);
            peers.extend(successful_readers.map(|(name, _)| name.clone()).take(MAX_EXTRA_FEEDERS));
        }
        peers.remove(&self.own_name);
        peers
    }

    fn region_feeders(&self) -> Vec<&Name> {
        let in_region = self.feeders.iter().filter(|(_, region)| **region == self.location.region);
        in_region.map(|(name, _)| name).collect()
    }
}
