//! Judges the release that backend servers run by their answers.
//!
//! Load pattern: a release that is being rolled out has empty caches, cold servers and a small part
//! of the requests, so that plain means would rate a good release as slow. A time counts as slow
//! relative to what is typical of the same route and the same amount of work, by the same measure
//! for both releases. Servers that are cold or have crashed are left out.

use crate::{
    config::Backend,
    id::{self, Service},
    policy::{Place, Policy},
    reducer::{
        State,
        event::Cause,
        job::{Assignment, Stage},
        outcome::InFlight,
        rollout::Rollouts,
        watch::Watch,
    },
    unit::{Millis, Time},
    wire::{NameHash, Trial},
};

/// Maximum number of broken attempts kept for one server while it is probed.
const MAX_BROKEN_PER_SERVER: usize = 128;
/// Maximum number of timing keys; a route has about ten.
const MAX_TIMING_KEYS: usize = 4096;
/// Sizes of up to this many bits, in tokens, are in the smallest class.
const SMALLEST_CLASS_BITS: u32 = 8;

/// A kind of measured time, for which typical values are learned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum TimingKey {
    /// The time to the first byte on a route, by size class of the work.
    First(Service, u32),
    /// The rest of the answer on a route, by size class of its length.
    Rest(Service, u32),
}

/// Returns how often `size` doubles beyond the smallest class.
fn size_class(size: u32) -> u32 {
    (u32::BITS - size.leading_zeros()).saturating_sub(SMALLEST_CLASS_BITS)
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
        let key = NameHash::of(route.as_str());
        let trial = watch.trials.entry(key).or_insert(Trial {
            service: NameHash::of(service.as_str()),
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
        let bit = 1 << (NameHash::of(backend.name.as_str()).0 % u64::BITS);
        trial.new.add(bad);
        trial.seen |= bit;
        trial.failing |= if bad { bit } else { 0 };
    }

    /// Returns the longest time that is not slow for `timing`. If this size class has no bound yet,
    /// scales up that of the next smaller class that has one: reading twice as much takes at most
    /// twice as long.
    fn bound(&self, timing: &TimingKey) -> Option<Millis> {
        let (at, size) = match timing {
            TimingKey::First(_, size) | TimingKey::Rest(_, size) => (timing, *size),
        };
        (0..=size).rev().find_map(|smaller_size| {
            let smaller = match at {
                TimingKey::First(route, _) => TimingKey::First(route.clone(), smaller_size),
                TimingKey::Rest(route, _) => TimingKey::Rest(route.clone(), smaller_size),
            };
            let scale = f64::from(1_u32 << (size - smaller_size).min(16));
            self.typical.get(&smaller)?.bound(scale)
        })
    }

    fn learn(&mut self, timing: TimingKey, took: Millis) {
        if self.typical.len() >= MAX_TIMING_KEYS && !self.typical.contains_key(&timing) {
            self.typical.clear();
        }
        self.typical.entry(timing).or_default().learn(took);
    }
}

impl<P: Policy> State<P> {
    /// Judges the time to the first byte of an answer that just began.
    pub(super) fn judge_begun(&mut self, now: Time, request: id::Request, in_flight: &InFlight) {
        let took = now.since(in_flight.at);
        let work = size_class(in_flight.work);
        let timing = |route: &Service| TimingKey::First(route.clone(), work);
        self.judge_time(now, request, in_flight, timing, took, false);
    }

    /// Judges the remaining time of an answer that ended complete.
    pub(super) fn judge_ended(&mut self, now: Time, request: id::Request, in_flight: &InFlight) {
        let took = now.since(in_flight.begun.unwrap_or(in_flight.at));
        let job = self.jobs.get(&request);
        let output = job
            .and_then(|job| job.prompt.as_ref())
            .map_or(0, |p| p.output);
        let timing = |route: &Service| TimingKey::Rest(route.clone(), size_class(output));
        self.judge_time(now, request, in_flight, timing, took, true);
    }

    /// Judges a time and learns from it. An answer that is not `over` is counted only if it is slow
    /// already.
    fn judge_time(
        &mut self,
        now: Time,
        request: id::Request,
        in_flight: &InFlight,
        timing: impl Fn(&Service) -> TimingKey,
        took: Millis,
        over: bool,
    ) {
        let Assignment::Chosen(Place::Backend(name), _) = &in_flight.spot else {
            return;
        };
        let (Some(job), Some(backend)) = (self.jobs.get_mut(&request), self.fleet.get(name)) else {
            return;
        };
        let timing = timing(&job.line);
        // Cold servers are slow whatever release they run.
        let cold = self.fleet.is_cold(name, in_flight.at);
        let slow = !cold
            && self
                .rollouts
                .bound(&timing)
                .is_some_and(|bound| took > bound);
        if (slow || over) && !std::mem::replace(&mut job.judged, true) {
            self.rollouts.count(&job.service, &job.line, backend, slow);
        }
        if !cold && !self.rollouts.is_on_trial(&job.service, backend, now) {
            self.rollouts.learn(timing, took);
        }
    }

    /// Judges an attempt that failed.
    pub(super) fn judge_failed(&mut self, request: id::Request, spot: &Assignment, cause: Cause) {
        let Assignment::Chosen(Place::Backend(name), _) = spot else {
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
            // A server that crashed breaks all of its attempts at once, which says nothing of its
            // answers. The count waits for the result of the probe.
            Cause::Broken => {
                let broken = self.rollouts.broken.entry(name.clone()).or_default();
                if broken.len() < MAX_BROKEN_PER_SERVER {
                    broken.push((job.service.clone(), job.line.clone()));
                }
            }
            _ => {}
        }
    }

    /// Counts the attempts that broke at a probed server as bad if the server still runs.
    pub(super) fn judge_broken(&mut self, name: &id::Backend, closed: bool) {
        let broken = self.rollouts.broken.remove(name);
        let Some(backend) = self.fleet.get(name).filter(|_| !closed) else {
            return;
        };
        for (service, route) in broken.into_iter().flatten() {
            self.rollouts.count(&service, &route, backend, true);
        }
    }

    /// Counts answers that should have begun by now as slow.
    pub(super) fn judge_overdue(&mut self, now: Time) {
        let mut overdue = Vec::new();
        for (request, job) in &self.jobs {
            let Stage::Sent {
                spot: Assignment::Chosen(Place::Backend(name), _),
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
            let timing = TimingKey::First(job.line.clone(), size_class(*work));
            let bound = self.rollouts.bound(&timing);
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
