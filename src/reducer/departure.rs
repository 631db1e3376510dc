//! Backend servers that say in their answers that they leave, and what the boxes of a region tell each other
//! of it.
//!
//! Load pattern: a server leaves while the platform's store is away, so that its registration says for seconds
//! that it takes work. A box that sends nothing there is not told, and would send its first request there.

use crate::{
    id::{self, BoxName, Incarnation},
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::Time,
    wire::{Body, Departure, Short},
};

/// Servers that one message tells of, those that said it last first: 13 bytes each.
const MAX_TOLD: usize = 48;

impl<P: Policy> State<P> {
    /// Takes from an answer of a backend server that it leaves.
    pub(super) fn hear_departure(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Effect>,
    ) {
        if !self.fleet.depart(name, incarnation, now, now) {
            return;
        }
        self.control.departures_untold = true;
        out.push(Effect::Noted(Note::Departing {
            backend: name.clone(),
            teller: None,
        }));
    }

    /// Takes from another box of the region which backend servers said that they leave.
    pub(super) fn learn_departures(
        &mut self,
        now: Time,
        from: &BoxName,
        departures: &[Departure],
        out: &mut Vec<Effect>,
    ) {
        for told in departures.iter().take(MAX_TOLD) {
            let Some(backend) = self.named_here(told.backend, told.life) else {
                continue;
            };
            let (name, incarnation) = (backend.name.clone(), backend.incarnation);
            if self.fleet.depart(&name, incarnation, now - told.age, now) {
                out.push(Effect::Noted(Note::Departing {
                    backend: name,
                    teller: Some(from.clone()),
                }));
            }
        }
    }

    /// What the others are told with each heartbeat: a box that started, woke or was cut off learns it from
    /// the first one.
    pub(super) fn known_departures(&self, now: Time) -> Vec<Departure> {
        let here = |(backend, _): &(&_, Time)| self.is_here(backend);
        let rows = self.fleet.departing().filter(here);
        let rows = rows.map(|(backend, at)| Departure {
            backend: Short::of(backend.name.as_str()),
            life: backend.life(),
            age: now.since(at),
        });
        let mut rows: Vec<Departure> = rows.collect();
        rows.sort_unstable_by_key(|row| (row.age, row.backend));
        rows.truncate(MAX_TOLD);
        rows
    }

    /// Tells the boxes of the region at once where this one heard of more servers since it last did.
    pub(super) fn tell_departures(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !std::mem::take(&mut self.control.departures_untold) {
            return;
        }
        let known = self.known_departures(now);
        let near = self.table.live(now).map(|peer| peer.last.contact.gossip);
        let near: Vec<_> = near.collect();
        if !known.is_empty() {
            self.send_all(Body::Departures(known), near, out);
        }
    }

    /// Backend servers that said that they leave before their registration does, as far as this box knows.
    pub fn departing(&self) -> usize {
        self.fleet.departing().count()
    }
}
