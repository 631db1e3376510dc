//! Backend servers that leave and tell how long they still run.

use std::collections::BTreeMap;

use crate::{
    config::Backend,
    fleet::Fleet,
    id::{self, Incarnation},
    unit::{Millis, Time},
};

/// How a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// When that became known.
    pub heard: Time,
    /// When it is gone, whatever runs there.
    pub at: Time,
}

/// All of them that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Ending(BTreeMap<id::Backend, (Option<Incarnation>, End)>);

impl Ending {
    /// Takes in what a server's registration says. What one life says is told again as it was first
    /// written, so the earliest end holds.
    pub(super) fn note(&mut self, backend: &Backend, now: Time) {
        let left = backend.time_left.filter(|_| backend.leaving);
        let Some(left) = left else {
            self.forget(&backend.name);
            return;
        };
        let known = self.0.get(&backend.name);
        let known = known.filter(|(life, _)| *life == backend.incarnation);
        let end = End {
            heard: known.map_or(now, |(_, end)| end.heard),
            at: known.map_or(now + left, |(_, end)| end.at.min(now + left)),
        };
        self.0
            .insert(backend.name.clone(), (backend.incarnation, end));
    }

    /// Forgets a server that is gone.
    pub(super) fn forget(&mut self, name: &id::Backend) {
        self.0.remove(name);
    }

    /// How long a server still runs, where it tells.
    pub(super) fn left(&self, name: &id::Backend, now: Time) -> Option<Millis> {
        self.0.get(name).map(|(_, end)| end.at.since(now))
    }

    fn iter(&self) -> impl Iterator<Item = (&id::Backend, End)> {
        self.0.iter().map(|(name, (_, end))| (name, *end))
    }
}

impl Fleet {
    /// The servers that leave and tell how long they still run, in the order of their names.
    pub fn ending(&self) -> impl Iterator<Item = (&id::Backend, End)> {
        self.ending.iter()
    }
}
