//! Order intents applied from the log: at most one open order per target, numbered without gaps.

use std::collections::BTreeMap;

use cowslip_name::Name;

use crate::terms::{Term, TermTable};

/// An upstream that receives the orders of a scope's lease holder.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Scope whose lease holder sends the orders.
    pub scope: Name,
    /// Name of the upstream.
    pub upstream: Name,
}

/// The newest order of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderEntry<A> {
    /// Sequence number of the order at its target, from 1.
    pub sequence: u64,
    /// Content of the order.
    pub action: A,
    /// Whether the order may still have to be sent.
    pub open: bool,
    /// Log offset of the order's intent.
    pub offset: u64,
}

/// Newest order of each target, as of one log offset.
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
    /// Restores a table from the orders of a snapshot.
    #[must_use]
    pub fn from_orders(targets: BTreeMap<Target, OrderEntry<A>>) -> Self {
        Self { targets }
    }

    /// Applies the intent found at `offset` and returns whether it took effect.
    ///
    /// An intent takes effect only in the current term, with the next sequence number, and while no
    /// order of the target is open: the holder of the term completes an open order first.
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
        let has_no_open_order = newest.is_none_or(|newest| !newest.open);
        let is_effective = terms.is_current(&target.scope, term) && is_next && has_no_open_order;
        if is_effective {
            let order = OrderEntry { sequence, action: action.clone(), open: true, offset };
            self.targets.insert(target.clone(), order);
        }
        is_effective
    }

    /// Closes the open order `sequence` of a target and returns whether the record took effect.
    pub fn apply_completion(
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

    /// Returns the newest order of a target.
    #[must_use]
    pub fn newest(&self, target: &Target) -> Option<&OrderEntry<A>> {
        self.targets.get(target)
    }

    /// Returns the sequence number of the target's next order, `None` while an order is open.
    #[must_use]
    pub fn next_sequence(&self, target: &Target) -> Option<u64> {
        match self.targets.get(target) {
            None => Some(1),
            Some(order) if order.open => None,
            Some(order) => Some(order.sequence + 1),
        }
    }

    /// Iterates over all targets in order, with their newest orders.
    pub fn iter(&self) -> impl Iterator<Item = (&Target, &OrderEntry<A>)> {
        self.targets.iter()
    }
}
