//! Admission by workspace: who takes the next free slot.

use std::collections::{BTreeMap, VecDeque};

use cowslip_name::Name;

/// A request that wants a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Workspace of the request.
    pub workspace: Name,
    /// Its share, at least 1.
    pub share_weight: u32,
    /// Its limit of requests in flight.
    pub max_in_flight: u32,
    /// Expected work, in tokens, at least 1.
    pub cost_tokens: u64,
}

/// A request in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Wait(pub u64);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitVerdict {
    /// It waits for its turn.
    Queued(Wait),
    /// The workspace has too many requests in flight and waiting.
    TooMany,
}

#[derive(Clone, Debug, Default)]
struct Account {
    in_flight: u32,
    /// Tokens served, divided by the share: the lowest is served next.
    virtual_tokens: f64,
    waiting: VecDeque<(Wait, Claim)>,
}

/// Start-time fair queueing over workspaces.
#[derive(Clone, Debug, Default)]
pub struct Admitter {
    accounts: BTreeMap<Name, Account>,
    next_wait: u64,
    /// Virtual time of the newest start: an idle workspace saves up no credit.
    clock_tokens: f64,
}

impl Admitter {
    /// Puts a request into the queue of its workspace.
    pub fn enqueue(&mut self, claim: Claim) -> AdmitVerdict {
        let clock_tokens = self.clock_tokens;
        let account = self.accounts.entry(claim.workspace.clone()).or_default();
        let waiting = u32::try_from(account.waiting.len()).unwrap_or(u32::MAX);
        if account.in_flight.saturating_add(waiting) >= claim.max_in_flight {
            return AdmitVerdict::TooMany;
        }
        if account.in_flight == 0 && account.waiting.is_empty() {
            account.virtual_tokens = account.virtual_tokens.max(clock_tokens);
        }
        let wait = Wait(self.next_wait);
        self.next_wait += 1;
        account.waiting.push_back((wait, claim));
        AdmitVerdict::Queued(wait)
    }

    /// Requests at the head of their workspace's queue, in the order in which they are to start.
    #[must_use]
    pub fn heads(&self) -> Vec<Wait> {
        let mut heads: Vec<(f64, Wait)> = self
            .accounts
            .values()
            .filter_map(|account| {
                account.waiting.front().map(|(wait, _)| (account.virtual_tokens, *wait))
            })
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        heads.into_iter().map(|(_, wait)| wait).collect()
    }

    /// Starts a waiting request.
    pub fn start(&mut self, wait: Wait) {
        if let Some((claim, account)) = self.remove(wait) {
            self.clock_tokens = self.clock_tokens.max(account);
            if let Some(account) = self.accounts.get_mut(&claim.workspace) {
                account.in_flight += 1;
                account.virtual_tokens += claim.cost_tokens as f64 / f64::from(claim.share_weight);
            }
        }
    }

    /// Takes a request out of the queue without starting it.
    pub fn withdraw(&mut self, wait: Wait) {
        self.remove(wait);
    }

    fn remove(&mut self, wait: Wait) -> Option<(Claim, f64)> {
        for account in self.accounts.values_mut() {
            if let Some(index) = account.waiting.iter().position(|(other, _)| *other == wait) {
                let claim = account.waiting.remove(index).map(|(_, claim)| claim);
                return claim.map(|claim| (claim, account.virtual_tokens));
            }
        }
        None
    }

    /// A started request of the workspace has ended.
    pub fn finish(&mut self, workspace: &Name) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Requests in flight of a workspace.
    #[must_use]
    pub fn in_flight(&self, workspace: &Name) -> u32 {
        self.accounts.get(workspace).map_or(0, |account| account.in_flight)
    }
}
