//! What a caller tells of its prompt: how long it is and which parts it shares with others.

use super::cache::LONG;

/// A part of a prompt; requests with the same part send the same tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a request to a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its length in tokens.
    pub tokens: u32,
    /// The most tokens that the answer may have.
    pub output: u32,
    /// Its parts, in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The parts that others may share; the last part belongs to the request or its session alone.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The part by which all boxes find the engine where the prompt is best read: its longest where that is long,
    /// else the last one that others share, which stands for all before it.
    pub fn key(&self) -> Option<Part> {
        let longest = self.longest()?;
        match longest.tokens >= LONG {
            true => Some(longest),
            false => self.shared_parts().last().copied(),
        }
    }

    /// The tokens that others may share.
    pub fn shared(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The longest shared part: it tells where the prompt is best read.
    pub fn longest(&self) -> Option<Part> {
        let parts = self.shared_parts().iter().copied();
        parts.max_by_key(|part| part.tokens)
    }
}
