//! Backend servers that are leaving and state how long they will keep running.

use std::collections::BTreeMap;

use crate::{
    config::Backend,
    fleet::Fleet,
    id::{self, Incarnation},
    unit::{Millis, Time},
};

/// Announced end of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the end was first announced to this box.
    pub announced_at: Time,
    /// When the server stops, whether or not requests are still running there.
    pub at: Time,
}

/// Known ends by server name, with the incarnation that announced them.
#[derive(Clone, Debug, Default)]
pub(super) struct Ending(BTreeMap<id::Backend, (Option<Incarnation>, Shutdown)>);

impl Ending {
    /// Records what a server's registration says. One incarnation's remaining time is repeated as
    /// it was first written, so the earliest end is kept.
    pub(super) fn note(&mut self, backend: &Backend, now: Time) {
        let left = backend.time_left.filter(|_| backend.leaving);
        let Some(left) = left else {
            self.forget(&backend.name);
            return;
        };
        let known = self.0.get(&backend.name);
        let known = known.filter(|(life, _)| *life == backend.incarnation);
        let end = Shutdown {
            announced_at: known.map_or(now, |(_, end)| end.announced_at),
            at: known.map_or(now + left, |(_, end)| end.at.min(now + left)),
        };
        self.0
            .insert(backend.name.clone(), (backend.incarnation, end));
    }

    /// Removes a server that is gone.
    pub(super) fn forget(&mut self, name: &id::Backend) {
        self.0.remove(name);
    }

    /// Returns how much longer a server keeps running, if it states that.
    pub(super) fn left(&self, name: &id::Backend, now: Time) -> Option<Millis> {
        self.0.get(name).map(|(_, end)| end.at.since(now))
    }

    fn iter(&self) -> impl Iterator<Item = (&id::Backend, Shutdown)> {
        self.0.iter().map(|(name, (_, end))| (name, *end))
    }
}

impl Fleet {
    /// Returns the servers that are leaving and state how long they will keep running, sorted by
    /// name.
    pub fn ending(&self) -> impl Iterator<Item = (&id::Backend, Shutdown)> {
        self.ending.iter()
    }
}
