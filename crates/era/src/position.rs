//! Eras, and positions within them.

use std::fmt;

/// Bits of a fencing token that hold an offset.
const OFFSET_BITS: u32 = 32;
/// Bits of integers that JSON parsers keep.
const JSON_INTEGER_BITS: u32 = 53;
const MAX_TOKEN_OFFSET: u64 = (1 << OFFSET_BITS) - 1;

/// Number of restores that a store has stated; 0 for a store that states none.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The highest era, so that fencing tokens fit into the integers that JSON parsers keep.
    pub const MAX: Self = Self((1 << (JSON_INTEGER_BITS - OFFSET_BITS)) - 1);

    /// Returns the era with this number; `None` above [`StoreEra::MAX`].
    #[must_use]
    pub fn new(number: u64) -> Option<Self> {
        (number <= Self::MAX.0).then_some(Self(number))
    }

    /// Returns the number of the era.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Position of a record in its topic, ordered by era, then offset.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Era in which the record was written or read.
    pub era: StoreEra,
    /// Offset of the record, which a later era may give out again.
    pub offset: u64,
}

impl Position {
    /// Returns a number that rises with the position. Within era 0 it is the offset.
    #[must_use]
    pub fn fencing_token(self) -> u64 {
        (self.era.0 << OFFSET_BITS) | self.offset.min(MAX_TOKEN_OFFSET)
    }
}
