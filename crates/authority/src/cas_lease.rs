//! The lease of one process on a scope whose records are in a store with compare-and-set appends.
//!
//! The store appends a record only if the writer names the current end offset, so a claim that was
//! appended has acquired the lease, and no replay of all claims is needed to find the holder. The
//! position of the holder's newest record gives the fencing token. It rises with each renewal, so a
//! call that is executed late carries an older token.
//!
//! A restore of the store takes acknowledged records away, gives their offsets out again and raises
//! the store's era. A record therefore counts only in the era in which it was decided.

use cowslip_era::{Position, StoreEra};
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
    /// Era in which the writer decided on the record. In another era it has no effect on the lease.
    pub era: StoreEra,
}

/// Result of one read of the scope's records.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLeaseView {
    /// Era of the read, to which the offsets belong.
    pub era: StoreEra,
    /// Offset that the next record gets.
    pub end: u64,
    /// Offset and content of the newest record, `None` if the scope has no record.
    pub newest: Option<(u64, CasLeaseRecord)>,
}

/// What the newest record of a view says about the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NewestRecord {
    Missing,
    /// A record of an earlier era, whoever wrote it.
    Ineffective,
    Released,
    Own,
    Foreign,
}

impl CasLeaseView {
    fn newest_record(&self, own: &Holder) -> NewestRecord {
        match &self.newest {
            None => NewestRecord::Missing,
            Some((_, record)) if record.era != self.era => NewestRecord::Ineffective,
            Some((_, record)) if record.holder == *own => NewestRecord::Own,
            Some((_, record)) if record.is_released => NewestRecord::Released,
            Some(_) => NewestRecord::Foreign,
        }
    }
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
    /// The store did not reply, or replied in another era than the record's; the record may or may
    /// not be appended, possibly later.
    Unknown,
}

/// A lease that is held and not silent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct UsableLease {
    /// Position of the holder's newest record; of an earlier era until the lease is renewed in the
    /// known one.
    pub position: Position,
    /// Local time in milliseconds at which the lease expires.
    pub expires_at_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HeldLease {
    position: Position,
    expires_at_ms: u64,
    silent_until_ms: u64,
}

/// The lease protocol of one process on one scope of a compare-and-set store.
///
/// The holder's lease runs from the time just before it sent the newest write that it knows to be
/// appended. A candidate waits for the lease duration and the drift margin from the time it first
/// read the newest record, and its claim is appended only if no record was appended since.
///
/// After a restore, a holder whose lease has not expired renews at once and does not act until the
/// renewal is acknowledged. Every other process waits as for the record of a living holder, since
/// the records of the last holder may be gone.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLease {
    own: Holder,
    times: LeaseTimes,
    next_nonce: u64,
    /// Highest era that this process knows.
    era: StoreEra,
    /// State of the store in the known era.
    view: Option<CasLeaseView>,
    /// Local time at which the newest record of the known era, or the lack of one, was first read, or
    /// at which this process appended it.
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
            era: StoreEra::default(),
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
        let held = self.unexpired(now_ms);
        let is_renewal_due = now_ms.saturating_sub(self.renewed_at_ms) >= self.times.renew_every_ms
            || held.is_some_and(|held| held.position.era < self.era);
        match (view.newest_record(&self.own), held) {
            (NewestRecord::Own, _) => {
                // A lease that expired while the store was away is renewed as soon as it responds.
                let has_expired = self.held.is_some() && held.is_none();
                self.write_if(is_renewal_due || has_expired, now_ms)
            }
            (NewestRecord::Released, _) => self.write(now_ms, false),
            // Others cannot have claimed before this lease expires. After that, such a record may
            // hide a claim.
            (NewestRecord::Missing | NewestRecord::Ineffective, Some(_)) => {
                self.write_if(is_renewal_due, now_ms)
            }
            // Only a store that was never restored is certain to be new.
            (NewestRecord::Missing, None) if self.era == StoreEra::default() => {
                self.write(now_ms, false)
            }
            (NewestRecord::Missing | NewestRecord::Ineffective, None)
            | (NewestRecord::Foreign, _) => self.claim_if_expired(now_ms),
        }
    }

    fn write_if(&mut self, is_due: bool, now_ms: u64) -> CasLeaseStep {
        if is_due { self.write(now_ms, false) } else { CasLeaseStep::Wait }
    }

    /// Claims the lease if that of the previous holder has expired.
    fn claim_if_expired(&mut self, now_ms: u64) -> CasLeaseStep {
        let elapsed_ms = now_ms.saturating_sub(self.newest_seen_at_ms);
        let has_waited = elapsed_ms >= self.times.lease_ms + self.times.drift_margin_ms;
        if has_waited && now_ms >= self.no_claim_until_ms {
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
    ///
    /// A record of an earlier era is not released: a successor's record may have been lost.
    #[must_use]
    pub fn is_release_due(&self) -> bool {
        self.has_stepped_down
            && self
                .effective_newest()
                .is_some_and(|(_, record)| record.holder == self.own && !record.is_released)
    }

    fn write(&mut self, now_ms: u64, is_released: bool) -> CasLeaseStep {
        let Some(view) = &self.view else { return CasLeaseStep::Read };
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.renewed_at_ms = now_ms;
        self.last_write = Some(SentWrite { nonce, sent_at_ms: now_ms });
        let record = CasLeaseRecord { holder: self.own.clone(), nonce, is_released, era: view.era };
        CasLeaseStep::Write { expected_end: view.end, record }
    }

    /// Returns the highest era of the store that this process knows.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Applies an era of the store, which has no effect unless it is higher than the known one.
    pub fn on_era(&mut self, era: StoreEra) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.view = None;
        self.is_view_stale = true;
    }

    /// Applies the result of a read that was sent at `sent_at_ms`.
    ///
    /// A view of a higher era than the known one raises it, and one of a lower era has no effect.
    pub fn on_view(&mut self, now_ms: u64, sent_at_ms: u64, view: CasLeaseView) {
        self.on_era(view.era);
        if view.era < self.era {
            return;
        }
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
        match view.newest_record(&self.own) {
            NewestRecord::Own => {
                let newest = view.newest.as_ref();
                let write = self.last_write;
                if let (Some((offset, record)), Some(write)) = (newest, write)
                    && record.nonce == write.nonce
                {
                    let position = Position { era: view.era, offset: *offset };
                    self.set_held(position, record.is_released, write);
                }
            }
            NewestRecord::Ineffective if self.is_holder(now_ms) => {}
            NewestRecord::Ineffective | NewestRecord::Released | NewestRecord::Foreign => {
                self.held = None;
                self.peer_seen_at_ms = Some(now_ms);
            }
            // Records vanish with a restore only.
            NewestRecord::Missing => {
                self.held = self.held.filter(|held| held.position.era < view.era);
            }
        }
        self.view = Some(view);
    }

    /// Applies the result of the write that [`CasLease::next_step`] returned.
    ///
    /// A response that states another era than the record's is [`AppendResult::Unknown`], since the
    /// record may have met other records at its expected offset. So is any result for a record of a
    /// lower era than the known one.
    pub fn on_written(&mut self, now_ms: u64, record: CasLeaseRecord, result: AppendResult) {
        let result = if record.era < self.era { AppendResult::Unknown } else { result };
        match result {
            AppendResult::Appended { offset, end } => {
                if let Some(write) = self.last_write.filter(|write| write.nonce == record.nonce) {
                    let position = Position { era: record.era, offset };
                    self.set_held(position, record.is_released, write);
                }
                self.newest_seen_at_ms = now_ms;
                let era = record.era;
                self.view = Some(CasLeaseView { era, end, newest: Some((offset, record)) });
            }
            AppendResult::Conflict => self.is_view_stale = true,
            AppendResult::Unknown => {
                self.is_view_stale = true;
                self.is_claim_unanswered = true;
            }
        }
    }

    fn set_held(&mut self, position: Position, is_released: bool, write: SentWrite) {
        if is_released
            || self.has_stepped_down
            || self.rejected_fence.is_some_and(|rejected| position.fencing_token() <= rejected)
        {
            self.held = None;
            return;
        }
        // The previous holder may have acted until its lease expired. The silence since the last
        // read of its record keeps the two holders from alternating within one lease.
        let silent_until_ms =
            self.peer_seen_at_ms.map_or(0, |seen_at_ms| seen_at_ms + self.times.silence_ms);
        let expires_at_ms = write.sent_at_ms + self.times.lease_ms;
        self.held = Some(HeldLease { position, expires_at_ms, silent_until_ms });
    }

    fn unexpired(&self, now_ms: u64) -> Option<HeldLease> {
        self.held.filter(|held| now_ms < held.expires_at_ms)
    }

    /// Whether this process holds the lease at `now_ms`, even if it may not act yet.
    #[must_use]
    pub fn is_holder(&self, now_ms: u64) -> bool {
        self.unexpired(now_ms).is_some()
    }

    /// Returns the fencing token under which this process may act at `now_ms`; `None` also while
    /// the renewal in the known era is due.
    #[must_use]
    pub fn fence(&self, now_ms: u64) -> Option<Term> {
        self.usable(now_ms)
            .filter(|lease| lease.position.era == self.era)
            .map(|lease| lease.position.fencing_token())
    }

    /// Returns the lease that is held at `now_ms` and no longer silent, even if its renewal in the
    /// known era is due.
    #[must_use]
    pub fn usable(&self, now_ms: u64) -> Option<UsableLease> {
        self.unexpired(now_ms).filter(|held| held.silent_until_ms <= now_ms).map(
            |HeldLease { position, expires_at_ms, .. }| UsableLease { position, expires_at_ms },
        )
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
        if self.held.is_some_and(|held| held.position.fencing_token() <= fence) {
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

    /// Returns the lease holder by the newest known record, even if its lease has expired; `None`
    /// if the record is of an earlier era.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        let (_, record) = self.effective_newest()?;
        (!record.is_released).then_some(&record.holder.instance)
    }

    fn effective_newest(&self) -> Option<&(u64, CasLeaseRecord)> {
        let view = self.view.as_ref()?;
        view.newest.as_ref().filter(|(_, record)| record.era == view.era)
    }
}
