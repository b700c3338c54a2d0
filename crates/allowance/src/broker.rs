//! The buckets of one broker.

use std::collections::HashMap;
use std::sync::Arc;

use num_traits::ToPrimitive;

use crate::allowance::{Budget, RESERVATION_MS};
use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::shares::Grant;

/// Fraction of a workspace's rate from which its demand at this broker is reported.
const REPORTED_DEMAND: f64 = 0.02;

/// Cost of one request of a workspace that an instance asks a broker for.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Cost of the request in units of the allowance.
    pub cost: f64,
}

/// Why a broker grants no reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The broker has no grant in force, or the workspace no allowance there.
    NoGrant,
    /// The bucket holds too little.
    Low {
        /// Time in milliseconds until the bucket could hold the cost, if nobody else took from it;
        /// `None` if its share never holds as much.
        wait_ms: Option<u64>,
        /// What the bucket holds, in whole units.
        left: u64,
    },
}

/// The part of all allowances that one instance gives out, while it has a grant.
///
/// Without a grant in force the buckets hold nothing; they fill from zero under the next one.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    grant: Option<(Grant, u64)>,
    buckets: HashMap<Arc<str>, Bucket>,
    demand: HashMap<Arc<str>, Demand>,
    budgets: HashMap<Arc<str>, Budget>,
}

impl Broker {
    /// Replaces the budgets of all workspaces, as after a change of the configuration. What a bucket
    /// holds beyond a lower budget is lost.
    pub fn set_budgets(&mut self, now_ms: u64, budgets: HashMap<Arc<str>, Budget>) {
        self.fill_all(now_ms);
        self.budgets = budgets;
        self.buckets.retain(|workspace, _| self.budgets.contains_key(workspace));
        self.demand.retain(|workspace, _| self.budgets.contains_key(workspace));
        if self.grant.is_some() {
            self.add_buckets(now_ms);
        }
        self.fill_all(now_ms);
    }

    /// Adds an empty bucket for each workspace that has none.
    fn add_buckets(&mut self, now_ms: u64) {
        for workspace in self.budgets.keys() {
            self.buckets.entry(workspace.clone()).or_insert_with(|| Bucket::empty(now_ms));
        }
    }

    /// Applies a grant until `expires_at_ms`, unless a newer one is in force. Returns whether it has
    /// been applied.
    pub fn on_grant(&mut self, now_ms: u64, grant: Grant, expires_at_ms: u64) -> bool {
        self.expire(now_ms);
        let is_newer = self.grant.as_ref().is_none_or(|(known, _)| grant.id > known.id);
        if !is_newer || now_ms >= expires_at_ms {
            return false;
        }
        self.fill_all(now_ms);
        self.add_buckets(now_ms);
        self.grant = Some((grant, expires_at_ms));
        self.fill_all(now_ms);
        true
    }

    /// Returns the grant in force.
    pub fn grant(&mut self, now_ms: u64) -> Option<&Grant> {
        self.expire(now_ms);
        self.grant.as_ref().map(|(grant, _)| grant)
    }

    /// Drops an expired grant. Returns whether there was one.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let has_expired = self.grant.as_ref().is_some_and(|(_, until_ms)| now_ms >= *until_ms);
        if has_expired {
            self.grant = None;
            self.buckets.clear();
        }
        has_expired
    }

    /// Takes the cost of a reservation from the workspace's bucket.
    ///
    /// # Errors
    /// Returns the [`Shortage`] if the bucket holds too little.
    pub fn reserve(&mut self, now_ms: u64, reservation: &Reservation) -> Result<(), Shortage> {
        self.expire(now_ms);
        let Reservation { workspace, cost } = reservation;
        let Some(budget) = self.budgets.get(workspace) else { return Err(Shortage::NoGrant) };
        let demand = self.demand.entry(workspace.clone()).or_insert_with(|| Demand::new(now_ms));
        demand.add(now_ms, *cost);
        let demand_per_s = demand.per_s(now_ms);
        let Some((grant, _)) = &self.grant else { return Err(Shortage::NoGrant) };
        let share = grant.shares.of(workspace);
        let (rate_per_s, capacity) = (budget.rate_per_s * share, budget.burst * share);
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Err(Shortage::NoGrant) };
        let level = bucket.fill(now_ms, rate_per_s, capacity);
        if bucket.try_take(*cost) {
            return Ok(());
        }
        // With more demand than accrues, the missing amount becomes free for one in several.
        let competition = (demand_per_s / rate_per_s).max(1.0);
        let wait_ms = (cost - level) / rate_per_s * competition * 1_000.0;
        let can_hold = *cost <= capacity && wait_ms.is_finite();
        let whole = |number: f64| number.max(0.0).to_u64().unwrap_or(u64::MAX);
        Err(Shortage::Low { wait_ms: can_hold.then(|| whole(wait_ms)), left: whole(level) })
    }

    /// Puts back what was reserved at `reserved_at_ms` for a request that has not run, while the
    /// reservation is valid.
    pub fn put_back(&mut self, now_ms: u64, reservation: &Reservation, reserved_at_ms: u64) {
        self.expire(now_ms);
        let is_valid = reserved_at_ms <= now_ms && now_ms - reserved_at_ms < RESERVATION_MS;
        if !is_valid {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(&reservation.workspace) {
            bucket.put_back(reservation.cost);
        }
        self.fill_all_of(now_ms, &reservation.workspace);
    }

    /// Returns the demand of the workspaces that matters for their shares, in units per second.
    pub fn demand(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.demand.iter().filter_map(move |(workspace, demand)| {
            let least_per_s = self.budgets.get(workspace)?.rate_per_s * REPORTED_DEMAND;
            let per_s = demand.per_s(now_ms);
            (per_s >= least_per_s).then_some((workspace, per_s))
        })
    }

    fn fill_all(&mut self, now_ms: u64) {
        let workspaces: Vec<Arc<str>> = self.buckets.keys().cloned().collect();
        for workspace in workspaces {
            self.fill_all_of(now_ms, &workspace);
        }
    }

    fn fill_all_of(&mut self, now_ms: u64, workspace: &str) {
        let Some((grant, _)) = &self.grant else { return };
        if let (Some(bucket), Some(budget)) =
            (self.buckets.get_mut(workspace), self.budgets.get(workspace))
        {
            let share = grant.shares.of(workspace);
            bucket.fill(now_ms, budget.rate_per_s * share, budget.burst * share);
        }
    }
}
