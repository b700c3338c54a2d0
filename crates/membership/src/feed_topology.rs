//! Who reads the store, and who tells whom what is in it.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_name::Name;

use crate::feeder_selection::{assigned_feeders, select_feeders};

/// Instances that read the store and feed one that cannot, beside the feeders.
const MAX_HELPERS: usize = 3; // one may be lost at any moment, and another be turned away next

/// Where an instance runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Its region.
    pub region: Name,
    /// Its failure domain.
    pub failure_domain: Name,
}

/// What an instance knows of those that read the store for others.
///
/// The feeders of each region read the store themselves. Every other instance is told by feeders of
/// its own region what has changed, and reads the store only while none of them tells it anything.
#[derive(Clone, Debug)]
pub struct FeedTopology {
    me: Name,
    location: Location,
    /// How long an answer of a feeder counts.
    fed_ms: u64,
    /// Feeders of all regions, with their regions.
    feeders: BTreeMap<Name, Name>,
    fed_at_ms: Option<u64>,
    /// The other instances of the own region.
    neighbours: BTreeSet<Name>,
    /// Instances that have asked lately.
    askers: BTreeMap<Name, Asker>,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    at_ms: u64,
    reads_store: bool,
}

impl FeedTopology {
    /// Knows nobody yet.
    #[must_use]
    pub fn new(me: Name, location: Location, fed_ms: u64) -> Self {
        let feeders = BTreeMap::from([(me.clone(), location.region.clone())]);
        Self {
            me,
            location,
            fed_ms,
            feeders,
            fed_at_ms: None,
            neighbours: BTreeSet::new(),
            askers: BTreeMap::new(),
        }
    }

    /// Takes all live instances; this one counts whether listed or not.
    pub fn set_live_instances<I>(&mut self, live: I)
    where
        I: IntoIterator<Item = (Name, Location)>,
    {
        let mut regions: BTreeMap<Name, Vec<(Name, Name)>> = BTreeMap::new();
        let own = (self.me.clone(), self.location.clone());
        for (name, location) in live.into_iter().filter(|(name, _)| *name != self.me).chain([own]) {
            regions.entry(location.region).or_default().push((name, location.failure_domain));
        }
        let own = regions.get(&self.location.region).into_iter().flatten();
        self.neighbours = own.map(|(name, _)| name.clone()).collect();
        self.feeders = regions
            .iter()
            .flat_map(|(region, rows)| {
                let chosen = select_feeders(rows.iter().map(|(name, domain)| (name, domain)));
                chosen.into_iter().map(move |name| (name.clone(), region.clone()))
            })
            .collect();
    }

    /// Takes the feeders, with their regions, as another instance has told them.
    pub fn set_feeders<I>(&mut self, told: I)
    where
        I: IntoIterator<Item = (Name, Name)>,
    {
        self.feeders = told.into_iter().collect();
    }

    /// An instance that reads the store has told all that it knows.
    pub fn on_feed_received(&mut self, now_ms: u64, by: &Name) {
        if self.feeders.get(by) == Some(&self.location.region) {
            self.fed_at_ms = Some(now_ms);
        }
    }

    /// An instance has asked; `reads_store` tells whether its own reads succeed.
    pub fn on_feed_request(&mut self, now_ms: u64, by: &Name, reads_store: bool) {
        let fed_ms = self.fed_ms;
        self.askers.retain(|_, asker| now_ms.saturating_sub(asker.at_ms) < fed_ms);
        self.askers.insert(by.clone(), Asker { at_ms: now_ms, reads_store });
    }

    /// The feeders of all regions.
    pub fn feeders(&self) -> impl Iterator<Item = &Name> {
        self.feeders.keys()
    }

    /// Whether this instance reads the store for others.
    #[must_use]
    pub fn is_feeder(&self) -> bool {
        self.feeders.contains_key(&self.me)
    }

    /// Whether this instance has to read the store itself.
    #[must_use]
    pub fn must_read_store(&self, now_ms: u64) -> bool {
        let is_fed = self.fed_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < self.fed_ms);
        self.is_feeder() || !is_fed
    }

    /// The instances to exchange with: feeders of the own region, or all feeders for one that is a
    /// feeder or is not fed; `reads_store` tells whether its own reads succeed.
    ///
    /// A feeder also goes to neighbours that do not ask, as they may know nobody, and one whose
    /// reads fail goes to instances whose reads do not.
    #[must_use]
    pub fn feed_peers(&self, now_ms: u64, reads_store: bool) -> BTreeSet<Name> {
        let must_read_store = self.must_read_store(now_ms);
        let own_feeders = self.own_feeders();
        let mut feed_peers: BTreeSet<Name> = if must_read_store {
            self.feeders.keys().cloned().collect()
        } else {
            assigned_feeders(&self.me, &own_feeders).into_iter().cloned().collect()
        };
        let is_heard = |name: &&Name| {
            let asker = self.askers.get(*name);
            asker.is_some_and(|asker| now_ms.saturating_sub(asker.at_ms) < self.fed_ms)
        };
        if self.is_feeder() {
            let fed = self.neighbours.iter().filter(|name| {
                !is_heard(name) && assigned_feeders(name, &own_feeders).contains(&&self.me)
            });
            feed_peers.extend(fed.cloned());
        }
        if must_read_store && !reads_store {
            let helpers = self.askers.iter().filter(|(_, asker)| asker.reads_store);
            feed_peers.extend(helpers.map(|(name, _)| name.clone()).take(MAX_HELPERS));
        }
        feed_peers.remove(&self.me);
        feed_peers
    }

    fn own_feeders(&self) -> Vec<&Name> {
        let own = self.feeders.iter().filter(|(_, region)| **region == self.location.region);
        own.map(|(name, _)| name).collect()
    }
}
