//! How instances know of each other.

use std::collections::BTreeMap;

use cowslip_fleet::Locality;
use cowslip_membership::Location;
use cowslip_name::Name;
use cowslip_proto as proto;

use super::{Hub, LinkCommand, Peer};
use crate::platform::Platform;

/// Entries of instances that were not written again for this long are ignored.
const ENTRY_LIFE_MS: u64 = 60_000; // three times the interval between writes

/// The system's instances, as their own entries or a feeder say.
#[derive(Debug, Default)]
pub(super) struct Instances {
    entries: BTreeMap<Name, proto::InstanceEntry>,
    /// Number of all instances as a feeder has told it; `entries` are then the feeders' only.
    told_count: Option<u32>,
    /// What others are told.
    list: Option<proto::FeederList>,
    changes: u64,
}

impl Instances {
    pub(super) fn begin_list(&mut self) {
        self.entries.clear();
        self.told_count = None;
    }

    pub(super) fn on_entry(&mut self, entry: proto::InstanceEntry) {
        self.entries.insert(entry.holder.instance.clone(), entry);
    }

    /// Takes note of an instance that asks and was not known.
    pub(super) fn on_asker(&mut self, request: &proto::FeedRequest) {
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
        self.entries.retain(|name, _| name.as_str() != key);
    }

    fn on_told(&mut self, list: &proto::FeederList) {
        self.begin_list();
        self.told_count = Some(list.count);
        list.feeders.iter().cloned().for_each(|entry| self.on_entry(entry));
    }

    /// Whether a feeder has told them.
    pub(super) fn is_told(&self) -> bool {
        self.told_count.is_some()
    }

    /// Number of instances, this one included whether it has an entry or not.
    pub(super) fn count(&self) -> usize {
        self.told_count.map_or(self.entries.len(), |count| count as usize).max(1)
    }

    /// Number of the newest change of the list that others are told.
    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// The list, if it changed after this change.
    pub(super) fn changed_after(&self, change: u64) -> Option<proto::FeederList> {
        self.list.clone().filter(|_| self.changes > change)
    }

    fn live(&self, true_ms: u64) -> impl Iterator<Item = &proto::InstanceEntry> {
        let is_told = self.is_told();
        self.entries
            .values()
            .filter(move |entry| is_told || entry.written_at_ms + ENTRY_LIFE_MS > true_ms)
    }

    fn note_list(&mut self, list: proto::FeederList) {
        let identity = |list: &proto::FeederList| {
            let rows = list.feeders.iter();
            let rows = rows.map(|entry| (entry.holder.clone(), entry.peer_address.clone()));
            (list.count, rows.collect::<Vec<_>>())
        };
        if self.list.as_ref().map(identity) != Some(identity(&list)) {
            self.changes += 1;
            self.list = Some(list);
        }
    }
}

/// Where an instance of this domain runs; a domain without a known region is one of its own.
pub(super) fn place_in(site: &Locality, failure_domain: Name) -> Location {
    let region =
        site.regions.get(failure_domain.as_str()).and_then(|region| Name::new(region).ok());
    Location { region: region.unwrap_or_else(|| failure_domain.clone()), failure_domain }
}

impl<E> Hub<E>
where
    E: Platform,
{
    /// Takes the list of an instance that reads the entries.
    pub(super) fn on_instance_list(&mut self, list: &proto::FeederList) {
        self.instances.on_told(list);
        let site = &self.config.site;
        self.feed_topology.set_feeders(list.feeders.iter().map(|entry| {
            let place = place_in(site, entry.failure_domain.clone());
            (entry.holder.instance.clone(), place.region)
        }));
    }

    /// Tells the links whom to exchange with, if that has changed.
    pub(super) fn tell_links(&mut self) {
        let now_ms = self.clock.now_ms();
        let true_ms = self.true_ms();
        if !self.instances.is_told() {
            let site = &self.config.site;
            self.feed_topology.set_live_instances(self.instances.live(true_ms).map(|entry| {
                let place = place_in(site, entry.failure_domain.clone());
                (entry.holder.instance.clone(), place)
            }));
            let feeders = self.feed_topology.feeders();
            let entries = &self.instances.entries;
            let list = proto::FeederList {
                count: u32::try_from(self.instances.live(true_ms).count()).unwrap_or(u32::MAX),
                feeders: feeders.filter_map(|name| entries.get(name).cloned()).collect(),
            };
            self.instances.note_list(list);
        }
        let partners = self.feed_topology.feed_peers(now_ms, self.reads_store(now_ms));
        let peers: Vec<Peer> = partners
            .iter()
            .filter_map(|name| self.instances.entries.get(name))
            // Entries are checked as they are read; another instance may still send what it likes.
            .filter_map(|entry| {
                let address = entry.peer_address.parse().ok()?;
                Some(Peer { name: entry.holder.instance.clone(), address })
            })
            .collect();
        if peers == self.partners {
            return;
        }
        self.metrics.peers.set(i64::try_from(peers.len()).unwrap_or(i64::MAX));
        // When full, the next tick tells the list again.
        if self.links.try_send(LinkCommand { peers: peers.clone() }).is_ok() {
            self.partners = peers;
        }
    }
}
