//! Records of the store, read by this instance or sent by a feeder.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_codec::from_json;
use cowslip_era::{Position, StoreEra};
use cowslip_fleet::{EntryOrder, EntryResult, LeaveReason, Upstream, UpstreamChange};
use cowslip_membership::ChangeLog;
use cowslip_proto as proto;

use super::{Hub, QUARANTINE_KEY};
use crate::events::{Event, event};
use crate::platform::{Page, Platform, StoredRecord, Topic};

/// Most removals of upstreams that are kept for peers, enough for hours of replacements.
const MAX_KEPT_REMOVALS: usize = 512;

/// Most keys with malformed records that are remembered.
const MAX_MALFORMED_RECORDS: usize = 512;

/// Results of this instance's own reads of the upstreams' entries.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RosterReads {
    succeeded_at_ms: Option<u64>,
    has_failed: bool,
}

impl RosterReads {
    /// Returns the time of the newest read if it succeeded less than `limit` ago.
    pub(super) fn recent_at_ms(&self, now_ms: u64, limit: Duration) -> Option<u64> {
        let is_recent = |at_ms: &u64| u128::from(now_ms.saturating_sub(*at_ms)) < limit.as_millis();
        self.succeeded_at_ms.filter(is_recent).filter(|_| !self.has_failed)
    }
}

/// For each upstream, the newest record whose contents changed. Upstreams rewrite their entries
/// about every second, but only changes get a new version and are sent to peers.
#[derive(Debug, Default)]
pub(super) struct RosterRecords {
    log: ChangeLog<StoredRecord>,
    /// Position of the newest malformed record of each key. These are not sent to peers.
    malformed: BTreeMap<Arc<str>, Position>,
    /// Era of the newest list that the store returned.
    listed_era: Option<StoreEra>,
}

impl RosterRecords {
    /// Returns the records in the order of their changes.
    pub(super) fn log(&self) -> &ChangeLog<StoredRecord> {
        &self.log
    }

    fn is_known(&self, record: &StoredRecord) -> bool {
        let known = self.log.get(&record.key).map(StoredRecord::position);
        known.max(self.malformed.get(&record.key).copied()) >= Some(record.position())
    }

    /// Returns how a record relates to the known one of its key.
    fn order_of(&self, record: &StoredRecord) -> EntryOrder {
        match self.log.get(&record.key) {
            Some(known) if known.era == record.era => EntryOrder::Newer,
            // The registry may remember an upstream whose removal is no longer kept here.
            _ => EntryOrder::MaybeCopy,
        }
    }

    /// Records a list of the store. Returns whether it may lack entries that are known from an earlier
    /// era.
    fn on_list(&mut self, era: StoreEra) -> bool {
        match self.listed_era.replace(era) {
            Some(listed) => listed < era,
            None => {
                self.log.present_keys().filter_map(|key| self.log.get(key)).any(|row| row.era < era)
            }
        }
    }

    /// Returns the removal of a key that a list lacks, as a record after the known one and before all
    /// that follow the list.
    fn removal_of(&self, key: Arc<str>, era: StoreEra, next_offset: u64) -> StoredRecord {
        let value = bytes::Bytes::new();
        match self.log.get(&key) {
            Some(known) if known.era < era => {
                StoredRecord { key, era: known.era, offset: u64::MAX, value }
            }
            _ => StoredRecord { key, era, offset: next_offset.saturating_sub(1), value },
        }
    }

    /// Remembers a malformed record, so that it is logged once.
    fn mark_malformed(&mut self, record: &StoredRecord) {
        if self.malformed.len() >= MAX_MALFORMED_RECORDS {
            self.malformed.clear();
        }
        self.malformed.insert(record.key.clone(), record.position());
    }

    fn insert(&mut self, record: StoredRecord, digest: u64, upstream_count: usize) {
        let key = record.key.clone();
        self.log.insert(&key, record, digest);
        // Newer removals are kept for peers that have not received them yet.
        if self.log.len() > upstream_count + MAX_KEPT_REMOVALS {
            self.log.forget_oldest_removal();
        }
    }

    /// Gives a removal a new version once the registry has dropped the upstream, so that peers
    /// receive it.
    pub(super) fn mark_removed(&mut self, key: &str) {
        self.log.touch(key);
    }

    /// Returns the keys of present entries that are missing in a list of all keys.
    fn missing<'a>(&'a self, listed: &[StoredRecord]) -> impl Iterator<Item = Arc<str>> + 'a {
        let listed: std::collections::BTreeSet<Arc<str>> =
            listed.iter().map(|record| record.key.clone()).collect();
        self.log.present_keys().filter(move |key| !listed.contains(*key)).cloned()
    }
}

/// Returns the digest of an entry's contents, never 0. It differs between builds at most, which costs
/// a comparison of all entries.
fn digest_of(upstream: &Upstream) -> u64 {
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    hasher.finish().max(1)
}

impl<P> Hub<P>
where
    P: Platform,
{
    pub(super) fn on_records(&mut self, topic: Topic, era: StoreEra, page: Page, is_list: bool) {
        // The store was restored while the message waited; the reader starts again.
        if era != self.store_era.era() {
            return;
        }
        if page.skipped_records > 0 {
            event!(
                Event::RecordMalformed,
                topic = format_args!("{topic:?}"),
                why = "not a valid record",
                count = page.skipped_records
            );
        }
        match topic {
            Topic::Declaration => {
                for record in page.records {
                    self.on_declaration(record, "store");
                }
            }
            Topic::Roster => self.on_roster(era, page, is_list),
            Topic::Instances => self.on_instances(era, page.records, is_list),
            // The tasks that write these topics also read them.
            Topic::Lease | Topic::Starts => {}
        }
    }

    /// Applies a declared configuration if its version is newer than the current one.
    pub(super) fn on_declaration(&mut self, record: StoredRecord, source: &str) {
        let Some(decoded) = self.platform.decode_config(&record.key, &record.value) else { return };
        let config = match decoded {
            Ok(config) => config,
            Err(why) => {
                event!(
                    Event::RecordMalformed,
                    topic = "Declaration",
                    why = why,
                    offset = record.offset
                );
                return;
            }
        };
        if self.declared_config.as_ref().is_some_and(|known| known.version >= config.version) {
            return;
        }
        event!(
            Event::ConfigApplied,
            version = config.version,
            source = source,
            offset = record.offset,
            routes = config.routes.len(),
            keys = config.keys.as_ref().map_or(0, std::collections::HashMap::len)
        );
        self.metrics.deployment_version.set(i64::try_from(config.version).unwrap_or(0));
        self.declared_config = Some(config);
        self.declaration = Some(record);
        self.apply_allowances();
    }

    fn on_roster(&mut self, era: StoreEra, page: Page, is_list: bool) {
        let now_ms = self.clock.now_ms();
        self.roster_reads.succeeded_at_ms = Some(now_ms);
        self.on_store_read(now_ms);
        if is_list {
            if self.roster_records.on_list(era) {
                self.registry.on_restored(now_ms);
            }
            let missing: Vec<Arc<str>> = self.roster_records.missing(&page.records).collect();
            for key in missing {
                let record = self.roster_records.removal_of(key, era, page.next_offset);
                self.on_upstream_missing(record);
            }
            let listed = page.records.iter().map(|record| &*record.key);
            let changes = self.registry.on_list(now_ms, listed);
            self.on_upstream_changes(&changes, "list");
            self.is_roster_known = true;
        }
        for record in page.records {
            self.on_upstream(record, "store");
        }
    }

    pub(super) fn on_upstream(&mut self, record: StoredRecord, source: &str) {
        if self.roster_records.is_known(&record) {
            return;
        }
        let (changes, digest) = if record.value.is_empty() {
            (self.registry.on_removed(self.clock.now_ms(), &record.key), 0)
        } else {
            match self.platform.decode_upstream(&record.key, &record.value) {
                Ok(entry) => {
                    let digest = digest_of(&entry.upstream);
                    match self.registry.on_entry(entry, self.roster_records.order_of(&record)) {
                        EntryResult::Applied(changes) => (changes, digest),
                        // Its record is not passed on either, so that a later one is compared with
                        // what is known.
                        EntryResult::Stale => return,
                    }
                }
                Err(why) => {
                    let upstream = &record.key;
                    event!(
                        Event::RecordMalformed,
                        topic = "Roster",
                        upstream = upstream,
                        why = why
                    );
                    self.roster_records.mark_malformed(&record);
                    return;
                }
            }
        };
        self.roster_records.insert(record, digest, self.registry.iter().len());
        self.on_upstream_changes(&changes, source);
    }

    /// Applies that a list of the store lacks an upstream's entry; `record` takes the place of its
    /// removal.
    fn on_upstream_missing(&mut self, record: StoredRecord) {
        if self.roster_records.is_known(&record) {
            return;
        }
        let changes = self.registry.on_missing(self.clock.now_ms(), &record.key);
        self.roster_records.insert(record, 0, self.registry.iter().len());
        self.on_upstream_changes(&changes, "list");
    }

    pub(super) fn on_upstream_changes(&mut self, changes: &[UpstreamChange], source: &str) {
        for change in changes {
            match change {
                UpstreamChange::Joined(id) => {
                    let started_at_ms = self.registry.get(id).map_or(0, |up| up.started_at_ms);
                    event!(
                        Event::UpstreamJoined,
                        upstream = id,
                        started_at_ms = started_at_ms,
                        source = source
                    );
                }
                UpstreamChange::Left(id, why) => {
                    event!(
                        Event::UpstreamLeft,
                        upstream = id,
                        why = format_args!("{why:?}"),
                        source = source
                    );
                    if *why == LeaveReason::Gone {
                        self.health.forget(id);
                        self.settle_ends_of_predecessor(id);
                    }
                }
                UpstreamChange::Role(id, role) => {
                    event!(Event::UpstreamRole, upstream = id, role = format_args!("{role:?}"));
                }
            }
        }
        if !changes.is_empty() {
            let not_draining = self.registry.iter().filter(|up| !up.is_draining).count();
            self.metrics.upstreams.set(i64::try_from(not_draining).unwrap_or(i64::MAX));
        }
    }

    pub(super) fn on_store_state(&mut self, topic: Topic, is_up: bool) {
        if topic != Topic::Roster {
            return;
        }
        self.roster_reads.has_failed = !is_up;
        if !is_up {
            self.store_evidence.on_failed(self.clock.now_ms());
        }
    }

    /// Records that the store was read at `at_ms`, by this instance or a peer.
    pub(super) fn on_store_read(&mut self, at_ms: u64) {
        if self.store_evidence.on_read(at_ms) {
            event!(Event::StoreOutageEnded);
            self.registry.on_store_recovered(at_ms);
        }
    }

    fn on_instances(&mut self, era: StoreEra, records: Vec<StoredRecord>, is_list: bool) {
        let is_copy = is_list && self.instances.on_list(era);
        for record in records {
            if &*record.key == QUARANTINE_KEY {
                self.on_stored_quarantine(&record.value);
                continue;
            }
            if record.value.is_empty() {
                self.instances.on_removed(&record.key);
                continue;
            }
            match from_json::<proto::InstanceEntry>(&record.value) {
                Ok(entry) if entry.peer_address.parse::<SocketAddr>().is_ok() => {
                    self.instances.on_stored_entry(entry, is_copy);
                }
                Ok(entry) => {
                    let why = "its peer address is not an IP address and port";
                    let key = entry.holder.instance;
                    event!(Event::RecordMalformed, topic = "Instances", key = key, why = why);
                }
                Err(error) => event!(Event::RecordMalformed, topic = "Instances", why = error),
            }
        }
        self.update_links();
    }
}
