//! Selection of a policy by its name in the settings of a box.

use std::{fmt, str::FromStr};

use crate::policy::{Balanced, Choice, HomeOnly, LeastLoaded, Nearest, Policy, View};

/// Selectable policy; those other than `Balanced` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Named {
    /// Default policy; see [`Balanced`](struct@Balanced).
    #[default]
    Balanced,
    /// Never leaves the home region.
    HomeOnly,
    /// Leaves the home region only if it has no place at all.
    Nearest,
    /// Chooses the least loaded place anywhere.
    LeastLoaded,
}

impl Policy for Named {
    fn pick(&self, view: &View<'_>) -> Choice {
        match self {
            Self::Balanced => Balanced.pick(view),
            Self::HomeOnly => HomeOnly.pick(view),
            Self::Nearest => Nearest.pick(view),
            Self::LeastLoaded => LeastLoaded.pick(view),
        }
    }
}

impl fmt::Display for Named {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Balanced => "balanced",
            Self::HomeOnly => "home-only",
            Self::Nearest => "nearest",
            Self::LeastLoaded => "least-loaded",
        })
    }
}

impl FromStr for Named {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "balanced" => Ok(Self::Balanced),
            "home-only" => Ok(Self::HomeOnly),
            "nearest" => Ok(Self::Nearest),
            "least-loaded" => Ok(Self::LeastLoaded),
            _ => Err("expected balanced, home-only, nearest or least-loaded"),
        }
    }
}
