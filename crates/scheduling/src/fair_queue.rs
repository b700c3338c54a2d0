//! Admission by workspace: who takes the next free slot.

use std::collections::{BTreeMap, VecDeque};

use cowslip_name::Name;

/// A request that wants a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
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
pub struct QueueId(pub u64);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnqueueResult {
    /// It waits for its turn.
    Queued(QueueId),
    /// The workspace has too many requests in flight and waiting.
    LimitExceeded,
}

#[derive(Clone, Debug, Default)]
struct Account {
    in_flight: u32,
    /// Tokens served, divided by the share: the lowest is served next.
    virtual_tokens: f64,
    waiting: VecDeque<(QueueId, QueuedRequest)>,
}

/// Start-time fair queueing over workspaces.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    accounts: BTreeMap<Name, Account>,
    next_id: u64,
    /// Virtual time of the newest start: an idle workspace saves up no credit.
    clock_tokens: f64,
}

impl FairQueue {
    /// Puts a request into the queue of its workspace.
    pub fn enqueue(&mut self, request: QueuedRequest) -> EnqueueResult {
        let clock_tokens = self.clock_tokens;
        let account = self.accounts.entry(request.workspace.clone()).or_default();
        let waiting = u32::try_from(account.waiting.len()).unwrap_or(u32::MAX);
        if account.in_flight.saturating_add(waiting) >= request.max_in_flight {
            return EnqueueResult::LimitExceeded;
        }
        if account.in_flight == 0 && account.waiting.is_empty() {
            account.virtual_tokens = account.virtual_tokens.max(clock_tokens);
        }
        let id = QueueId(self.next_id);
        self.next_id += 1;
        account.waiting.push_back((id, request));
        EnqueueResult::Queued(id)
    }

    /// Requests at the head of their workspace's queue, in the order in which they are to start.
    #[must_use]
    pub fn heads(&self) -> Vec<QueueId> {
        let mut heads: Vec<(f64, QueueId)> = self
            .accounts
            .values()
            .filter_map(|account| {
                account.waiting.front().map(|(id, _)| (account.virtual_tokens, *id))
            })
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        heads.into_iter().map(|(_, id)| id).collect()
    }

    /// Starts a waiting request.
    pub fn start(&mut self, id: QueueId) {
        if let Some((request, account)) = self.remove(id) {
            self.clock_tokens = self.clock_tokens.max(account);
            if let Some(account) = self.accounts.get_mut(&request.workspace) {
                account.in_flight += 1;
                account.virtual_tokens +=
                    request.cost_tokens as f64 / f64::from(request.share_weight);
            }
        }
    }

    /// Takes a request out of the queue without starting it.
    pub fn withdraw(&mut self, id: QueueId) {
        self.remove(id);
    }

    fn remove(&mut self, id: QueueId) -> Option<(QueuedRequest, f64)> {
        for account in self.accounts.values_mut() {
            if let Some(index) = account.waiting.iter().position(|(other, _)| *other == id) {
                let request = account.waiting.remove(index).map(|(_, request)| request);
                return request.map(|request| (request, account.virtual_tokens));
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
