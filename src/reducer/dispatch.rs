//! Chooses a place for a request and sends it there, or lets it wait in the queue.

use crate::{
    id::{self, Service},
    policy::{Choice, Place, Policy},
    reducer::{
        State,
        admit::refusal_reply,
        effect::{Basis, Effect, Reply, Send, Target},
        job::{Assignment, DEFAULT_RETRY_AFTER, Job, Stage},
        supply::Supply,
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{NameHash, Phase},
};

impl<P: Policy> State<P> {
    /// Tries to place a request. Returns false if it has to wait.
    pub(super) fn try_place(
        &mut self,
        now: Time,
        request: id::Request,
        out: &mut Vec<Effect>,
    ) -> bool {
        if self.phase(now) == Phase::Unready {
            return false;
        }
        let Some(job) = self.jobs.get(&request) else {
            return true;
        };
        if let Some(reply) = self.grace_refusal(now, job) {
            self.finish(request, reply, out);
            return true;
        }
        if let Some(reply) = self.quarantine_refusal(now, job) {
            self.finish(request, reply, out);
            return true;
        }
        if self.awaits_probe(now, job) {
            return false;
        }
        let verdict = job.verdict();
        let decision = match self.decide(now, job) {
            Ok(decision) => decision,
            Err(reason) => {
                let reply = Reply {
                    verdict,
                    ..refusal_reply(reason)
                };
                self.finish(request, reply, out);
                return true;
            }
        };
        match decision.choice {
            Choice::Wait => return false,
            Choice::Send(place) => {
                let basis = self.basis(now, job, &place, &decision.candidates);
                self.send(now, request, place, basis, out);
            }
            Choice::Refuse(_) if job.moved => return false,
            Choice::Refuse(_) if decision.candidates.is_empty() && job.awaits_direct_send(now) => {
                return false;
            }
            Choice::Refuse(wait) if self.is_limited(now, job) => {
                let reason = "what backend servers say that they take is used up";
                let reply =
                    Reply::new(503, verdict, reason).with_retry_after(job.retry_after_turn(wait));
                let limited = true;
                self.finish(request, Reply { limited, ..reply }, out);
            }
            Choice::Refuse(_)
                if decision.candidates.is_empty()
                    && let Some(wait) = self.pushback_left(now, job) =>
            {
                if job.can_wait(wait, now) {
                    return false;
                }
                let reason = "the backend servers asked for a pause";
                let reply = Reply::new(503, verdict, reason)
                    .with_retry_after(job.retry_after_at_least(wait));
                self.finish(request, reply, out);
            }
            Choice::Refuse(_) if decision.candidates.is_empty() && job.may_linger(now) => {
                return false;
            }
            Choice::Refuse(wait) => {
                let reason = if decision.candidates.is_empty() {
                    "no allowed place can take it now"
                } else {
                    "no allowed place can begin the answer in time"
                };
                let reply =
                    Reply::new(503, verdict, reason).with_retry_after(job.retry_after(wait));
                self.finish(request, reply, out);
            }
        }
        true
    }

    /// Sends a request to `place` and counts the attempt there.
    pub(super) fn send(
        &mut self,
        now: Time,
        request: id::Request,
        place: Place,
        mut basis: Basis,
        out: &mut Vec<Effect>,
    ) {
        let attempt = self.next_attempt();
        let Some((target, relay_box)) = self.target(now, &place) else {
            let verdict = self
                .jobs
                .get(&request)
                .map_or(Verdict::NotRun, Job::verdict);
            let reply =
                Reply::new(503, verdict, "the place is gone").with_retry_after(DEFAULT_RETRY_AFTER);
            return self.finish(request, reply, out);
        };
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let service = job.service.clone();
        let anonymous = self.is_anonymous(&job.ask.customer);
        let continues = job.origin();
        let movable = self.is_movable(job, &place);
        // A continued run brings its memory along, so the engine computes and fetches nothing.
        let supply = self.supply(now, job, &place).unwrap_or_default();
        (basis.unread, basis.fetched) = (supply.read, supply.fetched);
        let supply = match continues {
            Some(_) => Supply::default(),
            None => supply,
        };
        let reading = self.reading(job, &place, &supply);
        let reading = reading.filter(|_| continues.is_none());
        let work = supply.read;
        let expected = self.count_send(now, &service, &place, work) + supply.span;
        self.count_unchecked(now, &service, &place, out);
        if let (Place::Backend(name), Some(reading)) = (&place, &reading) {
            let server = self.servers.entry(name.clone()).or_default();
            server.add_prompt(reading.prompt, now);
        }
        let relayed = matches!(place, Place::Region(_));
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.attempts += u32::from(continues.is_none());
        job.inconclusive = false;
        job.judged = false;
        job.tried.push(place.clone());
        job.stage = Stage::Sent {
            attempt,
            spot: Assignment::Chosen(place, relay_box),
            at: now,
            work,
            expected,
            begun: None,
        };
        if continues.is_none() {
            self.book_run(now, request);
        }
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        out.push(Effect::Send(Send {
            request,
            attempt,
            target,
            customer: job.ask.customer.clone(),
            anonymous,
            route: job.line.clone(),
            repeatable: job.repeatable,
            resumable: job.resumable,
            movable,
            continues,
            priority: job.priority,
            runs: match relayed {
                true => job.runs_for_region(),
                false => job.runs,
            },
            record: job.owns_key,
            fetch: supply.source,
            not_after: job.deadline,
            basis,
        }));
        self.schedule_stall_check(now, request, attempt);
        if let Some(reading) = reading {
            self.note_reading(now, reading, out);
        }
    }

    /// Counts an attempt at `place` and returns the expected time until its answer begins.
    fn count_send(&mut self, now: Time, service: &Service, place: &Place, work: u32) -> Millis {
        match place {
            Place::Backend(name) => {
                self.reach.tried_at = Some(now);
                self.charge_cold(now, service, name);
                if let Some(backend) = self.fleet.get(name) {
                    self.rollouts.count_send(service, backend);
                }
                let server = self.servers.entry(name.clone()).or_default();
                server.limit.spend(now);
                let expected = server.first_token(work, now);
                server.start(work, now);
                expected
            }
            Place::Region(region) => {
                let short = NameHash::of(service.as_str());
                self.table.record_relay(region, short);
                self.remote_first_token(now, service, region)
            }
        }
    }

    pub(super) fn target(&self, now: Time, place: &Place) -> Option<(Target, Option<id::BoxName>)> {
        match place {
            Place::Backend(name) => {
                let backend = self.fleet.get(name)?;
                let target = Target::Backend {
                    name: name.clone(),
                    address: backend.address,
                    headers: backend.headers.clone(),
                    incarnation: backend.incarnation,
                };
                Some((target, None))
            }
            Place::Region(region) => {
                let contact = match *region == self.table.me.region {
                    true => &self.relay_neighbour(now)?.last.contact,
                    false => &self.table.relay_endpoint(region, self.attempts)?.contact,
                };
                let target = Target::Relay {
                    region: region.clone(),
                    peer: contact.peer,
                };
                Some((target, Some(contact.name.clone())))
            }
        }
    }

    pub(super) fn next_attempt(&mut self) -> id::Attempt {
        self.attempts += 1;
        id::Attempt(self.attempts)
    }
}
