//! Whether the configuration of an instance is recent enough to serve requests.

/// Numbers of listed and reached instances; an instance is reached if its heartbeats are recent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerReachability {
    /// Number of instances in the platform's list, including the local one.
    pub listed: usize,
    /// Number of reached instances whose log offset is not ahead of the local one, including the
    /// local instance.
    pub reached_not_ahead: usize,
}

impl PeerReachability {
    /// Whether more than half of the listed instances are reached and not ahead.
    #[must_use]
    pub fn is_majority(&self) -> bool {
        is_majority(self.reached_not_ahead, self.listed)
    }
}

/// Whether `count` instances are more than half of the `listed` ones.
///
/// A ticket is in force once a majority of the instances has it.
#[must_use]
pub fn is_majority(count: usize, listed: usize) -> bool {
    2 * count > listed
}

/// Reason why an instance admits no requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The instance has never confirmed that it has the newest state.
    NeverFresh,
    /// The state is stale, and the instance reaches too few peers, so a newer state may be in force
    /// at the peers that it does not reach.
    CutOff,
}

/// Decision whether an instance admits requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Requests are admitted, and the state is recent.
    Admit,
    /// Requests are admitted although the state is stale, because a majority has nothing newer: the
    /// log is unavailable to all of them.
    AdmitStale,
    /// No requests are admitted.
    Stop(StopReason),
}

/// Time at which an instance last confirmed that it has the newest state.
///
/// A ticket counts as in force only after a majority of the instances has it, and a stale instance
/// serves only while it reaches a majority that is not ahead of it. Any two majorities share an
/// instance, so no stale instance serves in conflict with a ticket that is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Freshness {
    limit_ms: u64,
    confirmed_at_ms: Option<u64>,
}

impl Freshness {
    /// Returns a freshness without confirmation. The state becomes stale `limit_ms` after the last
    /// confirmation.
    #[must_use]
    pub fn new(limit_ms: u64) -> Self {
        Self { limit_ms, confirmed_at_ms: None }
    }

    /// Records that a read of the log, sent at `sent_at_ms`, found no newer state.
    pub fn on_log_read(&mut self, sent_at_ms: u64) {
        self.confirm(sent_at_ms);
    }

    /// Records the reply of a peer that is not ahead to a request sent at `sent_at_ms`: the peer
    /// confirmed its own state as the newest `age_ms` before its reply.
    pub fn on_peer_reply(&mut self, sent_at_ms: u64, age_ms: u64) {
        self.confirm(sent_at_ms.saturating_sub(age_ms));
    }

    fn confirm(&mut self, at_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
    }

    /// Returns the time since the last confirmation, `None` if there was none.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Decides whether to admit requests at `now_ms`.
    #[must_use]
    pub fn admission(&self, now_ms: u64, reachability: PeerReachability) -> Admission {
        match self.age_ms(now_ms) {
            None => Admission::Stop(StopReason::NeverFresh),
            Some(age_ms) if age_ms <= self.limit_ms => Admission::Admit,
            Some(_) if reachability.is_majority() => Admission::AdmitStale,
            Some(_) => Admission::Stop(StopReason::CutOff),
        }
    }
}
