//! Grants: reports of this instance's broker, offers as lease holder, and the order of brokers.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use cowslip_allowance::{Grant, GrantId, Granter, Shares, reserved_shares};
use cowslip_authority::UsableLease;
use cowslip_membership::{FeedRole, assigned_feeders};
use cowslip_name::Name;
use cowslip_proto as proto;
use num_traits::ToPrimitive;

use super::Hub;
use super::instances::location_in;
use crate::events::{Event, event};
use crate::platform::Platform;

/// Interval in milliseconds between the grants that the lease holder gives itself.
const OWN_GRANT_EVERY_MS: u64 = 500;
/// Time in milliseconds for which a broker uses the reserved shares after its newest grant: while
/// its entry, which it writes every 40 s, is certain to be listed.
const RESERVED_MS: u64 = 60_000;
const PPM: f64 = 1_000_000.0;

impl<P> Hub<P>
where
    P: Platform,
{
    /// Starts or ends the granter with the lease that this instance holds.
    pub(super) fn set_granter(&mut self, lease: Option<UsableLease>) {
        let now_ms = self.clock.now_ms();
        // After a lapse another instance may have granted shares.
        if self.unexpired_lease().is_none() {
            self.allowances.granter = None;
        }
        match lease {
            Some(lease) if self.allowances.is_enforced() => {
                let grant_ms = self.allowances.grant_ms;
                let new = || Granter::new(now_ms, lease.position.fencing_token(), grant_ms);
                self.allowances.granter.get_or_insert_with(new);
            }
            _ => self.allowances.granter = None,
        }
    }

    /// Returns the report of this instance's broker.
    pub(super) fn allowance_report(&mut self, now_ms: u64) -> Option<proto::AllowanceReport> {
        if !self.allowances.is_enforced() || self.feed_topology.role() == FeedRole::Fed {
            return None;
        }
        let broker = &mut self.allowances.broker;
        let held = broker.grant(now_ms).map(grant_to_proto);
        let demand = broker.demand(now_ms).map(|(workspace, per_s)| proto::AllowanceDemandRow {
            workspace: workspace.to_string(),
            per_s: per_s.to_u64().unwrap_or(u64::MAX),
        });
        Some(proto::AllowanceReport { at_ms: now_ms, held, demand: demand.collect() })
    }

    /// Answers the report of a broker, if this instance holds the lease.
    pub(super) fn allowance_offer(
        &mut self,
        now_ms: u64,
        broker: &Name,
        report: Option<proto::AllowanceReport>,
    ) -> Option<proto::AllowanceOffer> {
        let report = report?;
        let held = report.held.map(grant_from_proto);
        let demand = report.demand.into_iter();
        let demand = demand.map(|row| (row.workspace.into(), row.per_s as f64)).collect();
        let grant = self.grant_to(now_ms, broker, held.as_ref(), demand)?;
        let grant = grant_to_proto(&grant);
        Some(proto::AllowanceOffer { report_at_ms: report.at_ms, grant })
    }

    fn grant_to(
        &mut self,
        now_ms: u64,
        broker: &Name,
        held: Option<&Grant>,
        demand: BTreeMap<Arc<str>, f64>,
    ) -> Option<Grant> {
        self.unexpired_lease()?;
        let listed: BTreeSet<Name> = self.feed_topology.feeders().cloned().collect();
        let granter = self.allowances.granter.as_mut()?;
        let grant = granter.on_report(now_ms, broker, held, demand, &listed)?;
        self.metrics.allowance_grants.with_label_values(&["given"]).inc();
        Some(grant)
    }

    /// Applies the grant that answers a report of this instance.
    pub(super) fn on_allowance_offer(&mut self, now_ms: u64, offer: Option<proto::AllowanceOffer>) {
        let Some(offer) = offer else { return };
        // The reply repeats the time of the report, which cannot be later than now.
        let expires_at_ms = offer.report_at_ms.min(now_ms) + self.allowances.grant_ms;
        self.apply_grant(now_ms, grant_from_proto(offer.grant), expires_at_ms);
    }

    fn apply_grant(&mut self, now_ms: u64, grant: Grant, expires_at_ms: u64) {
        let is_first = self.allowances.broker.grant(now_ms).is_none();
        let (id, default_share) = (grant.id, grant.shares.default);
        if self.allowances.broker.on_grant(now_ms, grant, expires_at_ms) {
            self.metrics.allowance_grants.with_label_values(&["applied"]).inc();
            if id != GrantId::default() {
                self.allowances.granted_at_ms = now_ms;
            }
            if is_first {
                event!(Event::GrantStarted, fence = id.fence, share = default_share);
            }
        }
    }

    /// Expires and renews grants, orders the brokers, and sends what waits for them.
    pub(super) fn update_allowances(&mut self, now_ms: u64) {
        if !self.allowances.is_enforced() {
            return;
        }
        self.give_up_waiting(now_ms);
        if self.allowances.broker.expire(now_ms) {
            self.metrics.allowance_grants.with_label_values(&["expired"]).inc();
            event!(Event::GrantExpired, grant_ms = self.allowances.grant_ms);
        }
        let is_due = now_ms >= self.allowances.own_grant_at_ms + OWN_GRANT_EVERY_MS;
        if is_due && self.feed_topology.role() != FeedRole::Fed {
            self.allowances.own_grant_at_ms = now_ms;
            let broker = &mut self.allowances.broker;
            let held = broker.grant(now_ms).cloned();
            let demand = broker.demand(now_ms).map(|(name, per_s)| (name.clone(), per_s));
            let demand = demand.collect();
            let own_name = self.identity.instance.clone();
            if let Some(grant) = self.grant_to(now_ms, &own_name, held.as_ref(), demand) {
                self.apply_grant(now_ms, grant, now_ms + self.allowances.grant_ms);
            }
        }
        self.use_reserved_shares(now_ms);
        self.allowances.brokers = self.ordered_brokers();
    }

    /// Has a broker without a grant give out the shares that are reserved for it, as after a restart
    /// or without a lease holder.
    fn use_reserved_shares(&mut self, now_ms: u64) {
        let expires_at_ms = self.allowances.granted_at_ms + RESERVED_MS;
        let is_broker = self.feed_topology.role() != FeedRole::Fed;
        if is_broker && now_ms < expires_at_ms && self.allowances.broker.grant(now_ms).is_none() {
            let shares = reserved_shares(self.feed_topology.feeders().count());
            self.apply_grant(now_ms, Grant { id: GrantId::default(), shares }, expires_at_ms);
        }
    }

    /// Returns the brokers in the order in which this instance asks them: itself, then those that
    /// feed it, then the others of its region, then the rest.
    fn ordered_brokers(&self) -> Vec<Name> {
        let own_name = &self.identity.instance;
        let region_of = |name: &Name| {
            let entry = self.instances.entry(name)?;
            Some(location_in(&self.config.locality, entry.failure_domain.clone()).region)
        };
        let own_domain = self.config.settings.instance.failure_domain.clone();
        let own_region = Some(location_in(&self.config.locality, own_domain).region);
        let (near, far): (Vec<&Name>, Vec<&Name>) =
            self.feed_topology.feeders().partition(|name| region_of(name) == own_region);
        let own = self.feed_topology.feeders().filter(|name| *name == own_name);
        let ordered = own.chain(assigned_feeders(own_name, &near)).chain(near.iter().copied());
        let ordered = ordered.chain(assigned_feeders(own_name, &far));
        let mut seen = HashSet::new();
        ordered.filter(|name| seen.insert(*name)).cloned().collect()
    }
}

fn grant_to_proto(grant: &Grant) -> proto::AllowanceGrant {
    // Rounded down, so that shares never add up to more than before.
    let to_ppm = |share: f64| (share * PPM).to_u32().unwrap_or(0);
    let rows = grant.shares.listed.iter();
    proto::AllowanceGrant {
        fence: grant.id.fence,
        number: grant.id.number,
        default_ppm: to_ppm(grant.shares.default),
        shares: rows
            .map(|(workspace, share)| proto::AllowanceShareRow {
                workspace: workspace.to_string(),
                share_ppm: to_ppm(*share),
            })
            .collect(),
    }
}

fn grant_from_proto(grant: proto::AllowanceGrant) -> Grant {
    let from_ppm = |share_ppm: u32| f64::from(share_ppm) / PPM;
    let rows = grant.shares.into_iter();
    Grant {
        id: GrantId { fence: grant.fence, number: grant.number },
        shares: Shares {
            default: from_ppm(grant.default_ppm),
            listed: rows.map(|row| (row.workspace.into(), from_ppm(row.share_ppm))).collect(),
        },
    }
}
