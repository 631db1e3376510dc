//! Runs that move from one engine to another.

use std::{fmt, net::SocketAddr};

use crate::{id, unit::Millis};

/// An engine, and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Its name.
    pub name: id::Backend,
    /// Its listener.
    pub address: SocketAddr,
}

/// An order to copy the memory of a run to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The request.
    pub request: id::Request,
    /// The attempt that brings its answer.
    pub attempt: id::Attempt,
    /// The engine that runs it.
    pub from: Site,
    /// The engine that gets the copy.
    pub to: Site,
    /// Whether the run stops first, to go on with the copy.
    pub last: bool,
    /// How much longer the engine runs.
    pub left: Millis,
    /// Tokens of the prompt.
    pub tokens: u32,
}

/// How the move of a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The run goes on at the other engine.
    There,
    /// The run was stopped and goes on where it ran before.
    Back,
    /// Nothing was moved: no room, no way, or no answer. The run was not stopped.
    Refused,
    /// The run ended by itself before it was stopped.
    Ended,
    /// The request ended before: its caller left, or its time was over.
    Left,
    /// The run was lost on the way, or whether it was stopped is not known.
    Lost,
}

impl End {
    /// Its name in the log and in counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::There => "there",
            Self::Back => "back",
            Self::Refused => "refused",
            Self::Ended => "ended",
            Self::Left => "left",
            Self::Lost => "lost",
        }
    }
}

/// What became of a run that was to move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carried {
    /// The request.
    pub request: id::Request,
    /// The engine that ran it.
    pub from: id::Backend,
    /// The engine that was to go on.
    pub to: id::Backend,
    /// How it ended.
    pub end: End,
    /// From the decision to the last word on it.
    pub took: Millis,
    /// Calls that were made.
    pub calls: u32,
    /// Tokens of the prompt.
    pub tokens: u32,
}

impl fmt::Display for Carried {
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
