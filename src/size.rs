//! The machine resources available to a box, and its weight among the boxes of its region.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::unit::Bytes;

/// Weight of one core: the smallest step is one hundredth of a quarter of a core.
const WEIGHT_PER_CORE: f64 = 400.0;
/// Mbit/s that the requests of one core use: 100 kbit of a long prompt take 2 ms of a core, and
/// prompts come in bursts of twice their mean.
const MBPS_PER_CORE: f64 = 100.0;

/// Reads a quantity and its unit; zero means that the quantity is not known.
fn quantity(text: &str, unit: &str) -> Option<f64> {
    let number = text.strip_suffix(unit)?.parse().ok();
    number.filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// Number of cores, or a part of one.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Core(pub f64);

impl fmt::Display for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Core {
    type Err = &'static str;
    /// Reads `0.25` or `2`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = quantity(text, "");
        number
            .map(Self)
            .ok_or("expected a number of cores such as 0.25")
    }
}

/// Memory in MiB.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Memory(pub f64);

impl Memory {
    /// Returns the size in bytes.
    pub fn bytes(self) -> Bytes {
        Bytes((self.0 * f64::from(1 << 20)) as u64)
    }
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}MiB", self.0)
    }
}

impl FromStr for Memory {
    type Err = &'static str;
    /// Reads `260MiB`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = quantity(text, "MiB");
        number.map(Self).ok_or("expected a memory such as 260MiB")
    }
}

/// Network bandwidth in Mbit/s.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Link(pub f64);

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbps", self.0)
    }
}

impl FromStr for Link {
    type Err = &'static str;
    /// Reads `10Mbps` or `200.0Mbps`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = quantity(text, "Mbps");
        number.map(Self).ok_or("expected a speed such as 10Mbps")
    }
}

/// The machine resources available to a box, as far as its settings state them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    /// The number of cores.
    pub core: Option<Core>,
    /// The memory.
    pub memory: Option<Memory>,
    /// The network bandwidth.
    pub link: Option<Link>,
}

impl Size {
    /// Creates a size in which zero quantities count as unknown.
    pub fn new(core: Option<Core>, memory: Option<Memory>, link: Option<Link>) -> Self {
        Self {
            core: core.filter(|core| core.0 > 0.0),
            memory: memory.filter(|memory| memory.0 > 0.0),
            link: link.filter(|link| link.0 > 0.0),
        }
    }

    /// Returns the weight of the box: the capacity of the scarcer of cores and network. `None` if
    /// neither is known.
    pub fn weight(&self) -> Option<Weight> {
        let core = self.core.map(|core| core.0);
        let link = self.link.map(|link| link.0 / MBPS_PER_CORE);
        let scarcest = core.into_iter().chain(link).reduce(f64::min)?;
        let number = (scarcest * WEIGHT_PER_CORE).round() as u16;
        Some(Weight(number.clamp(Weight::MIN, Weight::MAX)))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn or_dash<T: fmt::Display>(part: Option<T>) -> String {
            part.map_or("-".to_owned(), |part| part.to_string())
        }
        let Self { core, memory, link } = *self;
        let weight = or_dash(self.weight());
        let (core, memory, link) = (or_dash(core), or_dash(memory), or_dash(link));
        write!(f, "core={core} memory={memory} link={link} weight={weight}")
    }
}

/// The capacity of a box relative to others, in four-hundredths of a core and the network bandwidth
/// that goes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u16);

impl Weight {
    /// One hundredth of a core.
    const MIN: u16 = 4;
    /// 64 cores.
    const MAX: u16 = 25_600;
    /// A quarter of a core: the weight of a box whose size is not known.
    pub const DEFAULT: Self = Self(100);

    /// Returns a weight; `None` if the number is out of range.
    pub fn new(number: u16) -> Option<Self> {
        (Self::MIN..=Self::MAX)
            .contains(&number)
            .then_some(Self(number))
    }

    /// Returns the weight as a number.
    pub fn number(self) -> u16 {
        self.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Weight {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().ok();
        number
            .and_then(Self::new)
            .ok_or("expected a weight from 4 to 25600")
    }
}

/// The capacity that a box reports.
///
/// It stands near the end of its message, so that a box running an older version, which does not know
/// it, can still read the parts before. A message that ends before it, or holds no valid weight,
/// reads as unknown capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// The capacity of the box; `None` if it is not reported.
    pub weight: Option<Weight>,
    /// Whether the box has so many requests in flight for its weight that callers should use
    /// another one.
    pub full: bool,
}

impl Serialize for Room {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let number = self.weight.map_or(0, Weight::number);
        (number, self.full).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Room {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let decoded = <(u16, bool)>::deserialize(deserializer).ok();
        let (number, full) = decoded.unwrap_or_default();
        let weight = Weight::new(number);
        Ok(Self { weight, full })
    }
}
