//! Shares of allowances, and the grants that give them to brokers.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A broker's share of each workspace's allowance, from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Share of the workspaces that are not listed.
    pub default: f64,
    /// Shares that differ from the default.
    pub listed: BTreeMap<Arc<str>, f64>,
}

impl Shares {
    /// Returns the share of a workspace's allowance.
    #[must_use]
    pub fn of(&self, workspace: &str) -> f64 {
        self.listed.get(workspace).copied().unwrap_or(self.default)
    }
}

/// Order of grants: by the fencing token of the granter, then by number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct GrantId {
    /// Fencing token of the lease under which the grant was made.
    pub fence: u64,
    /// Number among the grants of this lease, from 1.
    pub number: u64,
}

/// Shares that a broker has until the grant expires or a newer one replaces it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grant {
    /// Identity of the grant.
    pub id: GrantId,
    /// The granted shares.
    pub shares: Shares,
}
