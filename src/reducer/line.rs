//! Queueing of requests, and the order in which they are served when a slot becomes free.
//!
//! A request whose answer can still begin in time goes before one that is already late: under
//! overload most requests are then served in time and the others late, instead of all late.

use crate::{
    id::{self, Region, Service},
    policy::Policy,
    queue::{Position, Rank},
    reducer::{
        State,
        effect::{Effect, Reply},
        event::Hop,
        job::{self, DEFAULT_RETRY_AFTER, Job},
    },
    unit::{Millis, Time},
};

/// Number of requests that cannot be placed after which a scan of one queue stops.
const MAX_BLOCKED: usize = 8;
/// Part of the time between arrival and deadline after which a late request is abandoned while it
/// waits, so that its caller still has time to retry.
const LATE_ABANDON_SHARE: f64 = 0.4;
/// Longest wait of a request that was relayed from another region: about the time of the way back.
/// Its own region may have free slots again, and queues it there among requests of the same age.
const MAX_RELAYED_WAIT: Millis = Millis(150);
/// Longest wait, for a request that another box passed on and that has no place in this region, for
/// a direct send of the same key, which may be relayed to another region. Sends that start together
/// arrive within some 100 ms of each other on a busy machine.
const MAX_DIRECT_WAIT: Millis = Millis(250);
/// Bounds of the retry delay for callers of refused requests. The upper bound applies only if the
/// route sets a target for the beginning of answers.
const RETRY_AFTER_BOUNDS: (Millis, Millis) = (Millis(400), Millis(1500));

impl Job {
    /// Returns the request's position among the queues.
    pub(super) fn queue_position(&self) -> Position {
        Position {
            line: self.line.clone(),
            service: self.service.clone(),
            priority: self.priority,
            customer: self.ask.customer.clone(),
        }
    }

    /// Reports whether the answer can no longer begin in time.
    fn is_late(&self, now: Time) -> bool {
        self.target
            .is_some_and(|target| now >= self.arrived_at + target)
    }

    /// Returns how long the request would wait for a place: up to its target if it is new, and up
    /// to its deadline once it was enqueued or tried.
    pub(super) fn max_wait(&self, now: Time) -> Millis {
        let left = self.deadline.since(now);
        let fresh = self.position.is_none() && self.attempts == 0;
        match self.target.filter(|_| fresh) {
            Some(target) => left.min(target),
            None => left,
        }
    }

    /// Reports whether the request may wait although no place can take it now. In the first quarter
    /// of its target a later refusal still leaves its caller time to retry.
    pub(super) fn may_linger(&self, now: Time) -> bool {
        let quarter = self.target.map(|target| Millis(target.0 / 4));
        quarter.is_some_and(|quarter| now < self.arrived_at + quarter)
    }

    /// Reports whether a direct send of the same key may still arrive for a request that another
    /// box passed on and that has no place in this region.
    pub(super) fn awaits_direct_send(&self, now: Time) -> bool {
        self.hop == Hop::Pass && now < self.arrived_at + MAX_DIRECT_WAIT
    }

    /// Reports whether a request relayed from another region than `mine` is to be refused, which
    /// returns it there. A neighbour that relays has no place of its own.
    fn is_relay_wait_over(&self, mine: &Region, now: Time) -> bool {
        matches!(&self.hop, Hop::Relay(from) if from != mine)
            && now >= self.arrived_at + MAX_RELAYED_WAIT
            && !self.moved
    }

    /// Returns when a late request is abandoned while it waits.
    fn abandon_at(&self) -> Time {
        let whole = self.deadline.since(self.arrived_at).0 as f64;
        self.arrived_at + Millis((whole * LATE_ABANDON_SHARE) as u64)
    }

    /// Reports whether the answer could still begin in time after `wait`.
    pub(super) fn can_wait(&self, wait: Millis, now: Time) -> bool {
        let target = self.target.map(|target| self.arrived_at + target);
        now + wait < target.unwrap_or(self.deadline).min(self.deadline)
    }

    /// Returns the retry delay for a caller if no place accepts the request for `wait`: at least
    /// that long, and spread over half as long again.
    pub(super) fn retry_after_at_least(&self, wait: Millis) -> Millis {
        let wait = wait.max(RETRY_AFTER_BOUNDS.0);
        Millis(wait.0 + wait.0 * (self.ask.random % 1024) / 2048)
    }

    /// Returns the retry delay for a caller whose request would have had its turn at a rate-limited
    /// backend server after `wait`.
    pub(super) fn retry_after_turn(&self, wait: Millis) -> Millis {
        job::jittered(wait.max(RETRY_AFTER_BOUNDS.0).0 as f64, self.ask.random)
    }

    /// Returns the retry delay for a caller whose request would have waited for `wait`. With a
    /// target it is bounded, and spread so that callers refused together don't retry together.
    pub(super) fn retry_after(&self, wait: Millis) -> Millis {
        if self.target.is_none() {
            return wait.max(DEFAULT_RETRY_AFTER);
        }
        let wait = wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
        job::jittered(wait.0 as f64, self.ask.random)
    }
}

impl<P: Policy> State<P> {
    /// Adds a request to the end of its customer's queue.
    pub(super) fn enqueue(&mut self, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.position = Some(MAX_BLOCKED);
        let (spot, verdict, wait) = (
            job.queue_position(),
            job.verdict(),
            job.retry_after(DEFAULT_RETRY_AFTER),
        );
        if !self.queue.push(&spot, request) {
            let reply = Reply::new(503, verdict, "too many requests wait").with_retry_after(wait);
            return self.finish(request, reply, out);
        }
        let waiting = self.waiting_for(&spot.service);
        out.push(Effect::Queued { request, waiting });
    }

    /// Returns the number of requests that wait for `service`, including late and deferred ones.
    pub(super) fn waiting_for(&self, service: &Service) -> usize {
        let waiting = self.queue.waiting(service) + self.late.waiting(service);
        waiting + self.deferred.waiting(service)
    }

    /// Assigns free slots of a service to waiting requests.
    pub(super) fn drain(&mut self, now: Time, service: &Service, out: &mut Vec<Effect>) {
        // Their callers have a part of the answer already.
        self.serve_deferred(now, service, out);
        for line in self.queue.lines(service) {
            self.drain_line(now, &line, out);
        }
        for line in self.late.lines(service) {
            self.drain_late(now, &line, out);
        }
    }

    fn drain_line(&mut self, now: Time, line: &Rank, out: &mut Vec<Effect>) {
        let mut blocked = Vec::new();
        while blocked.len() < MAX_BLOCKED {
            let Some(request) = self.queue.pop(line) else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            if job.is_relay_wait_over(&self.table.me.region, now) {
                let reply = Reply::new(503, job.verdict(), "no slot was free in this region");
                self.finish(request, reply, out);
                continue;
            }
            if job.is_late(now) {
                let spot = job.queue_position();
                self.late.push(&spot, request);
                continue;
            }
            job.position = Some(blocked.len());
            if !self.try_place(now, request, out) {
                blocked.push(request);
            }
        }
        for request in blocked.into_iter().rev() {
            if let Some(job) = self.jobs.get(&request) {
                self.queue.put_back(&job.queue_position(), request);
            }
        }
    }

    /// Serves late requests of a queue once no request in it can still be in time.
    fn drain_late(&mut self, now: Time, line: &Rank, out: &mut Vec<Effect>) {
        while let Some(request) = self.late.pop(line) {
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            if now >= job.abandon_at() && !job.moved {
                let (verdict, wait) = (job.verdict(), job.retry_after(DEFAULT_RETRY_AFTER));
                let reply =
                    Reply::new(503, verdict, "no slot was free in time").with_retry_after(wait);
                self.finish(request, reply, out);
                continue;
            }
            let spot = job.queue_position();
            job.position = Some(0);
            let others_first = self.queue.ahead(&spot) > 0;
            if others_first || !self.try_place(now, request, out) {
                self.late.put_back(&spot, request);
                return;
            }
        }
    }

    pub(super) fn drain_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut services = self.queue.services();
        services.extend(self.late.services());
        services.extend(self.deferred.services());
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.drain(now, &service, out);
        }
    }
}
