//! How far what a box knows of the platform's store goes.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// How often the store has come back from a copy; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

/// The store's count of all its changes. A store that comes back from a copy gives numbers out again, so they
/// compare within one era only, and all of a later era are newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era in which the store gave the number out.
    pub era: Era,
    /// The number.
    pub number: u64,
}

impl Revision {
    /// A number of a store that has not come back from any copy.
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

/// A text that is no revision.
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
