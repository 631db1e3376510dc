//! Candidate places for a request, with the delay and cost expected at each.

use std::net::SocketAddr;

use crate::{
    config::{Backend, Config, Plan, Refusal},
    id::{self, Region},
    member::Remote,
    memory::cache,
    memory::prompt::Prompt,
    policy::{Candidate, Choice, Place, Policy, View},
    reducer::{
        State,
        effect::{Basis, Warmth},
        estimate::{self, Batch},
        event::Hop,
        job::Job,
        supply::Supply,
    },
    server::{Block, Server},
    unit::{Millis, Time},
    wire::NameHash,
};

/// Backend servers sampled for each request. With two, the less busy one gets at most twice its
/// share of the requests while updates of its load are in transit.
const SAMPLED: usize = 2;
/// Time that a request for a brittle server must have left, in percent of the time in which the server
/// usually begins its answers.
const CAPPED_MARGIN_PERCENT: u64 = 150;
/// Penalty on the backend servers that were not sampled, as a multiple of the expected time between
/// two slots that become free there.
const UNSAMPLED_PENALTY: u64 = 2;

/// The request to be placed, with its plan and configuration.
#[derive(Clone, Copy)]
pub(super) struct Query<'a> {
    pub(super) now: Time,
    pub(super) config: &'a Config,
    pub(super) plan: &'a Plan<'a>,
    pub(super) job: &'a Job,
    pub(super) home: &'a Region,
}

/// The choice of a policy and the candidates that it was made from.
pub(super) struct Decision {
    pub(super) choice: Choice,
    pub(super) candidates: Vec<Candidate>,
}

/// How far a backend server is occupied, from the view of one box.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    slots: u32,
    busy: u32,
    free: u32,
    /// Requests that go before a new one, and the new one.
    ahead: u64,
}

impl Occupancy {
    /// The boxes together have `busy` requests at a server with `slots`, this one `mine`.
    fn of_server(slots: u32, busy: u32, mine: u32, boxes: u32, queued: u64) -> Self {
        // The load reports of other boxes are old, so each box may always use its own share.
        let share = (slots / boxes).max(1);
        Self {
            slots,
            busy,
            free: slots.saturating_sub(busy).max(share.saturating_sub(mine)),
            ahead: u64::from(busy.saturating_sub(slots)) + queued + 1,
        }
    }

    /// This box has `mine` requests at a server, of which it may have `share`.
    fn of_share(share: u32, mine: u32, queued: u64) -> Self {
        Self {
            slots: share.max(1),
            busy: mine,
            free: share.saturating_sub(mine),
            ahead: u64::from(mine.saturating_sub(share)) + queued + 1,
        }
    }

    fn load(&self) -> f64 {
        f64::from(self.busy) / f64::from(self.slots)
    }
}

/// Reason why a backend server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exclusion {
    Configured,
    /// It announced in an answer that it is leaving.
    Departing,
    Listed,
    Evacuated,
    /// A roll-out withholds requests from its release.
    Release,
    Barred(Block),
}

/// Returns a pseudo-random number that is fixed for each pair of request and place.
pub(super) fn random_rank(draw: u64, place: &Place) -> u64 {
    let name = match place {
        Place::Backend(name) => name.as_str(),
        Place::Region(region) => region.as_str(),
    };
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), draw)
}

impl<P: Policy> State<P> {
    /// Returns the inputs of the decision for `place` among the candidates.
    pub(super) fn basis(&self, now: Time, job: &Job, place: &Place, among: &[Candidate]) -> Basis {
        let chosen = among.iter().find(|c| c.place == *place);
        let ages = self.table.live(now).map(|peer| now.since(peer.received_at));
        Basis {
            version: self.version(),
            number: job.attempts + 1,
            places: among.len(),
            wait: chosen.map_or(Millis(0), |c| c.wait),
            first: chosen.map_or(Millis(0), |c| c.first),
            hop: chosen.map_or(Millis(0), |c| c.hop),
            burden: chosen.map_or(Millis(0), |c| c.burden),
            free: chosen.map_or(0, |c| c.free),
            age: ages.max().unwrap_or_default(),
            waited: now.since(job.arrived_at),
            target: job.target.unwrap_or_default(),
            prompt: job.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            shared: job.prompt.as_ref().map_or(0, Prompt::shared),
            // Set when the request is sent.
            unread: 0,
            fetched: 0,
            told: match place {
                Place::Backend(name) => self.cache.has_reports(NameHash::of(name.as_str()), now),
                Place::Region(_) => false,
            },
            cold: match place {
                Place::Backend(name) => self.fleet.cold_left(name, now),
                Place::Region(_) => Millis(0),
            },
            warmth: match place {
                Place::Backend(name) => self.warmth(now, &job.service, name),
                Place::Region(_) => Warmth::Warm,
            },
            limit: match place {
                Place::Backend(name) => self.servers.get(name).and_then(|s| s.limit.rate()),
                Place::Region(_) => None,
            },
            brittle: match place {
                Place::Backend(name) => self.servers.get(name).and_then(Server::tolerance),
                Place::Region(_) => None,
            },
            revision: self.revision,
            store_age: self.store_age(now),
        }
    }

    /// Chooses a place for `job` by the configuration in force.
    pub(super) fn decide(&self, now: Time, job: &Job) -> Result<Decision, Refusal> {
        let config = self.config.as_ref().ok_or(Refusal::NoRegion)?;
        let plan = config.plan(&job.ask)?;
        let mine = &self.table.me.region;
        let wish = Query {
            now,
            config,
            plan: &plan,
            job,
            home: plan.customer.home.as_ref().unwrap_or(mine),
        };
        if let Some(few) = self.sampled_backends(&wish) {
            let decision = self.choose(&wish, few);
            if decision.needs_no_full_scan() {
                return Ok(decision);
            }
        }
        let all = self.fleet.serving(&plan.service, mine);
        Ok(self.choose(&wish, all))
    }

    /// Lets the policy choose among `servers` of this region and the other regions.
    fn choose<'a>(
        &self,
        wish: &Query<'_>,
        servers: impl IntoIterator<Item = &'a Backend>,
    ) -> Decision {
        let mine = &self.table.me.region;
        let mut candidates = Vec::new();
        if wish.plan.permits_region(mine) {
            candidates.extend(self.neighbour_instead(wish));
            if candidates.is_empty() {
                self.collect_candidates(wish, servers, &mut candidates);
            }
            if candidates.is_empty() {
                candidates.extend(self.neighbour_candidate(wish));
            }
        }
        if wish.job.hop == Hop::Direct {
            let remote = self.table.reachable(wish.now);
            let remote =
                remote.filter(|(region, _)| *region != mine && wish.plan.permits_region(region));
            candidates.extend(
                remote.filter_map(|(region, remote)| self.remote_candidate(wish, region, remote)),
            );
        }
        let view = View {
            candidates: &candidates,
            weights: wish.config.weights,
            left: wish.job.max_wait(wish.now),
        };
        let choice = self.policy.pick(&view);
        Decision { choice, candidates }
    }

    /// Collects candidates from those of `servers` that may run the request now.
    fn collect_candidates<'a>(
        &self,
        wish: &Query<'_>,
        servers: impl IntoIterator<Item = &'a Backend>,
        found: &mut Vec<Candidate>,
    ) {
        let Query {
            now,
            config,
            plan,
            job,
            home,
        } = *wish;
        let mine = &self.table.me.region;
        let usable: Vec<&Backend> = servers
            .into_iter()
            .filter(|b| plan.permits_backend(b))
            .filter(|b| self.excluded(now, b).is_none())
            .filter(|b| self.admits(now, config, &plan.service, b))
            .filter(|b| self.limit_wait(now, &b.name, 0.0).is_some())
            .filter(|b| self.has_cap_share(&b.name))
            .filter(|b| !job.tried.contains(&Place::Backend(b.name.clone())))
            .filter(|b| !self.is_avoided(now, b, job.ask.random))
            .collect();
        let usable = self.rollout_candidates(now, &plan.service, job, usable);
        let shared = job.prompt.as_ref().and_then(Prompt::key);
        let prefix = shared.map_or(job.prefix, |part| part.id);
        let affinity = |b: &&&Backend| {
            xxhash_rust::xxh3::xxh3_64_with_seed(b.name.as_str().as_bytes(), prefix)
        };
        let preferred = usable.iter().max_by_key(affinity).map(|b| b.name.clone());
        // The other boxes of the region send to the same servers and have queues of their own.
        let boxes = self.table.ready(now).count() + 1;
        let ahead = match job.position {
            Some(position) => position,
            None => self.queue.ahead(&job.queue_position()),
        };
        let queued_ahead = ahead * boxes / usable.len().max(1);
        // The shares of rate limits, and hence the requests that wait for them, are this box's own.
        let turns = ahead as f64 / usable.len().max(1) as f64;
        let fresh = Server::default();
        let memory = self.memory(&plan.service);
        let sources = self.sources(now, &plan.service, mine, job);
        for backend in &usable {
            let server = self.servers.get(&backend.name).unwrap_or(&fresh);
            let busy = server.busy + self.table.busy(NameHash::of(backend.name.as_str()), now);
            let occupancy = match &server.cap {
                Some(cap) => Occupancy::of_share(cap.share(), server.busy, turns as u64),
                None => {
                    let slots = server.slots(backend.slots, now);
                    Occupancy::of_server(
                        slots,
                        busy,
                        server.busy,
                        boxes as u32,
                        queued_ahead as u64,
                    )
                }
            };
            let Occupancy { slots, free, .. } = occupancy;
            let hold = server.cap.as_ref().map_or(Millis(0), |cap| cap.hold(now));
            let turn = server.limit.wait(turns, now).unwrap_or_default().max(hold);
            // Requests wait here for the shares of such servers, in overload until little time is left.
            let margin = match server.cap {
                Some(_) => Millis(server.first().0 * CAPPED_MARGIN_PERCENT / 100),
                None => Millis(0),
            };
            let slot = match free {
                0 => Millis(server.whole().0 * occupancy.ahead / u64::from(slots)),
                _ => Millis(0),
            };
            let (free, wait) = match turn {
                Millis(0) => (free, slot),
                _ => (0, slot.max(turn)),
            };
            let owner = preferred.as_ref() == Some(&backend.name);
            let (first, burden) = match &job.prompt {
                Some(prompt) => {
                    let short = NameHash::of(backend.name.as_str());
                    let unread = self.cache.unread(prompt, short, memory, now);
                    let supply = Supply::of(sources.as_ref(), backend, unread, server);
                    let first = server.first_token(supply.read, now) + supply.span;
                    let batch = Batch::at(server, busy, plan.max_event_gap(), now);
                    let burden = estimate::burden(prompt, supply.read, server, batch);
                    let burden = burden + estimate::transfer_cost(&supply);
                    (
                        first,
                        burden + estimate::misplacement_cost(prompt, supply.read, owner, server),
                    )
                }
                None => (server.first(), Millis(0)),
            };
            found.push(Candidate {
                place: Place::Backend(backend.name.clone()),
                home: mine == home,
                free,
                load: occupancy.load(),
                risk: Millis(0),
                margin,
                step: Millis(server.whole().0 / u64::from(slots)),
                wait,
                first,
                hop: Millis(0),
                price: backend.price,
                warm: owner || job.prompt.is_some(),
                failing: server.failing(now),
                burden,
            });
        }
        self.penalize_unsampled(now, job, preferred.as_ref(), found);
    }

    fn remote_candidate(
        &self,
        wish: &Query<'_>,
        region: &Region,
        remote: &Remote,
    ) -> Option<Candidate> {
        let Query {
            now,
            config,
            plan,
            job,
            home,
        } = *wish;
        let place = Place::Region(region.clone());
        let short = NameHash::of(plan.service.as_str());
        let closed = !remote.is_open() || remote.is_refusing(short, now);
        if closed || job.tried.contains(&place) {
            return None;
        }
        let usable = |b: &&Backend| plan.permits_backend(b) && !self.leaving(b);
        let servers = self.remote_sample(wish, region).into_iter();
        let usable: Vec<&Backend> = servers.filter(usable).collect();
        let price = usable.iter().map(|b| b.price).reduce(f64::min)?;
        let capacity = remote.digest.services.iter().find(|c| c.service == short)?;
        let (first, burden) = self.remote_prompt_cost(wish, &usable, capacity);
        let hop = config.hop(&self.table.me.region, region);
        let free = remote.free(short, now);
        let (busy, slots) = (capacity.busy + remote.sent(short), capacity.slots.max(1));
        let ahead = u64::from(busy.saturating_sub(slots)) + 1;
        let wait = match free {
            0 => Millis(capacity.whole.0 * ahead / u64::from(slots)),
            _ => Millis(0),
        };
        Some(Candidate {
            place,
            home: region == home,
            free,
            load: f64::from(busy) / f64::from(slots),
            risk: Millis(0),
            margin: Millis(0),
            step: Millis(capacity.whole.0 / u64::from(slots)),
            wait,
            first,
            burden,
            hop,
            price,
            warm: job.prompt.is_some(),
            failing: 0.0,
        })
    }

    /// Samples a few of the backend servers in `found` with free slots for this request and
    /// penalizes the others. The boxes of a region receive the same load reports at the same moment
    /// and would otherwise all choose the server that was least busy then. The `owner` of the
    /// prompt's shared parts differs between prompts and gets no penalty.
    fn penalize_unsampled(
        &self,
        now: Time,
        job: &Job,
        owner: Option<&id::Backend>,
        found: &mut [Candidate],
    ) {
        let long = job.prompt.as_ref().and_then(Prompt::longest);
        // Long prompts are reported to other boxes at once, and cached parts decide where they go.
        if !self.table.has_fresh_usages(now) || long.is_some_and(|part| part.tokens >= cache::LONG)
        {
            return;
        }
        let shared = job.prompt.as_ref().map_or(0, Prompt::shared);
        let owner = owner.filter(|_| shared >= estimate::MIN_OWNED_TOKENS);
        let is_owner = |place: &Place| matches!(place, Place::Backend(name) if Some(name) == owner);
        let open = found.iter_mut().filter(|c| c.free > 0);
        let mut open: Vec<&mut Candidate> = open.filter(|c| !is_owner(&c.place)).collect();
        open.sort_by_key(|c| random_rank(job.ask.random, &c.place));
        for candidate in open.into_iter().skip(SAMPLED) {
            candidate.risk = Millis(candidate.step.0 * UNSAMPLED_PENALTY);
        }
    }

    pub(super) fn leaving(&self, backend: &Backend) -> bool {
        backend.leaving
            || self.evacuated.contains(&backend.domain)
            || self.is_listed(&backend.address)
    }

    /// Reports whether the platform's list marks `address` as leaving, as seen by this box or by a
    /// live box of its region.
    fn is_listed(&self, address: &SocketAddr) -> bool {
        self.listed.contains(address) || self.table.is_listed(address)
    }

    /// Returns the reason why `backend` gets no new work at `now`, if there is one.
    pub(super) fn excluded(&self, now: Time, backend: &Backend) -> Option<Exclusion> {
        if backend.leaving {
            return Some(match self.fleet.is_departing(&backend.name) {
                true => Exclusion::Departing,
                false => Exclusion::Configured,
            });
        }
        if self.evacuated.contains(&backend.domain) {
            return Some(Exclusion::Evacuated);
        }
        if self.is_listed(&backend.address) {
            return Some(Exclusion::Listed);
        }
        if self.rollouts.bars(backend, now) || self.awaits_order(backend) {
            return Some(Exclusion::Release);
        }
        let bar = self.servers.get(&backend.name)?.block(now)?;
        Some(Exclusion::Barred(bar))
    }
}
