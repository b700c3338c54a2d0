//! The feed topology: which instances read the store, and how the others get what these have read.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_name::Name;

use crate::feeder_selection::{assigned_feeders, select_feeders, select_readers};
use crate::store_retry::{StoreRetry, store_retry_delay_ms};

/// Maximum number of instances with successful reads that an instance whose own reads fail adds to
/// its feed peers.
const MAX_EXTRA_FEEDERS: usize = 3; // one may fail, and the store may refuse the reads of another
/// Time after its start for which an instance waits for sources that answer but have not read the
/// store yet.
const START_WAIT_MS: u64 = 6_000; // a reader lists thousands of upstreams within seconds

/// Location of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Region, whose feeders feed the instance.
    pub region: Name,
    /// Failure domain; the feeders of a region are spread over its failure domains.
    pub failure_domain: Name,
}

/// Times of the feeds, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedTimes {
    /// Age from which on what a feeder got from a reader no longer counts as read.
    pub max_age_ms: u64,
    /// Time that one further hop may add to that age.
    pub hop_ms: u64,
    /// Time for which a feed request counts.
    pub request_ms: u64,
}

/// Part of an instance in the feed topology.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedRole {
    /// Reads the store for all instances.
    Reader,
    /// Is fed by the readers and feeds the instances of its region.
    Feeder,
    /// Is fed by feeders of its region.
    Fed,
}

/// The readers and feeders, and the recent feeds and feed requests, as one instance knows them.
///
/// Two readers in different regions read the store. They feed the feeders of each region with what
/// has changed, and these feed every other instance of their region. Each feed states the age of the
/// newest read that it is based on, so an instance knows how far it is behind the store however many
/// hops there are, and reads the store itself once all its sources are too far behind.
#[derive(Clone, Debug)]
pub struct FeedTopology {
    own_name: Name,
    location: Location,
    times: FeedTimes,
    started_at_ms: u64,
    /// Whether any peer has fed this instance since its start.
    has_been_fed: bool,
    /// Peers that have answered without any read of the store since this instance's start.
    answering: BTreeSet<Name>,
    /// Whether a list of instances or feeders is known.
    has_list: bool,
    /// Region of each feeder, for the feeders of all regions.
    feeders: BTreeMap<Name, Name>,
    readers: BTreeSet<Name>,
    /// For each peer whose last feed succeeded, the time at which the store was read for it.
    read_times_ms: BTreeMap<Name, u64>,
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
    /// Creates the topology of an instance that starts at `now_ms` and knows no other instance yet.
    #[must_use]
    pub fn new(own_name: Name, location: Location, times: FeedTimes, now_ms: u64) -> Self {
        Self {
            own_name,
            location,
            times,
            started_at_ms: now_ms,
            has_been_fed: false,
            answering: BTreeSet::new(),
            has_list: false,
            feeders: BTreeMap::new(),
            readers: BTreeSet::new(),
            read_times_ms: BTreeMap::new(),
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
        let feeders = regions.iter().flat_map(|(region, rows)| {
            let selected =
                select_feeders(rows.iter().map(|(name, failure_domain)| (name, failure_domain)));
            selected.into_iter().map(move |name| (name.clone(), region.clone()))
        });
        self.set_feeders(feeders);
    }

    /// Replaces the feeders with the given pairs of name and region, and selects the readers among
    /// them.
    pub fn set_feeders<I>(&mut self, feeders: I)
    where
        I: IntoIterator<Item = (Name, Name)>,
    {
        self.feeders = feeders.into_iter().collect();
        self.readers = select_readers(&self.feeders).into_iter().cloned().collect();
        self.has_list = true;
    }

    /// Records a feed from `from`. `age_ms` is the age of the newest read of the store that it is
    /// based on, `None` if there is no recent one.
    pub fn on_feed_received(&mut self, now_ms: u64, from: &Name, age_ms: Option<u64>) {
        if let Some(age_ms) = age_ms {
            self.has_been_fed = true;
            self.read_times_ms.insert(from.clone(), now_ms.saturating_sub(age_ms));
        } else {
            self.on_feed_failed(from);
            self.answering.insert(from.clone());
        }
    }

    /// Records that an exchange with `peer` failed, after which it no longer counts as a source.
    pub fn on_feed_failed(&mut self, peer: &Name) {
        self.read_times_ms.remove(peer);
        self.answering.remove(peer);
    }

    /// Records a feed request of `from`. `reads_store` is whether the requester's own reads of the
    /// store succeed.
    pub fn on_feed_request(&mut self, now_ms: u64, from: &Name, reads_store: bool) {
        let request_ms = self.times.request_ms;
        self.feed_requests.retain(|_, request| now_ms.saturating_sub(request.at_ms) < request_ms);
        self.feed_requests.insert(from.clone(), FeedRequest { at_ms: now_ms, reads_store });
    }

    /// Returns the feeders of all regions, in name order.
    pub fn feeders(&self) -> impl Iterator<Item = &Name> {
        self.feeders.keys()
    }

    /// Returns whether an instance is one of the readers.
    #[must_use]
    pub fn is_reader(&self, name: &Name) -> bool {
        self.readers.contains(name)
    }

    /// Returns the part of this instance. Without a list of instances it counts as fed.
    #[must_use]
    pub fn role(&self) -> FeedRole {
        if self.readers.contains(&self.own_name) {
            FeedRole::Reader
        } else if self.feeders.contains_key(&self.own_name) {
            FeedRole::Feeder
        } else {
            FeedRole::Fed
        }
    }

    /// Returns the time of the newest read of the store that this instance was fed, if a source
    /// feeds it.
    #[must_use]
    pub fn fed_read_at_ms(&self) -> Option<u64> {
        self.sources().filter_map(|name| self.read_times_ms.get(name)).max().copied()
    }

    /// Returns whether this instance has to read the store itself: it is a reader, or all its
    /// sources are too far behind the store. After its start, an instance first waits for a feed.
    #[must_use]
    pub fn must_read_store(&self, now_ms: u64) -> bool {
        let max_age_ms = match self.role() {
            FeedRole::Reader => return true,
            FeedRole::Feeder => self.times.max_age_ms,
            FeedRole::Fed => self.times.max_age_ms + self.times.hop_ms,
        };
        let read_at_ms = match self.fed_read_at_ms() {
            None if self.has_been_fed => return true,
            // If all read the store together after a start of the whole fleet, nobody gets it in
            // time.
            None if self.role() == FeedRole::Fed && self.has_answering_source() => {
                return now_ms.saturating_sub(self.started_at_ms) >= START_WAIT_MS;
            }
            None => self.started_at_ms,
            Some(read_at_ms) => read_at_ms,
        };
        now_ms.saturating_sub(read_at_ms) >= max_age_ms
    }

    /// Returns how this instance, in its present part, reads the store after the given number of
    /// consecutive failures, at least 1. `spread_permille` varies the delay as in
    /// [`store_retry_delay_ms`].
    #[must_use]
    pub fn store_retry(&self, failures: u32, spread_permille: u64) -> StoreRetry {
        let role = self.role();
        let delay_role = match role {
            // No peer tells it when the store is back.
            FeedRole::Fed if !self.has_list || !self.has_been_fed || !self.has_live_source() => {
                FeedRole::Feeder
            }
            FeedRole::Reader | FeedRole::Feeder | FeedRole::Fed => role,
        };
        StoreRetry {
            delay_ms: store_retry_delay_ms(delay_role, failures, spread_permille),
            is_hedged: role == FeedRole::Reader,
        }
    }

    /// Returns whether reads of the instances' entries may be held back until the store serves this
    /// instance again. Without a list of them, nobody knows who reads for whom.
    #[must_use]
    pub fn may_hold_back_instances(&self) -> bool {
        self.has_list
    }

    /// Returns whether this instance has to read the instances' entries itself. Feeders need all of
    /// them to find instances that know no feeder.
    #[must_use]
    pub fn must_read_instances(&self, now_ms: u64) -> bool {
        match self.role() {
            FeedRole::Reader | FeedRole::Feeder => true,
            FeedRole::Fed => !self.has_list || self.must_read_store(now_ms),
        }
    }

    /// Returns whether this instance needs the list of feeders from a peer.
    #[must_use]
    pub fn wants_feeders(&self, now_ms: u64) -> bool {
        !self.has_list || !self.must_read_instances(now_ms)
    }

    /// Returns the instances to exchange feeds with. `reads_store` is whether this instance's own
    /// reads of the store succeed.
    ///
    /// Every instance exchanges with its sources, readers with each other, and an instance that has
    /// no source with the feeders of all regions. Readers and feeders also exchange with the
    /// instances assigned to them that send no feed requests, because they may know no feeder. If an
    /// instance's reads fail although it must read the store, it also exchanges with instances whose
    /// reads succeed.
    #[must_use]
    pub fn feed_peers(&self, now_ms: u64, reads_store: bool) -> BTreeSet<Name> {
        let role = self.role();
        let has_own_reads = reads_store && role == FeedRole::Reader;
        let must_read_store = self.must_read_store(now_ms);
        let mut peers: BTreeSet<Name> = match role {
            _ if must_read_store && !has_own_reads => self.feeders.keys().cloned().collect(),
            FeedRole::Reader | FeedRole::Feeder => self.readers.clone(),
            FeedRole::Fed => self.sources().cloned().collect(),
        };
        if role != FeedRole::Fed {
            let region_feeders = self.region_feeders();
            let not_requesting = self.region_instances.iter().filter(|name| {
                !self.has_requested(now_ms, name)
                    && assigned_feeders(name, &region_feeders).contains(&&self.own_name)
            });
            peers.extend(not_requesting.cloned());
        }
        if (must_read_store || !self.has_list) && !reads_store {
            let successful_readers = self
                .feed_requests
                .iter()
                .filter(|(name, request)| request.reads_store && !peers.contains(*name))
                .map(|(name, _)| name.clone());
            let extra: Vec<Name> = successful_readers.take(MAX_EXTRA_FEEDERS).collect();
            peers.extend(extra);
        }
        peers.remove(&self.own_name);
        peers
    }

    /// Returns the peers whose feeds count for this instance.
    fn sources(&self) -> impl Iterator<Item = &Name> {
        let sources = match self.role() {
            FeedRole::Reader => Vec::new(),
            FeedRole::Feeder => self.readers.iter().collect(),
            FeedRole::Fed => assigned_feeders(&self.own_name, &self.region_feeders()),
        };
        sources.into_iter()
    }

    /// Returns whether the last exchange with any source succeeded.
    fn has_live_source(&self) -> bool {
        self.has_answering_source() || self.fed_read_at_ms().is_some()
    }

    fn has_answering_source(&self) -> bool {
        self.sources().any(|name| self.answering.contains(name))
    }

    fn has_requested(&self, now_ms: u64, name: &Name) -> bool {
        let request = self.feed_requests.get(name);
        request.is_some_and(|request| now_ms.saturating_sub(request.at_ms) < self.times.request_ms)
    }

    fn region_feeders(&self) -> Vec<&Name> {
        let in_region = self.feeders.iter().filter(|(_, region)| **region == self.location.region);
        in_region.map(|(name, _)| name).collect()
    }
}
