//! Which upstreams are preferred for a request by how earlier sends to them ended.

use crate::placement::Placement;

/// How an upstream stands with a request, the best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Nothing speaks against the upstream.
    Sound,
    /// Recent sends to the upstream failed or were refused.
    BackingOff,
    /// The upstream was lost while it ran the request. If it is lost once more, that is no further
    /// evidence against the request, so the request would be refused later.
    LostWithRequest,
    /// The upstream was lost while it ran the request, and recent sends to it failed.
    LostAndBackingOff,
}

impl Standing {
    const ALL: [Self; 4] =
        [Self::Sound, Self::BackingOff, Self::LostWithRequest, Self::LostAndBackingOff];

    /// Returns the standing of an upstream.
    #[must_use]
    pub fn of(is_backing_off: bool, was_lost: bool) -> Self {
        match (is_backing_off, was_lost) {
            (false, false) => Self::Sound,
            (true, false) => Self::BackingOff,
            (false, true) => Self::LostWithRequest,
            (true, true) => Self::LostAndBackingOff,
        }
    }

    /// Calls `place_among` with the worst standing that it may use, from the best on, until it finds
    /// a placement.
    pub fn place_by<F>(place_among: F) -> Option<Placement>
    where
        F: FnMut(Self) -> Option<Placement>,
    {
        Self::ALL.into_iter().find_map(place_among)
    }
}
