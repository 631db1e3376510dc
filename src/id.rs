//! Newtypes for the names that operators assign, and for the ids of requests, attempts and boxes.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 64;

/// Why a name of this project's own settings was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The name has no characters.
    Empty,
    /// The name is longer than [`MAX_NAME`] bytes.
    Long,
    /// The name contains a character other than ASCII letters, digits, `.`, `_` and `-`.
    Character(char),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name may not be empty"),
            Self::Long => write!(f, "a name has at most {MAX_NAME} bytes"),
            Self::Character(c) => write!(f, "a name may not hold {c:?}"),
        }
    }
}

impl std::error::Error for Error {}

fn check(name: &str) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty);
    }
    if name.len() > MAX_NAME {
        return Err(Error::Long);
    }
    let odd = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    match name.chars().find(odd) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}

/// Most characters of a name of another system that are shown.
const MAX_SHOWN: usize = 200;

/// Writes a name for people. One that does not have the form of this project's own names is quoted
/// and escaped, so that it ends neither a line of the log nor a field of it.
fn show(name: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    if check(name).is_ok() {
        return f.write_str(name);
    }
    match name.char_indices().nth(MAX_SHOWN) {
        Some((end, _)) => write!(f, "{:?}...", &name[..end]),
        None => write!(f, "{name:?}"),
    }
}

macro_rules! name {
    ($(#[$attribute:meta])* $name:ident) => {
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        $(#[$attribute])*
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;
            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                show(&self.0, f)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                show(&self.0, f)
            }
        }
    };
}

/// A name that only this project's own settings assign.
macro_rules! own_name {
    ($(#[$doc:meta])* $name:ident) => {
        name!(
            #[serde(try_from = "String", into = "String")]
            $(#[$doc])*
            $name
        );

        impl TryFrom<String> for $name {
            type Error = Error;
            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }
    };
}

/// A name that other systems assign too, which may choose any text. Text of this project's own
/// settings is parsed and checked by [`FromStr`].
macro_rules! any_name {
    ($(#[$doc:meta])* $name:ident) => {
        name!(
            #[serde(from = "String", into = "String")]
            $(#[$doc])*
            $name
        );

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }
    };
}

own_name!(
    /// A box: one machine running the gateway. `box` itself is a reserved word in Rust.
    BoxName
);
any_name!(
    /// A region, the unit that a network partition may cut off.
    Region
);
own_name!(
    /// A failure domain inside a region.
    Domain
);
any_name!(
    /// A customer, identified by its API keys.
    Customer
);
any_name!(
    /// A backend server: a model engine or an application service.
    Backend
);
any_name!(
    /// The service of a backend server: the name of a model or of an application route.
    Service
);
any_name!(
    /// The release of the software that a backend server runs.
    Release
);
own_name!(
    /// A selector of the configuration.
    Selector
);

/// The id of one request at one box, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// The id of one attempt of a request, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u64);

/// The incarnation of a box: greater after each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const RANDOM_BITS: u32 = 16;

    /// Combines the wall clock at start (ms since 1970) with random bits, so that two starts
    /// differ.
    pub fn new(wall_ms: u64, random: u16) -> Self {
        Self((wall_ms << Self::RANDOM_BITS) | u64::from(random))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
