//! What instances tell each other, and how they know of each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_border::{digest_hex, holder_to_proto, parse_digest};
use cowslip_name::Name;
use cowslip_proto as proto;

use super::Hub;
use crate::edge::{Edge, Stored};
use crate::events::{Event, event};
use crate::tasks::{LinkCommand, Peer, starts_key, windows_from_proto, windows_to_proto};

/// Suspicions in one message; the newest ones.
const TOLD_SUSPECTS: usize = 32;
/// Entries of instances that were not written again for this long are ignored.
const ENTRY_LIFE_MS: u64 = 60_000; // three times the interval between writes
/// The system's instances as their own entries say.
#[derive(Debug, Default)]
pub(super) struct Instances {
    entries: BTreeMap<Name, proto::InstanceEntry>,
}

impl Instances {
    pub(super) fn begin_list(&mut self) {
        self.entries.clear();
    }

    pub(super) fn on_entry(&mut self, entry: proto::InstanceEntry) {
        self.entries.insert(entry.holder.instance.clone(), entry);
    }

    /// Takes note of an instance that asks; tells whether it was not known.
    fn on_asker(&mut self, request: &proto::FeedRequest) -> bool {
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
        !is_known
    }

    pub(super) fn on_removed(&mut self, key: &str) {
        self.entries.retain(|name, _| name.as_str() != key);
    }

    /// Number of instances, this one included whether it has an entry or not.
    pub(super) fn count(&self) -> usize {
        self.entries.len().max(1)
    }
}

impl<E> Hub<E>
where
    E: Edge,
{
    pub(super) fn own_feed(&self) -> proto::FeedRequest {
        let roster_after = (!self.is_roster_readable || !self.is_roster_known).then(|| {
            self.roster_records.values().map(|record| record.offset).max().unwrap_or_default()
        });
        proto::FeedRequest {
            from: holder_to_proto(&self.me),
            peer_address: self.config.peer_address.to_string(),
            failure_domain: self.config.settings.instance.failure_domain.clone(),
            declaration_offset: self.declaration.as_ref().map(|record| record.offset),
            roster_after,
            true_ms: self.true_ms(),
            suspects: self.own_suspects(),
            starts: self.starts.unwritten().map(windows_to_proto).unwrap_or_default(),
        }
    }

    fn own_suspects(&self) -> Vec<proto::Suspect> {
        self.suspects
            .newest()
            .take(TOLD_SUSPECTS)
            .map(|(digest, upstreams)| proto::Suspect {
                digest_hex: digest_hex(digest),
                upstreams: upstreams.iter().cloned().collect(),
            })
            .collect()
    }

    pub(super) fn on_feed(&mut self, request: &proto::FeedRequest) -> proto::FeedReply {
        self.on_suspects(&request.suspects);
        if !request.starts.is_empty() {
            let told = windows_from_proto(request.starts.clone());
            self.told_starts.insert(Arc::from(starts_key(&request.from)), told);
        }
        if self.instances.on_asker(request) {
            self.tell_links();
        }
        let declaration = self
            .declaration
            .as_ref()
            .filter(|record| request.declaration_offset.is_none_or(|has| has < record.offset))
            .map(to_proto);
        let roster = match request.roster_after {
            Some(after) if self.is_roster_known => self
                .roster_records
                .values()
                .filter(|one| one.offset > after)
                .map(to_proto)
                .collect(),
            _ => Vec::new(),
        };
        let true_ms = self.true_ms();
        proto::FeedReply { declaration, roster, true_ms, suspects: self.own_suspects() }
    }

    pub(super) fn on_feed_answer(&mut self, answer: proto::FeedReply) {
        self.true_time.on_estimate(self.clock.now_ms(), answer.true_ms);
        self.on_suspects(&answer.suspects);
        if let Some(record) = answer.declaration {
            self.on_declaration(from_proto(record), "instance");
        }
        let is_fed = !answer.roster.is_empty();
        for record in answer.roster {
            self.on_upstream(from_proto(record), "instance");
        }
        self.is_roster_known |= is_fed;
    }

    fn on_suspects(&mut self, suspects: &[proto::Suspect]) {
        for suspect in suspects {
            match parse_digest("digest_hex", &suspect.digest_hex) {
                Ok(digest) => suspect
                    .upstreams
                    .iter()
                    .for_each(|upstream| self.suspects.on_loss(digest, upstream.clone())),
                Err(error) => event!(Event::PeerBad, why = error),
            }
        }
    }

    /// Tells the links who the other instances are.
    pub(super) fn tell_links(&self) {
        let true_ms = self.true_ms();
        let peers: Vec<Peer> = self
            .instances
            .entries
            .values()
            .filter(|entry| entry.holder.instance != self.me.instance)
            .filter(|entry| entry.written_at_ms + ENTRY_LIFE_MS > true_ms)
            .filter_map(|entry| {
                let address: SocketAddr = entry.peer_address.parse().ok()?;
                Some(Peer { name: entry.holder.instance.clone(), address })
            })
            .collect();
        self.metrics.peers.set(i64::try_from(peers.len()).unwrap_or(i64::MAX));
        // When full, a newer list follows with the next read of the entries.
        let _ = self.links.try_send(LinkCommand { peers });
    }
}

fn to_proto(record: &Stored) -> proto::StoredRecord {
    proto::StoredRecord {
        key: record.key.to_string(),
        offset: record.offset,
        value: record.value.to_vec(),
    }
}

fn from_proto(record: proto::StoredRecord) -> Stored {
    Stored { key: Arc::from(record.key), offset: record.offset, value: record.value.into() }
}
