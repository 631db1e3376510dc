//! A run's memory at another engine: the copy that goes on there.

use std::{fmt, net::SocketAddr};

/// The name that the engine a run came from gave the copy of its memory; it serves a single time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle(pub String);

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Where a run goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The listener of the engine that ran it before.
    pub address: SocketAddr,
    /// The copy.
    pub handle: Handle,
}

/// What came of a call to move a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    /// The copy is whole as of the call, and the run stopped where that was asked.
    Copied {
        /// The copy.
        handle: Handle,
        /// Events that the run had made.
        events: u64,
    },
    /// The run stopped, the copy is not whole, and the engine it ran at keeps its memory.
    Kept(Handle),
    /// Nothing was copied: there is no room or no way there.
    Refused,
    /// Another call for the run is under way.
    Busy,
    /// No such run is there: it has ended by itself.
    Absent,
    /// There was no answer that reads; it may have been done.
    Lost,
}

impl Moved {
    /// The copy that it names.
    pub fn handle(self) -> Option<Handle> {
        match self {
            Self::Copied { handle, .. } | Self::Kept(handle) => Some(handle),
            Self::Refused | Self::Busy | Self::Absent | Self::Lost => None,
        }
    }
}
