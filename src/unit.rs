//! Newtypes for sizes, rates and times.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Describes the expected format of a quantity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(&'static str);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Reads a number and a unit, and returns a multiple of the smallest unit.
fn quantity(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits_end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, suffix) = text.split_at(digits_end);
    let number: u64 = digits.parse().ok()?;
    let (_, factor) = units.iter().find(|(name, _)| *name == suffix)?;
    number.checked_mul(*factor)
}

/// A span of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts the span to the type of the standard library.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns whole seconds, rounded up, at least one: the unit of `Retry-After`.
    pub fn retry_seconds(self) -> u64 {
        self.0.div_ceil(1000).max(1)
    }
}

/// Returns the factor of an exponential decay with this half-life after `age`.
pub fn decay_factor(age: Millis, half_life: Millis) -> f64 {
    0.5_f64.powf(age.0 as f64 / half_life.0 as f64)
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = Error;
    /// Reads `250ms`, `3s` or `2m`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let units = [("ms", 1), ("s", 1000), ("m", 60_000)];
        let number = quantity(text, &units);
        number
            .map(Self)
            .ok_or(Error("a time such as 250ms, 3s or 2m"))
    }
}

/// A moment of the box's monotonic clock, in milliseconds since the process started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Time {
    type Output = Time;
    fn add(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for Time {
    type Output = Time;
    fn sub(self, span: Millis) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "+{}ms", self.0)
    }
}

/// A size in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for Bytes {
    type Err = Error;
    /// Reads `512B`, `64KiB` or `1MiB`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];
        let number = quantity(text, &units);
        number
            .map(Self)
            .ok_or(Error("a size such as 512B, 64KiB or 1MiB"))
    }
}

/// A rate in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;
    /// Reads `50/s` or `0.5/s`.
    fn from_str(text: &str) -> Result<Self, Error> {
        const EXPECTED: Error = Error("a positive rate such as 50/s or 0.5/s");
        let number = text.strip_suffix("/s").ok_or(EXPECTED)?;
        let rate: f64 = number.parse().map_err(|_| EXPECTED)?;
        if !rate.is_finite() || rate <= 0.0 {
            return Err(EXPECTED);
        }
        Ok(Self(rate))
    }
}
