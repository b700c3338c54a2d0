//! Who reads the store, and who tells whom what is in it.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_name::Name;

use crate::select::feeders;

/// Instances that read the store and feed one that cannot, beside the feeders.
const MAX_HELPERS: usize = 3; // one may be lost at any moment, and another be turned away next

/// What an instance knows of those that read the store for others.
///
/// The feeders of each failure domain read the store themselves. Every other instance is told by
/// the feeders of its own domain what has changed, and reads the store only while none of them
/// tells it anything.
#[derive(Clone, Debug)]
pub struct Feeding {
    me: Name,
    domain: Name,
    /// How long an answer of a feeder counts.
    fed_ms: u64,
    /// Feeders of all domains, with their domains.
    feeders: BTreeMap<Name, Name>,
    fed_at_ms: Option<u64>,
    /// The other instances of the own domain.
    neighbours: BTreeSet<Name>,
    /// Instances that have asked lately.
    askers: BTreeMap<Name, Asker>,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    at_ms: u64,
    reads_store: bool,
}

impl Feeding {
    /// Knows nobody yet.
    #[must_use]
    pub fn new(me: Name, domain: Name, fed_ms: u64) -> Self {
        let feeders = BTreeMap::from([(me.clone(), domain.clone())]);
        Self {
            me,
            domain,
            fed_ms,
            feeders,
            fed_at_ms: None,
            neighbours: BTreeSet::new(),
            askers: BTreeMap::new(),
        }
    }

    /// Takes all live instances with their domains; this one counts whether listed or not.
    pub fn on_instances<'a, I>(&mut self, live: I)
    where
        I: IntoIterator<Item = (&'a Name, &'a Name)>,
    {
        let mut domains: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        domains.entry(self.domain.clone()).or_default().push(self.me.clone());
        for (name, domain) in live.into_iter().filter(|(name, _)| **name != self.me) {
            domains.entry(domain.clone()).or_default().push(name.clone());
        }
        let own = domains.get(&self.domain).into_iter().flatten();
        self.neighbours = own.filter(|name| **name != self.me).cloned().collect();
        self.feeders = domains
            .iter()
            .flat_map(|(domain, names)| feeders(names).into_iter().map(move |name| (name, domain)))
            .map(|(name, domain)| (name.clone(), domain.clone()))
            .collect();
    }

    /// Takes the feeders as another instance has told them.
    pub fn on_feeders<I>(&mut self, told: I)
    where
        I: IntoIterator<Item = (Name, Name)>,
    {
        self.feeders = told.into_iter().collect();
    }

    /// An instance that reads the store has told all that it knows.
    pub fn on_fed(&mut self, now_ms: u64, by: &Name) {
        if self.feeders.get(by) == Some(&self.domain) {
            self.fed_at_ms = Some(now_ms);
        }
    }

    /// An instance has asked; `reads_store` tells whether its own reads succeed.
    pub fn on_asked(&mut self, now_ms: u64, by: &Name, reads_store: bool) {
        let fed_ms = self.fed_ms;
        self.askers.retain(|_, asker| now_ms.saturating_sub(asker.at_ms) < fed_ms);
        self.askers.insert(by.clone(), Asker { at_ms: now_ms, reads_store });
    }

    /// The feeders of all domains.
    pub fn feeders(&self) -> impl Iterator<Item = &Name> {
        self.feeders.keys()
    }

    /// Whether this instance reads the store for others.
    #[must_use]
    pub fn is_feeder(&self) -> bool {
        self.feeders.contains_key(&self.me)
    }

    /// Whether this instance has to read the store itself.
    #[must_use]
    pub fn is_reader(&self, now_ms: u64) -> bool {
        let is_fed = self.fed_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < self.fed_ms);
        self.is_feeder() || !is_fed
    }

    /// The instances to exchange with: the feeders of the own domain, or all feeders for one that
    /// is a feeder or is not fed; `reads_store` tells whether its own reads succeed.
    ///
    /// A feeder also goes to neighbours that do not ask, as they may know nobody, and one whose
    /// reads fail goes to instances whose reads do not.
    #[must_use]
    pub fn partners(&self, now_ms: u64, reads_store: bool) -> BTreeSet<Name> {
        let is_reader = self.is_reader(now_ms);
        let mut partners: BTreeSet<Name> = self
            .feeders
            .iter()
            .filter(|(_, domain)| is_reader || **domain == self.domain)
            .map(|(name, _)| name.clone())
            .collect();
        let is_heard = |name: &&Name| {
            let asker = self.askers.get(*name);
            asker.is_some_and(|asker| now_ms.saturating_sub(asker.at_ms) < self.fed_ms)
        };
        if self.is_feeder() {
            partners.extend(self.neighbours.iter().filter(|name| !is_heard(name)).cloned());
        }
        if is_reader && !reads_store {
            let helpers = self.askers.iter().filter(|(_, asker)| asker.reads_store);
            partners.extend(helpers.map(|(name, _)| name.clone()).take(MAX_HELPERS));
        }
        partners.remove(&self.me);
        partners
    }
}
