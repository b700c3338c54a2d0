//! Fair admission between workspaces: which queued request gets the next free slot.

use std::collections::{BTreeMap, VecDeque};

use cowslip_name::Name;

/// A request to be queued until it gets a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Workspace that the request belongs to.
    pub workspace: Name,
    /// Weight of the workspace's share of the slots, at least 1.
    pub share_weight: u32,
    /// The workspace's limit of requests in flight and queued together.
    pub max_in_flight: u32,
    /// Expected work of the request, in tokens, at least 1.
    pub cost_tokens: u64,
}

/// Identifier of a queued request; later requests have higher numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueId(pub u64);

/// Result of [`FairQueue::enqueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnqueueResult {
    /// The request waits in the queue of its workspace.
    Queued(QueueId),
    /// The workspace already has as many requests in flight and queued as its limit allows.
    LimitExceeded,
}

#[derive(Clone, Debug, Default)]
struct Account {
    in_flight: u32,
    /// Expected tokens of the started requests, each divided by the share weight. The workspace
    /// with the lowest value is served next.
    virtual_tokens: f64,
    queued: VecDeque<(QueueId, QueuedRequest)>,
}

/// Start-time fair queueing between workspaces: each gets slots in proportion to its share weight.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    accounts: BTreeMap<Name, Account>,
    next_id: u64,
    /// Highest virtual time at which a request has started. A workspace that was idle starts from
    /// it, so that it saves up no credit.
    virtual_now_tokens: f64,
}

impl FairQueue {
    /// Appends a request to the queue of its workspace, unless the workspace has reached its limit.
    pub fn enqueue(&mut self, request: QueuedRequest) -> EnqueueResult {
        let virtual_now_tokens = self.virtual_now_tokens;
        let account = self.accounts.entry(request.workspace.clone()).or_default();
        let queued_count = u32::try_from(account.queued.len()).unwrap_or(u32::MAX);
        if account.in_flight.saturating_add(queued_count) >= request.max_in_flight {
            return EnqueueResult::LimitExceeded;
        }
        if account.in_flight == 0 && account.queued.is_empty() {
            account.virtual_tokens = account.virtual_tokens.max(virtual_now_tokens);
        }
        let id = QueueId(self.next_id);
        self.next_id += 1;
        account.queued.push_back((id, request));
        EnqueueResult::Queued(id)
    }

    /// Returns the first request of each workspace's queue, in the order in which they should
    /// start.
    #[must_use]
    pub fn heads(&self) -> Vec<QueueId> {
        let mut heads: Vec<(f64, QueueId)> = self
            .accounts
            .values()
            .filter_map(|account| {
                account.queued.front().map(|(id, _)| (account.virtual_tokens, *id))
            })
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        heads.into_iter().map(|(_, id)| id).collect()
    }

    /// Moves a queued request into flight and charges its expected tokens to its workspace.
    pub fn start(&mut self, id: QueueId) {
        if let Some((request, start_tokens)) = self.remove(id) {
            self.virtual_now_tokens = self.virtual_now_tokens.max(start_tokens);
            if let Some(account) = self.accounts.get_mut(&request.workspace) {
                account.in_flight += 1;
                account.virtual_tokens +=
                    request.cost_tokens as f64 / f64::from(request.share_weight);
            }
        }
    }

    /// Removes a request from its queue without starting it.
    pub fn withdraw(&mut self, id: QueueId) {
        self.remove(id);
    }

    /// Removes a queued request and returns it with its workspace's virtual time.
    fn remove(&mut self, id: QueueId) -> Option<(QueuedRequest, f64)> {
        for account in self.accounts.values_mut() {
            if let Some(index) = account.queued.iter().position(|(queued_id, _)| *queued_id == id) {
                let request = account.queued.remove(index).map(|(_, request)| request);
                return request.map(|request| (request, account.virtual_tokens));
            }
        }
        None
    }

    /// Records that a started request of the workspace has ended.
    pub fn finish(&mut self, workspace: &Name) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of requests that the workspace has in flight.
    #[must_use]
    pub fn in_flight(&self, workspace: &Name) -> u32 {
        self.accounts.get(workspace).map_or(0, |account| account.in_flight)
    }
}
