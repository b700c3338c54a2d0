//! How an instance knows that its configuration is recent enough to serve by.

/// Whom an instance has heard from lately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerReachability {
    /// Instances in the platform's list, itself included.
    pub listed: usize,
    /// Those heard lately whose log position is not ahead of its own, itself included.
    pub reached_not_ahead: usize,
}

impl PeerReachability {
    /// Whether more than half of the listed instances are reached.
    #[must_use]
    pub fn is_majority(&self) -> bool {
        is_majority(self.reached_not_ahead, self.listed)
    }
}

/// Whether `count` instances are more than half of the `listed` ones.
///
/// A ticket is in force once this holds for the instances that have it.
#[must_use]
pub fn is_majority(count: usize, listed: usize) -> bool {
    2 * count > listed
}

/// Why an instance admits nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// It has never known the newest state.
    NeverFresh,
    /// It is stale and reaches too few others: a newer state may be in force there.
    CutOff,
}

/// Whether requests are admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The state is recent.
    Admit,
    /// The state is old, but a majority has nothing newer: the log is out for all alike.
    AdmitStale,
    /// Nothing is admitted.
    Stop(StopReason),
}

/// When the instance last knew that it had the newest state.
///
/// A ticket is accepted as in force only after a majority holds it, and a stale instance serves
/// only while it reaches a majority that is not ahead of it. Two majorities share an instance, so
/// no stale instance serves against a ticket that was accepted as in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Freshness {
    limit_ms: u64,
    confirmed_at_ms: Option<u64>,
}

impl Freshness {
    /// Nothing confirmed yet.
    #[must_use]
    pub fn new(limit_ms: u64) -> Self {
        Self { limit_ms, confirmed_at_ms: None }
    }

    /// The log answered a read, sent at `sent_at_ms`, that nothing newer exists.
    pub fn on_log(&mut self, sent_at_ms: u64) {
        self.confirm(sent_at_ms);
    }

    /// Another instance that is not ahead answered a request, sent at `sent_at_ms`, that its own
    /// state was the newest `age_ms` before its answer.
    pub fn on_peer(&mut self, sent_at_ms: u64, age_ms: u64) {
        self.confirm(sent_at_ms.saturating_sub(age_ms));
    }

    fn confirm(&mut self, at_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
    }

    /// Time since the state was known to be the newest.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Whether to admit requests at `now_ms`.
    #[must_use]
    pub fn admission(&self, now_ms: u64, contact: PeerReachability) -> Admission {
        match self.age_ms(now_ms) {
            None => Admission::Stop(StopReason::NeverFresh),
            Some(age_ms) if age_ms <= self.limit_ms => Admission::Admit,
            Some(_) if contact.is_majority() => Admission::AdmitStale,
            Some(_) => Admission::Stop(StopReason::CutOff),
        }
    }
}
