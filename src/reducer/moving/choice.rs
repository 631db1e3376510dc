//! Chooses the runs that are moved off a leaving engine first, and their targets.

use crate::{
    config::Backend,
    id,
    memory::Engine,
    policy::{Place, Policy},
    reducer::{
        State,
        effect::Site,
        job::{Assignment, Job, Stage},
        place::random_rank,
    },
    server::Server,
    unit::{Millis, Time},
    wire::NameHash,
};

use super::{Step, Transfer};

/// Runs that one box moves off one engine concurrently: they share its link, and each takes a slot
/// and memory elsewhere from its first copy on.
const MAX_CONCURRENT_MOVES: usize = 4;
/// Targets that are tried for one request: each try takes memory there.
const MAX_TARGETS: usize = 3;
/// Multiple of the copy time that a move takes: the two links are shared, and a copy between
/// failure domains takes twice as long.
const COPY_TIME_FACTOR: u64 = 2;
/// Time of a move besides its copies: two calls, and the sending of the request to its next engine.
const CALL_OVERHEAD: Millis = Millis(60);
/// Value of a token of the answer, in tokens of the prompt.
const OUTPUT_TOKEN_VALUE: f64 = 10.0;
/// Engines sampled for a run, of which the less busy one gets it.
const SAMPLED_ENGINES: usize = 2;

fn site(backend: &Backend) -> Site {
    Site {
        name: backend.name.clone(),
        address: backend.address,
    }
}

/// Returns the estimated time to move the run of `job`.
fn moving_time(job: &Job, engine: &Engine) -> Millis {
    let output = job.prompt.as_ref().map_or(0, |prompt| prompt.output);
    let copy = engine.transfer(job.tokens().saturating_add(output));
    copy.map_or(Millis(0), |copy| Millis(copy.0 * COPY_TIME_FACTOR)) + CALL_OVERHEAD
}

/// Returns the value of a run per millisecond of its move.
fn value_per_ms(job: &Job, engine: &Engine) -> f64 {
    let output = job.prompt.as_ref().map_or(0, |prompt| prompt.output);
    let value = f64::from(job.tokens()) + OUTPUT_TOKEN_VALUE * f64::from(output);
    value / moving_time(job, engine).0.max(1) as f64
}

impl<P: Policy> State<P> {
    /// Reports whether the stream of `job` at `place` may resume at another engine with its memory.
    pub(in crate::reducer) fn is_movable(&self, job: &Job, place: &Place) -> bool {
        let moves = self.engine(&job.service).is_some_and(|engine| engine.moves);
        moves && job.stream && !job.owns_key && matches!(place, Place::Backend(_))
    }

    /// Returns the requests whose run is to be stopped and that have no call in flight.
    pub(super) fn runs_to_stop(&self) -> Vec<id::Request> {
        let is_due = |job: &Job| {
            let transfer = job.transfer.as_ref();
            transfer.is_some_and(|t| matches!(t.step, Step::StopPending(_)))
        };
        let jobs = self.jobs.iter().filter(|(_, job)| is_due(job));
        let mut requests: Vec<id::Request> = jobs.map(|(request, _)| *request).collect();
        requests.sort_unstable();
        requests
    }

    /// Returns the runs at `source` whose move begins now, up to the limit of concurrent moves,
    /// ordered by their value per time that the move takes.
    pub(super) fn runs_to_move(
        &self,
        now: Time,
        source: &id::Backend,
        end: Time,
    ) -> Vec<id::Request> {
        let moving = |job: &&Job| {
            let transfer = job.transfer.as_ref();
            let under_way = |t: &Transfer| t.is_calling() || t.is_postponed();
            transfer.is_some_and(|t| under_way(t) && t.source.name == *source)
        };
        let capacity =
            MAX_CONCURRENT_MOVES.saturating_sub(self.jobs.values().filter(moving).count());
        if capacity == 0 {
            return vec![];
        }
        let mut runs: Vec<(f64, id::Request)> = Vec::new();
        for (request, job) in &self.jobs {
            let Some(engine) = self.engine(&job.service) else {
                continue;
            };
            let place = Place::Backend(source.clone());
            let can_start = job.transfer.is_none() && job.move_targets.len() < MAX_TARGETS;
            let here = job.streams_at(source) && self.is_movable(job, &place);
            if can_start && here && now + moving_time(job, &engine) <= end {
                runs.push((value_per_ms(job, &engine), *request));
            }
        }
        runs.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.cmp(y)));
        runs.truncate(capacity);
        runs.into_iter().map(|(_, request)| request).collect()
    }

    /// Returns the engine that runs a request, and another one that may resume it.
    pub(super) fn choose_target(
        &self,
        now: Time,
        request: id::Request,
        source: &id::Backend,
    ) -> Option<(Site, Site)> {
        let job = self.jobs.get(&request)?;
        let source = self.fleet.get(source)?;
        let config = self.config.as_ref()?;
        let plan = config.plan(&job.ask).ok()?;
        let mine = &self.table.me.region;
        // A run may not move to where a new request would not be allowed.
        if plan.service != job.service || !plan.permits_region(mine) {
            return None;
        }
        let eligible = self.fleet.serving(&job.service, mine);
        let eligible = eligible.filter(|b| plan.permits_backend(b) && b.release == source.release);
        let eligible = eligible.filter(|b| self.can_take_run(now, job, b));
        let mut eligible: Vec<(&Backend, u32)> = eligible
            .map(|b| (b, self.free_slots(now, b)))
            .filter(|(_, free)| *free > 0)
            .collect();
        let same_domain = |b: &Backend| b.domain == source.domain;
        if eligible.iter().any(|(b, _)| same_domain(b)) {
            eligible.retain(|(b, _)| same_domain(b));
        }
        let draw = job.ask.random.wrapping_add(job.move_targets.len() as u64);
        eligible.sort_by_key(|(b, _)| random_rank(draw, &Place::Backend(b.name.clone())));
        let chosen = eligible
            .into_iter()
            .take(SAMPLED_ENGINES)
            .max_by_key(|(_, free)| *free);
        chosen.map(|(target, _)| (site(source), site(target)))
    }

    /// Reports whether `backend` is eligible for the run of `job`.
    fn can_take_run(&self, now: Time, job: &Job, backend: &Backend) -> bool {
        let place = Place::Backend(backend.name.clone());
        let failed = self.servers.get(&backend.name).and_then(Server::failed_at);
        self.excluded(now, backend).is_none()
            && failed.is_none()
            && !self.counts_as_cold(now, &job.service, &backend.name)
            && self.limit_wait(now, &backend.name, 0.0) == Some(Millis(0))
            && !self.is_avoided(now, backend, job.ask.random)
            && !job.tried.contains(&place)
            && !job.move_targets.contains(&backend.name)
    }

    /// Returns the free slots of `backend`, as far as this box knows, without those reserved for
    /// runs that are being moved there.
    fn free_slots(&self, now: Time, backend: &Backend) -> u32 {
        let fresh = Server::default();
        let server = self.servers.get(&backend.name).unwrap_or(&fresh);
        let others = self.table.busy(NameHash::of(backend.name.as_str()), now);
        let reserves = |job: &&Job| {
            let transfer = job.transfer.as_ref();
            transfer.is_some_and(|t| t.reserves(&backend.name))
        };
        let reserved = self.jobs.values().filter(reserves).count() as u32;
        if let Some(room) = self.cap_room(now, &backend.name) {
            return room.saturating_sub(reserved);
        }
        let slots = server.slots(backend.slots, now);
        slots.saturating_sub(server.busy + others + reserved)
    }
}

impl Job {
    /// Reports whether the stream has begun and comes from `source`.
    fn streams_at(&self, source: &id::Backend) -> bool {
        matches!(
            &self.stage,
            Stage::Sent {
                spot: Assignment::Chosen(Place::Backend(name), _),
                begun: Some(_),
                ..
            } if name == source
        )
    }
}
