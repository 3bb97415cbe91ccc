//! Positions in the store's order of writes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Bits of a revision that hold the number of the write.
const NUMBER_BITS: u32 = 44;
/// Highest number of a write.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Highest epoch.
const MAX_EPOCH: u64 = u64::MAX >> NUMBER_BITS;

number! {
    /// Number of times that the store has been restored from a copy of its records.
    pub struct Epoch(u64);
}

/// Position of a write in the total order of writes; a higher revision is newer.
///
/// The store numbers its writes. A store that is restored from a copy assigns numbers again, so a
/// revision consists of the epoch, in the high bits, and the number within it. It is serialised as
/// one integer, which equals the number in epoch 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Error for a text that isn't a revision; holds the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseRevisionError(pub String);

impl Revision {
    /// Creates the revision of the write with a number; `None` if the number or the epoch is out of
    /// range.
    #[must_use]
    pub const fn new(epoch: Epoch, number: u64) -> Option<Self> {
        if number > MAX_NUMBER || epoch.0 > MAX_EPOCH {
            return None;
        }
        Some(Self(epoch.0 << NUMBER_BITS | number))
    }

    /// Returns the epoch in which the write was made.
    #[must_use]
    pub const fn epoch(self) -> Epoch {
        Epoch(self.0 >> NUMBER_BITS)
    }

    /// Returns the number that the store assigned to the write.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }
}

impl fmt::Display for Revision {
    /// Writes the number, preceded by the epoch unless that is 0, such as `2:45`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch() {
            Epoch(0) => self.number().fmt(formatter),
            epoch => write!(formatter, "{epoch}:{}", self.number()),
        }
    }
}

impl FromStr for Revision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, ParseRevisionError> {
        let (epoch, number) = text.split_once(':').unwrap_or(("0", text));
        let parts = epoch.parse().ok().zip(number.parse().ok());
        let revision = parts.and_then(|(epoch, number)| Self::new(Epoch(epoch), number));
        revision.ok_or_else(|| ParseRevisionError(text.to_owned()))
    }
}

impl fmt::Display for ParseRevisionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} is no revision: a number, or epoch:number",
            self.0
        )
    }
}

impl std::error::Error for ParseRevisionError {}
