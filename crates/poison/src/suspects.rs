//! Which requests were in flight at upstreams that were lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cowslip_name::Name;

/// BLAKE3 of method, path and body of a request.
pub type Fingerprint = [u8; 32];

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
    lost: BTreeMap<Fingerprint, Suspect>,
    changes: u64,
    order: VecDeque<Fingerprint>,
    /// Requests that were suspected and have been answered since, the newest last.
    innocent: VecDeque<Fingerprint>,
}

impl Suspects {
    /// A request is refused once `limit` upstreams were lost with it; `capacity` are remembered.
    #[must_use]
    pub fn new(limit: usize, capacity: usize) -> Self {
        Self {
            limit,
            capacity,
            lost: BTreeMap::new(),
            changes: 0,
            order: VecDeque::new(),
            innocent: VecDeque::new(),
        }
    }

    /// Notes that an upstream was lost while it ran the request.
    pub fn on_loss(&mut self, fingerprint: Fingerprint, upstream: Name) {
        if self.innocent.contains(&fingerprint) {
            return;
        }
        let known = self.lost.entry(fingerprint).or_default();
        if known.upstreams.is_empty() {
            self.order.push_back(fingerprint);
        }
        if known.upstreams.insert(upstream) {
            self.changes += 1;
            known.changed_at = self.changes;
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.lost.remove(&oldest);
            }
        }
    }

    /// The request ran to its end at an upstream that goes on: it was in flight by chance when
    /// others were lost, and what others tell of it does not count any more.
    pub fn on_answer(&mut self, fingerprint: &Fingerprint) {
        if self.lost.remove(fingerprint).is_none() {
            return;
        }
        self.order.retain(|known| known != fingerprint);
        self.innocent.push_back(*fingerprint);
        if self.innocent.len() > self.capacity {
            self.innocent.pop_front();
        }
    }

    /// Whether the request may not run any more.
    #[must_use]
    pub fn is_refused(&self, fingerprint: &Fingerprint) -> bool {
        self.lost.get(fingerprint).is_some_and(|suspect| suspect.upstreams.len() >= self.limit)
    }

    /// Number of the newest change.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Suspicions that changed after this change, the newest request first.
    pub fn changed_after(
        &self,
        change: u64,
    ) -> impl Iterator<Item = (&Fingerprint, &BTreeSet<Name>)> {
        self.order
            .iter()
            .rev()
            .filter_map(|fingerprint| self.lost.get_key_value(fingerprint))
            .filter(move |(_, suspect)| suspect.changed_at > change)
            .map(|(fingerprint, suspect)| (fingerprint, &suspect.upstreams))
    }
}
