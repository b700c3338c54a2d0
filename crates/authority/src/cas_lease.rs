//! The lease of one process on a scope that a store keeps under compare-and-set.
//!
//! Where the store appends only at the place that the writer names, a claim that is appended has
//! won: no fold of everyone's claims is needed to tell who did. The place of the newest own record
//! is the fencing number, so it rises with each renewal and a call that is carried out late
//! carries an older one.

use cowslip_name::Name;

use crate::log_lease::LeaseTimes;
use crate::terms::{Holder, Term};

/// The scope's newest record in the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLeaseRecord {
    /// Who wrote it.
    pub holder: Holder,
    /// Number of the write in the holder's life.
    pub nonce: u64,
    /// Whether the holder gives the scope up by it.
    pub is_released: bool,
}

/// What one read of the store showed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLeaseView {
    /// Where the next record would go.
    pub end: u64,
    /// Place and content of the newest record, if there is any.
    pub newest: Option<(u64, CasLeaseRecord)>,
}

/// What the owner of a [`CasLease`] has to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum CasLeaseStep {
    /// Nothing yet.
    Wait,
    /// Read the scope's records and hand the view to [`CasLease::on_view`].
    Read,
    /// Append the record if the store's records end at `expected_end`, then tell what came of it.
    Write {
        /// Place that the record must get.
        expected_end: u64,
        /// The record.
        record: CasLeaseRecord,
    },
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WriteResult {
    /// Appended at this place; the records end there.
    Appended {
        /// Place of the scope's record.
        offset: u64,
        /// Where the next record would go.
        end: u64,
    },
    /// Something else was appended before.
    Conflict,
    /// Not known.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Held {
    fence: Term,
    until_ms: u64,
    acts_from_ms: u64,
}

/// The lease protocol of one process on one scope.
///
/// The holder believes until the time before it first sent the newest write that it knows to be
/// appended, plus the lease. A candidate waits a lease and a margin from the time it first saw the
/// newest record, and its claim is appended only if nothing was since.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CasLease {
    own: Holder,
    times: LeaseTimes,
    next_nonce: u64,
    view: Option<CasLeaseView>,
    /// When the newest record was first seen here.
    seen_at_ms: u64,
    is_view_old: bool,
    sent: Option<Sent>,
    /// When the newest record was last seen to be another's.
    other_seen_at_ms: Option<u64>,
    held: Option<Held>,
    /// The highest fencing number that a target has refused.
    refused: Option<Term>,
    renewed_at_ms: u64,
    read_at_ms: u64,
    has_stepped_down: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Sent {
    nonce: u64,
    at_ms: u64,
}

impl CasLease {
    /// A process that has read nothing yet.
    #[must_use]
    pub fn new(own: Holder, times: LeaseTimes, now_ms: u64) -> Self {
        Self {
            own,
            times,
            next_nonce: 0,
            view: None,
            seen_at_ms: now_ms,
            is_view_old: true,
            sent: None,
            other_seen_at_ms: None,
            held: None,
            refused: None,
            renewed_at_ms: now_ms,
            read_at_ms: 0,
            has_stepped_down: false,
        }
    }

    /// What is due. The owner carries it out before it asks again.
    pub fn next_step(&mut self, now_ms: u64) -> CasLeaseStep {
        if self.is_view_old {
            return CasLeaseStep::Read;
        }
        let Some(view) = &self.view else { return CasLeaseStep::Read };
        if self.has_stepped_down {
            return self.release(now_ms);
        }
        let is_mine = matches!(&view.newest, Some((_, record)) if record.holder == self.own);
        if is_mine {
            let waited_ms = now_ms.saturating_sub(self.renewed_at_ms);
            return if waited_ms < self.times.renew_every_ms {
                CasLeaseStep::Wait
            } else {
                self.write(now_ms, false)
            };
        }
        let is_free = view.newest.as_ref().is_none_or(|(_, record)| record.is_released);
        let waited_ms = now_ms.saturating_sub(self.seen_at_ms);
        if is_free || waited_ms >= self.times.lease_ms + self.times.drift_margin_ms {
            return self.write(now_ms, false);
        }
        if now_ms.saturating_sub(self.read_at_ms) >= self.times.renew_every_ms {
            return CasLeaseStep::Read;
        }
        CasLeaseStep::Wait
    }

    fn release(&mut self, now_ms: u64) -> CasLeaseStep {
        let is_to_release = matches!(
            self.view.as_ref().and_then(|view| view.newest.as_ref()),
            Some((_, record)) if record.holder == self.own && !record.is_released
        );
        if is_to_release { self.write(now_ms, true) } else { CasLeaseStep::Wait }
    }

    fn write(&mut self, now_ms: u64, is_released: bool) -> CasLeaseStep {
        let Some(view) = &self.view else { return CasLeaseStep::Read };
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.renewed_at_ms = now_ms;
        self.sent = Some(Sent { nonce, at_ms: now_ms });
        let record = CasLeaseRecord { holder: self.own.clone(), nonce, is_released };
        CasLeaseStep::Write { expected_end: view.end, record }
    }

    /// Takes what a read that was sent at `sent_at_ms` showed.
    pub fn on_view(&mut self, now_ms: u64, sent_at_ms: u64, view: CasLeaseView) {
        self.is_view_old = false;
        self.read_at_ms = sent_at_ms;
        let is_same = self.view.as_ref().is_some_and(|known| known.newest == view.newest);
        if !is_same {
            self.seen_at_ms = now_ms;
        }
        match (&view.newest, self.sent) {
            (Some((offset, record)), Some(sent))
                if record.holder == self.own && record.nonce == sent.nonce =>
            {
                self.hold(*offset, record.is_released, sent);
            }
            (Some((_, record)), _) if record.holder == self.own => {}
            (Some(_), _) => {
                self.held = None;
                self.other_seen_at_ms = Some(now_ms);
            }
            (None, _) => self.held = None,
        }
        self.view = Some(view);
    }

    /// Takes what came of the write that [`CasLease::next_step`] asked for.
    pub fn on_written(&mut self, now_ms: u64, record: CasLeaseRecord, result: WriteResult) {
        match result {
            WriteResult::Appended { offset, end } => {
                if let Some(sent) = self.sent.filter(|sent| sent.nonce == record.nonce) {
                    self.hold(offset, record.is_released, sent);
                }
                self.seen_at_ms = now_ms;
                self.view = Some(CasLeaseView { end, newest: Some((offset, record)) });
            }
            WriteResult::Conflict | WriteResult::Unknown => self.is_view_old = true,
        }
    }

    fn hold(&mut self, offset: u64, is_released: bool, sent: Sent) {
        if is_released
            || self.has_stepped_down
            || self.refused.is_some_and(|refused| offset <= refused)
        {
            self.held = None;
            return;
        }
        // The holder before may have acted until its lease ended; this one's first act must not
        // come so soon that the two take turns within a lease.
        let acts_from_ms =
            self.other_seen_at_ms.map_or(0, |seen_at_ms| seen_at_ms + self.times.silence_ms);
        let until_ms = sent.at_ms + self.times.lease_ms;
        self.held = Some(Held { fence: offset, until_ms, acts_from_ms });
    }

    /// Whether the scope is this process's at `now_ms`, silent or not.
    #[must_use]
    pub fn is_holder(&self, now_ms: u64) -> bool {
        self.held.is_some_and(|held| now_ms < held.until_ms)
    }

    /// The fencing number under which this process may act at `now_ms`.
    #[must_use]
    pub fn fence(&self, now_ms: u64) -> Option<Term> {
        self.fence_with_expiry(now_ms).map(|(fence, _)| fence)
    }

    /// The same with the time until which it may.
    #[must_use]
    pub fn fence_with_expiry(&self, now_ms: u64) -> Option<(Term, u64)> {
        self.held
            .filter(|held| now_ms < held.until_ms && held.acts_from_ms <= now_ms)
            .map(|held| (held.fence, held.until_ms))
    }

    /// Makes the next renewal due now.
    pub fn renew_now(&mut self) {
        self.renewed_at_ms = 0;
    }

    /// A target refused the fencing number, since it has seen a higher one. It is not used again;
    /// if the scope is still this process's, the next record gives another.
    pub fn on_fenced(&mut self, fence: Term) {
        self.refused = self.refused.max(Some(fence));
        if self.held.is_some_and(|held| held.fence <= fence) {
            self.held = None;
            self.is_view_old = true;
            self.renew_now();
        }
    }

    /// Gives the scope up and claims no more.
    pub fn step_down(&mut self) {
        self.has_stepped_down = true;
        self.held = None;
    }

    /// Name of the present holder as of the last read.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        let (_, record) = self.view.as_ref()?.newest.as_ref()?;
        (!record.is_released).then_some(&record.holder.instance)
    }
}
