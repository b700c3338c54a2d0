//! The fold of order intents: at most one open order per target, numbered without gaps.

use std::collections::BTreeMap;

use cowslip_name::Name;

use crate::terms::{Term, TermTable};

/// A target of orders within a scope.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Scope whose holder gives the orders.
    pub scope: Name,
    /// Name of the upstream.
    pub upstream: Name,
}

/// The newest order of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderEntry<A> {
    /// Number of the order, from 1.
    pub sequence: u64,
    /// Full content.
    pub action: A,
    /// Whether the order may still have to be sent.
    pub open: bool,
    /// Offset of the intent.
    pub offset: u64,
}

/// Newest order of each target, as of a place in the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderTable<A> {
    targets: BTreeMap<Target, OrderEntry<A>>,
}

impl<A> Default for OrderTable<A> {
    fn default() -> Self {
        Self { targets: BTreeMap::new() }
    }
}

impl<A> OrderTable<A>
where
    A: Clone + PartialEq,
{
    /// Restores a book from the orders of a snapshot.
    #[must_use]
    pub fn from_orders(targets: BTreeMap<Target, OrderEntry<A>>) -> Self {
        Self { targets }
    }

    /// Applies the intent found at `offset`; returns whether it counts.
    ///
    /// It counts in the current term only, with the next sequence number, and only while no order
    /// of the target is open: an open one is finished by whoever holds the term.
    pub fn apply_intent(
        &mut self,
        terms: &TermTable,
        offset: u64,
        target: &Target,
        term: Term,
        sequence: u64,
        action: &A,
    ) -> bool {
        let newest = self.targets.get(target);
        let is_next = newest.map_or(1, |newest| newest.sequence + 1) == sequence;
        let is_closed = newest.is_none_or(|newest| !newest.open);
        let counts = terms.is_current(&target.scope, term) && is_next && is_closed;
        if counts {
            let order = OrderEntry { sequence, action: action.clone(), open: true, offset };
            self.targets.insert(target.clone(), order);
        }
        counts
    }

    /// Closes the open order `sequence` of a target; returns whether it counts.
    pub fn apply_done(
        &mut self,
        terms: &TermTable,
        target: &Target,
        term: Term,
        sequence: u64,
    ) -> bool {
        let is_current = terms.is_current(&target.scope, term);
        match self.targets.get_mut(target) {
            Some(order) if is_current && order.open && order.sequence == sequence => {
                order.open = false;
                true
            }
            _ => false,
        }
    }

    /// Newest order of a target.
    #[must_use]
    pub fn newest(&self, target: &Target) -> Option<&OrderEntry<A>> {
        self.targets.get(target)
    }

    /// Number that the next order of a target takes, `None` while one is open.
    #[must_use]
    pub fn next_sequence(&self, target: &Target) -> Option<u64> {
        match self.targets.get(target) {
            None => Some(1),
            Some(order) if order.open => None,
            Some(order) => Some(order.sequence + 1),
        }
    }

    /// All targets in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Target, &OrderEntry<A>)> {
        self.targets.iter()
    }
}
