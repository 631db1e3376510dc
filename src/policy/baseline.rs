//! Simple policies that the product's own is measured against.

use crate::policy::{Candidate, Choice, Place, Policy, View, wait_or_refuse};

/// Never leaves home: the least busy place there, or a wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeOnly;

/// Home while it has any place at all, however full; the nearest other region only without one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

/// The least busy place anywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

fn least<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| a.load.total_cmp(&b.load))
}

impl Policy for HomeOnly {
    fn pick(&self, view: &View<'_>) -> Choice {
        let home = || view.candidates.iter().filter(|c| c.home);
        match least(home().filter(|c| c.free > 0)) {
            Some(c) => Choice::Send(c.place.clone()),
            None => wait_or_refuse(home(), view.left),
        }
    }
}

impl Policy for Nearest {
    fn pick(&self, view: &View<'_>) -> Choice {
        if view.candidates.iter().any(|c| c.home) {
            return HomeOnly.pick(view);
        }
        let near = view.candidates.iter().filter(|c| c.free > 0);
        match near.min_by_key(|c| c.hop) {
            Some(c) => Choice::Send(c.place.clone()),
            None => wait_or_refuse(view.candidates.iter(), view.left),
        }
    }
}

impl Policy for LeastLoaded {
    fn pick(&self, view: &View<'_>) -> Choice {
        match least(view.candidates.iter().filter(|c| c.free > 0)) {
            Some(c) => Choice::Send(c.place.clone()),
            None => {
                let local = |c: &&Candidate| matches!(c.place, Place::Backend(_));
                wait_or_refuse(view.candidates.iter().filter(local), view.left)
            }
        }
    }
}
