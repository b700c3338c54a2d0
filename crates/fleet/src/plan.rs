//! What the one in charge orders: upstreams by failure domain, and the roles of engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::declared_config::{CapacityLimits, DeclaredConfig};
use crate::registry::{EngineRole, Upstream, UpstreamRegistry};

/// Part of the engines that read prompts (docs/MEASUREMENTS.md: two thirds were worse).
const READER_PERCENT: usize = 50;
/// Domains whose reclaimable upstreams may be taken away at the same time.
const LOST_DOMAINS: u32 = 2; // a second reclaim comes within seconds on the users' days
/// Part of the upstreams that has to be left then (docs/MEASUREMENTS.md: fewer lost more than they
/// saved).
const SAFE_PERCENT: u32 = 66;
/// One in this many places of a domain stays with an ordinary upstream in any case.
const KEPT_PART: u32 = 8;
/// At most one in this many places of a domain changes its kind at a time.
const STEP_PART: u32 = 4;

/// A wish for a number of upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Service.
    pub service: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// How many of this kind.
    pub desired: u32,
    /// Whether the kind may be reclaimed at short notice.
    pub is_reclaimable: bool,
}

/// A wish for another role of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleOrder {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// Its role from then on.
    pub role: EngineRole,
}

/// As many reclaimable upstreams as each domain can have beside its ordinary ones, where they are
/// cheaper, and ordinary ones given back where enough would be left without the reclaimable ones.
#[must_use]
pub fn plan_capacity(deployment: &DeclaredConfig, roster: &UpstreamRegistry) -> Vec<CapacityOrder> {
    let mut orders = Vec::new();
    for (service, spec) in &deployment.services {
        let Some(capacity) = &spec.capacity else { continue };
        if capacity.reclaimable_price.is_none_or(|price| price >= 1.0) {
            continue;
        }
        for domain in &capacity.failure_domains {
            let count = |is_reclaimable: bool| {
                let of_kind = roster.accepting(service).filter(|up| {
                    up.failure_domain == *domain && up.is_reclaimable == is_reclaimable
                });
                u32::try_from(of_kind.count()).unwrap_or(u32::MAX)
            };
            let order = |desired: u32, is_reclaimable: bool| CapacityOrder {
                service: service.clone(),
                failure_domain: domain.clone(),
                desired,
                is_reclaimable,
            };
            let (ordinary, reclaimable) = (count(false), count(true));
            let kept = ordinary_kept(capacity, reclaimable);
            if kept < ordinary {
                orders.push(order(kept, false));
            }
            let desired = capacity.max.saturating_sub(ordinary);
            if reclaimable < desired {
                orders.push(order(desired, true));
            }
        }
    }
    orders
}

/// Ordinary upstreams that a domain keeps, given how many reclaimable ones it has.
///
/// Reclaimable ones may be gone at any moment, a whole domain's at once. So that many ordinary ones
/// are kept in each domain that the loss in `LOST_DOMAINS` of them leaves `SAFE_PERCENT` of all
/// upstreams, and one in `KEPT_PART` in any case. They are given back in steps, as reclaimable ones
/// take their places.
fn ordinary_kept(capacity: &CapacityLimits, reclaimable: u32) -> u32 {
    let max = capacity.max;
    let domains = u32::try_from(capacity.failure_domains.len()).unwrap_or(u32::MAX);
    let all = max.saturating_mul(domains);
    let safe = all.saturating_mul(SAFE_PERCENT).div_ceil(100);
    let lost = LOST_DOMAINS.min(domains).max(1);
    // What is left, all - lost x (max - kept), is to be at least what is safe.
    let kept = max.saturating_sub((all - safe.min(all)) / lost);
    let step = max.div_ceil(STEP_PART);
    let in_place = max.saturating_sub(reclaimable).saturating_sub(step);
    kept.max(max.div_ceil(KEPT_PART)).max(capacity.min).max(in_place)
}

/// Changes that bring each domain's engines to the wanted part of readers.
///
/// Ordinary and reclaimable engines are balanced each for themselves, so that those that remain
/// after a reclaim need no change.
#[must_use]
pub fn plan_roles(deployment: &DeclaredConfig, roster: &UpstreamRegistry) -> Vec<RoleOrder> {
    let mut orders = Vec::new();
    for (service, spec) in &deployment.services {
        if !spec.is_engine {
            continue;
        }
        let mut groups: BTreeMap<(&Arc<str>, bool), Vec<&Arc<Upstream>>> = BTreeMap::new();
        for upstream in roster.accepting(service) {
            let group = (&upstream.failure_domain, upstream.is_reclaimable);
            groups.entry(group).or_default().push(upstream);
        }
        orders.extend(groups.values().flat_map(|engines| balance(engines)));
    }
    orders
}

fn balance(engines: &[&Arc<Upstream>]) -> Vec<RoleOrder> {
    let of_role = |role| engines.iter().filter(move |up| up.role == Some(role));
    let readers = of_role(EngineRole::Prefill).count();
    let wanted = wanted_readers(engines.len());
    let (from, role) = if readers < wanted {
        (EngineRole::Decode, EngineRole::Prefill)
    } else {
        (EngineRole::Prefill, EngineRole::Decode)
    };
    of_role(from)
        .take(readers.abs_diff(wanted))
        .map(|up| RoleOrder { upstream: Arc::clone(up), role })
        .collect()
}

/// The nearest whole number of readers that leaves an engine that answers.
fn wanted_readers(engines: usize) -> usize {
    let wanted = (READER_PERCENT * engines + 50) / 100;
    wanted.min(engines.saturating_sub(1))
}
