//! What the answers of backend servers say of the release that they run.
//!
//! Load pattern: a release that is rolled out has empty caches, cold servers and a small part of the requests,
//! so that plain means would call a good one slow. A time counts as slow beside what is typical of the same
//! route and the same work, both sides by the same measure; servers that are cold or ended say nothing.

use crate::{
    config::Backend,
    id::{self, Service},
    policy::{Place, Policy},
    reducer::{
        State,
        event::Cause,
        job::{Spot, Stage},
        outcome::Held,
        rollout::Rollouts,
        watch::Watch,
    },
    unit::{Millis, Time},
    wire::{Short, Trial},
};

/// Broken attempts that are remembered while their server is knocked at.
const MAX_BROKEN: usize = 128;
/// Kinds of times that are remembered: a route has about ten.
const MAX_TYPICAL: usize = 4096;
/// Smallest work that is told apart from less, in tokens, as a power of two.
const LEAST_WORK: u32 = 8;

/// What a time is typical of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Timed {
    /// The beginning of an answer on a route, after so much work.
    First(Service, u32),
    /// The rest of an answer of about this length.
    Rest(Service, u32),
}

/// How often `size` doubles beyond the smallest.
fn doublings(size: u32) -> u32 {
    (u32::BITS - size.leading_zeros()).saturating_sub(LEAST_WORK)
}

impl Rollouts {
    /// Counts an answer of `backend` to a request on `route`.
    fn count(&mut self, service: &Service, route: &Service, backend: &Backend, bad: bool) {
        let Some(watch) = self.watches.get_mut(service).filter(|w| w.is_open()) else {
            return;
        };
        let Some(order) = watch.entry.order.as_ref().map(|order| order.revision) else {
            return;
        };
        if watch.is_unproven(backend) {
            return;
        }
        let is_new = watch.is_new(backend);
        let key = Short::of(route.as_str());
        let trial = watch.trials.entry(key).or_insert(Trial {
            service: Short::of(service.as_str()),
            order,
            route: key,
            age: Millis(0),
            old: Default::default(),
            new: Default::default(),
            seen: 0,
            failing: 0,
        });
        if !is_new {
            return trial.old.add(bad);
        }
        let bit = 1 << (Short::of(backend.name.as_str()).0 % u64::BITS);
        trial.new.add(bad);
        trial.seen |= bit;
        trial.failing |= if bad { bit } else { 0 };
    }

    /// The longest time that is not slow for what `timed` speaks of. Where nothing of this size was seen, less
    /// work tells: reading twice as much takes twice as long at most.
    fn bound(&self, timed: &Timed) -> Option<Millis> {
        let (at, size) = match timed {
            Timed::First(_, size) | Timed::Rest(_, size) => (timed, *size),
        };
        (0..=size).rev().find_map(|less| {
            let smaller = match at {
                Timed::First(route, _) => Timed::First(route.clone(), less),
                Timed::Rest(route, _) => Timed::Rest(route.clone(), less),
            };
            let scale = f64::from(1_u32 << (size - less).min(16));
            self.typical.get(&smaller)?.bound(scale)
        })
    }

    fn learn(&mut self, timed: Timed, took: Millis) {
        if self.typical.len() >= MAX_TYPICAL && !self.typical.contains_key(&timed) {
            self.typical.clear();
        }
        self.typical.entry(timed).or_default().learn(took);
    }
}

impl<P: Policy> State<P> {
    /// Notes that an answer began.
    pub(super) fn judge_begun(&mut self, now: Time, request: id::Request, held: &Held) {
        let took = now.since(held.at);
        let work = doublings(held.work);
        let timed = |route: &Service| Timed::First(route.clone(), work);
        self.judge_time(now, request, held, timed, took, false);
    }

    /// Notes that an answer ended whole.
    pub(super) fn judge_ended(&mut self, now: Time, request: id::Request, held: &Held) {
        let took = now.since(held.begun.unwrap_or(held.at));
        let job = self.jobs.get(&request);
        let output = job
            .and_then(|job| job.prompt.as_ref())
            .map_or(0, |p| p.output);
        let timed = |route: &Service| Timed::Rest(route.clone(), doublings(output));
        self.judge_time(now, request, held, timed, took, true);
    }

    /// Judges a time, and learns from it; an answer that is not `over` counts only where it is slow already.
    fn judge_time(
        &mut self,
        now: Time,
        request: id::Request,
        held: &Held,
        timed: impl Fn(&Service) -> Timed,
        took: Millis,
        over: bool,
    ) {
        let Spot::Chosen(Place::Backend(name), _) = &held.spot else {
            return;
        };
        let (Some(job), Some(backend)) = (self.jobs.get_mut(&request), self.fleet.get(name)) else {
            return;
        };
        let timed = timed(&job.line);
        // Servers that are cold are slow by rule, whatever they run.
        let cold = self.fleet.is_cold(name, held.at);
        let slow = !cold
            && self
                .rollouts
                .bound(&timed)
                .is_some_and(|bound| took > bound);
        if (slow || over) && !std::mem::replace(&mut job.judged, true) {
            self.rollouts.count(&job.service, &job.line, backend, slow);
        }
        if !cold && !self.rollouts.is_on_trial(&job.service, backend, now) {
            self.rollouts.learn(timed, took);
        }
    }

    /// Notes that an attempt failed.
    pub(super) fn judge_failed(&mut self, request: id::Request, spot: &Spot, cause: Cause) {
        let Spot::Chosen(Place::Backend(name), _) = spot else {
            return;
        };
        let (Some(job), Some(backend)) = (self.jobs.get_mut(&request), self.fleet.get(name)) else {
            return;
        };
        if self.rollouts.watches.is_empty() || job.judged {
            return;
        }
        match cause {
            Cause::Errored | Cause::Silent => {
                job.judged = true;
                self.rollouts.count(&job.service, &job.line, backend, true);
            }
            // A server that ended breaks all that it ran at once, which says nothing of its answers.
            Cause::Broken => {
                let broken = self.rollouts.broken.entry(name.clone()).or_default();
                if broken.len() < MAX_BROKEN {
                    broken.push((job.service.clone(), job.line.clone()));
                }
            }
            _ => {}
        }
    }

    /// Counts what broke at a server that was knocked at, where it still runs.
    pub(super) fn judge_broken(&mut self, name: &id::Backend, closed: bool) {
        let broken = self.rollouts.broken.remove(name);
        let Some(backend) = self.fleet.get(name).filter(|_| !closed) else {
            return;
        };
        for (service, route) in broken.into_iter().flatten() {
            self.rollouts.count(&service, &route, backend, true);
        }
    }

    /// Counts what should have begun by now as slow.
    pub(super) fn judge_overdue(&mut self, now: Time) {
        let mut overdue = Vec::new();
        for (request, job) in &self.jobs {
            let Stage::Sent {
                spot: Spot::Chosen(Place::Backend(name), _),
                at,
                work,
                begun: None,
                ..
            } = &job.stage
            else {
                continue;
            };
            let watched = self.rollouts.watches.get(&job.service);
            if job.judged || !watched.is_some_and(Watch::is_open) || self.fleet.is_cold(name, *at) {
                continue;
            }
            let timed = Timed::First(job.line.clone(), doublings(*work));
            let bound = self.rollouts.bound(&timed);
            if bound.is_some_and(|bound| now.since(*at) > bound) {
                overdue.push((*request, name.clone()));
            }
        }
        for (request, name) in overdue {
            let (Some(job), Some(backend)) = (self.jobs.get_mut(&request), self.fleet.get(&name))
            else {
                continue;
            };
            job.judged = true;
            self.rollouts.count(&job.service, &job.line, backend, true);
        }
    }
}
