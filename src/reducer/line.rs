//! Requests that wait in line, and who goes first when a slot is free.
//!
//! A request that can still begin in time goes before one that cannot any more: under overload
//! most are then served in time and the rest late, instead of all late.

use crate::{
    id::{self, Service},
    policy::Policy,
    queue::{Rank, Spot},
    reducer::{
        State,
        effect::{Effect, Reply},
        event::Hop,
        job::{self, Job, SOON},
    },
    unit::{Millis, Time},
};

/// Waiting requests without a place that are looked at in one go.
const SCAN: usize = 8;
/// The part of its time after which a request that is late already is given up while it waits: its
/// caller can then still come again.
const GIVE_UP: f64 = 0.4;
/// How long a request of another region waits here: about the way back. Its own region may have room again, and it
/// waits there among those that it is as old as.
const RELAYED_WAIT: Millis = Millis(150);
/// How long a request that was passed here, and has no place in this region, waits for a send of its
/// key by the caller itself, which may go to another region: sends that set out together come within
/// some 100 ms of each other on a busy machine.
const DIRECT_WAIT: Millis = Millis(250);
/// Bounds of the time after which the caller of a refused request should come back, where its
/// route says how soon an answer should begin.
const COME_BACK: (Millis, Millis) = (Millis(400), Millis(1500));

impl Job {
    /// Where it stands in line.
    pub(super) fn spot(&self) -> Spot {
        Spot {
            line: self.line.clone(),
            service: self.service.clone(),
            priority: self.priority,
            customer: self.ask.customer.clone(),
        }
    }

    /// Whether its answer cannot begin in time any more.
    fn is_late(&self, now: Time) -> bool {
        self.target.is_some_and(|target| now >= self.came + target)
    }

    /// How long it would wait for a place: a fresh request for one where it is in time, and one that
    /// was let in to its end.
    pub(super) fn patience(&self, now: Time) -> Millis {
        let left = self.deadline.since(now);
        let fresh = self.position.is_none() && self.attempts == 0;
        match self.target.filter(|_| fresh) {
            Some(target) => left.min(target),
            None => left,
        }
    }

    /// Whether it may wait although no place can take it now: a refusal is still early enough for
    /// its caller to come again in time.
    pub(super) fn may_linger(&self, now: Time) -> bool {
        let quarter = self.target.map(|target| Millis(target.0 / 4));
        quarter.is_some_and(|quarter| now < self.came + quarter)
    }

    /// Whether a send of its key may still come here straight from the caller: this one was passed here
    /// by another box, and has no place in this region.
    pub(super) fn awaits_direct(&self, now: Time) -> bool {
        self.hop == Hop::Pass && now < self.came + DIRECT_WAIT
    }

    /// Whether it is sent back to the region that it came from.
    fn is_returned(&self, now: Time) -> bool {
        matches!(self.hop, Hop::Relay(_)) && now >= self.came + RELAYED_WAIT && !self.moved
    }

    /// When it is given up while it waits.
    fn given_up_at(&self) -> Time {
        let whole = self.deadline.since(self.came).0 as f64;
        self.came + Millis((whole * GIVE_UP) as u64)
    }

    /// Whether its answer could still begin in time after `wait`.
    pub(super) fn bears(&self, wait: Millis, now: Time) -> bool {
        let target = self.target.map(|target| self.came + target);
        now + wait < target.unwrap_or(self.deadline).min(self.deadline)
    }

    /// When its caller should come back after a refusal, where nothing can take it for `wait`: not before, and
    /// spread over half as long again.
    pub(super) fn come_back_after(&self, wait: Millis) -> Millis {
        let wait = wait.max(COME_BACK.0);
        Millis(wait.0 + wait.0 * (self.ask.draw % 1024) / 2048)
    }

    /// When its caller should come back after a refusal, where it would have had its turn at a limited
    /// backend server after `wait`.
    pub(super) fn next_turn(&self, wait: Millis) -> Millis {
        job::spread(wait.max(COME_BACK.0).0 as f64, self.ask.draw)
    }

    /// When its caller should come back after a refusal, where it would wait for `wait`: callers
    /// that were refused together come back spread.
    pub(super) fn come_back(&self, wait: Millis) -> Millis {
        if self.target.is_none() {
            return wait.max(SOON);
        }
        let wait = wait.clamp(COME_BACK.0, COME_BACK.1);
        job::spread(wait.0 as f64, self.ask.draw)
    }
}

impl<P: Policy> State<P> {
    /// Lets a request wait, at the end of its customer's queue.
    pub(super) fn enqueue(&mut self, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.position = Some(SCAN);
        let (spot, verdict, wait) = (job.spot(), job.verdict(), job.come_back(SOON));
        if !self.queue.push(&spot, request) {
            let reply = Reply::new(503, verdict, "too many requests wait").after(wait);
            return self.finish(request, reply, out);
        }
        let waiting = self.waiting_for(&spot.service);
        out.push(Effect::Queued { request, waiting });
    }

    /// Requests that wait for `service`, late ones included.
    pub(super) fn waiting_for(&self, service: &Service) -> usize {
        self.queue.waiting(service) + self.late.waiting(service)
    }

    /// Gives free slots of a service to those who wait.
    pub(super) fn drain(&mut self, now: Time, service: &Service, out: &mut Vec<Effect>) {
        for line in self.queue.lines(service) {
            self.drain_line(now, &line, out);
        }
        for line in self.late.lines(service) {
            self.drain_late(now, &line, out);
        }
    }

    fn drain_line(&mut self, now: Time, line: &Rank, out: &mut Vec<Effect>) {
        let mut stuck = Vec::new();
        while stuck.len() < SCAN {
            let Some(request) = self.queue.pop(line) else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            if job.is_returned(now) {
                let reply = Reply::new(503, job.verdict(), "no slot was free in this region");
                self.finish(request, reply, out);
                continue;
            }
            if job.is_late(now) {
                let spot = job.spot();
                self.late.push(&spot, request);
                continue;
            }
            job.position = Some(stuck.len());
            if !self.place(now, request, out) {
                stuck.push(request);
            }
        }
        for request in stuck.into_iter().rev() {
            if let Some(job) = self.jobs.get(&request) {
                self.queue.put_back(&job.spot(), request);
            }
        }
    }

    /// Serves late requests of a line once nobody in it can still be in time.
    fn drain_late(&mut self, now: Time, line: &Rank, out: &mut Vec<Effect>) {
        while let Some(request) = self.late.pop(line) {
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            if now >= job.given_up_at() && !job.moved {
                let (verdict, wait) = (job.verdict(), job.come_back(SOON));
                let reply = Reply::new(503, verdict, "no slot was free in time").after(wait);
                self.finish(request, reply, out);
                continue;
            }
            let spot = job.spot();
            job.position = Some(0);
            let others_first = self.queue.ahead(&spot) > 0;
            if others_first || !self.place(now, request, out) {
                self.late.put_back(&spot, request);
                return;
            }
        }
    }

    pub(super) fn drain_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut services = self.queue.services();
        services.extend(self.late.services());
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.drain(now, &service, out);
        }
    }
}
