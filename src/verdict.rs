//! Whether a request may have run, stated with every answer that does not come from a backend
//! server.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run anywhere, and will not run after this answer.
    NotRun,
    /// A backend server may have run it, partly or completely.
    MayHaveRun,
    /// A backend server ran it and reported so.
    Ran,
}

impl Verdict {
    /// Reports whether a new attempt is safe even if the request is not repeatable.
    pub fn is_not_run(self) -> bool {
        self == Self::NotRun
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

/// The text is none of the three verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected not-run, may-have-run or ran")
    }
}

impl std::error::Error for Unknown {}

impl FromStr for Verdict {
    type Err = Unknown;
    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(Unknown),
        }
    }
}
