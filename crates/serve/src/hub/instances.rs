//! The instances of the system, and the peers that this one exchanges feeds with.

use std::collections::BTreeMap;

use cowslip_era::StoreEra;
use cowslip_fleet::Locality;
use cowslip_membership::Location;
use cowslip_name::Name;
use cowslip_proto as proto;

use super::{Hub, Peer, SetPeers};
use crate::platform::Platform;

/// Age from which an instance's entry is ignored.
const ENTRY_TTL_MS: u64 = 120_000; // three times the interval at which instances write their entries
/// Most instances whose removal is remembered.
const MAX_DEPARTED: usize = 4_096;

/// The system's instances, read from their own entries or received from a feeder.
#[derive(Debug, Default)]
pub(super) struct Instances {
    entries: BTreeMap<Name, proto::InstanceEntry>,
    /// Incarnation that removed its entry, by instance. An older copy of the store lists it again.
    departed: BTreeMap<Name, u64>,
    /// Era of the newest list of the store.
    listed_era: StoreEra,
    /// Whether the store or a feeder has provided a list.
    is_known: bool,
    /// Number of all instances, if a feeder sent the list; `entries` then holds the feeders and the
    /// peers that have sent feed requests since.
    fed_count: Option<u32>,
    /// List that is sent to peers.
    list: Option<proto::FeederList>,
    /// Number of changes of `list`.
    version: u64,
}

impl Instances {
    /// Starts a complete list of the store, whose entries follow. Returns whether it is the first one
    /// of an era: that may lack instances which have yet to write their entries again, so the known
    /// ones are kept.
    pub(super) fn on_list(&mut self, era: StoreEra) -> bool {
        let is_copy = era > std::mem::replace(&mut self.listed_era, era);
        if !is_copy {
            self.entries.clear();
        }
        self.fed_count = None;
        self.is_known = true;
        is_copy
    }

    /// Applies an entry of the store. A copy may hold older entries of known instances, and those of
    /// departed ones.
    pub(super) fn on_stored_entry(&mut self, entry: proto::InstanceEntry, is_copy: bool) {
        let name = &entry.holder.instance;
        let is_departed = self.departed.get(name) == Some(&entry.holder.incarnation);
        let is_newer = |known: &proto::InstanceEntry| known.written_at_ms >= entry.written_at_ms;
        let is_older = is_copy && self.entries.get(name).is_some_and(is_newer);
        if !is_departed && !is_older {
            self.on_entry(entry);
        }
    }

    fn on_entry(&mut self, entry: proto::InstanceEntry) {
        self.entries.insert(entry.holder.instance.clone(), entry);
    }

    /// Adds a peer that sent a feed request and is not listed yet.
    pub(super) fn on_feed_request(&mut self, request: &proto::FeedRequest) {
        let name = &request.from.instance;
        let is_known = self.entries.get(name).is_some_and(|entry| entry.holder == request.from);
        if !is_known {
            self.on_entry(proto::InstanceEntry {
                holder: request.from.clone(),
                peer_address: request.peer_address.clone(),
                failure_domain: request.failure_domain.clone(),
                written_at_ms: request.true_ms,
            });
        }
    }

    pub(super) fn on_removed(&mut self, key: &str) {
        let Some(name) = self.entries.keys().find(|name| name.as_str() == key).cloned() else {
            return;
        };
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.clear();
        }
        if let Some(entry) = self.entries.remove(&name) {
            self.departed.insert(name, entry.holder.incarnation);
        }
    }

    fn apply_fed_list(&mut self, list: &proto::FeederList) {
        self.entries.clear();
        self.is_known = true;
        self.fed_count = Some(list.count);
        list.feeders.iter().cloned().for_each(|entry| self.on_entry(entry));
    }

    /// Returns whether the instances come from a feeder's list.
    pub(super) fn is_fed(&self) -> bool {
        self.fed_count.is_some()
    }

    /// Returns the number of instances, at least 1 since this one may not have an entry yet.
    pub(super) fn count(&self) -> usize {
        self.fed_count.map_or(self.entries.len(), |count| count as usize).max(1)
    }

    /// Returns the number of instances, if a list is known.
    pub(super) fn known_count(&self) -> Option<usize> {
        self.is_known.then(|| self.count())
    }

    /// Returns the entry of an instance that this one may exchange messages with.
    pub(super) fn entry(&self, name: &Name) -> Option<&proto::InstanceEntry> {
        self.entries.get(name)
    }

    /// Returns the version of the list that is sent to peers.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the list, if it is newer than `version`.
    pub(super) fn changed_since(&self, version: u64) -> Option<proto::FeederList> {
        self.list.clone().filter(|_| self.version > version)
    }

    fn live(&self, cluster_ms: u64) -> impl Iterator<Item = &proto::InstanceEntry> {
        let is_fed = self.is_fed();
        self.entries
            .values()
            .filter(move |entry| is_fed || entry.written_at_ms + ENTRY_TTL_MS > cluster_ms)
    }

    /// Replaces the list that is sent to peers if its count, holders or addresses differ.
    fn set_list(&mut self, list: proto::FeederList) {
        let identity = |list: &proto::FeederList| {
            let rows = list.feeders.iter();
            let rows = rows.map(|entry| (entry.holder.clone(), entry.peer_address.clone()));
            (list.count, rows.collect::<Vec<_>>())
        };
        if self.list.as_ref().map(identity) != Some(identity(&list)) {
            self.version += 1;
            self.list = Some(list);
        }
    }
}

/// Returns the location of a failure domain. A domain without a configured region counts as a
/// region of its own.
pub(super) fn location_in(locality: &Locality, failure_domain: Name) -> Location {
    let region =
        locality.regions.get(failure_domain.as_str()).and_then(|region| Name::new(region).ok());
    Location { region: region.unwrap_or_else(|| failure_domain.clone()), failure_domain }
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Applies the list of instances that a feeder sent.
    pub(super) fn on_instance_list(&mut self, list: &proto::FeederList) {
        self.instances.apply_fed_list(list);
        let locality = &self.config.locality;
        self.feed_topology.set_feeders(list.feeders.iter().map(|entry| {
            let location = location_in(locality, entry.failure_domain.clone());
            (entry.holder.instance.clone(), location.region)
        }));
    }

    /// Updates the list of feeders, and sends the link task its peers if these have changed.
    pub(super) fn update_links(&mut self) {
        let now_ms = self.clock.now_ms();
        let cluster_ms = self.cluster_ms();
        if self.instances.is_known && !self.instances.is_fed() {
            let locality = &self.config.locality;
            self.feed_topology.set_live_instances(self.instances.live(cluster_ms).map(|entry| {
                let location = location_in(locality, entry.failure_domain.clone());
                (entry.holder.instance.clone(), location)
            }));
            let feeders = self.feed_topology.feeders();
            let entries = &self.instances.entries;
            let list = proto::FeederList {
                count: u32::try_from(self.instances.live(cluster_ms).count()).unwrap_or(u32::MAX),
                feeders: feeders.filter_map(|name| entries.get(name).cloned()).collect(),
            };
            self.instances.set_list(list);
        }
        let feed_peers = self.feed_topology.feed_peers(now_ms, self.reads_store(now_ms));
        let peers: Vec<Peer> = feed_peers
            .iter()
            .filter_map(|name| self.instances.entries.get(name))
            // Addresses read from the store were checked; those sent by a peer may be malformed.
            .filter_map(|entry| {
                let address = entry.peer_address.parse().ok()?;
                Some(Peer { name: entry.holder.instance.clone(), address })
            })
            .collect();
        if peers == self.feed_peers {
            return;
        }
        self.metrics.peers.set(i64::try_from(peers.len()).unwrap_or(i64::MAX));
        // If the channel is full, the next tick sends the list again.
        if self.links.try_send(SetPeers { peers: peers.clone() }).is_ok() {
            self.feed_peers = peers;
        }
    }
}
