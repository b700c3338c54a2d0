//! Lease claims, renewals and releases applied from the log: one current term per scope.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// A fencing token: the offset of the claim that acquired the lease, or, in a [`CasLease`], of the
/// holder's newest record.
///
/// [`CasLease`]: crate::CasLease
pub type Term = u64;

/// A process that can hold a lease: one incarnation of one instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Name,
    /// Number that differs between two runs of the instance.
    pub incarnation: u64,
}

/// A lease record of a scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseRecord {
    /// Acquires the lease if no record took effect after `expected_offset`.
    Claim {
        /// Process that claims the lease.
        holder: Holder,
        /// Chosen by the writer to recognise its own record.
        nonce: u64,
        /// Offset of the newest effective record that the writer had read, if any.
        expected_offset: Option<u64>,
    },
    /// Extends the lease of `term`.
    Renewal {
        /// Term whose lease is renewed.
        term: Term,
        /// Chosen by the writer to recognise its own record.
        nonce: u64,
    },
    /// Ends `term` before its lease expires.
    Release {
        /// Term that the holder releases.
        term: Term,
    },
}

/// Effect of a lease record at its offset in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseRecordResult {
    /// The claim acquired the lease; its offset is the new term.
    Acquired,
    /// The renewal or release took effect.
    Applied,
    /// The record had no effect.
    Ignored,
}

/// The newest term of a scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ScopeTerm {
    /// Offset of the claim that acquired the lease.
    pub term: Term,
    /// Process that acquired the lease.
    pub holder: Holder,
    /// Nonce of the newest effective claim or renewal.
    pub nonce: u64,
    /// Offset of the newest effective record.
    pub last_offset: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// Newest terms of all scopes, as of one log offset.
///
/// A record that its writer appends twice is harmless: the second claim expects an offset that is
/// no longer the newest, and the second renewal or release changes no term.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct TermTable {
    scopes: BTreeMap<Name, ScopeTerm>,
}

impl TermTable {
    /// Restores a table from the terms of a snapshot.
    #[must_use]
    pub fn from_terms(scopes: BTreeMap<Name, ScopeTerm>) -> Self {
        Self { scopes }
    }

    /// Applies the record found at `offset` and returns its effect.
    pub fn apply(&mut self, scope: &Name, offset: u64, record: &LeaseRecord) -> LeaseRecordResult {
        match record {
            LeaseRecord::Claim { holder, nonce, expected_offset } => {
                self.claim(scope, offset, holder, *nonce, *expected_offset)
            }
            LeaseRecord::Renewal { term, nonce } => self.amend(scope, offset, *term, |newest| {
                newest.nonce = *nonce;
            }),
            LeaseRecord::Release { term } => self.amend(scope, offset, *term, |newest| {
                newest.released = true;
            }),
        }
    }

    fn claim(
        &mut self,
        scope: &Name,
        offset: u64,
        holder: &Holder,
        nonce: u64,
        expected_offset: Option<u64>,
    ) -> LeaseRecordResult {
        let newest_offset = self.scopes.get(scope).map(|newest| newest.last_offset);
        if newest_offset != expected_offset {
            return LeaseRecordResult::Ignored;
        }
        let new_term = ScopeTerm {
            term: offset,
            holder: holder.clone(),
            nonce,
            last_offset: offset,
            released: false,
        };
        self.scopes.insert(scope.clone(), new_term);
        LeaseRecordResult::Acquired
    }

    fn amend<F>(&mut self, scope: &Name, offset: u64, term: Term, update: F) -> LeaseRecordResult
    where
        F: FnOnce(&mut ScopeTerm),
    {
        match self.scopes.get_mut(scope) {
            Some(newest) if newest.term == term && !newest.released => {
                update(newest);
                newest.last_offset = offset;
                LeaseRecordResult::Applied
            }
            _ => LeaseRecordResult::Ignored,
        }
    }

    /// Returns the newest term of `scope`.
    #[must_use]
    pub fn newest(&self, scope: &Name) -> Option<&ScopeTerm> {
        self.scopes.get(scope)
    }

    /// Whether `term` is the newest of `scope` and not released.
    #[must_use]
    pub fn is_current(&self, scope: &Name, term: Term) -> bool {
        self.newest(scope).is_some_and(|newest| newest.term == term && !newest.released)
    }

    /// Iterates over all scopes in name order, with their newest terms.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &ScopeTerm)> {
        self.scopes.iter()
    }
}
