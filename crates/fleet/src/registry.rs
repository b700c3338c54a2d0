//! The upstreams that may be used, as their own entries in the store say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long entries that lapsed while the store was away may take to come back after its return.
pub const STORE_RECOVERY_GRACE_MS: u64 = 2_000; // the users' letter: "about two seconds"
/// Longest time without work for an upstream whose entry seems to be old: a change of role takes
/// three seconds, and the next entry more than one.
const DOUBT_MS: u64 = 4_500;

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EngineRole {
    /// Reads prompts for others.
    Prefill,
    /// Generates answers.
    Decode,
}

/// An upstream's own entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of this life of the upstream, or of several in turn.
    pub id: Arc<str>,
    /// Start of this life, in Unix milliseconds; 0 where none is given.
    pub started_at_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Requests that it works on at once, at least 1.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// What it does, for an engine.
    pub role: Option<EngineRole>,
    /// Whether it may be reclaimed at short notice.
    pub is_reclaimable: bool,
}

/// Why an upstream gets no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveReason {
    /// It said that it is leaving.
    Draining,
    /// Its entry was removed or another life took its place.
    Gone,
}

/// What an entry changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// A life of an upstream that was not known, or was held for gone.
    Joined(Arc<str>),
    /// An upstream takes no new work from now on.
    Left(Arc<str>, LeaveReason),
    /// An engine's role is another.
    Role(Arc<str>, Option<EngineRole>),
}

#[derive(Clone, Debug)]
struct Member {
    upstream: Arc<Upstream>,
    /// When it is dropped unless its entry comes back.
    lapses_at_ms: Option<u64>,
    /// Until when it gets no work, as it has refused what its entry says that it does.
    doubted_until_ms: u64,
}

/// Upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    members: BTreeMap<Arc<str>, Member>,
    /// Until when a removed entry may only be late after an outage of the store.
    grace_until_ms: u64,
}

impl UpstreamRegistry {
    /// The store has answered again after it had failed.
    pub fn on_store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + STORE_RECOVERY_GRACE_MS;
    }

    /// Takes an upstream's entry. A life that was leaving never takes work again.
    pub fn on_entry(&mut self, entry: Upstream) -> Vec<UpstreamChange> {
        let id = entry.id.clone();
        let mut changes = Vec::new();
        let mut doubted_until_ms = 0;
        match self.members.get(&id) {
            Some(known) if known.upstream.started_at_ms > entry.started_at_ms => return changes,
            Some(known) if known.upstream.started_at_ms == entry.started_at_ms => {
                let is_leaving = known.upstream.is_draining;
                if is_leaving && !entry.is_draining {
                    return changes;
                }
                if entry.is_draining && !is_leaving {
                    changes.push(UpstreamChange::Left(id.clone(), LeaveReason::Draining));
                }
                if known.upstream.role == entry.role {
                    doubted_until_ms = known.doubted_until_ms;
                } else {
                    changes.push(UpstreamChange::Role(id.clone(), entry.role));
                }
            }
            Some(_) => {
                changes.push(UpstreamChange::Left(id.clone(), LeaveReason::Gone));
                changes.push(UpstreamChange::Joined(id.clone()));
            }
            None => changes.push(UpstreamChange::Joined(id.clone())),
        }
        let upstream = Arc::new(entry);
        self.members.insert(id, Member { upstream, lapses_at_ms: None, doubted_until_ms });
        changes
    }

    /// Takes the removal of an entry.
    pub fn on_removed(&mut self, now_ms: u64, id: &str) -> Vec<UpstreamChange> {
        let Some(member) = self.members.get_mut(id) else { return Vec::new() };
        if now_ms < self.grace_until_ms {
            member.lapses_at_ms.get_or_insert(self.grace_until_ms);
            return Vec::new();
        }
        self.drop_member(id)
    }

    /// Takes a whole list of ids: those that are missing from it are removed.
    pub fn on_list<'a, I>(&mut self, now_ms: u64, listed: I) -> Vec<UpstreamChange>
    where
        I: IntoIterator<Item = &'a str>,
    {
        let listed: std::collections::BTreeSet<&str> = listed.into_iter().collect();
        let missing: Vec<Arc<str>> =
            self.members.keys().filter(|id| !listed.contains(&***id)).cloned().collect();
        missing.iter().flat_map(|id| self.on_removed(now_ms, id)).collect()
    }

    /// Drops upstreams whose entries did not come back in time.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<UpstreamChange> {
        let lapsed: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|(_, member)| member.lapses_at_ms.is_some_and(|at_ms| at_ms <= now_ms))
            .map(|(id, _)| id.clone())
            .collect();
        lapsed.iter().flat_map(|id| self.drop_member(id)).collect()
    }

    fn drop_member(&mut self, id: &str) -> Vec<UpstreamChange> {
        self.members
            .remove(id)
            .map(|member| vec![UpstreamChange::Left(member.upstream.id.clone(), LeaveReason::Gone)])
            .unwrap_or_default()
    }

    /// The upstream with this id, leaving or not.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.members.get(id).map(|member| &member.upstream)
    }

    /// All upstreams, leaving or not, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.members.values().map(|member| &member.upstream)
    }

    /// The upstream has refused what its entry says that it does.
    pub fn on_role_mismatch(&mut self, now_ms: u64, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.doubted_until_ms = now_ms + DOUBT_MS;
        }
    }

    /// Upstreams of a service that take new work and are what their entries say.
    pub fn eligible(&self, now_ms: u64, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.members
            .values()
            .filter(move |member| member.doubted_until_ms <= now_ms)
            .map(|member| &member.upstream)
            .filter(move |upstream| !upstream.is_draining && *upstream.service == *service)
    }

    /// Upstreams of a service that are not about to leave.
    pub fn accepting(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.iter().filter(move |upstream| !upstream.is_draining && *upstream.service == *service)
    }
}
