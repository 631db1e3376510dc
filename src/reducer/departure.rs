//! Backend servers that say in their answers that they leave.

use crate::{
    id::{self, Incarnation},
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::Time,
};

impl<P: Policy> State<P> {
    /// Takes from an answer of a backend server that it leaves.
    pub(super) fn hear_departure(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Effect>,
    ) {
        if self.fleet.depart(name, incarnation, now) {
            out.push(Effect::Noted(Note::Departing {
                backend: name.clone(),
                teller: None,
            }));
        }
    }

    /// Backend servers that said that they leave, as far as this box knows.
    pub fn departing(&self) -> usize {
        self.fleet.departing()
    }
}
