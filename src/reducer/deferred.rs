//! Streams that were taken off a silent backend server and rejected elsewhere.
//!
//! Nothing but another attempt can finish such an answer, so the request is not given up before its
//! deadline. The attempts count like all others, so each waits until the retry budget has one left.
//!
//! Load pattern: a server that falls silent leaves tens of streams at once. If the others are full,
//! every stream is rejected within milliseconds and would be again, so that all boxes together send
//! several times what the budget allows.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    id::{self, Service},
    policy::Policy,
    reducer::{State, TICK, effect::Effect, job::Stage},
    retry::Outcome,
    unit::{Millis, Time},
};

/// Time between two attempts for the deferred streams of a service while they are rejected.
const REJECTED_INTERVAL: Millis = TICK;
/// The same while the budget has no attempt to spare: one for each stream is kept until a slot is
/// free.
const SCARCE_INTERVAL: Millis = Millis(400);
/// Number of streams that no place takes after which no more are tried.
const MAX_BLOCKED: usize = 8;

/// The deferred streams of one service, those that wait longest first.
#[derive(Debug, Default)]
struct Line {
    requests: VecDeque<id::Request>,
    /// The last rejection, or the last attempt after it; `None` once an attempt is accepted.
    rejected_at: Option<Time>,
}

impl Line {
    /// Reports whether an attempt may be made now, of which the budget has `left`.
    fn is_due(&self, left: f64, now: Time) -> bool {
        let waiting = self.requests.len();
        let interval = match left > waiting as f64 {
            true => REJECTED_INTERVAL,
            false => SCARCE_INTERVAL,
        };
        let is_paced = self.rejected_at.is_some_and(|at| now.since(at) < interval);
        waiting > 0 && left >= 1.0 && !is_paced
    }
}

/// All deferred streams.
#[derive(Debug, Default)]
pub(super) struct Deferred(BTreeMap<Service, Line>);

impl Deferred {
    /// Returns the number of deferred streams.
    pub(super) fn len(&self) -> usize {
        self.0.values().map(|line| line.requests.len()).sum()
    }

    /// Returns the number of deferred streams of `service`.
    pub(super) fn waiting(&self, service: &Service) -> usize {
        self.0.get(service).map_or(0, |line| line.requests.len())
    }

    /// Returns the services that have deferred streams.
    pub(super) fn services(&self) -> Vec<Service> {
        let waiting = self.0.iter().filter(|(_, line)| !line.requests.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Removes a request that ended.
    pub(super) fn remove(&mut self, service: &Service, request: id::Request) {
        if let Some(line) = self.0.get_mut(service) {
            line.requests.retain(|waiting| *waiting != request);
        }
    }

    fn pop(&mut self, service: &Service) -> Option<id::Request> {
        self.0.get_mut(service)?.requests.pop_front()
    }

    /// Puts requests back that were taken from the front, in their order.
    fn put_back(&mut self, service: &Service, requests: Vec<id::Request>) {
        if let Some(line) = self.0.get_mut(service) {
            for request in requests.into_iter().rev() {
                line.requests.push_front(request);
            }
        }
    }

    /// Records an attempt at `now`: while attempts are rejected, the next one waits.
    fn record_attempt(&mut self, service: &Service, now: Time) {
        let line = self.0.get_mut(service);
        if let Some(at) = line.and_then(|line| line.rejected_at.as_mut()) {
            *at = now;
        }
    }

    /// Records that an attempt for a deferred stream was accepted.
    pub(super) fn record_accepted(&mut self, service: &Service) {
        if let Some(line) = self.0.get_mut(service) {
            line.rejected_at = None;
        }
    }
}

impl<P: Policy> State<P> {
    /// Defers a stream that was rejected at `now`.
    pub(super) fn defer(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        // The beginning of its answer may have ended the watch on its deadline.
        self.deadlines.insert((job.deadline, request));
        let service = job.service.clone();
        let line = self.deferred.0.entry(service.clone()).or_default();
        line.requests.push_back(request);
        line.rejected_at = Some(now);
        self.report_retry(now, request, &service, Outcome::Deferred, out);
    }

    /// Sends deferred streams of `service` on, as far as places and the retry budget allow.
    pub(super) fn serve_deferred(&mut self, now: Time, service: &Service, out: &mut Vec<Effect>) {
        let mut blocked = Vec::new();
        while blocked.len() < MAX_BLOCKED && self.may_serve_deferred(now, service) {
            let Some(request) = self.deferred.pop(service) else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            job.position = Some(0);
            if !self.try_place(now, request, out) {
                blocked.push(request);
            } else if self.is_sent(request) {
                self.budgets.spend(service, now);
                self.report_retry(now, request, service, Outcome::Granted, out);
                self.deferred.record_attempt(service, now);
            }
        }
        self.deferred.put_back(service, blocked);
    }

    /// Reports whether an attempt for a deferred stream may be made now.
    fn may_serve_deferred(&mut self, now: Time, service: &Service) -> bool {
        let Some(line) = self.deferred.0.get(service) else {
            return false;
        };
        let left = self.budgets.balance(service, now).left();
        line.is_due(left, now)
    }

    fn is_sent(&self, request: id::Request) -> bool {
        let job = self.jobs.get(&request);
        job.is_some_and(|job| matches!(job.stage, Stage::Sent { .. }))
    }
}
