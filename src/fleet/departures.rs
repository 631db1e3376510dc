//! Backend servers that said in an answer that they leave.
//!
//! A server's own word outranks its registration: while the platform's store is away or slow, the registration
//! still says that the server takes work. It holds for one life of the server.

use std::collections::HashMap;

use crate::{
    config::Backend,
    id::{self, Incarnation},
    unit::{Millis, Time},
};

/// How long the word of a server is kept whose registration is gone: an old one may come back with a store
/// that was away.
pub(super) const KEPT: Millis = Millis(600_000);
/// How long the word of a server holds that the configuration names: nothing tells when it starts again.
pub(super) const ASK_AGAIN: Millis = Millis(60_000);

/// One server's word.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The life that leaves, where it is known.
    incarnation: Option<Incarnation>,
    /// When the word was heard last.
    at: Time,
}

/// All such words that this box knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(HashMap<id::Backend, Departure>);

impl Departures {
    /// Notes that this life of a server said at `at` that it leaves; true where that is news.
    pub(super) fn note(
        &mut self,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        at: Time,
    ) -> bool {
        let known = self.0.get(name);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            // A later life said so.
            return false;
        }
        let same = known.filter(|known| known.incarnation == incarnation);
        let at = same.map_or(at, |known| known.at.max(at));
        let news = same.is_none();
        self.0.insert(name.clone(), Departure { incarnation, at });
        news
    }

    /// Whether this life of a server said that it leaves.
    pub(super) fn contains(&self, backend: &Backend) -> bool {
        let departure = self.0.get(&backend.name);
        departure.is_some_and(|departure| departure.incarnation == backend.incarnation)
    }

    /// The servers, and when they said so last.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&id::Backend, Time)> {
        self.0.iter().map(|(name, departure)| (name, departure.at))
    }

    /// Forgets the words that are older than `kept` says of their server, and returns these servers.
    pub(super) fn expire(
        &mut self,
        kept: impl Fn(&id::Backend) -> Option<Millis>,
        now: Time,
    ) -> Vec<id::Backend> {
        let is_over = |name: &id::Backend, departure: &Departure| {
            kept(name).is_some_and(|kept| now.since(departure.at) >= kept)
        };
        let words = self.0.iter();
        let over = words.filter(|(name, departure)| is_over(name, departure));
        let over: Vec<id::Backend> = over.map(|(name, _)| name.clone()).collect();
        for name in &over {
            self.0.remove(name);
        }
        over
    }
}
