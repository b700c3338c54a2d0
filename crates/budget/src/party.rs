//! Whom held bytes count for.

use std::net::IpAddr;
use std::sync::Arc;

/// Address and workspace of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Party {
    /// Address that the caller connects from.
    pub address: IpAddr,
    /// Workspace of the caller's API key; `None` on open routes.
    pub workspace: Option<Arc<str>>,
}

/// A set of callers that gets a share of the budget.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Group {
    /// Callers of one address.
    Address(IpAddr),
    /// Callers of one workspace.
    Workspace(Arc<str>),
}

impl Party {
    /// Returns the groups to which the caller belongs.
    pub(crate) fn groups(&self) -> impl Iterator<Item = Group> + use<> {
        let workspace = self.workspace.clone().map(Group::Workspace);
        std::iter::once(Group::Address(self.address)).chain(workspace)
    }

    /// Returns the group that may not use the whole budget. All callers may share the address of a
    /// balancer, so it is the workspace where that is known.
    pub(crate) fn capped_group(&self) -> Group {
        match &self.workspace {
            Some(workspace) => Group::Workspace(workspace.clone()),
            None => Group::Address(self.address),
        }
    }
}
