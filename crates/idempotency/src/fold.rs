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
pub struct Start {
    /// The call.
    pub call: CallId,
    /// Unique id of the attempt.
    pub attempt: Arc<str>,
    /// BLAKE3 of method, path and body.
    pub digest: [u8; 32],
}

/// An answer kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Arc<str>,
    /// Whole body.
    pub body: Arc<str>,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered(Answer),
    /// No byte can have reached an upstream.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Where a call stands for an attempt that does not run it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The key was used for another request.
    OtherRequest,
    /// An attempt runs it, or died while it did.
    InProgress,
    /// It ran and this is its answer.
    Answered(Answer),
    /// It may have run.
    Unknown,
}

/// What a start did at its place in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartVerdict {
    /// The attempt runs the call.
    Won,
    /// The record stands in the log already.
    Repeated,
    /// Another attempt has the call.
    Lost(Standing),
}

/// A remembered call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Remembered {
    /// Offset of the start.
    pub offset: u64,
    /// The attempt that runs the call.
    pub start: Start,
    /// How it ended, if it did.
    pub outcome: Option<Outcome>,
}

/// Calls as of a place in the log, a bounded number of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallFold {
    capacity: usize,
    calls: BTreeMap<CallId, Remembered>,
    by_offset: BTreeSet<(u64, CallId)>,
}

impl CallFold {
    /// Remembers the newest `capacity` calls.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, calls: BTreeMap::new(), by_offset: BTreeSet::new() }
    }

    /// Restores a remembered call from a snapshot.
    pub fn restore(&mut self, remembered: Remembered) {
        let call = remembered.start.call.clone();
        self.by_offset.insert((remembered.offset, call.clone()));
        self.calls.insert(call, remembered);
    }

    /// Remembered calls in order.
    pub fn iter(&self) -> impl Iterator<Item = &Remembered> {
        self.calls.values()
    }

    /// Where a call stands, for a request with this digest; `None` if it may start.
    #[must_use]
    pub fn standing(&self, call: &CallId, digest: &[u8; 32]) -> Option<Standing> {
        let remembered = self.calls.get(call)?;
        if remembered.start.digest != *digest {
            return Some(Standing::OtherRequest);
        }
        match &remembered.outcome {
            None => Some(Standing::InProgress),
            Some(Outcome::Answered(answer)) => Some(Standing::Answered(answer.clone())),
            Some(Outcome::Unknown) => Some(Standing::Unknown),
            Some(Outcome::NotRun) => None,
        }
    }

    /// Applies the start found at `offset`.
    pub fn apply_start(&mut self, offset: u64, start: &Start) -> StartVerdict {
        let remembered = self.calls.get(&start.call);
        if remembered.is_some_and(|remembered| remembered.start.attempt == start.attempt) {
            return StartVerdict::Repeated;
        }
        if let Some(standing) = self.standing(&start.call, &start.digest) {
            return StartVerdict::Lost(standing);
        }
        if let Some(old) = remembered {
            self.by_offset.remove(&(old.offset, start.call.clone()));
        }
        self.restore(Remembered { offset, start: start.clone(), outcome: None });
        self.forget_oldest();
        StartVerdict::Won
    }

    fn forget_oldest(&mut self) {
        while self.calls.len() > self.capacity {
            let Some((_, call)) = self.by_offset.pop_first() else { return };
            self.calls.remove(&call);
        }
    }

    /// Applies the end of an attempt; only the running attempt ends a call, and only once.
    pub fn apply_end(&mut self, call: &CallId, attempt: &str, outcome: &Outcome) -> bool {
        match self.calls.get_mut(call) {
            Some(remembered)
                if &*remembered.start.attempt == attempt && remembered.outcome.is_none() =>
            {
                remembered.outcome = Some(outcome.clone());
                true
            }
            _ => false,
        }
    }
}
