//! What reading a prompt takes at a place, and what it costs those that run there.

use crate::{
    config::Backend,
    id::{Region, Service},
    memory::{Engine, cache, prompt::Prompt},
    policy::Policy,
    reducer::{State, place::Wish, supply::Supply},
    server::Server,
    unit::{Millis, Time},
    wire::{Capacity, Short},
};

/// Weight of the time for which one running request waits while a prompt is read, against the time
/// that the prompt's own request waits, where no pause is known to be too long.
const HELD_UP: f64 = 0.1;
/// What it counts to make running streams pause for too long that read as many prompt tokens as the
/// request itself, as a wait of its own: as much as its own answer being late.
const PAUSED: f64 = 1000.0;
/// The part of the longest pause that is in time from which on a stream is in danger: reading is
/// estimated, and takes turns with the tokens of what runs.
const NEAR_PAUSE: f64 = 0.5;
/// Prompt tokens of a running request of which this box knows nothing else: long ones are told.
const SHORT_PROMPT: f64 = 1200.0;
/// The harm to others weighs no more for prompts shorter than this.
const LEAST_PROMPT: f64 = 1000.0;
/// Weight of the time to read shared parts once more, besides the wait for it.
const READ_AGAIN: f64 = 2.0;
/// Weight of the time for which parts are fetched, besides the wait for it.
const KEPT_TWICE: f64 = 6.0;
/// Fewest shared tokens for which a prompt prefers the engine that all boxes choose for it.
pub(super) const OWNED: u32 = 256;
/// What it counts to read a part elsewhere than at its preferred engine: about the wait for one
/// other long prompt.
const MISPLACED: Millis = Millis(100);

/// What runs at an engine while a prompt is read there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    /// Requests that run.
    pub(super) busy: u32,
    /// Prompt tokens of those whose prompts are known.
    pub(super) tokens: f64,
    /// Time until the prompts that were sent there before are read, in ms.
    pub(super) pending: f64,
    /// The longest pause of a stream that is in time, where that is known.
    pub(super) gap: Option<Millis>,
}

impl Batch {
    /// Those at `engine`, where `busy` requests run.
    pub(super) fn at(engine: &Server, busy: u32, gap: Option<Millis>, now: Time) -> Self {
        Self {
            busy,
            tokens: engine.running_tokens(now),
            pending: engine.pending(now),
            gap,
        }
    }

    /// The share of the running streams that a pause of `millis` makes late.
    fn late(millis: f64, gap: Millis) -> f64 {
        let near = gap.0 as f64 * NEAR_PAUSE;
        ((millis - near) / near).clamp(0.0, 1.0)
    }

    /// What it costs them that a prompt of `tokens` is read there for `reading` ms.
    fn held_up(&self, tokens: u32, reading: f64) -> f64 {
        let busy = f64::from(self.busy);
        let Some(gap) = self.gap else {
            return reading * busy * HELD_UP;
        };
        let more = Self::late(self.pending + reading, gap) - Self::late(self.pending, gap);
        let others = self.tokens + busy * SHORT_PROMPT;
        more * PAUSED * others / f64::from(tokens).max(LEAST_PROMPT)
    }
}

/// What reading `unread` tokens of `prompt` costs others: what runs there gets its tokens later, and
/// a shared part that is read once more is time the engine lost.
pub(super) fn burden(prompt: &Prompt, unread: u32, engine: &Server, batch: Batch) -> Millis {
    let own = prompt.parts.last().map_or(0, |part| part.tokens);
    let again = engine.reading(unread.saturating_sub(own));
    let held_up = batch.held_up(prompt.tokens, engine.reading(unread));
    Millis((again * READ_AGAIN + held_up) as u64)
}

/// What it costs others that parts of a prompt come from another engine: the links are busy for that long, and
/// what is kept twice leaves no room for other parts.
pub(super) fn moved(supply: &Supply) -> Millis {
    Millis((supply.span.0 as f64 * KEPT_TWICE) as u64)
}

/// A small preference for the place that all boxes choose for a shared part without asking each
/// other: after a restart of all of them the part is still held there.
pub(super) fn misplaced(prompt: &Prompt, unread: u32, owner: bool, engine: &Server) -> Millis {
    let longest = prompt.longest().map_or(0, |part| part.tokens);
    if owner {
        return Millis(0);
    }
    if longest >= cache::LONG {
        return if unread < longest {
            Millis(0)
        } else {
            MISPLACED
        };
    }
    // Nobody follows short parts; their owner likely keeps them.
    match prompt.shared() {
        shared if shared >= OWNED => Millis((engine.reading(shared) * READ_AGAIN) as u64),
        _ => Millis(0),
    }
}

impl<P: Policy> State<P> {
    /// Tokens that fit into the memory of one engine of `service`.
    pub(super) fn memory(&self, service: &Service) -> Option<u64> {
        self.engine(service).map(|engine| engine.tokens)
    }

    /// What the engines of `service` can do with their memory.
    pub(super) fn engine(&self, service: &Service) -> Option<Engine> {
        let profile = self.config.as_ref()?.profiles.get(service)?;
        profile.engine
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

    /// Expected time to the first token of a prompt at the best of the `usable` servers of another region,
    /// the way there left out, and the burden on what runs there.
    pub(super) fn remote_reading(
        &self,
        wish: &Wish<'_>,
        usable: &[&Backend],
        capacity: &Capacity,
    ) -> (Millis, Millis) {
        let Wish { now, plan, job, .. } = *wish;
        let Some(prompt) = &job.prompt else {
            return (capacity.first, Millis(0));
        };
        let memory = self.memory(&plan.service);
        let busy = capacity.busy / (usable.len() as u32).max(1);
        let fresh = Server::default();
        let region = usable.first().map(|b| &b.region);
        let sources = region.and_then(|region| self.sources(now, &plan.service, region, job));
        let cost = |b: &&Backend| {
            let engine = self.servers.get(&b.name).unwrap_or(&fresh);
            let short = Short::of(b.name.as_str());
            let unread = self.cache.unread(prompt, short, memory, now);
            let batch = Batch::at(engine, busy, plan.gap(), now);
            let supply = Supply::of(sources.as_ref(), b, unread, engine);
            let burden = burden(prompt, supply.read, engine, batch) + moved(&supply);
            let reading = engine.pending(now) + engine.reading(supply.read);
            (Millis(reading as u64) + supply.span, burden)
        };
        let costs = usable.iter().map(cost);
        let best = costs.min_by_key(|(reading, burden)| *reading + *burden);
        let (reading, burden) = best.unwrap_or_default();
        (Server::default().first_token(0, now) + reading, burden)
    }
}
