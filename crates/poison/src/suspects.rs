//! Which requests were in flight at upstreams that were lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cowslip_name::Name;

/// BLAKE3 of method, path and body of a request.
pub type RequestDigest = [u8; 32];

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Suspect {
    upstreams: BTreeSet<Name>,
    changed_at: u64,
}

/// Requests under suspicion, a bounded number of them. Each change has a number, so that others
/// can be told only what they have not heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspects {
    limit: usize,
    capacity: usize,
    lost: BTreeMap<RequestDigest, Suspect>,
    version: u64,
    order: VecDeque<RequestDigest>,
    /// Requests that were suspected and have been answered since, the newest last.
    innocent: VecDeque<RequestDigest>,
}

impl Suspects {
    /// A request is refused once `limit` upstreams were lost with it; `capacity` are remembered.
    #[must_use]
    pub fn new(limit: usize, capacity: usize) -> Self {
        Self {
            limit,
            capacity,
            lost: BTreeMap::new(),
            version: 0,
            order: VecDeque::new(),
            innocent: VecDeque::new(),
        }
    }

    /// Notes that an upstream was lost while it ran the request.
    pub fn on_upstream_lost(&mut self, digest: RequestDigest, upstream: Name) {
        if self.innocent.contains(&digest) {
            return;
        }
        let known = self.lost.entry(digest).or_default();
        if known.upstreams.is_empty() {
            self.order.push_back(digest);
        }
        if known.upstreams.insert(upstream) {
            self.version += 1;
            known.changed_at = self.version;
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.lost.remove(&oldest);
            }
        }
    }

    /// The request ran to its end at an upstream that goes on: it was in flight by chance when
    /// others were lost, and what others tell of it does not count any more.
    pub fn on_success(&mut self, digest: &RequestDigest) {
        if self.lost.remove(digest).is_none() {
            return;
        }
        self.order.retain(|known| known != digest);
        self.innocent.push_back(*digest);
        if self.innocent.len() > self.capacity {
            self.innocent.pop_front();
        }
    }

    /// Whether the request may not run any more.
    #[must_use]
    pub fn is_quarantined(&self, digest: &RequestDigest) -> bool {
        self.lost.get(digest).is_some_and(|suspect| suspect.upstreams.len() >= self.limit)
    }

    /// Number of the newest change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Suspicions that changed after this change, the newest request first.
    pub fn changed_since(
        &self,
        change: u64,
    ) -> impl Iterator<Item = (&RequestDigest, &BTreeSet<Name>)> {
        self.order
            .iter()
            .rev()
            .filter_map(|digest| self.lost.get_key_value(digest))
            .filter(move |(_, suspect)| suspect.changed_at > change)
            .map(|(digest, suspect)| (digest, &suspect.upstreams))
    }
}
