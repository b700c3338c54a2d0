//! Records of the store, read here or told by another instance.

use cowslip_border::from_json;
use cowslip_fleet::{Change, Leave};
use cowslip_proto as proto;

use super::Hub;
use crate::edge::{Edge, Page, Stored, Topic};
use crate::events::{Event, event};

/// Removed upstreams that are remembered: hours of replacements at the users' sizes.
const KEPT_REMOVALS: usize = 512;

impl<E> Hub<E>
where
    E: Edge,
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
            Topic::Roster => self.on_roster(page.records, is_list),
            Topic::Instances => self.on_instances(&page.records, is_list),
            // Read by the tasks that write them.
            Topic::Lease | Topic::Starts => {}
        }
    }

    /// A version replaces an older one only, wherever it comes from.
    pub(super) fn on_declaration(&mut self, record: Stored, source: &str) {
        let Some(decoded) = self.edge.deployment(&record.key, &record.value) else { return };
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

    fn on_roster(&mut self, records: Vec<Stored>, is_list: bool) {
        let now_ms = self.clock.now_ms();
        if is_list {
            let listed = records.iter().map(|record| &*record.key);
            let changes = self.roster.on_list(now_ms, listed);
            self.note_changes(&changes, "list");
            self.is_roster_known = true;
        }
        for record in records {
            self.on_upstream(record, "store");
        }
    }

    pub(super) fn on_upstream(&mut self, record: Stored, source: &str) {
        let is_known =
            self.roster_records.get(&record.key).is_some_and(|known| known.offset >= record.offset);
        if is_known {
            return;
        }
        let changes = if record.value.is_empty() {
            self.roster.on_removed(self.clock.now_ms(), &record.key)
        } else {
            match self.edge.upstream(&record.key, &record.value) {
                Ok(entry) => self.roster.on_entry(entry),
                Err(why) => {
                    let upstream = &record.key;
                    event!(Event::RecordBad, topic = "Roster", upstream = upstream, why = why);
                    Vec::new()
                }
            }
        };
        self.roster_records.insert(record.key.clone(), record);
        self.forget_old_removals();
        self.note_changes(&changes, source);
    }

    /// Removed keys are kept for instances that have not heard of them, the newest ones.
    fn forget_old_removals(&mut self) {
        if self.roster_records.len() <= self.roster.iter().count() + KEPT_REMOVALS {
            return;
        }
        let removed = self.roster_records.values().filter(|record| record.value.is_empty());
        if let Some(key) = removed.min_by_key(|one| one.offset).map(|one| one.key.clone()) {
            self.roster_records.remove(&key);
        }
    }

    pub(super) fn note_changes(&mut self, changes: &[Change], source: &str) {
        for change in changes {
            match change {
                Change::Joined(id) => {
                    event!(Event::UpstreamJoined, upstream = id, source = source);
                }
                Change::Left(id, why) => {
                    event!(
                        Event::UpstreamLeft,
                        upstream = id,
                        why = format_args!("{why:?}"),
                        source = source
                    );
                    if *why == Leave::Gone {
                        self.health.forget(id);
                    }
                }
                Change::Role(id, role) => {
                    event!(Event::UpstreamRole, upstream = id, role = format_args!("{role:?}"));
                }
            }
        }
        if !changes.is_empty() {
            let open = self.roster.iter().filter(|up| !up.is_leaving).count();
            self.metrics.upstreams.set(i64::try_from(open).unwrap_or(i64::MAX));
        }
    }

    pub(super) fn on_store_state(&mut self, topic: Topic, is_up: bool) {
        if topic != Topic::Roster {
            return;
        }
        if is_up && !self.is_roster_readable {
            self.roster.on_store_return(self.clock.now_ms());
        }
        self.is_roster_readable = is_up;
    }

    fn on_instances(&mut self, records: &[Stored], is_list: bool) {
        if is_list {
            self.instances.begin_list();
        }
        for record in records {
            if record.value.is_empty() {
                self.instances.on_removed(&record.key);
                continue;
            }
            match from_json::<proto::InstanceEntry>(&record.value) {
                Ok(entry) => self.instances.on_entry(entry),
                Err(error) => event!(Event::RecordBad, topic = "Instances", why = error),
            }
        }
        self.tell_links();
    }
}
