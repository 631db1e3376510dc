//! Expected time to compute a prompt at a place, and the cost to the requests that run there.

use crate::{
    config::Backend,
    id::{Region, Service},
    memory::{Engine, cache, prompt::Prompt},
    policy::Policy,
    reducer::{State, place::Query, supply::Supply},
    server::Server,
    unit::{Millis, Time},
    wire::{Capacity, NameHash},
};

/// Weight of the time for which a running request is delayed while a prompt is computed, relative
/// to the waiting time of the prompt's own request, if no longest acceptable pause is known.
const RUNNING_DELAY_WEIGHT: f64 = 0.1;
/// Cost in milliseconds of delaying running streams, with as many prompt tokens as the request
/// itself, beyond the longest acceptable pause: as much as a late answer to the request itself.
const LATE_STREAM_COST: f64 = 1000.0;
/// Part of the longest acceptable pause from which on a stream is at risk: the computing time is an
/// estimate, and prompts take turns with the tokens of running requests.
const AT_RISK_PAUSE_SHARE: f64 = 0.5;
/// Assumed prompt tokens of a running request that this box knows nothing about; long prompts are
/// reported by other boxes.
const UNKNOWN_PROMPT_TOKENS: f64 = 1200.0;
/// Prompt length, in tokens, below which the cost to others grows no further.
const MIN_PROMPT_TOKENS: f64 = 1000.0;
/// Weight of the time to compute shared parts again, in addition to the wait for it.
const READ_AGAIN: f64 = 2.0;
/// Weight of the time to fetch parts from another engine, in addition to the wait for it.
const DUPLICATE_WEIGHT: f64 = 6.0;
/// Fewest shared tokens for which a prompt prefers its owner, the engine that all boxes choose for
/// it.
pub(super) const MIN_OWNED_TOKENS: u32 = 256;
/// Cost of computing a long part at another engine than its owner: about the wait for one other
/// long prompt.
const MISPLACEMENT_COST: Millis = Millis(100);

/// Load of an engine while it computes a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    /// Number of running requests.
    pub(super) busy: u32,
    /// Prompt tokens of the running requests whose prompts are known.
    pub(super) tokens: f64,
    /// Time in ms until the engine has computed the prompts that were sent to it before.
    pub(super) pending: f64,
    /// Longest acceptable pause of a stream, if known.
    pub(super) gap: Option<Millis>,
}

impl Batch {
    /// Returns the load of `engine` with `busy` running requests.
    pub(super) fn at(engine: &Server, busy: u32, gap: Option<Millis>, now: Time) -> Self {
        Self {
            busy,
            tokens: engine.running_tokens(now),
            pending: engine.pending(now),
            gap,
        }
    }

    /// Returns the share of running streams that a pause of `millis` makes late: none up to
    /// [`AT_RISK_PAUSE_SHARE`] of `gap`, all from `gap` on.
    fn late_share(millis: f64, gap: Millis) -> f64 {
        let at_risk = gap.0 as f64 * AT_RISK_PAUSE_SHARE;
        ((millis - at_risk) / at_risk).clamp(0.0, 1.0)
    }

    /// Returns the cost to running requests of a prompt of `tokens` that takes `reading` ms to
    /// compute.
    fn held_up(&self, tokens: u32, reading: f64) -> f64 {
        let busy = f64::from(self.busy);
        let Some(gap) = self.gap else {
            return reading * busy * RUNNING_DELAY_WEIGHT;
        };
        let more =
            Self::late_share(self.pending + reading, gap) - Self::late_share(self.pending, gap);
        let others = self.tokens + busy * UNKNOWN_PROMPT_TOKENS;
        more * LATE_STREAM_COST * others / f64::from(tokens).max(MIN_PROMPT_TOKENS)
    }
}

/// Returns the cost to others of computing `unread` tokens of `prompt`: running requests get their
/// tokens later, and the engine loses the time for shared parts that it computes again.
pub(super) fn burden(prompt: &Prompt, unread: u32, engine: &Server, batch: Batch) -> Millis {
    let own = prompt.parts.last().map_or(0, |part| part.tokens);
    let again = engine.reading(unread.saturating_sub(own));
    let held_up = batch.held_up(prompt.tokens, engine.reading(unread));
    Millis((again * READ_AGAIN + held_up) as u64)
}

/// Returns the cost to others of fetching parts of a prompt from another engine: the links are busy
/// for that time, and duplicates take the space of other parts.
pub(super) fn transfer_cost(supply: &Supply) -> Millis {
    Millis((supply.span.0 as f64 * DUPLICATE_WEIGHT) as u64)
}

/// Returns a small cost for engines other than the owner, which all boxes choose without
/// coordination: after a restart of all boxes the owner still holds the part.
pub(super) fn misplacement_cost(
    prompt: &Prompt,
    unread: u32,
    owner: bool,
    engine: &Server,
) -> Millis {
    let longest = prompt.longest().map_or(0, |part| part.tokens);
    if owner {
        return Millis(0);
    }
    if longest >= cache::LONG {
        return if unread < longest {
            Millis(0)
        } else {
            MISPLACEMENT_COST
        };
    }
    // Short parts are not tracked, but their owner probably still holds them.
    match prompt.shared() {
        shared if shared >= MIN_OWNED_TOKENS => {
            Millis((engine.reading(shared) * READ_AGAIN) as u64)
        }
        _ => Millis(0),
    }
}

impl<P: Policy> State<P> {
    /// Returns the number of tokens that fit into the memory of one engine of `service`.
    pub(super) fn memory(&self, service: &Service) -> Option<u64> {
        self.engine(service).map(|engine| engine.tokens)
    }

    /// Returns the memory capabilities of the engines of `service`.
    pub(super) fn engine(&self, service: &Service) -> Option<Engine> {
        let profile = self.config.as_ref()?.profiles.get(service)?;
        profile.engine
    }

    /// Returns the expected time to the first token of a short prompt in `region`, including the
    /// round trip.
    pub(super) fn remote_first_token(
        &self,
        now: Time,
        service: &Service,
        region: &Region,
    ) -> Millis {
        let short = NameHash::of(service.as_str());
        let hop = self
            .config
            .as_ref()
            .map(|c| c.hop(&self.table.me.region, region));
        let remote = self.table.reachable(now).find(|(name, _)| *name == region);
        let services = remote.map_or(&[][..], |(_, r)| &r.digest.services);
        let capacity = services.iter().find(|c| c.service == short);
        hop.unwrap_or_default() + capacity.map_or(Millis(0), |c| c.first)
    }

    /// Returns the expected time to the first token at the best of the `usable` servers of another
    /// region, without the round trip, and the cost to the requests that run there.
    pub(super) fn remote_prompt_cost(
        &self,
        wish: &Query<'_>,
        usable: &[&Backend],
        capacity: &Capacity,
    ) -> (Millis, Millis) {
        let Query { now, plan, job, .. } = *wish;
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
            let short = NameHash::of(b.name.as_str());
            let unread = self.cache.unread(prompt, short, memory, now);
            let batch = Batch::at(engine, busy, plan.max_event_gap(), now);
            let supply = Supply::of(sources.as_ref(), b, unread, engine);
            let burden = burden(prompt, supply.read, engine, batch) + transfer_cost(&supply);
            let reading = engine.pending(now) + engine.reading(supply.read);
            (Millis(reading as u64) + supply.span, burden)
        };
        let costs = usable.iter().map(cost);
        let best = costs.min_by_key(|(reading, burden)| *reading + *burden);
        let (reading, burden) = best.unwrap_or_default();
        (Server::default().first_token(0, now) + reading, burden)
    }
}
