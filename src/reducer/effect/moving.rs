//! Moving a run from one engine to another.

use std::{fmt, net::SocketAddr};

use crate::{id, unit::Millis};

/// An engine and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Name of the engine.
    pub name: id::Backend,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Instruction to copy the memory of a run to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The request.
    pub request: id::Request,
    /// The attempt that produces the answer.
    pub attempt: id::Attempt,
    /// The engine that runs the request.
    pub from: Site,
    /// The engine that receives the copy.
    pub to: Site,
    /// Whether the run is stopped first, so that it can continue from the copy.
    pub last: bool,
    /// Time until the engine that runs the request ends.
    pub left: Millis,
    /// Number of tokens in the prompt.
    pub tokens: u32,
}

/// Result of moving a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The run continues at the other engine.
    Moved,
    /// The run was stopped and continues at its original engine.
    Returned,
    /// Nothing was moved, for lack of room, of a link or of an answer. The run was not stopped.
    Refused,
    /// The run ended by itself before it was stopped.
    Ended,
    /// The request ended first: its caller disconnected or its deadline passed.
    Abandoned,
    /// The run was lost during the move, or it is unknown whether it was stopped.
    Lost,
}

impl MoveOutcome {
    /// Returns the name used in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Moved => "there",
            Self::Returned => "back",
            Self::Refused => "refused",
            Self::Ended => "ended",
            Self::Abandoned => "left",
            Self::Lost => "lost",
        }
    }
}

/// Outcome of an attempt to move a run, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveReport {
    /// The request.
    pub request: id::Request,
    /// The engine that ran the request.
    pub from: id::Backend,
    /// The engine that was to continue the run.
    pub to: id::Backend,
    /// Result of the move.
    pub end: MoveOutcome,
    /// Time from the decision to move until the result was known.
    pub took: Millis,
    /// Number of calls made.
    pub calls: u32,
    /// Number of tokens in the prompt.
    pub tokens: u32,
}

impl fmt::Display for MoveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "moved from={} to={} why=engine-leaves end={} took={} calls={} tokens={}",
            self.from,
            self.to,
            self.end.name(),
            self.took,
            self.calls,
            self.tokens
        )
    }
}
