//! What reading a prompt takes at a place, and what it costs those that run there.

use crate::{
    cache,
    config::{Backend, Plan},
    id::{Region, Service},
    policy::Policy,
    prompt::Prompt,
    reducer::{State, job::Job},
    server::Server,
    unit::{Millis, Time},
    wire::{Capacity, Short},
};

/// Weight of the time for which one running request waits while a prompt is read, against the time
/// that the prompt's own request waits: most pauses do no harm.
const HELD_UP: f64 = 0.1;
/// Weight of the time to read shared parts once more, besides the wait for it.
const READ_AGAIN: f64 = 2.0;
/// What it counts to read a part elsewhere than at its preferred engine: about the wait for one
/// other long prompt.
const MISPLACED: Millis = Millis(100);

/// What reading `unread` tokens of `prompt` costs others: the `busy` requests that run there get
/// their tokens later, and a shared part that is read once more is time the engine lost.
pub(super) fn burden(prompt: &Prompt, unread: u32, engine: &Server, busy: u32) -> Millis {
    let own = prompt.parts.last().map_or(0, |part| part.tokens);
    let again = engine.reading(unread.saturating_sub(own));
    let held_up = engine.reading(unread) * f64::from(busy) * HELD_UP;
    Millis((again * READ_AGAIN + held_up) as u64)
}

/// A small preference for the place that all boxes choose for a shared part without asking each
/// other: after a restart of all of them the part is still held there.
pub(super) fn misplaced(prompt: &Prompt, unread: u32, owner: bool) -> Millis {
    let longest = prompt.longest().map_or(0, |part| part.tokens);
    if owner || longest < cache::LONG || unread < longest {
        return Millis(0);
    }
    MISPLACED
}

impl<P: Policy> State<P> {
    /// Tokens that fit into the memory of one engine of `service`.
    pub(super) fn memory(&self, service: &Service) -> Option<u64> {
        let profile = self.config.as_ref()?.profiles.get(service)?;
        profile.memory_tokens
    }

    /// Expected time to the first token of a short prompt in `region`, the way there included.
    pub(super) fn remote_first(&self, now: Time, service: &Service, region: &Region) -> Millis {
        let short = Short::of(service.as_str());
        let hop = self
            .config
            .as_ref()
            .map(|c| c.hop(&self.table.me.region, region));
        let remote = self.table.reachable(now).find(|(name, _)| *name == region);
        let services = remote.map_or(&[][..], |(_, r)| &r.digest.services);
        let capacity = services.iter().find(|c| c.service == short);
        hop.unwrap_or_default() + capacity.map_or(Millis(0), |c| c.first)
    }

    /// Expected time to read the prompt of `job` at the best engine of `region`, and the burden on
    /// what runs there.
    pub(super) fn remote_reading(
        &self,
        now: Time,
        plan: &Plan<'_>,
        job: &Job,
        region: &Region,
        capacity: &Capacity,
    ) -> (Millis, Millis) {
        let Some(prompt) = &job.prompt else {
            return (Millis(0), Millis(0));
        };
        let memory = self.memory(&plan.service);
        let servers = self.fleet.serving(&plan.service, region);
        let usable = servers.filter(|b| plan.allows(b) && !self.leaving(b));
        let unread = |b: &Backend| {
            let short = Short::of(b.name.as_str());
            self.cache.unread(prompt, short, memory, now)
        };
        let (least, count) = usable.fold((prompt.tokens, 0), |(least, count), b| {
            (unread(b).min(least), count + 1)
        });
        let engine = Server::default();
        let busy = capacity.busy / count.max(1);
        let reading = Millis(engine.reading(least) as u64);
        (reading, burden(prompt, least, &engine, busy))
    }
}
