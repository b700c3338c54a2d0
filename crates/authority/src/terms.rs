//! The fold of claims, renewals and releases into one current term per scope.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// A fencing number: the log offset of the claim that won.
pub type Term = u64;

/// One life of one instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Name,
    /// Number that differs between two lives of the instance.
    pub incarnation: u64,
}

/// A record that concerns the term of a scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ScopeRecord {
    /// Takes the scope, if nothing counted after `expected_offset`.
    Claim {
        /// Who claims.
        holder: Holder,
        /// Chosen by the writer to recognise its own record.
        nonce: u64,
        /// Offset of the newest counting record that the writer had read, `None` for none.
        expected_offset: Option<u64>,
    },
    /// Extends the lease of `term`.
    Renewal {
        /// Term that is extended.
        term: Term,
        /// Chosen by the writer to recognise its own record.
        nonce: u64,
    },
    /// Ends `term` before its lease does.
    Release {
        /// Term that ends.
        term: Term,
    },
}

/// What a record did at its place in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseRecordResult {
    /// The claim won; its offset is the new term.
    Acquired,
    /// The renewal or release counted.
    Applied,
    /// The record had no effect.
    Ignored,
}

/// The newest term of a scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ScopeTerm {
    /// Offset of the winning claim.
    pub term: Term,
    /// Who won.
    pub holder: Holder,
    /// Nonce of the newest counting claim or renewal.
    pub nonce: u64,
    /// Offset of the newest counting record.
    pub last_offset: u64,
    /// Whether the holder gave the term up.
    pub released: bool,
}

/// Terms of all scopes, as of a place in the log.
///
/// A record repeated by its writer has no effect: a repeated claim expects an offset that is no
/// longer the newest, and a repeated renewal or release changes no term.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct TermTable {
    scopes: BTreeMap<Name, ScopeTerm>,
}

impl TermTable {
    /// Restores a fold from the terms of a snapshot.
    #[must_use]
    pub fn from_terms(scopes: BTreeMap<Name, ScopeTerm>) -> Self {
        Self { scopes }
    }

    /// Applies the record found at `offset`.
    pub fn apply(&mut self, scope: &Name, offset: u64, record: &ScopeRecord) -> LeaseRecordResult {
        match record {
            ScopeRecord::Claim { holder, nonce, expected_offset } => {
                self.claim(scope, offset, holder, *nonce, *expected_offset)
            }
            ScopeRecord::Renewal { term, nonce } => self.extend(scope, offset, *term, |newest| {
                newest.nonce = *nonce;
            }),
            ScopeRecord::Release { term } => self.extend(scope, offset, *term, |newest| {
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
        let won = ScopeTerm {
            term: offset,
            holder: holder.clone(),
            nonce,
            last_offset: offset,
            released: false,
        };
        self.scopes.insert(scope.clone(), won);
        LeaseRecordResult::Acquired
    }

    fn extend<F>(&mut self, scope: &Name, offset: u64, term: Term, change: F) -> LeaseRecordResult
    where
        F: FnOnce(&mut ScopeTerm),
    {
        match self.scopes.get_mut(scope) {
            Some(newest) if newest.term == term && !newest.released => {
                change(newest);
                newest.last_offset = offset;
                LeaseRecordResult::Applied
            }
            _ => LeaseRecordResult::Ignored,
        }
    }

    /// Newest term of `scope`.
    #[must_use]
    pub fn newest(&self, scope: &Name) -> Option<&ScopeTerm> {
        self.scopes.get(scope)
    }

    /// Whether `term` is the newest of `scope` and not released.
    #[must_use]
    pub fn is_current(&self, scope: &Name, term: Term) -> bool {
        self.newest(scope).is_some_and(|newest| newest.term == term && !newest.released)
    }

    /// All scopes in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &ScopeTerm)> {
        self.scopes.iter()
    }
}
