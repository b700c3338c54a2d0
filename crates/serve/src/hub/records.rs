//! Records of the store, read here or told by another instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_codec::from_json;
use cowslip_fleet::{LeaveReason, UpstreamChange};
use cowslip_proto as proto;

use super::Hub;
use crate::events::{Event, event};
use crate::platform::{Page, Platform, StoredRecord, Topic};

/// Removed upstreams that are remembered: hours of replacements at the users' sizes.
const KEPT_REMOVALS: usize = 512;

/// How this instance's own reads of the upstreams' entries went.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RosterReads {
    succeeded_at_ms: Option<u64>,
    has_failed: bool,
}

impl RosterReads {
    /// Whether the newest one succeeded, within `limit`.
    pub(super) fn succeed(&self, now_ms: u64, limit: Duration) -> bool {
        let is_recent = |at_ms| u128::from(now_ms.saturating_sub(at_ms)) < limit.as_millis();
        !self.has_failed && self.succeeded_at_ms.is_some_and(is_recent)
    }
}

/// The newest record of each upstream that says something new of it. Upstreams write theirs again
/// every second or so; others are told only of changes, which are numbered.
#[derive(Debug, Default)]
pub(super) struct RosterRecords {
    records: BTreeMap<Arc<str>, Numbered>,
    changes: u64,
}

#[derive(Debug)]
struct Numbered {
    record: StoredRecord,
    changed_at: u64,
}

impl RosterRecords {
    /// Number of the newest change.
    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// Records that changed after this change.
    pub(super) fn changed_after(&self, change: u64) -> impl Iterator<Item = &StoredRecord> {
        self.records.values().filter(move |one| one.changed_at > change).map(|one| &one.record)
    }

    fn is_known(&self, record: &StoredRecord) -> bool {
        self.records.get(&record.key).is_some_and(|one| one.record.offset >= record.offset)
    }

    fn has_entry(&self, key: &str) -> bool {
        self.records.get(key).is_some_and(|one| !one.record.value.is_empty())
    }

    fn put(&mut self, record: StoredRecord, members: usize) {
        self.changes += 1;
        let numbered = Numbered { record: record.clone(), changed_at: self.changes };
        self.records.insert(record.key, numbered);
        self.forget_old_removals(members);
    }

    /// The upstream is held for gone only now: its removal is a change again.
    pub(super) fn on_dropped(&mut self, key: &str) {
        if let Some(numbered) = self.records.get_mut(key) {
            self.changes += 1;
            numbered.changed_at = self.changes;
        }
    }

    /// Keys of entries that a list of all keys, as of an offset, lacks.
    fn missing<'a>(&'a self, listed: &[StoredRecord]) -> impl Iterator<Item = Arc<str>> + 'a {
        let listed: std::collections::BTreeSet<Arc<str>> =
            listed.iter().map(|record| record.key.clone()).collect();
        self.records
            .iter()
            .filter(move |(key, one)| !one.record.value.is_empty() && !listed.contains(*key))
            .map(|(key, _)| key.clone())
    }

    /// Removed keys are kept for instances that have not heard of them, the newest ones.
    fn forget_old_removals(&mut self, members: usize) {
        if self.records.len() <= members + KEPT_REMOVALS {
            return;
        }
        let removed = self.records.values().filter(|one| one.record.value.is_empty());
        let oldest = removed.min_by_key(|one| one.changed_at).map(|one| one.record.key.clone());
        if let Some(key) = oldest {
            self.records.remove(&key);
        }
    }
}

impl<E> Hub<E>
where
    E: Platform,
{
    pub(super) fn on_records(&mut self, topic: Topic, page: Page, is_list: bool) {
        if page.skipped > 0 {
            event!(
                Event::RecordBad,
                topic = format_args!("{topic:?}"),
                why = "not a record",
                count = page.skipped
            );
        }
        match topic {
            Topic::Declaration => {
                for record in page.records {
                    self.on_declaration(record, "store");
                }
            }
            Topic::Roster => self.on_roster(page, is_list),
            Topic::Instances => self.on_instances(page.records, is_list),
            // Read by the tasks that write them.
            Topic::Lease | Topic::Starts => {}
        }
    }

    /// A version replaces an older one only, wherever it comes from.
    pub(super) fn on_declaration(&mut self, record: StoredRecord, source: &str) {
        let Some(decoded) = self.platform.deployment(&record.key, &record.value) else { return };
        let deployment = match decoded {
            Ok(deployment) => deployment,
            Err(why) => {
                event!(Event::RecordBad, topic = "Declaration", why = why, offset = record.offset);
                return;
            }
        };
        if self.deployment.as_ref().is_some_and(|known| known.version >= deployment.version) {
            return;
        }
        event!(
            Event::DeploymentInForce,
            version = deployment.version,
            source = source,
            offset = record.offset,
            routes = deployment.routes.len(),
            keys = deployment.keys.as_ref().map_or(0, std::collections::HashMap::len)
        );
        self.metrics.deployment_version.set(i64::try_from(deployment.version).unwrap_or(0));
        self.deployment = Some(deployment);
        self.declaration = Some(record);
    }

    fn on_roster(&mut self, page: Page, is_list: bool) {
        let now_ms = self.clock.now_ms();
        self.roster_reads.succeeded_at_ms = Some(now_ms);
        if is_list {
            let missing: Vec<Arc<str>> = self.roster_records.missing(&page.records).collect();
            for key in missing {
                let value = bytes::Bytes::new();
                let offset = page.next_offset.saturating_sub(1);
                self.on_upstream(StoredRecord { key, offset, value }, "list");
            }
            let listed = page.records.iter().map(|record| &*record.key);
            let changes = self.roster.on_list(now_ms, listed);
            self.note_changes(&changes, "list");
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
        let mut is_news = true;
        let changes = if record.value.is_empty() {
            self.roster.on_removed(self.clock.now_ms(), &record.key)
        } else {
            match self.platform.upstream(&record.key, &record.value) {
                Ok(entry) => {
                    is_news = !self.roster_records.has_entry(&record.key)
                        || self.roster.get(&record.key).is_none_or(|known| **known != entry);
                    self.roster.on_entry(entry)
                }
                Err(why) => {
                    let upstream = &record.key;
                    event!(Event::RecordBad, topic = "Roster", upstream = upstream, why = why);
                    Vec::new()
                }
            }
        };
        if is_news {
            self.roster_records.put(record, self.roster.iter().count());
        }
        self.note_changes(&changes, source);
    }

    pub(super) fn note_changes(&mut self, changes: &[UpstreamChange], source: &str) {
        for change in changes {
            match change {
                UpstreamChange::Joined(id) => {
                    event!(Event::UpstreamJoined, upstream = id, source = source);
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
                    }
                }
                UpstreamChange::Role(id, role) => {
                    event!(Event::UpstreamRole, upstream = id, role = format_args!("{role:?}"));
                }
            }
        }
        if !changes.is_empty() {
            let open = self.roster.iter().filter(|up| !up.is_draining).count();
            self.metrics.upstreams.set(i64::try_from(open).unwrap_or(i64::MAX));
        }
    }

    pub(super) fn on_store_state(&mut self, topic: Topic, is_up: bool) {
        if topic != Topic::Roster {
            return;
        }
        if is_up && self.roster_reads.has_failed {
            self.roster.on_store_recovered(self.clock.now_ms());
        }
        self.roster_reads.has_failed = !is_up;
    }

    fn on_instances(&mut self, records: Vec<StoredRecord>, is_list: bool) {
        if is_list {
            self.instances.begin_list();
        }
        for record in records {
            if record.value.is_empty() {
                self.instances.on_removed(&record.key);
                continue;
            }
            match from_json::<proto::InstanceEntry>(&record.value) {
                Ok(entry) if entry.peer_address.parse::<SocketAddr>().is_ok() => {
                    self.instances.on_entry(entry);
                }
                Ok(entry) => {
                    let why = "its address is no IP address and port";
                    let key = entry.holder.instance;
                    event!(Event::RecordBad, topic = "Instances", key = key, why = why);
                }
                Err(error) => event!(Event::RecordBad, topic = "Instances", why = error),
            }
        }
        self.tell_links();
    }
}
