//! Transfer of a run's memory to another engine, where the run is resumed from the copy.

use std::{fmt, net::SocketAddr};

/// Single-use handle that the source engine assigned to the copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle(pub String);

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Copy from which a run is resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Address of the engine that ran it before.
    pub address: SocketAddr,
    /// Handle of the copy.
    pub handle: Handle,
}

/// Result of a call to move a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Handover {
    /// The copy is complete as of the call, and the run was stopped if that was requested.
    Copied {
        /// Handle of the copy.
        handle: Handle,
        /// Number of events that the run had produced.
        events: u64,
    },
    /// The run was stopped but the copy is incomplete; the source engine keeps the memory.
    Kept(Handle),
    /// Nothing was copied, because the target has no room or cannot be reached.
    Refused,
    /// Another call for the run is under way.
    Busy,
    /// The run does not exist there, because it has already ended.
    Absent,
    /// No readable answer was received; the call may have taken effect.
    Lost,
}

impl Handover {
    /// Returns the handle of the copy, if there is one.
    pub fn handle(self) -> Option<Handle> {
        match self {
            Self::Copied { handle, .. } | Self::Kept(handle) => Some(handle),
            Self::Refused | Self::Busy | Self::Absent | Self::Lost => None,
        }
    }

    /// Returns the name used in the log and in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Copied { .. } => "copied",
            Self::Kept(_) => "kept",
            Self::Refused => "refused",
            Self::Busy => "busy",
            Self::Absent => "absent",
            Self::Lost => "lost",
        }
    }
}

impl fmt::Display for Handover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())?;
        match self {
            Self::Copied { handle, events } => write!(f, " handle={handle} events={events}"),
            Self::Kept(handle) => write!(f, " handle={handle}"),
            Self::Refused | Self::Busy | Self::Absent | Self::Lost => Ok(()),
        }
    }
}
