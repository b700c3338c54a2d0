//! Division of the allowances among brokers by the lease holder.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cowslip_name::Name;

use crate::shares::{Grant, GrantId, Shares};

/// Part of an allowance that is divided equally; the rest follows the demand.
const EVEN_PART: f64 = 0.5;
/// Smallest decrease of a share, as a fraction of it.
const MIN_DECREASE: f64 = 0.75;
/// Smallest difference from the default share that is granted.
const MIN_DIFFERENCE: f64 = 0.002;

/// Part of an allowance that is kept for the brokers in equal parts, whether or not they report.
const RESERVED_PART: f64 = 0.5;

/// Returns the shares that each of so many listed brokers may use without a grant.
#[must_use]
pub fn reserved_shares(listed: usize) -> Shares {
    Shares { default: RESERVED_PART / listed.max(1) as f64, listed: BTreeMap::new() }
}

/// Grants that a broker may hold, and the demand that it reported.
#[derive(Clone, Debug, Default)]
struct BrokerState {
    /// Grants that may be in force, each until a time by the granter's clock.
    outstanding: Vec<(Grant, u64)>,
    demand: BTreeMap<Arc<str>, f64>,
    /// Time until which the reported demand counts.
    reported_until_ms: u64,
}

impl BrokerState {
    fn newest(&self) -> Option<&Shares> {
        self.outstanding.iter().max_by_key(|(grant, _)| grant.id).map(|(grant, _)| &grant.shares)
    }

    /// Returns the largest share that the broker may hold.
    fn most(&self, share: impl Fn(&Shares) -> f64) -> f64 {
        self.outstanding.iter().map(|(grant, _)| share(&grant.shares)).fold(0.0, f64::max)
    }
}

/// The granter of one lease.
///
/// The shares that brokers may hold never add up to more than 1: a share is given to a broker only
/// after the others have acknowledged a grant without it, or theirs have expired. A new granter
/// renews what brokers report to hold; it gives out more once all grants of its predecessor have
/// expired, since a broker that is no longer listed may hold one. A part of each allowance is reserved for the listed
/// brokers, so that one that has restarted or finds no lease holder can go on without a grant.
#[derive(Clone, Debug)]
pub struct Granter {
    fence: u64,
    grant_ms: u64,
    /// Time from which on no grant of an earlier lease is in force.
    settled_at_ms: u64,
    next_number: u64,
    brokers: BTreeMap<Name, BrokerState>,
}

impl Granter {
    /// Returns the granter of the lease with this fencing token, acquired at `now_ms`. Grants are
    /// valid for `grant_ms` from the report that they answer.
    #[must_use]
    pub fn new(now_ms: u64, fence: u64, grant_ms: u64) -> Self {
        Self {
            fence,
            grant_ms,
            settled_at_ms: now_ms + grant_ms,
            next_number: 1,
            brokers: BTreeMap::new(),
        }
    }

    /// Returns the fencing token of the lease.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Handles the report of a broker: the grant that it holds, and its demand by workspace in units
    /// per second. `listed` are all brokers, the reporting one included. Returns its next grant.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        broker: &Name,
        held: Option<&Grant>,
        demand: BTreeMap<Arc<str>, f64>,
        listed: &BTreeSet<Name>,
    ) -> Option<Grant> {
        self.expire(now_ms);
        let until_ms = now_ms + self.grant_ms;
        let state = self.brokers.entry(broker.clone()).or_default();
        state.demand = demand;
        state.reported_until_ms = until_ms;
        if let Some(held) = held {
            state.outstanding.retain(|(grant, _)| grant.id >= held.id);
            if state.outstanding.iter().all(|(grant, _)| grant.id != held.id) {
                state.outstanding.push((held.clone(), until_ms));
            }
        }
        let shares = if now_ms >= self.settled_at_ms {
            self.next_shares(broker, listed)
        } else {
            held?.shares.clone()
        };
        let id = GrantId { fence: self.fence, number: self.next_number };
        self.next_number += 1;
        let grant = Grant { id, shares };
        if let Some(state) = self.brokers.get_mut(broker) {
            state.outstanding.push((grant.clone(), until_ms));
        }
        Some(grant)
    }

    fn expire(&mut self, now_ms: u64) {
        for state in self.brokers.values_mut() {
            state.outstanding.retain(|(_, until_ms)| now_ms < *until_ms);
            if now_ms >= state.reported_until_ms {
                state.demand.clear();
            }
        }
        let is_known =
            |state: &BrokerState| now_ms < state.reported_until_ms || !state.outstanding.is_empty();
        self.brokers.retain(|_, state| is_known(state));
    }

    fn next_shares(&self, broker: &Name, listed: &BTreeSet<Name>) -> Shares {
        let even = 1.0 / listed.len().max(1) as f64;
        let reserved = reserved_shares(listed.len()).default;
        let free = |share: &dyn Fn(&Shares) -> f64| {
            let others = self.brokers.keys().chain(listed).filter(|name| *name != broker);
            let others: BTreeSet<&Name> = others.collect();
            let most = |name: &Name| {
                let least = if listed.contains(name) { reserved } else { 0.0 };
                self.brokers.get(name).map_or(0.0, |state| state.most(share)).max(least)
            };
            (1.0 - others.into_iter().map(most).sum::<f64>()).max(0.0)
        };
        let default = even.min(free(&|shares| shares.default));
        let mut totals: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
        for state in self.brokers.values() {
            for (workspace, per_s) in &state.demand {
                *totals.entry(workspace).or_default() += per_s;
            }
            for (grant, _) in &state.outstanding {
                for workspace in grant.shares.listed.keys() {
                    totals.entry(workspace).or_default();
                }
            }
        }
        let own_demand = self.brokers.get(broker).map(|state| &state.demand);
        let listed = totals.into_iter().filter_map(|(workspace, total_per_s)| {
            let own_per_s = own_demand.and_then(|demand| demand.get(workspace)).copied();
            let target = if total_per_s > 0.0 {
                EVEN_PART * even + (1.0 - EVEN_PART) * own_per_s.unwrap_or(0.0) / total_per_s
            } else {
                even
            };
            // A share that moves is nobody's until the former broker has acknowledged it.
            let held = self.brokers.get(broker).and_then(BrokerState::newest);
            let held = held.map(|shares| shares.of(workspace));
            let kept = held.filter(|held| held - target < MIN_DECREASE * held);
            let share = kept
                .map_or(target, |held| held.max(target))
                .min(free(&|shares| shares.of(workspace)));
            let differs = (share - default).abs() >= MIN_DIFFERENCE;
            differs.then(|| (workspace.clone(), share))
        });
        Shares { default, listed: listed.collect() }
    }
}
