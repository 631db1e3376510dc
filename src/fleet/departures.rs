//! Backend servers that announced their departure in an answer.
//!
//! A server's own announcement takes precedence over its registration: while the platform's store
//! is unavailable or slow, the registration still marks the server as taking work. An announcement
//! is valid for one incarnation of the server.

use std::collections::HashMap;

use crate::{
    config::Backend,
    id::{self, Incarnation},
    unit::{Millis, Time},
};

/// How long an announcement is kept once the server's registration is gone: an outdated
/// registration may reappear when the store comes back.
pub(super) const UNREGISTERED_RETENTION: Millis = Millis(600_000);
/// How long an announcement of a server named by the configuration is kept, since nothing reports
/// when such a server restarts.
pub(super) const CONFIGURED_RETENTION: Millis = Millis(60_000);

/// Announcement of one server.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Incarnation that is leaving, if known.
    incarnation: Option<Incarnation>,
    /// When the announcement was last received.
    at: Time,
}

/// All announcements known to this box.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(HashMap<id::Backend, Departure>);

impl Departures {
    /// Records that this incarnation of a server announced its departure at `at`; returns whether
    /// that was not known before.
    pub(super) fn note(
        &mut self,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        at: Time,
    ) -> bool {
        let known = self.0.get(name);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            // A later incarnation has already announced its departure.
            return false;
        }
        let same = known.filter(|known| known.incarnation == incarnation);
        let at = same.map_or(at, |known| known.at.max(at));
        let is_new = same.is_none();
        self.0.insert(name.clone(), Departure { incarnation, at });
        is_new
    }

    /// Reports whether this incarnation of a server announced its departure.
    pub(super) fn contains(&self, backend: &Backend) -> bool {
        let departure = self.0.get(&backend.name);
        departure.is_some_and(|departure| departure.incarnation == backend.incarnation)
    }

    /// Returns the servers with the time of their last announcement.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&id::Backend, Time)> {
        self.0.iter().map(|(name, departure)| (name, departure.at))
    }

    /// Removes the announcements older than `retention` gives for their server, and returns these
    /// servers.
    pub(super) fn expire(
        &mut self,
        retention: impl Fn(&id::Backend) -> Option<Millis>,
        now: Time,
    ) -> Vec<id::Backend> {
        let is_expired = |name: &id::Backend, departure: &Departure| {
            retention(name).is_some_and(|retention| now.since(departure.at) >= retention)
        };
        let departures = self.0.iter();
        let expired = departures.filter(|(name, departure)| is_expired(name, departure));
        let expired: Vec<id::Backend> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.0.remove(name);
        }
        expired
    }
}
