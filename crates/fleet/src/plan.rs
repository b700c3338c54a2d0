//! What the one in charge orders: upstreams by failure domain, and the roles of engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::deployment::Deployment;
use crate::roster::{EngineRole, Roster, Upstream};

/// Part of a domain's engines that read prompts (docs/MEASUREMENTS.md: 0.4 and 0.6 were worse).
const READER_PART: f64 = 0.5;

/// A wish for a number of upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Service.
    pub service: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// How many of this kind.
    pub wanted: u32,
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
/// cheaper; ordinary ones are kept, as reclaimable ones may be gone at any moment.
#[must_use]
pub fn plan_capacity(deployment: &Deployment, roster: &Roster) -> Vec<CapacityOrder> {
    let mut orders = Vec::new();
    for (service, spec) in &deployment.services {
        let Some(capacity) = &spec.capacity else { continue };
        if capacity.reclaimable_price.is_none_or(|price| price >= 1.0) {
            continue;
        }
        for domain in &capacity.domains {
            let count = |is_reclaimable: bool| {
                let of_kind = roster
                    .open(service)
                    .filter(|up| up.domain == *domain && up.is_reclaimable == is_reclaimable);
                u32::try_from(of_kind.count()).unwrap_or(u32::MAX)
            };
            let wanted = capacity.max.saturating_sub(count(false));
            if count(true) < wanted {
                orders.push(CapacityOrder {
                    service: service.clone(),
                    domain: domain.clone(),
                    wanted,
                    is_reclaimable: true,
                });
            }
        }
    }
    orders
}

/// Changes that bring each domain's engines to the wanted part of readers.
///
/// Ordinary and reclaimable engines are balanced each for themselves, so that those that remain
/// after a reclaim need no change. An engine is changed only when the part is off by a whole
/// engine, so that a single one that comes or goes causes no order.
#[must_use]
pub fn plan_roles(deployment: &Deployment, roster: &Roster) -> Vec<RoleOrder> {
    let mut orders = Vec::new();
    for (service, spec) in &deployment.services {
        if !spec.is_engine {
            continue;
        }
        let mut groups: BTreeMap<(&Arc<str>, bool), Vec<&Arc<Upstream>>> = BTreeMap::new();
        for upstream in roster.open(service) {
            let group = (&upstream.domain, upstream.is_reclaimable);
            groups.entry(group).or_default().push(upstream);
        }
        groups.values().for_each(|engines| orders.extend(balance(engines)));
    }
    orders
}

fn balance(engines: &[&Arc<Upstream>]) -> Vec<RoleOrder> {
    let of_role = |role| engines.iter().filter(move |up| up.role == Some(role));
    let readers = of_role(EngineRole::Prefill).count();
    let wanted = READER_PART * engines.len() as f64;
    let off = wanted - readers as f64;
    let (from, role) = if off > 0.0 {
        (EngineRole::Decode, EngineRole::Prefill)
    } else {
        (EngineRole::Prefill, EngineRole::Decode)
    };
    if off.abs() < 1.0 {
        return Vec::new();
    }
    // An engine that answers must remain, whatever the part.
    let keeps = usize::from(from == EngineRole::Decode);
    let available = of_role(from).count().saturating_sub(keeps);
    let wishes = (off.abs().floor() as usize).min(available);
    of_role(from).take(wishes).map(|up| RoleOrder { upstream: Arc::clone(up), role }).collect()
}
