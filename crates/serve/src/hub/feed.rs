//! Feeds: what instances exchange directly, so that only some of them read the store.

use std::sync::Arc;

use cowslip_codec::{holder_to_proto, start_windows_from_proto, start_windows_to_proto};
use cowslip_era::StoreEra;
use cowslip_membership::{FeedRole, PeerKnowledge};
use cowslip_name::Name;
use cowslip_proto as proto;

use super::{Hub, LinkState};
use crate::platform::{Platform, StoredRecord};

/// Poll intervals without a successful read of the upstreams' entries after which reading counts as
/// failed.
const MAX_MISSED_READS: u32 = 3;
/// Largest batch of upstreams' records in one reply, before compression.
const MAX_ROSTER_BYTES: usize = 32_768;
/// Size at which a batch of request starts in one request ends, before compression.
const MAX_STARTS_BYTES: usize = 131_072;
/// Bytes of a record in a reply in addition to its key and value.
const RECORD_OVERHEAD_BYTES: usize = 12;
/// Time without a batch after which a transfer of upstreams' records counts as broken off.
const TRANSFER_TIMEOUT_MS: u64 = 1_200; // longer than a feed exchange may take

/// Transfer of many upstreams' records from one peer in several batches. Meanwhile no other peer is
/// asked for them.
#[derive(Debug)]
pub(super) struct RosterTransfer {
    from: Name,
    last_batch_at_ms: u64,
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Returns whether this instance's own reads of the upstreams' entries succeed.
    pub(super) fn reads_store(&self, now_ms: u64) -> bool {
        self.own_read_at_ms(now_ms).is_some()
    }

    fn own_read_at_ms(&self, now_ms: u64) -> Option<u64> {
        let limit = self.config.follow_every() * MAX_MISSED_READS;
        self.roster_reads.recent_at_ms(now_ms, limit)
    }

    /// Returns the time of the newest read of the store that this instance's state is based on.
    fn read_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.own_read_at_ms(now_ms).max(self.feed_topology.fed_read_at_ms())
    }

    /// Returns whether the records that `peer` has are asked for now, and the digests of the known
    /// ones if the peer cannot tell which of them are missing.
    fn wanted_roster(&self, now_ms: u64, peer: &Name, link: &LinkState) -> (bool, Vec<u64>) {
        let reads_roster = self.feed_topology.role() == FeedRole::Reader
            && self.reads_store(now_ms)
            && self.is_roster_known;
        let has_position = link.received_cursor.as_ref().is_some_and(|cursor| cursor.roster > 0);
        let is_initial = !has_position || link.lacks_roster;
        let is_other_active = self.roster_transfer.as_ref().is_some_and(|transfer| {
            transfer.from != *peer
                && now_ms.saturating_sub(transfer.last_batch_at_ms) < TRANSFER_TIMEOUT_MS
        });
        let wants_roster = !(reads_roster || is_initial && is_other_active);
        let log = self.roster_records.log();
        let has_digests = wants_roster && is_initial && !log.is_empty();
        (wants_roster, if has_digests { log.digests().to_vec() } else { Vec::new() })
    }

    /// Returns the request starts that the peer lacks, and the versions up to which it then has all
    /// starts and those of this instance.
    fn starts_for_peer(
        &self,
        now_ms: u64,
        link: &LinkState,
    ) -> (Vec<proto::InstanceRequestStarts>, u64, u64) {
        let starts = &self.starts;
        let to_proto = |(key, windows): (&Arc<str>, _)| to_proto_starts(key, &windows);
        let is_reader = self.feed_topology.role() == FeedRole::Reader;
        if is_reader && !starts.has_failed() {
            // Readers also write request starts; each sends its own to the other, so that the loss
            // of one loses none. Feeders send those of the others to both.
            let own = starts.changed_since(link.sent_own_starts);
            let own = own.filter(|(key, _)| **key == self.starts_key).map(to_proto).collect();
            return (own, link.sent_starts.max(starts.written_version()), starts.version());
        }
        let writes_own = self.feed_topology.must_read_store(now_ms) && self.reads_store(now_ms);
        if is_reader || !writes_own || starts.has_failed() {
            let (batch, version) = starts.batch_since(link.sent_starts, MAX_STARTS_BYTES);
            let batch = batch.iter().map(|(key, windows)| to_proto_starts(key, windows)).collect();
            return (batch, version, link.sent_own_starts.max(version));
        }
        (Vec::new(), link.sent_starts, link.sent_own_starts)
    }

    pub(super) fn build_feed(
        &mut self,
        peer: &Name,
        link: &LinkState,
    ) -> (proto::FeedRequest, LinkState) {
        let now_ms = self.clock.now_ms();
        let allowances = self.allowance_report(now_ms);
        let reads_store = self.reads_store(now_ms);
        let (starts, sent_starts, sent_own_starts) = self.starts_for_peer(now_ms, link);
        let (suspects, sent_suspects) = self.suspects_since(link.sent_suspects);
        let (finalized, sent_finalized) = self.finalized_for_peer(peer, link);
        let (wants_roster, roster_digests) = self.wanted_roster(now_ms, peer, link);
        let request = proto::FeedRequest {
            from: holder_to_proto(&self.identity),
            peer_address: self.config.peer_address.to_string(),
            failure_domain: self.config.settings.instance.failure_domain.clone(),
            reads_store,
            store_era: self.era_for_peers(),
            declaration_version: self.declared_config.as_ref().map(|config| config.version),
            wants_roster,
            roster_digests,
            wants_instances: self.feed_topology.wants_feeders(now_ms),
            seen: link.received_cursor.clone(),
            true_ms: self.cluster_ms(),
            suspects,
            starts,
            finalized,
            allowances,
        };
        let next_link = LinkState {
            received_cursor: link.received_cursor.clone(),
            sent_starts,
            sent_own_starts,
            sent_suspects,
            sent_finalized,
            lacks_roster: link.lacks_roster,
        };
        (request, next_link)
    }

    pub(super) fn handle_feed(&mut self, request: proto::FeedRequest) -> proto::FeedReply {
        let now_ms = self.clock.now_ms();
        self.on_peer_era(request.store_era);
        self.on_suspects(&request.suspects);
        self.instances.on_feed_request(&request);
        self.feed_topology.on_feed_request(now_ms, &request.from.instance, request.reads_store);
        for peer_starts in request.starts {
            let windows = start_windows_from_proto(peer_starts.windows);
            self.starts.merge_peer(&Arc::from(peer_starts.key), &windows);
        }
        self.on_finalized_of_peer(request.finalized);
        let allowances = self.allowance_offer(now_ms, &request.from.instance, request.allowances);
        let empty = proto::FeedCursor {
            incarnation: self.identity.incarnation,
            roster: 0,
            suspects: 0,
            instances: 0,
        };
        let cursor = request.seen.filter(|cursor| cursor.incarnation == self.identity.incarnation);
        // A cursor of an earlier incarnation says nothing about this one's changes.
        let cursor = cursor.unwrap_or(empty);
        let version = self.declared_config.as_ref().map(|config| config.version);
        let is_newer = version > request.declaration_version;
        let declaration = self.declaration.as_ref().filter(|_| is_newer).map(to_proto);
        let sends_roster = request.wants_roster && self.is_roster_known;
        let sends_instances = request.wants_instances && !self.instances.is_fed();
        // A missing entry may only be late, so a removal is sent once the registry has dropped the
        // upstream.
        let is_final = |record: &StoredRecord| {
            !record.value.is_empty() || self.registry.get(&record.key).is_none()
        };
        let log = self.roster_records.log();
        let peer = PeerKnowledge { version: cursor.roster, digests: &request.roster_digests };
        let max_bytes = MAX_ROSTER_BYTES;
        let roster = sends_roster.then(|| log.batch(peer, max_bytes, record_bytes, is_final));
        let roster_version = roster.as_ref().map_or(cursor.roster, |batch| batch.version);
        let (suspects, sent_suspects) = self.suspects_since(cursor.suspects);
        proto::FeedReply {
            read_age_ms: self.read_at_ms(now_ms).map(|at_ms| now_ms.saturating_sub(at_ms)),
            store_era: self.era_for_peers(),
            declaration,
            roster_has_more: roster_version < log.version(),
            roster: roster.map_or_else(Vec::new, |batch| {
                batch.rows.into_iter().map(|record| self.roster_to_proto(record)).collect()
            }),
            instances: self.instances.changed_since(cursor.instances).filter(|_| sends_instances),
            true_ms: self.cluster_ms(),
            suspects,
            allowances,
            place: proto::FeedCursor {
                incarnation: self.identity.incarnation,
                roster: roster_version,
                suspects: sent_suspects,
                instances: if sends_instances {
                    self.instances.version()
                } else {
                    cursor.instances
                },
            },
        }
    }

    fn roster_to_proto(&self, record: &StoredRecord) -> proto::StoredRecord {
        let is_removal = record.value.is_empty();
        let removed_seq = if is_removal { self.registry.dropped_seq(&record.key) } else { 0 };
        proto::StoredRecord { removed_seq, ..to_proto(record) }
    }

    pub(super) fn apply_feed(&mut self, from: &Name, feed: proto::FeedReply) {
        let now_ms = self.clock.now_ms();
        self.cluster_clock.on_estimate(now_ms, feed.true_ms);
        self.on_peer_era(feed.store_era);
        if let Some(age_ms) = feed.read_age_ms {
            self.on_store_read(now_ms.saturating_sub(age_ms));
        }
        self.on_suspects(&feed.suspects);
        self.update_transfer(now_ms, from, &feed);
        if let Some(record) = feed.declaration {
            self.on_declaration(from_proto(record), "instance");
        }
        self.is_roster_known |= !feed.roster_has_more && feed.place.roster > 0;
        for record in feed.roster {
            self.registry.raise_seq(&record.key, record.removed_seq);
            self.on_upstream(from_proto(record), "instance");
        }
        if let Some(list) = feed.instances {
            self.on_instance_list(&list);
        }
        self.on_allowance_offer(now_ms, feed.allowances);
        self.feed_topology.on_feed_received(now_ms, from, feed.read_age_ms);
    }

    fn update_transfer(&mut self, now_ms: u64, from: &Name, feed: &proto::FeedReply) {
        let is_from_source =
            self.roster_transfer.as_ref().is_none_or(|transfer| transfer.from == *from);
        if feed.roster_has_more && !feed.roster.is_empty() {
            let is_broken_off = self.roster_transfer.as_ref().is_some_and(|transfer| {
                now_ms.saturating_sub(transfer.last_batch_at_ms) >= TRANSFER_TIMEOUT_MS
            });
            if is_from_source || is_broken_off {
                self.roster_transfer =
                    Some(RosterTransfer { from: from.clone(), last_batch_at_ms: now_ms });
            }
        } else if is_from_source {
            self.roster_transfer = None;
        }
    }

    pub(super) fn on_feed_failed(&mut self, peer: &Name) {
        self.feed_topology.on_feed_failed(peer);
        if self.roster_transfer.as_ref().is_some_and(|transfer| transfer.from == *peer) {
            self.roster_transfer = None;
        }
    }
}

fn record_bytes(record: &StoredRecord) -> usize {
    record.key.len() + record.value.len() + RECORD_OVERHEAD_BYTES
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
        era: record.era.number(),
        offset: record.offset,
        value: record.value.to_vec(),
        removed_seq: 0,
    }
}

fn from_proto(record: proto::StoredRecord) -> StoredRecord {
    StoredRecord {
        key: Arc::from(record.key),
        era: StoreEra::new(record.era).unwrap_or_default(),
        offset: record.offset,
        value: record.value.into(),
    }
}
