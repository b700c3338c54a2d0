//! Registry of upstreams, built from the entries that they write to the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::dropped::{DroppedUpstream, DroppedUpstreams};
use crate::statements::{ResponseOrigin, Statements};

/// Time after an outage or a restore of the store within which missing entries may reappear before
/// their upstreams are dropped: upstreams write them again in about two seconds.
pub const STORE_RECOVERY_GRACE_MS: u64 = 2_000;

/// Phase of a request that an engine runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EngineRole {
    /// Processes prompts for decode engines.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// An upstream as its entry in the store describes it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Upstream {
    /// Identifier of the upstream; later incarnations may reuse it.
    pub id: Arc<str>,
    /// Start of this incarnation in Unix milliseconds, 0 if the entry gives none.
    pub started_at_ms: u64,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Socket address that the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: Arc<str>,
    /// Number of requests that run concurrently, at least 1.
    pub slots: u32,
    /// Whether the upstream is draining and takes no new work.
    pub is_draining: bool,
    /// Role of an engine, `None` for other upstreams.
    pub role: Option<EngineRole>,
    /// Whether the upstream may be reclaimed at short notice.
    pub is_reclaimable: bool,
}

/// An upstream's entry and its place among the entries of the same incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// Contents of the entry.
    pub upstream: Upstream,
    /// Number of times that this incarnation has written its entry, 0 if unknown.
    pub seq: u64,
}

/// Relation of an entry to what is known of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryOrder {
    /// The entry was read after everything that is known, in the same era of the store.
    Newer,
    /// The entry was read in a later era than the known entry or its removal, so it may be an older
    /// copy of it.
    MaybeCopy,
}

/// What became of an upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryResult {
    /// The entry was applied and caused these changes.
    Applied(Vec<UpstreamChange>),
    /// The entry is older than what is known and changed nothing.
    Stale,
}

/// Reason why an upstream gets no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveReason {
    /// The entry states that the upstream is draining.
    Draining,
    /// The upstream stated in a response that it is leaving.
    Announced,
    /// The entry was removed, or a later incarnation replaced it.
    Gone,
}

/// Change of the registry that an entry or its removal caused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// An upstream that was not registered, or the new incarnation of one that was.
    Joined(Arc<str>),
    /// The upstream takes no new work.
    Left(Arc<str>, LeaveReason),
    /// The engine's role changed to the given one.
    Role(Arc<str>, Option<EngineRole>),
}

#[derive(Clone, Debug)]
struct Registration {
    upstream: Arc<Upstream>,
    /// Sequence number of the entry, 0 if unknown.
    seq: u64,
    /// Time at which the upstream is dropped unless its entry reappears; `None` unless a list lacked
    /// the entry.
    missing_until_ms: Option<u64>,
    /// The same for an entry whose removal was read. A list that lacks the entry does not extend
    /// this time.
    removed_until_ms: Option<u64>,
}

impl Registration {
    fn is_expired(&self, now_ms: u64) -> bool {
        [self.missing_until_ms, self.removed_until_ms]
            .iter()
            .flatten()
            .any(|until_ms| *until_ms <= now_ms)
    }
}

/// Registered upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    registrations: BTreeMap<Arc<str>, Registration>,
    statements: Statements,
    /// Upstreams whose entries a restored store may list again. An upstream that is registered again
    /// stays in it.
    dropped: DroppedUpstreams,
    /// End of the grace period after an outage of the store, in which removals are delayed.
    grace_until_ms: u64,
    /// End of the grace period after a restore of the store, in which only the removals of missing
    /// entries are delayed.
    restore_grace_until_ms: u64,
}

impl UpstreamRegistry {
    /// Starts the grace period of an outage of the store that ended at `at_ms`.
    pub fn on_store_recovered(&mut self, at_ms: u64) {
        self.grace_until_ms = self.grace_until_ms.max(at_ms + STORE_RECOVERY_GRACE_MS);
    }

    /// Starts the grace period of a restore of the store that was noticed at `now_ms`. The restored
    /// copy lacks entries that were written after it was made, so entries may be missing from its
    /// lists; removals that were read take effect as usual.
    pub fn on_restored(&mut self, now_ms: u64) {
        self.restore_grace_until_ms =
            self.restore_grace_until_ms.max(now_ms + STORE_RECOVERY_GRACE_MS);
    }

    /// Applies an upstream's entry unless it is stale. An incarnation that was draining never takes
    /// work again.
    pub fn on_entry(&mut self, entry: UpstreamEntry, order: EntryOrder) -> EntryResult {
        let is_older_copy = match order {
            EntryOrder::Newer => false,
            EntryOrder::MaybeCopy => self.is_older_copy(&entry),
        };
        if is_older_copy {
            return EntryResult::Stale;
        }
        let UpstreamEntry { upstream, seq } = entry;
        let id = upstream.id.clone();
        let mut changes = Vec::new();
        match self.registrations.get(&id) {
            Some(known) if known.upstream.started_at_ms > upstream.started_at_ms => {
                return EntryResult::Stale;
            }
            Some(known) if known.upstream.started_at_ms == upstream.started_at_ms => {
                let was_draining = known.upstream.is_draining;
                if was_draining && !upstream.is_draining {
                    return EntryResult::Stale;
                }
                if upstream.is_draining && !was_draining {
                    changes.push(UpstreamChange::Left(id.clone(), LeaveReason::Draining));
                }
                if known.upstream.role != upstream.role {
                    changes.push(UpstreamChange::Role(id.clone(), upstream.role));
                }
            }
            Some(_) => {
                changes.push(UpstreamChange::Left(id.clone(), LeaveReason::Gone));
                changes.push(UpstreamChange::Joined(id.clone()));
            }
            None => changes.push(UpstreamChange::Joined(id.clone())),
        }
        // The new incarnation may have responded before its entry was read.
        let has_joined = changes.iter().any(|change| matches!(change, UpstreamChange::Joined(_)));
        if has_joined && self.statements.is_leaving(&upstream) {
            changes.push(UpstreamChange::Left(id.clone(), LeaveReason::Announced));
        }
        let registration = Registration {
            upstream: Arc::new(upstream),
            seq,
            missing_until_ms: None,
            removed_until_ms: None,
        };
        self.registrations.insert(id, registration);
        EntryResult::Applied(changes)
    }

    /// Returns whether an entry from a restored store is an older copy of the known entry or of one
    /// that was dropped.
    fn is_older_copy(&self, entry: &UpstreamEntry) -> bool {
        let UpstreamEntry { upstream, seq } = entry;
        if let Some(known) = self.registrations.get(&upstream.id) {
            return upstream.started_at_ms != 0
                && upstream.started_at_ms == known.upstream.started_at_ms
                && (1..known.seq).contains(seq);
        }
        self.dropped.get(&upstream.id).is_some_and(|dropped| {
            // A late response may announce the leave after the upstream was dropped.
            let has_left = dropped.has_left || self.statements.is_leaving(upstream);
            DroppedUpstream { has_left, ..*dropped }.covers(upstream.started_at_ms, *seq)
        })
    }

    /// Applies the removal of an entry that was read from the store, delayed to the end of the
    /// grace period of an outage if one is running.
    pub fn on_removed(&mut self, now_ms: u64, id: &str) -> Vec<UpstreamChange> {
        let Some(registration) = self.registrations.get_mut(id) else { return Vec::new() };
        if now_ms < self.grace_until_ms {
            registration.removed_until_ms.get_or_insert(self.grace_until_ms);
            return Vec::new();
        }
        self.remove(id)
    }

    /// Applies that an entry is missing from a list: removes the upstream, delayed to the end of
    /// the later grace period if one is running.
    pub fn on_missing(&mut self, now_ms: u64, id: &str) -> Vec<UpstreamChange> {
        let Some(registration) = self.registrations.get_mut(id) else { return Vec::new() };
        let grace_until_ms = self.grace_until_ms.max(self.restore_grace_until_ms);
        if now_ms < grace_until_ms {
            registration.missing_until_ms = Some(grace_until_ms);
            return Vec::new();
        }
        self.remove(id)
    }

    /// Applies a complete list of ids: removes the upstreams that it does not contain.
    pub fn on_list<'a, I>(&mut self, now_ms: u64, listed: I) -> Vec<UpstreamChange>
    where
        I: IntoIterator<Item = &'a str>,
    {
        let listed: std::collections::BTreeSet<&str> = listed.into_iter().collect();
        let missing: Vec<Arc<str>> =
            self.registrations.keys().filter(|id| !listed.contains(&***id)).cloned().collect();
        missing.iter().flat_map(|id| self.on_missing(now_ms, id)).collect()
    }

    /// Drops upstreams whose entries did not reappear within the grace period.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<UpstreamChange> {
        let expired: Vec<Arc<str>> = self
            .registrations
            .iter()
            .filter(|(_, registration)| registration.is_expired(now_ms))
            .map(|(id, _)| id.clone())
            .collect();
        expired.iter().flat_map(|id| self.remove(id)).collect()
    }

    fn remove(&mut self, id: &str) -> Vec<UpstreamChange> {
        let Some(Registration { upstream, seq, .. }) = self.registrations.remove(id) else {
            return Vec::new();
        };
        let has_left = upstream.is_draining || self.statements.is_leaving(&upstream);
        let dropped = DroppedUpstream { started_at_ms: upstream.started_at_ms, seq, has_left };
        self.dropped.insert(upstream.id.clone(), dropped);
        vec![UpstreamChange::Left(upstream.id.clone(), LeaveReason::Gone)]
    }

    /// Returns how often an upstream that was dropped is known to have written its entry, 0 if
    /// unknown.
    #[must_use]
    pub fn dropped_seq(&self, id: &str) -> u64 {
        self.dropped.get(id).map_or(0, |dropped| dropped.seq)
    }

    /// Applies that a peer, which drops this upstream, knows of more entries of it.
    pub fn raise_seq(&mut self, id: &str, seq: u64) {
        if let Some(registration) = self.registrations.get_mut(id) {
            registration.seq = registration.seq.max(seq);
        }
    }

    /// Returns the upstream with this id, draining or not.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.registrations.get(id).map(|registration| &registration.upstream)
    }

    /// Iterates over all upstreams, draining or not, in the order of their ids.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<Upstream>> {
        self.registrations.values().map(|registration| &registration.upstream)
    }

    /// Records that an upstream stated that it is leaving; that incarnation takes no work from now on.
    pub fn on_leaving(&mut self, id: &Arc<str>, origin: ResponseOrigin) -> Vec<UpstreamChange> {
        let was_leaving = self.is_leaving(id);
        self.statements_mut().on_leaving(id, origin);
        if was_leaving || !self.is_leaving(id) {
            return Vec::new();
        }
        vec![UpstreamChange::Left(id.clone(), LeaveReason::Announced)]
    }

    /// Records that an upstream wants no requests from this instance until `until_ms`, restarted or
    /// not.
    pub fn on_hold(&mut self, id: &Arc<str>, until_ms: u64) {
        self.statements_mut().on_hold(id, until_ms);
    }

    /// Records that an upstream refused a request.
    pub fn on_refusal(&mut self, now_ms: u64, id: &Arc<str>, origin: ResponseOrigin) {
        self.statements_mut().on_refusal(now_ms, id, origin);
    }

    /// Quarantines an upstream that refused work for this role, while its entry has the role.
    pub fn on_role_mismatch(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        role: Option<EngineRole>,
        origin: ResponseOrigin,
    ) {
        self.statements_mut().on_role_mismatch(now_ms, id, role, origin);
    }

    fn statements_mut(&mut self) -> &mut Statements {
        let registrations = &self.registrations;
        self.statements.make_room(|id| registrations.contains_key(id));
        &mut self.statements
    }

    fn is_leaving(&self, id: &str) -> bool {
        self.get(id).is_some_and(|upstream| self.statements.is_leaving(upstream))
    }

    /// Returns whether the upstream refused a request a short time ago.
    #[must_use]
    pub fn is_refusing(&self, now_ms: u64, upstream: &Upstream) -> bool {
        self.statements.is_refusing(now_ms, upstream)
    }

    /// Iterates over the upstreams of a service that take new work from this instance and are not
    /// quarantined.
    pub fn eligible(&self, now_ms: u64, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.not_draining(service)
            .filter(move |upstream| self.statements.takes_requests(now_ms, upstream))
    }

    /// Returns whether an upstream has stated neither that it is leaving nor that it wants no
    /// requests from this instance.
    #[must_use]
    pub fn wants_calls(&self, now_ms: u64, upstream: &Upstream) -> bool {
        !self.statements.is_leaving(upstream)
            && self.statements.held_until_ms(&upstream.id) <= now_ms
    }

    /// Returns the time at which the first upstream of the service takes requests again that now
    /// wants none; `None` if there is no such upstream.
    #[must_use]
    pub fn first_hold_end_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        self.not_draining(service)
            .filter(|upstream| !self.statements.is_leaving(upstream))
            .map(|upstream| self.statements.held_until_ms(&upstream.id))
            .filter(|until_ms| now_ms < *until_ms)
            .min()
    }

    /// Iterates over the upstreams of a service that are not draining.
    pub fn not_draining(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.iter().filter(move |upstream| !upstream.is_draining && *upstream.service == *service)
    }
}
