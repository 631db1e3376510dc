//! Simple policies that the product's own is measured against.

use crate::policy::{Candidate, Choice, Policy, View, refuse};

/// Never leaves home: the least busy place there, or a wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeOnly;

/// Home while it has any place at all, however full; the nearest other region only without one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

/// The least busy place anywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// The least busy of the places that begin in time.
fn least<'a>(view: &View<'a>, usable: impl Fn(&Candidate) -> bool) -> Choice {
    let places = || view.candidates.iter().filter(|c| usable(c));
    let in_time = places().filter(|c| c.wait + c.hop < view.left);
    match in_time.min_by(|a, b| a.load.total_cmp(&b.load)) {
        Some(place) => place.choice(),
        None => refuse(places()),
    }
}

impl Policy for HomeOnly {
    fn pick(&self, view: &View<'_>) -> Choice {
        least(view, |c| c.home)
    }
}

impl Policy for Nearest {
    fn pick(&self, view: &View<'_>) -> Choice {
        if view.candidates.iter().any(|c| c.home) {
            return HomeOnly.pick(view);
        }
        let nearest = view.candidates.iter().map(|c| c.hop).min();
        least(view, |c| Some(c.hop) == nearest)
    }
}

impl Policy for LeastLoaded {
    fn pick(&self, view: &View<'_>) -> Choice {
        least(view, |_| true)
    }
}
