//! Orders of the lease holder: numbers of upstreams by failure domain, and the roles of engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::declared_config::{CapacityLimits, DeclaredConfig};
use crate::registry::{EngineRole, Upstream, UpstreamRegistry};

/// Percentage of the engines that run prefill (docs/MEASUREMENTS.md: two thirds were worse).
const PREFILL_PERCENT: usize = 50;
/// Number of failure domains whose reclaimable upstreams may be lost at the same time.
const RECLAIMED_DOMAINS: u32 = 2; // a second reclaim can follow the first within seconds
/// Percentage of the upstreams that must survive such a loss (docs/MEASUREMENTS.md: fewer cost more
/// than they saved).
const MIN_SURVIVING_PERCENT: u32 = 66;
/// In each failure domain at least one in this many upstreams is always an ordinary one.
const MIN_ORDINARY_DIVISOR: u32 = 8;
/// In each failure domain at most one in this many upstreams changes its kind at a time.
const MAX_STEP_DIVISOR: u32 = 4;

/// Desired number of upstreams of one kind in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Service that the upstreams run.
    pub service: Arc<str>,
    /// Failure domain that the upstreams run in.
    pub failure_domain: Arc<str>,
    /// Desired number of upstreams of this kind.
    pub desired: u32,
    /// Whether upstreams of this kind may be reclaimed at short notice.
    pub is_reclaimable: bool,
}

/// Role change of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleOrder {
    /// Engine that changes its role.
    pub upstream: Arc<Upstream>,
    /// Role that the engine takes.
    pub role: EngineRole,
}

/// Returns the capacity orders that use reclaimable upstreams where they are cheaper.
///
/// Each failure domain is filled up with reclaimable upstreams beside its ordinary ones. Ordinary
/// ones are given up where enough would survive a loss of reclaimable ones.
#[must_use]
pub fn plan_capacity(config: &DeclaredConfig, registry: &UpstreamRegistry) -> Vec<CapacityOrder> {
    let mut orders = Vec::new();
    for (service, spec) in &config.services {
        let Some(capacity) = &spec.capacity else { continue };
        if capacity.reclaimable_price.is_none_or(|price| price >= 1.0) {
            continue;
        }
        for domain in &capacity.failure_domains {
            let count = |is_reclaimable: bool| {
                let of_kind = registry.not_draining(service).filter(|up| {
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
            let min_ordinary = ordinary_target(capacity, reclaimable);
            if min_ordinary < ordinary {
                orders.push(order(min_ordinary, false));
            }
            let desired = capacity.max.saturating_sub(ordinary);
            if reclaimable < desired {
                orders.push(order(desired, true));
            }
        }
    }
    orders
}

/// Returns the number of ordinary upstreams that a failure domain keeps, given its number of
/// reclaimable ones.
///
/// All reclaimable upstreams of a domain may be lost at once, at any time. So each domain keeps
/// enough ordinary ones that the loss in `RECLAIMED_DOMAINS` domains leaves `MIN_SURVIVING_PERCENT`
/// of all upstreams, and always at least one in `MIN_ORDINARY_DIVISOR`. Ordinary ones are given up
/// in steps, as reclaimable ones replace them.
fn ordinary_target(capacity: &CapacityLimits, reclaimable: u32) -> u32 {
    let max = capacity.max;
    let domains = u32::try_from(capacity.failure_domains.len()).unwrap_or(u32::MAX);
    let total = max.saturating_mul(domains);
    let surviving = total.saturating_mul(MIN_SURVIVING_PERCENT).div_ceil(100);
    let reclaimed_domains = RECLAIMED_DOMAINS.min(domains).max(1);
    // The remainder, total - reclaimed_domains x (max - min_ordinary), must be at least surviving.
    let min_ordinary = max.saturating_sub((total - surviving.min(total)) / reclaimed_domains);
    let max_step = max.div_ceil(MAX_STEP_DIVISOR);
    let not_replaced = max.saturating_sub(reclaimable).saturating_sub(max_step);
    min_ordinary.max(max.div_ceil(MIN_ORDINARY_DIVISOR)).max(capacity.min).max(not_replaced)
}

/// Returns the role changes that bring each failure domain to its target number of prefill engines.
///
/// Ordinary and reclaimable engines are balanced separately, so that the engines that remain after
/// a reclaim need no change. Engines that stated that they are leaving or want no requests at
/// `now_ms` get no orders.
#[must_use]
pub fn plan_roles(
    now_ms: u64,
    config: &DeclaredConfig,
    registry: &UpstreamRegistry,
) -> Vec<RoleOrder> {
    let mut orders = Vec::new();
    for (service, spec) in &config.services {
        if !spec.is_engine {
            continue;
        }
        let mut groups: BTreeMap<(&Arc<str>, bool), Vec<&Arc<Upstream>>> = BTreeMap::new();
        for upstream in registry.not_draining(service) {
            let group = (&upstream.failure_domain, upstream.is_reclaimable);
            groups.entry(group).or_default().push(upstream);
        }
        let takes_orders = |up: &Upstream| registry.wants_calls(now_ms, up);
        orders.extend(groups.values().flat_map(|engines| balance_roles(engines, takes_orders)));
    }
    orders
}

/// Returns the role changes within one group of engines, of those that take orders.
fn balance_roles<F>(engines: &[&Arc<Upstream>], takes_orders: F) -> Vec<RoleOrder>
where
    F: Fn(&Upstream) -> bool,
{
    let of_role = |role| engines.iter().filter(move |up| up.role == Some(role));
    let prefill_engines = of_role(EngineRole::Prefill).count();
    let target = prefill_target(engines.len());
    let (from, role) = if prefill_engines < target {
        (EngineRole::Decode, EngineRole::Prefill)
    } else {
        (EngineRole::Prefill, EngineRole::Decode)
    };
    of_role(from)
        .filter(|up| takes_orders(up))
        .take(prefill_engines.abs_diff(target))
        .map(|up| RoleOrder { upstream: Arc::clone(up), role })
        .collect()
}

/// Returns the nearest whole number of prefill engines that leaves at least one decode engine.
fn prefill_target(engines: usize) -> usize {
    let target = (PREFILL_PERCENT * engines + 50) / 100;
    target.min(engines.saturating_sub(1))
}
