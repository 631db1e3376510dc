//! Simple policies that serve as baselines for the default one.

use crate::policy::{Candidate, Choice, Policy, View, refuse};

/// Never leaves the home region: sends to its least loaded place, waits for a slot there, or
/// refuses.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeOnly;

/// Stays in the home region while it has any candidate, however loaded; otherwise chooses the
/// nearest region.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

/// Chooses the least loaded place anywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Chooses the least loaded of the usable places that can begin in time.
fn pick_least_loaded<'a>(view: &View<'a>, usable: impl Fn(&Candidate) -> bool) -> Choice {
    let places = || view.candidates.iter().filter(|c| usable(c));
    let in_time = places().filter(|c| c.wait + c.hop + c.margin < view.left);
    match in_time.min_by(|a, b| a.load.total_cmp(&b.load)) {
        Some(place) => place.choice(),
        None => refuse(places()),
    }
}

impl Policy for HomeOnly {
    fn pick(&self, view: &View<'_>) -> Choice {
        pick_least_loaded(view, |c| c.home)
    }
}

impl Policy for Nearest {
    fn pick(&self, view: &View<'_>) -> Choice {
        if view.candidates.iter().any(|c| c.home) {
            return HomeOnly.pick(view);
        }
        let nearest = view.candidates.iter().map(|c| c.hop).min();
        pick_least_loaded(view, |c| Some(c.hop) == nearest)
    }
}

impl Policy for LeastLoaded {
    fn pick(&self, view: &View<'_>) -> Choice {
        pick_least_loaded(view, |_| true)
    }
}
