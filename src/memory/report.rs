//! Cache reports of engines on long prompt parts, and how a box forwards them to the others.

use serde::{Deserialize, Serialize};

use crate::{memory::prompt::Part, unit::Millis, wire::NameHash};

/// Change in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part is cached from now on.
    Kept(Part),
    /// The part with this identity was evicted, in whole or in part.
    Gone(u64),
}

/// Report from an engine to a box that watches its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// All cached parts.
    All(Vec<Part>),
    /// Changes since the last report, in order; an empty list is a keep-alive.
    Changes(Vec<Change>),
    /// Some changes were lost, so earlier data is no longer valid.
    Gap,
}

impl Report {
    /// Returns the name of the kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::All(_) => "list",
            Self::Changes(_) => "changes",
            Self::Gap => "gap",
        }
    }
}

/// Report from a box to the others on the engines whose caches it watches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Corrections {
    /// How long the receiver considers these engines to be watched.
    pub valid_for: Millis,
    /// Engines that reported recently.
    pub engines: Vec<EngineCorrections>,
}

/// Corrections for one engine to what was reported to the boxes so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCorrections {
    /// The engine.
    pub backend: NameHash,
    /// Hash of its name and incarnation.
    pub life: NameHash,
    /// Long parts that are cached although this was not reported to the boxes.
    pub kept: Vec<u64>,
    /// Long parts that are not cached.
    pub gone: Vec<Eviction>,
}

/// Part that is not cached by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eviction {
    /// Identity of the part.
    pub part: u64,
    /// How long the watching box has known this.
    pub age: Millis,
}
