//! Backend servers that announce in their answers that they are leaving, and how the boxes of a
//! region share this.
//!
//! Load pattern: a server leaves while the platform's store is unavailable, so its registration
//! still lists it as ready for seconds. A box without traffic to that server does not see the
//! announcement, and would send its first request there.

use crate::{
    id::{self, BoxName, Incarnation},
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::Time,
    wire::{Body, Departure, NameHash},
};

/// Maximum number of servers in one message, the most recent announcements first: 13 bytes each.
const MAX_DEPARTURES_PER_MESSAGE: usize = 48;

impl<P: Policy> State<P> {
    /// Records that a backend server announced in an answer that it is leaving.
    pub(super) fn record_departure(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Effect>,
    ) {
        if !self.fleet.record_departure(name, incarnation, now, now) {
            return;
        }
        self.control.departures_unsent = true;
        out.push(Effect::Noted(Note::Departing {
            backend: name.clone(),
            teller: None,
        }));
    }

    /// Applies the departures received from another box of the region.
    pub(super) fn receive_departures(
        &mut self,
        now: Time,
        from: &BoxName,
        departures: &[Departure],
        out: &mut Vec<Effect>,
    ) {
        for departure in departures.iter().take(MAX_DEPARTURES_PER_MESSAGE) {
            let Some(backend) = self.find_local_backend(departure.backend, departure.life) else {
                continue;
            };
            let (name, incarnation) = (backend.name.clone(), backend.incarnation);
            if self
                .fleet
                .record_departure(&name, incarnation, now - departure.age, now)
            {
                out.push(Effect::Noted(Note::Departing {
                    backend: name,
                    teller: Some(from.clone()),
                }));
            }
        }
    }

    /// Returns the departures to send with each heartbeat: a box that started, resumed or was cut
    /// off learns them from the first one.
    pub(super) fn known_departures(&self, now: Time) -> Vec<Departure> {
        let here = |(backend, _): &(&_, Time)| self.is_local(backend);
        let rows = self.fleet.departing().filter(here);
        let rows = rows.map(|(backend, at)| Departure {
            backend: NameHash::of(backend.name.as_str()),
            life: backend.life(),
            age: now.since(at),
        });
        let mut rows: Vec<Departure> = rows.collect();
        rows.sort_unstable_by_key(|row| (row.age, row.backend));
        rows.truncate(MAX_DEPARTURES_PER_MESSAGE);
        rows
    }

    /// Sends the known departures to the boxes of the region at once if any were learned since the
    /// last time.
    pub(super) fn send_departures(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !std::mem::take(&mut self.control.departures_unsent) {
            return;
        }
        let known = self.known_departures(now);
        let neighbours = self.table.live(now).map(|peer| peer.last.contact.gossip);
        let neighbours: Vec<_> = neighbours.collect();
        if !known.is_empty() {
            self.send_all(Body::Departures(known), neighbours, out);
        }
    }

    /// Returns the number of backend servers known to have announced that they are leaving before
    /// their registration says so.
    pub fn departing(&self) -> usize {
        self.fleet.departing().count()
    }
}
