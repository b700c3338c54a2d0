//! What instances tell each other.

use std::sync::Arc;

use cowslip_codec::{
    decode_digest_hex, encode_hex, holder_to_proto, start_windows_from_proto,
    start_windows_to_proto,
};
use cowslip_name::Name;
use cowslip_proto as proto;

use super::{Hub, LinkState};
use crate::events::{Event, event};
use crate::platform::{Platform, StoredRecord};

/// Suspicions in one message; the newest ones.
const TOLD_SUSPECTS: usize = 64;
/// Pauses between two reads of the upstreams' entries after which reading counts as failed.
const MISSED_READS: u32 = 3;

impl<E> Hub<E>
where
    E: Platform,
{
    /// Whether this instance's own reads of the upstreams' entries succeed.
    pub(super) fn reads_store(&self, now_ms: u64) -> bool {
        let limit = self.config.follow_every() * MISSED_READS;
        self.roster_reads.succeed(now_ms, limit)
    }

    pub(super) fn own_feed(&self, link: &LinkState) -> (proto::FeedRequest, LinkState) {
        let now_ms = self.clock.now_ms();
        let reads_store = self.reads_store(now_ms);
        let tells_starts = !self.feed_topology.must_read_store(now_ms) || self.starts.has_failed();
        let starts = self.starts.changed_since(link.told_starts).filter(|_| tells_starts);
        let request = proto::FeedRequest {
            from: holder_to_proto(&self.me),
            peer_address: self.config.peer_address.to_string(),
            failure_domain: self.config.settings.instance.failure_domain.clone(),
            reads_store,
            declaration_offset: self.declaration.as_ref().map(|record| record.offset),
            wants_roster: !self.feed_topology.is_feeder() || !reads_store || !self.is_roster_known,
            wants_instances: !self.feed_topology.must_read_store(now_ms),
            seen: link.seen.clone(),
            true_ms: self.true_ms(),
            suspects: self.suspects_after(link.told_suspects),
            starts: starts.map(|(key, windows)| to_proto_starts(key, &windows)).collect(),
        };
        let told = LinkState {
            seen: link.seen.clone(),
            told_starts: if tells_starts { self.starts.version() } else { link.told_starts },
            told_suspects: self.suspects.version(),
        };
        (request, told)
    }

    fn suspects_after(&self, change: u64) -> Vec<proto::SuspectRequest> {
        self.suspects
            .changed_since(change)
            .take(TOLD_SUSPECTS)
            .map(|(digest, upstreams)| proto::SuspectRequest {
                digest_hex: encode_hex(digest),
                upstreams: upstreams.iter().cloned().collect(),
            })
            .collect()
    }

    pub(super) fn on_feed(&mut self, request: proto::FeedRequest) -> proto::FeedReply {
        let now_ms = self.clock.now_ms();
        self.on_suspects(&request.suspects);
        self.instances.on_asker(&request);
        self.feed_topology.on_feed_request(now_ms, &request.from.instance, request.reads_store);
        for told in request.starts {
            let windows = start_windows_from_proto(told.windows);
            self.starts.merge_peer(&Arc::from(told.key), &windows);
        }
        let nothing = proto::FeedCursor {
            incarnation: self.me.incarnation,
            roster: 0,
            suspects: 0,
            instances: 0,
        };
        let seen = request.seen.filter(|seen| seen.incarnation == self.me.incarnation);
        let seen = seen.unwrap_or(nothing);
        let declaration = self
            .declaration
            .as_ref()
            .filter(|record| request.declaration_offset.is_none_or(|has| has < record.offset))
            .map(to_proto);
        let reads_store = self.reads_store(now_ms);
        let tells_roster = request.wants_roster && self.is_roster_known;
        let tells_instances = request.wants_instances && reads_store;
        // A removal that may only be late is told once the upstream is held for gone.
        let is_settled =
            |one: &&StoredRecord| !one.value.is_empty() || self.roster.get(&one.key).is_none();
        let roster = self.roster_records.changed_after(seen.roster).filter(|_| tells_roster);
        proto::FeedReply {
            reads_store,
            declaration,
            roster: roster.filter(is_settled).map(to_proto).collect(),
            instances: self.instances.changed_after(seen.instances).filter(|_| tells_instances),
            true_ms: self.true_ms(),
            suspects: self.suspects_after(seen.suspects),
            place: proto::FeedCursor {
                incarnation: self.me.incarnation,
                roster: if tells_roster { self.roster_records.changes() } else { seen.roster },
                suspects: self.suspects.version(),
                instances: if tells_instances { self.instances.changes() } else { seen.instances },
            },
        }
    }

    pub(super) fn on_feed_answer(&mut self, from: &Name, answer: proto::FeedReply) {
        let now_ms = self.clock.now_ms();
        self.cluster_clock.on_estimate(now_ms, answer.true_ms);
        self.on_suspects(&answer.suspects);
        if let Some(record) = answer.declaration {
            self.on_declaration(from_proto(record), "instance");
        }
        self.is_roster_known |= !answer.roster.is_empty();
        for record in answer.roster {
            self.on_upstream(from_proto(record), "instance");
        }
        if let Some(list) = answer.instances {
            self.on_instance_list(&list);
        }
        if answer.reads_store {
            self.feed_topology.on_feed_received(now_ms, from);
        }
    }

    fn on_suspects(&mut self, suspects: &[proto::SuspectRequest]) {
        for suspect in suspects {
            match decode_digest_hex("digest_hex", &suspect.digest_hex) {
                Ok(digest) => suspect
                    .upstreams
                    .iter()
                    .for_each(|upstream| self.suspects.on_upstream_lost(digest, upstream.clone())),
                Err(error) => event!(Event::PeerBad, why = error),
            }
        }
    }
}

fn to_proto_starts(
    key: &Arc<str>,
    windows: &cowslip_usage::StartWindows,
) -> proto::InstanceRequestStarts {
    proto::InstanceRequestStarts { key: key.to_string(), windows: start_windows_to_proto(windows) }
}

fn to_proto(record: &StoredRecord) -> proto::StoredRecord {
    proto::StoredRecord {
        key: record.key.to_string(),
        offset: record.offset,
        value: record.value.to_vec(),
    }
}

fn from_proto(record: proto::StoredRecord) -> StoredRecord {
    StoredRecord { key: Arc::from(record.key), offset: record.offset, value: record.value.into() }
}
