//! Tracks long prompts: what an engine has to read for a request, and the messages about it.
//!
//! All boxes learn at once of each long prompt that an engine begins to read, so that they know
//! where its parts are cached and which engine is busy reading.

use std::net::SocketAddr;

use crate::{
    id::BoxName,
    memory::cache,
    memory::prompt::Part,
    policy::{Place, Policy},
    reducer::{State, effect::Effect, job::Job, supply::Supply},
    unit::Time,
    wire::{Body, Frame, Holding, NameHash, Reading},
};

/// Cached parts that a new box is told of: about 8 KB.
const MAX_HOLDINGS: usize = 512;

impl<P: Policy> State<P> {
    /// Builds the message about `supply` at `place`; `None` for a request without a prompt.
    pub(super) fn reading(&self, job: &Job, place: &Place, supply: &Supply) -> Option<Reading> {
        let (Some(prompt), Place::Backend(name)) = (&job.prompt, place) else {
            return None;
        };
        let part = prompt.longest().filter(|part| part.tokens >= cache::LONG);
        Some(Reading {
            backend: NameHash::of(name.as_str()),
            prompt: prompt.tokens,
            tokens: supply.read,
            fetched: supply.fetched,
            part: part.map(|p| p.id),
            shared: part.map_or(0, |p| p.tokens),
            spread: false,
        })
    }

    /// Records a reading, and broadcasts it if the prompt is long.
    pub(super) fn note_reading(&mut self, now: Time, reading: Reading, out: &mut Vec<Effect>) {
        self.record_reading(now, reading);
        if reading.part.is_some() || reading.tokens >= cache::LONG {
            self.broadcast_reading(reading, out, now);
        }
    }

    /// Broadcasts that a backend server of this region begins to read a long prompt.
    fn broadcast_reading(&mut self, reading: Reading, out: &mut Vec<Effect>, now: Time) {
        for (to, spread) in self.broadcast_targets(now) {
            let frame = self.frame(Body::Reading(Reading { spread, ..reading }));
            out.push(Effect::Gossip { to, frame });
        }
    }

    /// Records that a backend server begins to read a long prompt, and forwards the message if
    /// requested.
    pub(super) fn receive_reading(
        &mut self,
        now: Time,
        frame: &Frame,
        reading: Reading,
        out: &mut Vec<Effect>,
    ) {
        self.record_reading(now, reading);
        if let Some(name) = self.fleet.long(reading.backend).cloned() {
            let server = self.servers.entry(name).or_default();
            server.add_pending_prompt(reading.tokens, now);
            server.add_prompt(reading.prompt, now);
        }
        if reading.spread {
            let body = Body::Reading(Reading {
                spread: false,
                ..reading
            });
            self.forward(now, frame, body, out);
        }
    }

    /// Records that a backend server will hold a part of a prompt once it has read it.
    fn record_reading(&mut self, now: Time, reading: Reading) {
        let part = reading.part.map(|id| Part {
            id,
            tokens: reading.shared,
        });
        let tokens = reading.tokens + reading.fetched;
        self.cache.note(reading.backend, part, tokens, now);
    }

    /// Sends the known cached parts to a box that just appeared, if this box is the one
    /// responsible.
    pub(super) fn share_holdings(
        &mut self,
        now: Time,
        to: SocketAddr,
        name: &BoxName,
        out: &mut Vec<Effect>,
    ) {
        if self.table.leads_except("holdings", name, now) {
            let holdings = self.cache.holdings(MAX_HOLDINGS);
            let frame = self.frame(Body::Holdings(holdings));
            out.push(Effect::Gossip { to, frame });
        }
    }

    /// Records the cached parts that another box knows.
    pub(super) fn learn_holdings(&mut self, now: Time, holdings: &[Holding]) {
        for holding in holdings {
            self.cache.add_reported(*holding, now);
        }
    }
}
