//! Call starts and ends applied from the log: the attempt whose start comes first runs the call.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cowslip_name::Name;

/// Identifier of a call, given by its caller.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// Workspace of the caller.
    pub workspace: Name,
    /// Idempotency key that the caller chose.
    pub idempotency_key: Arc<str>,
}

/// Log record by which an attempt claims a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallStart {
    /// Call to run.
    pub call: CallId,
    /// Unique id of the attempt.
    pub attempt: Arc<str>,
    /// BLAKE3 of method, path and body.
    pub digest: [u8; 32],
}

/// Response that is stored for retries of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Arc<str>,
    /// Complete body.
    pub body: Arc<str>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream sent this response.
    Responded(StoredResponse),
    /// No byte can have reached an upstream.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Status of a call for an attempt that does not run it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The idempotency key was used for another request.
    KeyReused,
    /// Another attempt runs the call, or crashed while it did.
    InProgress,
    /// The call ran with this response.
    Responded(StoredResponse),
    /// The call may have run.
    Unknown,
}

/// Effect of a start at its offset in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartResult {
    /// The attempt runs the call.
    Acquired,
    /// The log already contains the start of this attempt.
    Repeated,
    /// Another attempt owns the call, which has this status.
    OwnedByOther(CallStatus),
}

/// A call with the attempt that owns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallEntry {
    /// Log offset of the start.
    pub offset: u64,
    /// Start of the attempt that owns the call.
    pub start: CallStart,
    /// Outcome of the owning attempt, `None` until it ends.
    pub outcome: Option<AttemptOutcome>,
}

/// The newest calls, up to a fixed number, as of one log offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallTable {
    capacity: usize,
    calls: BTreeMap<CallId, CallEntry>,
    by_offset: BTreeSet<(u64, CallId)>,
}

impl CallTable {
    /// Returns an empty table that keeps the newest `capacity` calls.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, calls: BTreeMap::new(), by_offset: BTreeSet::new() }
    }

    /// Restores a call from a snapshot.
    pub fn restore(&mut self, entry: CallEntry) {
        let call = entry.start.call.clone();
        self.by_offset.insert((entry.offset, call.clone()));
        self.calls.insert(call, entry);
    }

    /// Iterates over the calls in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &CallEntry> {
        self.calls.values()
    }

    /// Returns the status of a call for a request with this digest, `None` if the call may start.
    #[must_use]
    pub fn status(&self, call: &CallId, digest: &[u8; 32]) -> Option<CallStatus> {
        let entry = self.calls.get(call)?;
        if entry.start.digest != *digest {
            return Some(CallStatus::KeyReused);
        }
        match &entry.outcome {
            None => Some(CallStatus::InProgress),
            Some(AttemptOutcome::Responded(response)) => {
                Some(CallStatus::Responded(response.clone()))
            }
            Some(AttemptOutcome::Unknown) => Some(CallStatus::Unknown),
            Some(AttemptOutcome::NotRun) => None,
        }
    }

    /// Applies the start found at `offset` and returns its effect.
    pub fn apply_start(&mut self, offset: u64, start: &CallStart) -> StartResult {
        let entry = self.calls.get(&start.call);
        if entry.is_some_and(|entry| entry.start.attempt == start.attempt) {
            return StartResult::Repeated;
        }
        if let Some(status) = self.status(&start.call, &start.digest) {
            return StartResult::OwnedByOther(status);
        }
        if let Some(previous) = entry {
            self.by_offset.remove(&(previous.offset, start.call.clone()));
        }
        self.restore(CallEntry { offset, start: start.clone(), outcome: None });
        self.evict_oldest();
        StartResult::Acquired
    }

    fn evict_oldest(&mut self) {
        while self.calls.len() > self.capacity {
            let Some((_, call)) = self.by_offset.pop_first() else { return };
            self.calls.remove(&call);
        }
    }

    /// Applies the end of an attempt and returns whether it took effect: only the attempt that owns
    /// the call can end it, and only once.
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
