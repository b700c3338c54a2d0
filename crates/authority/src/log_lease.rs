//! The lease of one process on a scope whose records are in a shared append-only log.

use std::collections::BTreeMap;

use cowslip_name::Name;

use crate::terms::{Holder, LeaseRecord, LeaseRecordResult, ScopeTerm, Term, TermTable};

/// Durations of the lease protocol, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTimes {
    /// Length of a lease.
    pub lease_ms: u64,
    /// Interval between renewals, and between the reads of a candidate of a compare-and-set store.
    pub renew_every_ms: u64,
    /// Margin added to a candidate's wait, because clocks run at different rates.
    pub drift_margin_ms: u64,
    /// Time for which a new term sends no orders to targets that ignore fencing tokens, and for
    /// which a [`CasLease`](crate::CasLease) does not act after it has read a peer's record.
    pub silence_ms: u64,
}

/// Action for the owner of a [`LogLease`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseAction {
    /// Append the record to the log, and retry until the log replies or the record is read back.
    Append(LeaseRecord),
}

/// The lease protocol of one process on one scope of the log.
///
/// The holder's lease runs from the time just before it first sent the newest claim or renewal that
/// it has read back. A candidate waits for the lease duration and the drift margin from the time it
/// read the newest effective record, and its claim acquires the lease only if that record is still
/// the newest. So a claim cannot override a renewal that its writer had not read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LogLease {
    scope: Name,
    own: Holder,
    times: LeaseTimes,
    next_nonce: u64,
    /// Time just before the first send of each own record that is not read back yet, by nonce.
    sent_at_ms: BTreeMap<u64, u64>,
    /// Local time at which this process read the newest effective record of the scope.
    newest_read_at_ms: u64,
    held: Option<HeldTerm>,
    renewed_at_ms: u64,
    pending_claim: Option<PendingClaim>,
    has_stepped_down: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PendingClaim {
    expected_offset: Option<u64>,
    sent_at_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HeldTerm {
    term: Term,
    expires_at_ms: u64,
    start_ms: u64,
}

impl LogLease {
    /// Returns a lease that is not held and has read no record.
    #[must_use]
    pub fn new(scope: Name, own: Holder, times: LeaseTimes, now_ms: u64) -> Self {
        Self {
            scope,
            own,
            times,
            next_nonce: 0,
            sent_at_ms: BTreeMap::new(),
            newest_read_at_ms: now_ms,
            held: None,
            renewed_at_ms: now_ms,
            pending_claim: None,
            has_stepped_down: false,
        }
    }

    /// Returns the scope that the lease is on.
    #[must_use]
    pub fn scope(&self) -> &Name {
        &self.scope
    }

    /// Applies a record of the scope that was read at `now_ms`, after `terms` has applied it.
    pub fn on_record(
        &mut self,
        now_ms: u64,
        record: &LeaseRecord,
        result: LeaseRecordResult,
        terms: &TermTable,
    ) {
        match result {
            LeaseRecordResult::Ignored => {}
            LeaseRecordResult::Acquired | LeaseRecordResult::Applied => {
                self.on_effective_record(now_ms, record, terms);
            }
        }
    }

    /// Restarts the candidate's wait and drops the held term after terms were restored from a
    /// snapshot instead of from records.
    pub fn on_snapshot(&mut self, now_ms: u64) {
        self.newest_read_at_ms = now_ms;
        self.held = None;
    }

    fn on_effective_record(&mut self, now_ms: u64, record: &LeaseRecord, terms: &TermTable) {
        self.newest_read_at_ms = now_ms;
        let newest = match terms.newest(&self.scope) {
            Some(newest) if newest.holder == self.own && !newest.released => newest,
            _ => {
                self.held = None;
                return;
            }
        };
        match record {
            LeaseRecord::Claim { nonce, .. } | LeaseRecord::Renewal { nonce, .. } => {
                self.extend_held_term(now_ms, newest, *nonce);
            }
            LeaseRecord::Release { .. } => {}
        }
    }

    fn extend_held_term(&mut self, now_ms: u64, newest: &ScopeTerm, nonce: u64) {
        let Some(sent_at_ms) = self.sent_at_ms.remove(&nonce) else { return };
        self.sent_at_ms.retain(|pending, _| *pending > nonce);
        let expires_at_ms = sent_at_ms + self.times.lease_ms;
        match &mut self.held {
            Some(held) if held.term == newest.term => {
                held.expires_at_ms = held.expires_at_ms.max(expires_at_ms);
            }
            _ => self.held = Some(HeldTerm { term: newest.term, expires_at_ms, start_ms: now_ms }),
        }
    }

    /// Returns the term under which this process may act at `now_ms`.
    #[must_use]
    pub fn valid_term(&self, now_ms: u64) -> Option<Term> {
        self.held.filter(|held| now_ms < held.expires_at_ms).map(|held| held.term)
    }

    /// Returns the earliest time for an order under the current term to a target that ignores
    /// fencing tokens.
    #[must_use]
    pub fn silent_until_ms(&self) -> Option<u64> {
        self.held.map(|held| held.start_ms + self.times.silence_ms)
    }

    /// Returns the renewal or claim that is due at `now_ms`.
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
        let elapsed_ms = now_ms.saturating_sub(self.renewed_at_ms);
        if elapsed_ms < self.times.renew_every_ms {
            return None;
        }
        let nonce = self.assign_nonce(now_ms);
        Some(LeaseAction::Append(LeaseRecord::Renewal { term, nonce }))
    }

    fn claim(&mut self, now_ms: u64, newest: Option<&ScopeTerm>) -> Option<LeaseAction> {
        let expected_offset = newest.map(|newest| newest.last_offset);
        let elapsed_ms = now_ms.saturating_sub(self.newest_read_at_ms);
        let is_free = newest.is_none_or(|newest| newest.released);
        let is_due = is_free || elapsed_ms >= self.times.lease_ms + self.times.drift_margin_ms;
        let is_claim_pending = self.pending_claim.is_some_and(|pending_claim| {
            pending_claim.expected_offset == expected_offset
                && now_ms.saturating_sub(pending_claim.sent_at_ms) < self.times.lease_ms
        });
        if !is_due || is_claim_pending {
            return None;
        }
        self.pending_claim = Some(PendingClaim { expected_offset, sent_at_ms: now_ms });
        let nonce = self.assign_nonce(now_ms);
        let holder = self.own.clone();
        Some(LeaseAction::Append(LeaseRecord::Claim { holder, nonce, expected_offset }))
    }

    fn assign_nonce(&mut self, now_ms: u64) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent_at_ms.insert(nonce, now_ms);
        self.renewed_at_ms = now_ms;
        nonce
    }

    /// Stops claiming, and returns the release to append if this process holds the newest term. No
    /// order may be in flight.
    pub fn step_down(&mut self, terms: &TermTable) -> Option<LeaseAction> {
        self.has_stepped_down = true;
        self.held = None;
        terms
            .newest(&self.scope)
            .filter(|newest| newest.holder == self.own && !newest.released)
            .map(|newest| LeaseAction::Append(LeaseRecord::Release { term: newest.term }))
    }
}
