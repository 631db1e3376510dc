//! Backend servers that said in an answer that they leave.
//!
//! A server's own word outranks its registration: while the platform's store is away or slow, the registration
//! still says that the server takes work.

use std::collections::HashMap;

use crate::{
    config::Backend,
    id::{self, Incarnation},
    unit::{Millis, Time},
};

/// How long a word is kept after it was heard last and the server's registration is gone: an old registration
/// may come back with a store that was away.
const KEPT: Millis = Millis(600_000);

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
    /// Notes that this life of a server leaves; true where that is news.
    pub(super) fn note(
        &mut self,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        now: Time,
    ) -> bool {
        let known = self.0.get(name).map(|departure| departure.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            // A later life said so.
            return false;
        }
        let at = now;
        self.0.insert(name.clone(), Departure { incarnation, at });
        known != Some(incarnation)
    }

    /// Whether this life of a server said that it leaves.
    pub(super) fn contains(&self, backend: &Backend) -> bool {
        let departure = self.0.get(&backend.name);
        departure.is_some_and(|departure| departure.incarnation == backend.incarnation)
    }

    /// Forgets old words on servers that are not `known` any more.
    pub(super) fn sweep(&mut self, known: impl Fn(&id::Backend) -> bool, now: Time) {
        self.0
            .retain(|name, departure| known(name) || now.since(departure.at) < KEPT);
    }
}
