//! Usage summed by workspace.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// Usage of one workspace over some time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests that got a response.
    pub requests: u64,
    /// Tokens of the prompts of those requests.
    pub prompt_tokens: u64,
    /// Generated tokens that reached the callers.
    pub output_tokens: u64,
}

impl Usage {
    /// Adds `other` field by field.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// Usage of each workspace over some time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageTotals {
    by_workspace: BTreeMap<Name, Usage>,
}

impl UsageTotals {
    /// Adds usage of a workspace.
    pub fn add(&mut self, workspace: &Name, usage: Usage) {
        self.by_workspace.entry(workspace.clone()).or_default().add(usage);
    }

    /// Adds the usage of every workspace in `other`.
    pub fn add_all(&mut self, other: &Self) {
        for (workspace, usage) in &other.by_workspace {
            self.add(workspace, *usage);
        }
    }

    /// Returns whether no usage was added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_workspace.is_empty()
    }

    /// Returns the usage of each workspace, in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Usage)> {
        self.by_workspace.iter().map(|(workspace, usage)| (workspace, *usage))
    }
}

impl FromIterator<(Name, Usage)> for UsageTotals {
    fn from_iter<I>(rows: I) -> Self
    where
        I: IntoIterator<Item = (Name, Usage)>,
    {
        let mut totals = Self::default();
        for (workspace, usage) in rows {
            totals.add(&workspace, usage);
        }
        totals
    }
}
