//! Which runs leave an engine first, and where they go.

use crate::{
    config::Backend,
    id,
    memory::Engine,
    policy::{Place, Policy},
    reducer::{
        State,
        effect::Site,
        job::{Job, Spot, Stage},
        place::drawn,
    },
    server::Server,
    unit::{Millis, Time},
    wire::Short,
};

use super::Step;

/// Runs that one box moves off one engine at once: they share its link, and each takes a slot and
/// memory elsewhere from its first copy on.
const AT_ONCE: usize = 4;
/// Engines that are asked to take one request: each try takes memory there.
const MAX_REFUGES: usize = 3;
/// Copies that a move takes the time of: the two links are shared, and between failure domains a
/// copy takes twice as long.
const COPIES: u64 = 2;
/// What a move takes besides its copies: two calls, and the request's way to its next engine.
const CALLS: Millis = Millis(60);
/// The worth of a token of the answer, in tokens of the prompt.
const OUTPUT_WORTH: f64 = 10.0;
/// Engines that are drawn for a run; the less busy one gets it.
const DRAWN: usize = 2;

fn site(backend: &Backend) -> Site {
    Site {
        name: backend.name.clone(),
        address: backend.address,
    }
}

/// How long it takes to move the run of `job`.
fn moving_time(job: &Job, engine: &Engine) -> Millis {
    let output = job.prompt.as_ref().map_or(0, |prompt| prompt.output);
    let copy = engine.transfer(job.tokens().saturating_add(output));
    copy.map_or(Millis(0), |copy| Millis(copy.0 * COPIES)) + CALLS
}

/// What a run is worth for each millisecond that its move takes.
fn worth(job: &Job, engine: &Engine) -> f64 {
    let output = job.prompt.as_ref().map_or(0, |prompt| prompt.output);
    let worth = f64::from(job.tokens()) + OUTPUT_WORTH * f64::from(output);
    worth / moving_time(job, engine).0.max(1) as f64
}

impl<P: Policy> State<P> {
    /// Whether the stream of `job` at `place` may go on at another engine with its memory.
    pub(in crate::reducer) fn is_movable(&self, job: &Job, place: &Place) -> bool {
        let moves = self.engine(&job.service).is_some_and(|engine| engine.moves);
        moves && job.stream && !job.owns_key && matches!(place, Place::Backend(_))
    }

    /// Requests whose run is to be stopped, where no call is under way.
    pub(super) fn due_runs(&self) -> Vec<id::Request> {
        let due = |job: &Job| {
            let transfer = job.transfer.as_ref();
            transfer.is_some_and(|t| matches!(t.step, Step::Due(_)))
        };
        let jobs = self.jobs.iter().filter(|(_, job)| due(job));
        let mut due: Vec<id::Request> = jobs.map(|(request, _)| *request).collect();
        due.sort_unstable();
        due
    }

    /// The runs at `source` whose move begins now: as many as there is room for, those first that
    /// are worth most in the time that it takes.
    pub(super) fn runs_to_move(
        &self,
        now: Time,
        source: &id::Backend,
        end: Time,
    ) -> Vec<id::Request> {
        let moving = |job: &&Job| {
            let transfer = job.transfer.as_ref();
            transfer.is_some_and(|t| t.is_calling() && t.source.name == *source)
        };
        let room = AT_ONCE.saturating_sub(self.jobs.values().filter(moving).count());
        if room == 0 {
            return vec![];
        }
        let mut runs: Vec<(f64, id::Request)> = Vec::new();
        for (request, job) in &self.jobs {
            let Some(engine) = self.engine(&job.service) else {
                continue;
            };
            let place = Place::Backend(source.clone());
            let fresh = job.transfer.is_none() && job.refuges.len() < MAX_REFUGES;
            let here = job.streams_at(source) && self.is_movable(job, &place);
            if fresh && here && now + moving_time(job, &engine) <= end {
                runs.push((worth(job, &engine), *request));
            }
        }
        runs.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.cmp(y)));
        runs.truncate(room);
        runs.into_iter().map(|(_, request)| request).collect()
    }

    /// The engine that runs a request, and another that may go on with it.
    pub(super) fn refuge(
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
        // The run goes nowhere where a new request may not go.
        if plan.service != job.service || !plan.permits(mine) {
            return None;
        }
        let fit = self.fleet.serving(&job.service, mine);
        let fit = fit.filter(|b| plan.allows(b) && b.release == source.release);
        let fit = fit.filter(|b| self.takes_run(now, job, b));
        let mut fit: Vec<(&Backend, u32)> = fit
            .map(|b| (b, self.free_for_runs(now, b)))
            .filter(|(_, free)| *free > 0)
            .collect();
        let near = |b: &Backend| b.domain == source.domain;
        if fit.iter().any(|(b, _)| near(b)) {
            fit.retain(|(b, _)| near(b));
        }
        let draw = job.ask.draw.wrapping_add(job.refuges.len() as u64);
        fit.sort_by_key(|(b, _)| drawn(draw, &Place::Backend(b.name.clone())));
        let chosen = fit.into_iter().take(DRAWN).max_by_key(|(_, free)| *free);
        chosen.map(|(target, _)| (site(source), site(target)))
    }

    /// Whether `backend` may get a run of `job` at all.
    fn takes_run(&self, now: Time, job: &Job, backend: &Backend) -> bool {
        let place = Place::Backend(backend.name.clone());
        let failed = self.servers.get(&backend.name).and_then(Server::failed_at);
        self.excluded(now, backend).is_none()
            && failed.is_none()
            && !self.counts_as_cold(now, &backend.name)
            && self.limit_wait(now, &backend.name, 0.0) == Some(Millis(0))
            && !self.is_shunned(now, backend, job.ask.draw)
            && !job.tried.contains(&place)
            && !job.refuges.contains(&backend.name)
    }

    /// Slots of `backend` that nobody uses, as far as this box knows, those left out that it has
    /// reserved for runs on their way.
    fn free_for_runs(&self, now: Time, backend: &Backend) -> u32 {
        let fresh = Server::default();
        let server = self.servers.get(&backend.name).unwrap_or(&fresh);
        let others = self.table.busy(Short::of(backend.name.as_str()), now);
        let reserves = |job: &&Job| {
            let transfer = job.transfer.as_ref();
            transfer.is_some_and(|t| t.reserves(&backend.name))
        };
        let reserved = self.jobs.values().filter(reserves).count() as u32;
        let slots = server.slots(backend.slots, now);
        slots.saturating_sub(server.busy + others + reserved)
    }
}

impl Job {
    /// Whether its stream has begun and comes from `source`.
    fn streams_at(&self, source: &id::Backend) -> bool {
        matches!(
            &self.stage,
            Stage::Sent {
                spot: Spot::Chosen(Place::Backend(name), _),
                begun: Some(_),
                ..
            } if name == source
        )
    }
}
