//! What the one in charge orders: upstreams by failure domain, and the roles of engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::deployment::Deployment;
use crate::roster::{EngineRole, Roster, Upstream};

/// Part of the engines that read prompts (docs/MEASUREMENTS.md: two thirds were worse).
const READER_PERCENT: usize = 50;

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
/// cheaper. Ordinary ones are kept: reclaimable ones may be gone at any moment, and giving ordinary
/// ones back lost more than it saved (docs/MEASUREMENTS.md).
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
/// after a reclaim need no change.
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
