//! What a caller states about its prompt: its length and the parts that it shares with other
//! prompts.

use std::fmt;

use super::cache::LONG;

/// Part of a prompt; requests with the same part send the same tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Identity of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}:{}", self.id, self.tokens)
    }
}

/// Prompt of a request to a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u32,
    /// Maximum number of tokens in the answer.
    pub output: u32,
    /// Parts in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the parts that other requests may share; the last part belongs to the request or its
    /// session alone.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the part from which all boxes derive the preferred engine of the prompt: the longest
    /// shared part if it is long, or else the last shared one, which represents all parts before
    /// it.
    pub fn key(&self) -> Option<Part> {
        let longest = self.longest()?;
        match longest.tokens >= LONG {
            true => Some(longest),
            false => self.shared_parts().last().copied(),
        }
    }

    /// Returns the number of tokens that other requests may share.
    pub fn shared(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the longest shared part, which determines the preferred engine of the prompt.
    pub fn longest(&self) -> Option<Part> {
        let parts = self.shared_parts().iter().copied();
        parts.max_by_key(|part| part.tokens)
    }
}
