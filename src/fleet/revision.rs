//! Revisions of the platform's store, which state how current a box's knowledge is.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Number of times the store was restored from a copy; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

/// The store's change counter. A store restored from a copy issues numbers again, so numbers are
/// comparable only within one era, and every revision of a later era is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era in which the store issued the number.
    pub era: Era,
    /// Number of the change within the era.
    pub number: u64,
}

impl Revision {
    /// Returns a revision of a store that was never restored from a copy.
    pub const fn first(number: u64) -> Self {
        let era = Era(0);
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}r{}", self.era, self.number)
    }
}

/// Error for a text that is not a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError;

impl From<ParseIntError> for ParseError {
    fn from(_: ParseIntError) -> Self {
        Self
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a revision is an era and a number, as in e1r20")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Revision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let text = text.strip_prefix('e').ok_or(ParseError)?;
        let (era, number) = text.split_once('r').ok_or(ParseError)?;
        Ok(Self {
            era: Era(era.parse()?),
            number: number.parse()?,
        })
    }
}
