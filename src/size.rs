//! What a box has of a machine, and its weight among the boxes of its region.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::unit::Bytes;

/// Weight of one whole core: a hundredth of a quarter of a core is the least that is told apart.
const PER_CORE: f64 = 400.0;
/// Mbit/s that one core's requests fill: 2 ms of a core go with 100 kbit of a long prompt, and prompts
/// come in bursts of twice their mean.
const LINK_PER_CORE: f64 = 100.0;

/// Reads a quantity of a machine and its unit; zero stands for one that is not told.
fn quantity(text: &str, unit: &str) -> Option<f64> {
    let number = text.strip_suffix(unit)?.parse().ok();
    number.filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// Cores, or a part of one.
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
    /// The same in bytes.
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

/// A link's speed in Mbit/s.
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

/// What a box has of its machine, as far as its settings tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    /// Its processor.
    pub core: Option<Core>,
    /// Its memory.
    pub memory: Option<Memory>,
    /// Its link.
    pub link: Option<Link>,
}

impl Size {
    /// What is told, without what is zero.
    pub fn new(core: Option<Core>, memory: Option<Memory>, link: Option<Link>) -> Self {
        Self {
            core: core.filter(|core| core.0 > 0.0),
            memory: memory.filter(|memory| memory.0 > 0.0),
            link: link.filter(|link| link.0 > 0.0),
        }
    }

    /// The box's weight: the requests that the scarcer of core and link carries. None where neither is
    /// told.
    pub fn weight(&self) -> Option<Weight> {
        let core = self.core.map(|core| core.0);
        let link = self.link.map(|link| link.0 / LINK_PER_CORE);
        let scarcer = core.into_iter().chain(link).reduce(f64::min)?;
        let number = (scarcer * PER_CORE).round() as u16;
        Some(Weight(number.clamp(Weight::MIN, Weight::MAX)))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn told<T: fmt::Display>(part: Option<T>) -> String {
            part.map_or("-".to_owned(), |part| part.to_string())
        }
        let Self { core, memory, link } = *self;
        let weight = told(self.weight());
        let (core, memory, link) = (told(core), told(memory), told(link));
        write!(f, "core={core} memory={memory} link={link} weight={weight}")
    }
}

/// What a box can carry, beside the others: a four-hundredth of a core and what goes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u16);

impl Weight {
    /// A hundredth of a core.
    const MIN: u16 = 4;
    /// 64 cores.
    const MAX: u16 = 25_600;
    /// A quarter of a core: what a box has where none tells its size.
    pub const USUAL: Self = Self(100);

    /// A weight that can be true; none for others.
    pub fn new(number: u16) -> Option<Self> {
        (Self::MIN..=Self::MAX)
            .contains(&number)
            .then_some(Self(number))
    }

    /// As a number.
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

/// What a box tells of its room.
///
/// It stands at the end of its message: a box that does not know it reads what stands before, and
/// what ends before it, or is no weight, reads as not told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// What it can carry; none where it does not tell.
    pub weight: Option<Weight>,
    /// Whether it has so much in hand, for its weight, that callers should go elsewhere.
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
        let told = <(u16, bool)>::deserialize(deserializer).ok();
        let (number, full) = told.unwrap_or_default();
        let weight = Weight::new(number);
        Ok(Self { weight, full })
    }
}
