//! What upstreams state about themselves in their responses, and which incarnations that concerns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::registry::{EngineRole, Upstream};

/// Time for which an upstream that refused a request is avoided, since an engine that is full or
/// changes its role refuses more than one. A role change takes three seconds, a full engine accepts
/// requests again sooner.
const REFUSAL_BACKOFF_MS: u64 = 1_000;
/// Longest time for which an upstream is not used because it refused work for the role in its entry:
/// a role change takes three seconds, and the next entry comes more than one second later.
const ROLE_MISMATCH_QUARANTINE_MS: u64 = 4_500;
/// Largest difference of an upstream's clock from the cluster time, in milliseconds: instances do not
/// correct smaller ones of their own.
pub const MAX_CLOCK_ERROR_MS: u64 = 150;
/// Number of upstreams with remembered statements from which on those of unregistered ones are
/// dropped.
const MAX_UPSTREAMS: usize = 4_096;

/// Origin of a response: the process that accepted its connection.
///
/// An upstream that restarts responds before its new entry is read. So the response may come from a
/// later incarnation than the one whose entry was known when the request was sent. Origins of one
/// upstream are ordered by time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ResponseOrigin {
    /// Start of the incarnation whose entry was known, in Unix milliseconds, 0 if the entry gave none.
    pub known_started_at_ms: u64,
    /// Time at which the connection was opened, in Unix milliseconds of the cluster time.
    pub connected_at_ms: u64,
    /// Address that the request was sent to.
    pub address: SocketAddr,
}

impl ResponseOrigin {
    /// Returns whether the response comes from this incarnation: the known one, or a later one that
    /// may have started when the connection was opened to its address.
    #[must_use]
    pub fn is_from(&self, upstream: &Upstream) -> bool {
        let may_have_started = self.known_started_at_ms..=self.connected_at_ms + MAX_CLOCK_ERROR_MS;
        upstream.started_at_ms == self.known_started_at_ms
            || (upstream.address == self.address
                && may_have_started.contains(&upstream.started_at_ms))
    }
}

/// A refusal, and the time until which it counts.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    origin: ResponseOrigin,
    until_ms: u64,
    /// Role for which the request was sent.
    role: Option<EngineRole>,
}

impl Refusal {
    /// Returns the newer one of two refusals. One for a former incarnation may arrive late; otherwise
    /// the last one counts, on whichever connection.
    fn or_newer(self, other: Self) -> Self {
        let key = |refusal: &Self| (refusal.origin.known_started_at_ms, refusal.until_ms);
        if key(&other) >= key(&self) { other } else { self }
    }

    fn applies(&self, now_ms: u64, upstream: &Upstream) -> bool {
        now_ms < self.until_ms && self.origin.is_from(upstream)
    }
}

/// Statements of one upstream, the newest of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamStatements {
    /// Time until which the upstream wants no requests from this instance. A restart of the upstream
    /// does not end it.
    held_until_ms: u64,
    /// Origin of the statement that the upstream is leaving.
    leaving: Option<ResponseOrigin>,
    /// Refusal of any request, after which the upstream is avoided.
    refusal: Option<Refusal>,
    /// Refusal of work for a role, which ends with an entry that has another role.
    role_mismatch: Option<Refusal>,
}

impl UpstreamStatements {
    fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.leaving.is_some_and(|origin| origin.is_from(upstream))
    }

    fn is_in_other_role(&self, now_ms: u64, upstream: &Upstream) -> bool {
        self.role_mismatch.is_some_and(|mismatch| {
            mismatch.role == upstream.role && mismatch.applies(now_ms, upstream)
        })
    }
}

/// Statements of upstreams by id. They outlive the registration, since an entry that expires may
/// reappear.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statements {
    by_id: BTreeMap<Arc<str>, UpstreamStatements>,
}

impl Statements {
    /// Drops the statements of unregistered upstreams if there are too many.
    pub(crate) fn make_room<F>(&mut self, is_registered: F)
    where
        F: Fn(&str) -> bool,
    {
        if self.by_id.len() >= MAX_UPSTREAMS {
            self.by_id.retain(|id, _| is_registered(id));
        }
    }

    fn of_mut(&mut self, id: &Arc<str>) -> &mut UpstreamStatements {
        self.by_id.entry(id.clone()).or_default()
    }

    pub(crate) fn on_leaving(&mut self, id: &Arc<str>, origin: ResponseOrigin) {
        let statements = self.of_mut(id);
        statements.leaving = statements.leaving.max(Some(origin));
    }

    /// Records a hold. Times are truncated to milliseconds, so the one in which it ends belongs to it.
    pub(crate) fn on_hold(&mut self, id: &Arc<str>, until_ms: u64) {
        let statements = self.of_mut(id);
        statements.held_until_ms = statements.held_until_ms.max(until_ms + 1);
    }

    pub(crate) fn on_refusal(&mut self, now_ms: u64, id: &Arc<str>, origin: ResponseOrigin) {
        let refusal = Refusal { origin, until_ms: now_ms + REFUSAL_BACKOFF_MS, role: None };
        let known = &mut self.of_mut(id).refusal;
        *known = Some(known.map_or(refusal, |known| known.or_newer(refusal)));
    }

    /// Records that an upstream refused work for a role.
    pub(crate) fn on_role_mismatch(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        role: Option<EngineRole>,
        origin: ResponseOrigin,
    ) {
        let mismatch = Refusal { origin, until_ms: now_ms + ROLE_MISMATCH_QUARANTINE_MS, role };
        let known = &mut self.of_mut(id).role_mismatch;
        *known = Some(known.map_or(mismatch, |known| known.or_newer(mismatch)));
    }

    pub(crate) fn held_until_ms(&self, id: &str) -> u64 {
        self.by_id.get(id).map_or(0, |statements| statements.held_until_ms)
    }

    pub(crate) fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.by_id.get(&upstream.id).is_some_and(|statements| statements.is_leaving(upstream))
    }

    /// Returns whether an upstream takes new requests from this instance.
    pub(crate) fn takes_requests(&self, now_ms: u64, upstream: &Upstream) -> bool {
        self.by_id.get(&upstream.id).is_none_or(|statements| {
            statements.held_until_ms <= now_ms
                && !statements.is_leaving(upstream)
                && !statements.is_in_other_role(now_ms, upstream)
        })
    }

    pub(crate) fn is_refusing(&self, now_ms: u64, upstream: &Upstream) -> bool {
        self.by_id
            .get(&upstream.id)
            .and_then(|statements| statements.refusal)
            .is_some_and(|refusal| refusal.applies(now_ms, upstream))
    }
}
