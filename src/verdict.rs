//! Whether a request may have run, said with every answer that is not a backend server's own.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// What is known about the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request ran nowhere and never will under this answer.
    NotRun,
    /// A backend server may have run it, in part or whole.
    MayHaveRun,
    /// A backend server ran it and said so.
    Ran,
}

impl Verdict {
    /// Whether a new attempt is safe without knowing if the request is repeatable.
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

/// The text named none of the three verdicts.
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
