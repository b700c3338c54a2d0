//! The lease of one process on a scope whose records are in a store with compare-and-set appends.
//!
//! The store appends a record only if the writer names the current end offset, so a claim that was
//! appended has acquired the lease, and no replay of all claims is needed to find the holder. The
//! offset of the holder's newest record is the fencing token. It rises with each renewal, so a call
//! that is executed late carries an older token.

use cowslip_name::Name;

use crate::log_lease::LeaseTimes;
use crate::terms::{Holder, Term};

/// The scope's newest record in the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLeaseRecord {
    /// Process that wrote the record.
    pub holder: Holder,
    /// Number of the write within the holder's incarnation, from 0.
    pub nonce: u64,
    /// Whether the record releases the lease.
    pub is_released: bool,
}

/// Result of one read of the scope's records.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLeaseView {
    /// Offset that the next record gets.
    pub end: u64,
    /// Offset and content of the newest record, `None` if the scope has no record.
    pub newest: Option<(u64, CasLeaseRecord)>,
}

/// Next action for the owner of a [`CasLease`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum CasLeaseStep {
    /// No call to the store is due.
    Wait,
    /// Read the scope's records and hand the view to [`CasLease::on_view`].
    Read,
    /// Append the record if the store's records end at `expected_end`, and pass the result to
    /// [`CasLease::on_written`].
    Write {
        /// Offset that the record must get.
        expected_end: u64,
        /// Claim, renewal or release to append.
        record: CasLeaseRecord,
    },
}

/// Result of a conditional append.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AppendResult {
    /// The record was appended.
    Appended {
        /// Offset of the appended record.
        offset: u64,
        /// Offset that the next record gets.
        end: u64,
    },
    /// The records did not end at the expected offset, so nothing was appended.
    Conflict,
    /// The store did not reply; the record may or may not be appended, possibly later.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HeldLease {
    fence: Term,
    expires_at_ms: u64,
    silent_until_ms: u64,
}

/// The lease protocol of one process on one scope of a compare-and-set store.
///
/// The holder's lease runs from the time just before it sent the newest write that it knows to be
/// appended. A candidate waits for the lease duration and the drift margin from the time it first
/// read the newest record, and its claim is appended only if no record was appended since.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLease {
    own: Holder,
    times: LeaseTimes,
    next_nonce: u64,
    view: Option<CasLeaseView>,
    /// Local time at which the newest record was first read, or appended by this process.
    newest_seen_at_ms: u64,
    is_view_stale: bool,
    /// Whether a claim got no response and no read has succeeded since.
    is_claim_unanswered: bool,
    /// Time before which this process does not claim the lease.
    no_claim_until_ms: u64,
    last_write: Option<SentWrite>,
    /// Local time of the last read in which the newest record was a peer's.
    peer_seen_at_ms: Option<u64>,
    held: Option<HeldLease>,
    /// Highest fencing token that a target has rejected.
    rejected_fence: Option<Term>,
    renewed_at_ms: u64,
    read_at_ms: u64,
    has_stepped_down: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct SentWrite {
    nonce: u64,
    sent_at_ms: u64,
}

impl CasLease {
    /// Returns a lease that is not held and has no view of the store.
    #[must_use]
    pub fn new(own: Holder, times: LeaseTimes, now_ms: u64) -> Self {
        Self {
            own,
            times,
            next_nonce: 0,
            view: None,
            newest_seen_at_ms: now_ms,
            is_view_stale: true,
            is_claim_unanswered: false,
            no_claim_until_ms: 0,
            last_write: None,
            peer_seen_at_ms: None,
            held: None,
            rejected_fence: None,
            renewed_at_ms: now_ms,
            read_at_ms: 0,
            has_stepped_down: false,
        }
    }

    /// Returns the next action, which the owner completes before it calls this again.
    pub fn next_step(&mut self, now_ms: u64) -> CasLeaseStep {
        if self.is_view_stale {
            return CasLeaseStep::Read;
        }
        let Some(view) = &self.view else { return CasLeaseStep::Read };
        if self.has_stepped_down {
            return self.release(now_ms);
        }
        let is_own = matches!(&view.newest, Some((_, record)) if record.holder == self.own);
        if is_own {
            let elapsed_ms = now_ms.saturating_sub(self.renewed_at_ms);
            // A lease that expired while the store was away is renewed as soon as it responds.
            let has_expired = self.held.is_some_and(|held| held.expires_at_ms <= now_ms);
            return if elapsed_ms < self.times.renew_every_ms && !has_expired {
                CasLeaseStep::Wait
            } else {
                self.write(now_ms, false)
            };
        }
        let is_free = view.newest.as_ref().is_none_or(|(_, record)| record.is_released);
        let elapsed_ms = now_ms.saturating_sub(self.newest_seen_at_ms);
        let has_waited = elapsed_ms >= self.times.lease_ms + self.times.drift_margin_ms;
        if is_free || has_waited && now_ms >= self.no_claim_until_ms {
            return self.write(now_ms, false);
        }
        if now_ms.saturating_sub(self.read_at_ms) >= self.times.renew_every_ms {
            return CasLeaseStep::Read;
        }
        CasLeaseStep::Wait
    }

    fn release(&mut self, now_ms: u64) -> CasLeaseStep {
        if self.is_release_due() { self.write(now_ms, true) } else { CasLeaseStep::Wait }
    }

    /// Returns whether this process has stepped down while the newest known record is still its own.
    #[must_use]
    pub fn is_release_due(&self) -> bool {
        let newest = self.view.as_ref().and_then(|view| view.newest.as_ref());
        self.has_stepped_down
            && newest.is_some_and(|(_, record)| record.holder == self.own && !record.is_released)
    }

    fn write(&mut self, now_ms: u64, is_released: bool) -> CasLeaseStep {
        let Some(view) = &self.view else { return CasLeaseStep::Read };
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.renewed_at_ms = now_ms;
        self.last_write = Some(SentWrite { nonce, sent_at_ms: now_ms });
        let record = CasLeaseRecord { holder: self.own.clone(), nonce, is_released };
        CasLeaseStep::Write { expected_end: view.end, record }
    }

    /// Applies the result of a read that was sent at `sent_at_ms`.
    pub fn on_view(&mut self, now_ms: u64, sent_at_ms: u64, view: CasLeaseView) {
        self.is_view_stale = false;
        self.read_at_ms = sent_at_ms;
        if std::mem::take(&mut self.is_claim_unanswered) {
            // The store was away. The holder may act without the silence of a takeover, so it is
            // given time to renew its lease.
            self.no_claim_until_ms = now_ms + self.times.renew_every_ms / 2;
        }
        let is_same = self.view.as_ref().is_some_and(|known| known.newest == view.newest);
        if !is_same {
            self.newest_seen_at_ms = now_ms;
        }
        match (&view.newest, self.last_write) {
            (Some((offset, record)), Some(write))
                if record.holder == self.own && record.nonce == write.nonce =>
            {
                self.set_held(*offset, record.is_released, write);
            }
            (Some((_, record)), _) if record.holder == self.own => {}
            (Some(_), _) => {
                self.held = None;
                self.peer_seen_at_ms = Some(now_ms);
            }
            (None, _) => self.held = None,
        }
        self.view = Some(view);
    }

    /// Applies the result of the write that [`CasLease::next_step`] returned.
    pub fn on_written(&mut self, now_ms: u64, record: CasLeaseRecord, result: AppendResult) {
        match result {
            AppendResult::Appended { offset, end } => {
                if let Some(write) = self.last_write.filter(|write| write.nonce == record.nonce) {
                    self.set_held(offset, record.is_released, write);
                }
                self.newest_seen_at_ms = now_ms;
                self.view = Some(CasLeaseView { end, newest: Some((offset, record)) });
            }
            AppendResult::Conflict => self.is_view_stale = true,
            AppendResult::Unknown => {
                self.is_view_stale = true;
                self.is_claim_unanswered = true;
            }
        }
    }

    fn set_held(&mut self, offset: u64, is_released: bool, write: SentWrite) {
        if is_released
            || self.has_stepped_down
            || self.rejected_fence.is_some_and(|rejected| offset <= rejected)
        {
            self.held = None;
            return;
        }
        // The previous holder may have acted until its lease expired. The silence since the last
        // read of its record keeps the two holders from alternating within one lease.
        let silent_until_ms =
            self.peer_seen_at_ms.map_or(0, |seen_at_ms| seen_at_ms + self.times.silence_ms);
        let expires_at_ms = write.sent_at_ms + self.times.lease_ms;
        self.held = Some(HeldLease { fence: offset, expires_at_ms, silent_until_ms });
    }

    /// Whether this process holds the lease at `now_ms`, even if it may not act yet.
    #[must_use]
    pub fn is_holder(&self, now_ms: u64) -> bool {
        self.held.is_some_and(|held| now_ms < held.expires_at_ms)
    }

    /// Returns the fencing token under which this process may act at `now_ms`.
    #[must_use]
    pub fn fence(&self, now_ms: u64) -> Option<Term> {
        self.fence_with_expiry(now_ms).map(|(fence, _)| fence)
    }

    /// Returns the fencing token with the time at which the lease expires.
    #[must_use]
    pub fn fence_with_expiry(&self, now_ms: u64) -> Option<(Term, u64)> {
        self.held
            .filter(|held| now_ms < held.expires_at_ms && held.silent_until_ms <= now_ms)
            .map(|held| (held.fence, held.expires_at_ms))
    }

    /// Makes the next renewal due immediately.
    pub fn renew_now(&mut self) {
        self.renewed_at_ms = 0;
    }

    /// Drops a fencing token that a target rejected because it has accepted a higher one.
    ///
    /// The token is not used again. If this process still holds the lease, its next record yields
    /// a higher token.
    pub fn on_fenced(&mut self, fence: Term) {
        self.rejected_fence = self.rejected_fence.max(Some(fence));
        if self.held.is_some_and(|held| held.fence <= fence) {
            self.held = None;
            self.is_view_stale = true;
            self.renew_now();
        }
    }

    /// Stops acting and claiming; [`CasLease::next_step`] then releases the lease if it is held.
    pub fn step_down(&mut self) {
        self.has_stepped_down = true;
        self.held = None;
    }

    /// Returns the lease holder by the newest known record, even if its lease has expired.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        let (_, record) = self.view.as_ref()?.newest.as_ref()?;
        (!record.is_released).then_some(&record.holder.instance)
    }
}
