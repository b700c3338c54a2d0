//! What an instance does with a request whose workspace has an allowance.

use std::collections::HashMap;
use std::sync::Arc;

use cowslip_name::Name;

use crate::allowance::Budget;
use crate::broker::{Reservation, Shortage};
use crate::bucket::Bucket;

/// Most brokers that are asked for one request.
const MAX_BROKERS: usize = 6;
/// Time in milliseconds for which a broker that did not respond is not asked; it doubles with each
/// further call without a response.
const UNREACHABLE_MS: u64 = 1_000;
/// Most times that it doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Time in milliseconds for which instances that are no longer known still share the floors, since
/// they may only be out of sight.
const COUNTED_MS: u64 = 180_000;
/// Longest time in milliseconds for which a shortage is remembered.
const MAX_SHORTAGE_MS: u64 = 50;
/// Shortest and longest time in milliseconds after which a refused caller may return, before it is
/// spread.
const RETRY_AFTER_MS: (u64, u64) = (200, 2_500);

/// Next step for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The cost is covered without a reservation.
    Covered,
    /// Reserve the cost at this broker.
    Reserve(Name),
    /// Refuse the request.
    Refuse {
        /// Time after which the caller may return, in milliseconds, before it is spread.
        retry_after_ms: u64,
        /// The largest amount that a broker had left, in whole units.
        left: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct KnownShortage {
    until_ms: u64,
    /// Smallest cost that the shortage applies to.
    cost: f64,
    wait_ms: Option<u64>,
    left: u64,
}

/// The allowances as one instance applies them to requests.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    budgets: HashMap<Arc<str>, Budget>,
    floors: HashMap<Arc<str>, Bucket>,
    shortages: HashMap<(Name, Arc<str>), KnownShortage>,
    /// Calls without a response since the last one with it, and the time until which a broker is not
    /// asked.
    unreachable: HashMap<Name, (u32, u64)>,
    /// Numbers of instances, falling, each with the time until which it counts.
    counts: Vec<(usize, u64)>,
}

impl Admission {
    /// Replaces the budgets of all workspaces.
    pub fn set_budgets(&mut self, now_ms: u64, budgets: HashMap<Arc<str>, Budget>) {
        self.floors.retain(|workspace, _| budgets.contains_key(workspace));
        for workspace in budgets.keys() {
            let empty = || Bucket::empty(now_ms);
            self.floors.entry(workspace.clone()).or_insert_with(empty);
        }
        self.shortages.clear();
        self.budgets = budgets;
    }

    /// Decides the next step for a request. `instances` share the floors, of which nothing is used
    /// while their number is unknown; `brokers` are in the order in which this instance asks them,
    /// and `tried` are those that were asked for this request.
    pub fn next_step(
        &mut self,
        now_ms: u64,
        reservation: &Reservation,
        instances: Option<usize>,
        brokers: &[Name],
        tried: &[Name],
    ) -> Step {
        if tried.is_empty() && self.takes_floor(now_ms, reservation, instances) {
            return Step::Covered;
        }
        let is_open = |name: &&Name| {
            !tried.contains(name) && self.shortage(now_ms, name, reservation).is_none()
        };
        let is_reachable = |name: &&Name| {
            self.unreachable.get(*name).is_none_or(|(_, until_ms)| now_ms >= *until_ms)
        };
        let next = brokers.iter().find(|name| is_open(name) && is_reachable(name));
        if let Some(name) = next.filter(|_| tried.len() < MAX_BROKERS) {
            return Step::Reserve(name.clone());
        }
        self.refuse(now_ms, reservation, brokers)
    }

    /// Returns the largest number of instances of the last minutes.
    fn most_instances(&mut self, now_ms: u64, instances: usize) -> usize {
        let count = instances.max(1);
        self.counts.retain(|(known, until_ms)| *known > count && now_ms < *until_ms);
        self.counts.push((count, now_ms + COUNTED_MS));
        self.counts.first().map_or(count, |(most, _)| *most)
    }

    fn takes_floor(
        &mut self,
        now_ms: u64,
        reservation: &Reservation,
        instances: Option<usize>,
    ) -> bool {
        let instances = instances.map(|instances| self.most_instances(now_ms, instances));
        let workspace = &reservation.workspace;
        let (Some(budget), Some(floor)) =
            (self.budgets.get(workspace), self.floors.get_mut(workspace))
        else {
            return true;
        };
        let Some(instances) = instances else { return false };
        let instances = instances as f64;
        floor.fill(now_ms, budget.floor_rate_per_s / instances, budget.floor_burst / instances);
        floor.try_take(reservation.cost)
    }

    /// Puts back what was [`Step::Covered`] for a request that was not placed, at the same time.
    pub fn put_back(&mut self, reservation: &Reservation) {
        if let Some(floor) = self.floors.get_mut(&reservation.workspace) {
            floor.put_back(reservation.cost);
        }
    }

    fn shortage(
        &self,
        now_ms: u64,
        broker: &Name,
        reservation: &Reservation,
    ) -> Option<&KnownShortage> {
        let known = self.shortages.get(&(broker.clone(), reservation.workspace.clone()));
        known.filter(|known| now_ms < known.until_ms && reservation.cost >= known.cost)
    }

    fn refuse(&self, now_ms: u64, reservation: &Reservation, brokers: &[Name]) -> Step {
        let known = || brokers.iter().filter_map(|name| self.shortage(now_ms, name, reservation));
        let wait_ms = known().filter_map(|known| known.wait_ms).min();
        let (least_ms, most_ms) = RETRY_AFTER_MS;
        // Without a broker in reach, one is found or replaced within seconds.
        let unknown_ms = if known().next().is_some() { most_ms } else { UNREACHABLE_MS };
        Step::Refuse {
            retry_after_ms: wait_ms.unwrap_or(unknown_ms).clamp(least_ms, most_ms),
            left: known().map(|known| known.left).max().unwrap_or(0),
        }
    }

    /// Records that a broker granted no reservation.
    pub fn on_shortage(
        &mut self,
        now_ms: u64,
        broker: &Name,
        reservation: &Reservation,
        shortage: Shortage,
    ) {
        let (wait_ms, left) = match shortage {
            Shortage::NoGrant => (Some(UNREACHABLE_MS), 0),
            Shortage::Low { wait_ms, left } => (wait_ms, left),
        };
        let until_ms = now_ms + wait_ms.unwrap_or(MAX_SHORTAGE_MS).clamp(1, MAX_SHORTAGE_MS);
        let cost = reservation.cost;
        let known = KnownShortage { until_ms, cost, wait_ms, left };
        self.shortages.insert((broker.clone(), reservation.workspace.clone()), known);
    }

    /// Returns the time after which a refused caller is told to return, spread by a random number so
    /// that callers who were refused together do not return together.
    #[must_use]
    pub fn spread_ms(retry_after_ms: u64, random: u64) -> u64 {
        retry_after_ms + random % (retry_after_ms + 1)
    }

    /// Records that a broker did not respond.
    pub fn on_unreachable(&mut self, now_ms: u64, broker: &Name) {
        let (failures, until_ms) = self.unreachable.entry(broker.clone()).or_default();
        *until_ms = now_ms + (UNREACHABLE_MS << *failures);
        *failures = (*failures + 1).min(MAX_DOUBLINGS);
    }

    /// Records that a broker responded.
    pub fn on_reachable(&mut self, broker: &Name) {
        self.unreachable.remove(broker);
    }
}
