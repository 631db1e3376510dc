//! What engines tell of the long parts of prompts that they keep, and how one box passes it on.

use serde::{Deserialize, Serialize};

use crate::{memory::prompt::Part, unit::Millis, wire::Short};

/// One change of what an engine keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It keeps the part from now on.
    Kept(Part),
    /// It gave the part of this identity up, or some of it.
    Gone(u64),
}

/// What an engine tells a box that follows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// All that it keeps.
    All(Vec<Part>),
    /// What changed since it told last, in order; nothing means that it was heard.
    Changes(Vec<Change>),
    /// Some changes are lost: what is known holds no longer.
    Gap,
}

impl News {
    /// The name of its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::All(_) => "list",
            Self::Changes(_) => "changes",
            Self::Gap => "gap",
        }
    }
}

/// What a box tells the others of the engines that it follows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// For how long the receiver counts them as followed.
    pub lasts: Millis,
    /// The engines that it heard lately.
    pub engines: Vec<Word>,
}

/// What of one engine differs from what all boxes were told so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The engine.
    pub backend: Short,
    /// Its life.
    pub life: Short,
    /// Long parts that it keeps though the boxes were not told so.
    pub kept: Vec<u64>,
    /// Long parts that it does not keep.
    pub gone: Vec<Gone>,
}

/// A part that an engine does not keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// The part's identity.
    pub part: u64,
    /// How long the follower has known.
    pub age: Millis,
}
