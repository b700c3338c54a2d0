//! The lease of one process on one scope.

use std::collections::BTreeMap;

use cowslip_name::Name;

use crate::terms::{Holder, LeaseRecordResult, ScopeRecord, ScopeTerm, Term, TermTable};

/// Durations of the lease protocol, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTimes {
    /// Length of a lease.
    pub lease_ms: u64,
    /// Interval between renewals.
    pub renew_every_ms: u64,
    /// Added to a candidate's wait for clocks that run at different rates.
    pub drift_margin_ms: u64,
    /// How long a new term stays silent towards targets that ignore fencing numbers.
    pub silence_ms: u64,
}

/// What the owner of a [`LogLease`] has to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseAction {
    /// Append the record to the log, and repeat it until the log answers or it is read back.
    Append(ScopeRecord),
}

/// The lease protocol of one process on one scope.
///
/// The holder believes in its term until the time before it first sent the newest renewal that it
/// has read back, plus the lease. A candidate waits a lease and a margin from the time it read the
/// newest counting record, and its claim wins only if that record is still the newest. So a claim
/// cannot win over a renewal that its writer had not seen.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LogLease {
    scope: Name,
    own: Holder,
    times: LeaseTimes,
    next_nonce: u64,
    /// Time before the first send, by nonce, of own records that are not read back.
    sent_at_ms: BTreeMap<u64, u64>,
    /// When this process read the newest counting record of the scope.
    newest_read_at_ms: u64,
    belief: Option<Belief>,
    renewed_at_ms: u64,
    claimed: Option<ClaimSent>,
    has_stepped_down: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct ClaimSent {
    expected_offset: Option<u64>,
    sent_at_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Belief {
    term: Term,
    until_ms: u64,
    began_ms: u64,
}

impl LogLease {
    /// A process that has read nothing yet.
    #[must_use]
    pub fn new(scope: Name, own: Holder, times: LeaseTimes, now_ms: u64) -> Self {
        Self {
            scope,
            own,
            times,
            next_nonce: 0,
            sent_at_ms: BTreeMap::new(),
            newest_read_at_ms: now_ms,
            belief: None,
            renewed_at_ms: now_ms,
            claimed: None,
            has_stepped_down: false,
        }
    }

    /// Scope of the lease.
    #[must_use]
    pub fn scope(&self) -> &Name {
        &self.scope
    }

    /// Takes note of a record of the scope that was read at `now_ms`, after `terms` applied it.
    pub fn on_record(
        &mut self,
        now_ms: u64,
        record: &ScopeRecord,
        result: LeaseRecordResult,
        terms: &TermTable,
    ) {
        match result {
            LeaseRecordResult::Ignored => {}
            LeaseRecordResult::Acquired | LeaseRecordResult::Applied => {
                self.on_counting(now_ms, record, terms);
            }
        }
    }

    /// Takes note of terms that come from a snapshot instead of from records.
    pub fn on_snapshot(&mut self, now_ms: u64) {
        self.newest_read_at_ms = now_ms;
        self.belief = None;
    }

    fn on_counting(&mut self, now_ms: u64, record: &ScopeRecord, terms: &TermTable) {
        self.newest_read_at_ms = now_ms;
        let newest = match terms.newest(&self.scope) {
            Some(newest) if newest.holder == self.own && !newest.released => newest,
            _ => {
                self.belief = None;
                return;
            }
        };
        match record {
            ScopeRecord::Claim { nonce, .. } | ScopeRecord::Renewal { nonce, .. } => {
                self.extend_belief(now_ms, newest, *nonce);
            }
            ScopeRecord::Release { .. } => {}
        }
    }

    fn extend_belief(&mut self, now_ms: u64, newest: &ScopeTerm, nonce: u64) {
        let Some(sent_at_ms) = self.sent_at_ms.remove(&nonce) else { return };
        self.sent_at_ms.retain(|other, _| *other > nonce);
        let until_ms = sent_at_ms + self.times.lease_ms;
        match &mut self.belief {
            Some(belief) if belief.term == newest.term => {
                belief.until_ms = belief.until_ms.max(until_ms);
            }
            _ => self.belief = Some(Belief { term: newest.term, until_ms, began_ms: now_ms }),
        }
    }

    /// The term that this process may act under at `now_ms`.
    #[must_use]
    pub fn valid_term(&self, now_ms: u64) -> Option<Term> {
        self.belief.filter(|belief| now_ms < belief.until_ms).map(|belief| belief.term)
    }

    /// Earliest time for an order under the present term to a target that ignores fencing numbers.
    #[must_use]
    pub fn silent_until_ms(&self) -> Option<u64> {
        self.belief.map(|belief| belief.began_ms + self.times.silence_ms)
    }

    /// What is due at `now_ms`.
    pub fn on_tick(&mut self, now_ms: u64, terms: &TermTable) -> Option<LeaseAction> {
        if self.has_stepped_down {
            return None;
        }
        match terms.newest(&self.scope) {
            Some(newest) if newest.holder == self.own && !newest.released => {
                self.renew(now_ms, newest.term)
            }
            newest => self.claim(now_ms, newest),
        }
    }

    fn renew(&mut self, now_ms: u64, term: Term) -> Option<LeaseAction> {
        let waited_ms = now_ms.saturating_sub(self.renewed_at_ms);
        if waited_ms < self.times.renew_every_ms {
            return None;
        }
        let nonce = self.send(now_ms);
        Some(LeaseAction::Append(ScopeRecord::Renewal { term, nonce }))
    }

    fn claim(&mut self, now_ms: u64, newest: Option<&ScopeTerm>) -> Option<LeaseAction> {
        let expected_offset = newest.map(|newest| newest.last_offset);
        let waited_ms = now_ms.saturating_sub(self.newest_read_at_ms);
        let is_free = newest.is_none_or(|newest| newest.released);
        let is_due = is_free || waited_ms >= self.times.lease_ms + self.times.drift_margin_ms;
        let is_claimed = self.claimed.is_some_and(|claimed| {
            claimed.expected_offset == expected_offset
                && now_ms.saturating_sub(claimed.sent_at_ms) < self.times.lease_ms
        });
        if !is_due || is_claimed {
            return None;
        }
        self.claimed = Some(ClaimSent { expected_offset, sent_at_ms: now_ms });
        let nonce = self.send(now_ms);
        let holder = self.own.clone();
        Some(LeaseAction::Append(ScopeRecord::Claim { holder, nonce, expected_offset }))
    }

    fn send(&mut self, now_ms: u64) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent_at_ms.insert(nonce, now_ms);
        self.renewed_at_ms = now_ms;
        nonce
    }

    /// Gives the term up and claims no more; the caller has no order in flight.
    pub fn step_down(&mut self, terms: &TermTable) -> Option<LeaseAction> {
        self.has_stepped_down = true;
        self.belief = None;
        terms
            .newest(&self.scope)
            .filter(|newest| newest.holder == self.own && !newest.released)
            .map(|newest| LeaseAction::Append(ScopeRecord::Release { term: newest.term }))
    }
}
