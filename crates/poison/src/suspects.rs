//! Requests that were in flight at upstreams that were lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cowslip_name::Name;

/// BLAKE3 of method, path and body of a request.
pub type RequestDigest = [u8; 32];

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Suspect {
    /// Upstreams that were lost while they ran the request.
    upstreams: BTreeSet<Name>,
    /// Version of the newest change to `upstreams`.
    changed_at: u64,
}

/// A bounded set of suspected requests with the upstreams lost while running them.
///
/// Each change increments a version, so that a peer is sent only the changes that it lacks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspects {
    /// Number of different lost upstreams at which a request is quarantined.
    limit: usize,
    /// Maximum number of suspects, and of cleared requests.
    capacity: usize,
    by_digest: BTreeMap<RequestDigest, Suspect>,
    version: u64,
    /// Digests of the suspected requests in the order of their first loss, the newest last.
    order: VecDeque<RequestDigest>,
    /// Digests of requests that succeeded after they were suspected, the newest last.
    cleared: VecDeque<RequestDigest>,
}

impl Suspects {
    /// Creates an empty set that quarantines a request once `limit` different upstreams were lost
    /// while running it. At most `capacity` suspects are kept; the oldest are dropped first.
    #[must_use]
    pub fn new(limit: usize, capacity: usize) -> Self {
        Self {
            limit,
            capacity,
            by_digest: BTreeMap::new(),
            version: 0,
            order: VecDeque::new(),
            cleared: VecDeque::new(),
        }
    }

    /// Records that an upstream was lost while it ran the request. Requests cleared by
    /// [`Self::on_success`] are ignored.
    pub fn on_upstream_lost(&mut self, digest: RequestDigest, upstream: Name) {
        if self.cleared.contains(&digest) {
            return;
        }
        let suspect = self.by_digest.entry(digest).or_default();
        if suspect.upstreams.is_empty() {
            self.order.push_back(digest);
        }
        if suspect.upstreams.insert(upstream) {
            self.version += 1;
            suspect.changed_at = self.version;
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.by_digest.remove(&oldest);
            }
        }
    }

    /// Clears a suspected request that ran to its end at an upstream that stays up: it was in
    /// flight by chance when other upstreams were lost. Peers' reports of it no longer count.
    pub fn on_success(&mut self, digest: &RequestDigest) {
        if self.by_digest.remove(digest).is_none() {
            return;
        }
        self.order.retain(|suspect| suspect != digest);
        self.cleared.push_back(*digest);
        if self.cleared.len() > self.capacity {
            self.cleared.pop_front();
        }
    }

    /// Returns whether the request is quarantined, so that no upstream may run it.
    #[must_use]
    pub fn is_quarantined(&self, digest: &RequestDigest) -> bool {
        self.by_digest.get(digest).is_some_and(|suspect| suspect.upstreams.len() >= self.limit)
    }

    /// Returns the version of the newest change, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the suspected requests that changed after version `version`, with the upstreams lost
    /// while running them, the newest request first.
    pub fn changed_since(
        &self,
        version: u64,
    ) -> impl Iterator<Item = (&RequestDigest, &BTreeSet<Name>)> {
        self.order
            .iter()
            .rev()
            .filter_map(|digest| self.by_digest.get_key_value(digest))
            .filter(move |(_, suspect)| suspect.changed_at > version)
            .map(|(digest, suspect)| (digest, &suspect.upstreams))
    }
}
