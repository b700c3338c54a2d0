//! The fold of starts and ends: the first start of a call in the log runs it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cowslip_name::Name;

/// A call as its caller names it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// Workspace of the caller.
    pub workspace: Name,
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
}

/// A record that an attempt wants to run a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallStart {
    /// The call.
    pub call: CallId,
    /// Unique id of the attempt.
    pub attempt: Arc<str>,
    /// BLAKE3 of method, path and body.
    pub digest: [u8; 32],
}

/// An answer kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Arc<str>,
    /// Whole body.
    pub body: Arc<str>,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Answered(StoredResponse),
    /// No byte can have reached an upstream.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Where a call stands for an attempt that does not run it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The key was used for another request.
    KeyReused,
    /// An attempt runs it, or died while it did.
    InProgress,
    /// It ran and this is its answer.
    Answered(StoredResponse),
    /// It may have run.
    Unknown,
}

/// What a start did at its place in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartResult {
    /// The attempt runs the call.
    Won,
    /// The record stands in the log already.
    Repeated,
    /// Another attempt has the call.
    Lost(CallStatus),
}

/// A remembered call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallEntry {
    /// Offset of the start.
    pub offset: u64,
    /// The attempt that runs the call.
    pub start: CallStart,
    /// How it ended, if it did.
    pub outcome: Option<AttemptOutcome>,
}

/// Calls as of a place in the log, a bounded number of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallTable {
    capacity: usize,
    calls: BTreeMap<CallId, CallEntry>,
    by_offset: BTreeSet<(u64, CallId)>,
}

impl CallTable {
    /// Remembers the newest `capacity` calls.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, calls: BTreeMap::new(), by_offset: BTreeSet::new() }
    }

    /// Restores a remembered call from a snapshot.
    pub fn restore(&mut self, entry: CallEntry) {
        let call = entry.start.call.clone();
        self.by_offset.insert((entry.offset, call.clone()));
        self.calls.insert(call, entry);
    }

    /// Remembered calls in order.
    pub fn iter(&self) -> impl Iterator<Item = &CallEntry> {
        self.calls.values()
    }

    /// Where a call stands, for a request with this digest; `None` if it may start.
    #[must_use]
    pub fn status(&self, call: &CallId, digest: &[u8; 32]) -> Option<CallStatus> {
        let entry = self.calls.get(call)?;
        if entry.start.digest != *digest {
            return Some(CallStatus::KeyReused);
        }
        match &entry.outcome {
            None => Some(CallStatus::InProgress),
            Some(AttemptOutcome::Answered(answer)) => Some(CallStatus::Answered(answer.clone())),
            Some(AttemptOutcome::Unknown) => Some(CallStatus::Unknown),
            Some(AttemptOutcome::NotRun) => None,
        }
    }

    /// Applies the start found at `offset`.
    pub fn apply_start(&mut self, offset: u64, start: &CallStart) -> StartResult {
        let entry = self.calls.get(&start.call);
        if entry.is_some_and(|entry| entry.start.attempt == start.attempt) {
            return StartResult::Repeated;
        }
        if let Some(status) = self.status(&start.call, &start.digest) {
            return StartResult::Lost(status);
        }
        if let Some(old) = entry {
            self.by_offset.remove(&(old.offset, start.call.clone()));
        }
        self.restore(CallEntry { offset, start: start.clone(), outcome: None });
        self.forget_oldest();
        StartResult::Won
    }

    fn forget_oldest(&mut self) {
        while self.calls.len() > self.capacity {
            let Some((_, call)) = self.by_offset.pop_first() else { return };
            self.calls.remove(&call);
        }
    }

    /// Applies the end of an attempt; only the running attempt ends a call, and only once.
    pub fn apply_end(&mut self, call: &CallId, attempt: &str, outcome: &AttemptOutcome) -> bool {
        match self.calls.get_mut(call) {
            Some(entry) if &*entry.start.attempt == attempt && entry.outcome.is_none() => {
                entry.outcome = Some(outcome.clone());
                true
            }
            _ => false,
        }
    }
}
