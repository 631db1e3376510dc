//! Attempt outcomes and the final answer to a request.

use crate::{
    id,
    ledger::Phase as KeyPhase,
    policy::{Place, Policy},
    reducer::{
        State,
        effect::{Effect, Note, Reply},
        event::Cause,
        job::{Assignment, DEFAULT_RETRY_AFTER, Stage},
        key::key_phase,
        moving::Stream,
        repeat::RetryKind,
    },
    retry,
    unit::{Millis, Time},
    verdict::Verdict,
    wire::NameHash,
};

/// The state of an attempt in flight: where it runs, and what was reserved for it.
pub(super) struct InFlight {
    pub(super) service: NameHash,
    pub(super) spot: Assignment,
    pub(super) at: Time,
    pub(super) work: u32,
    pub(super) expected: Millis,
    /// When the answer began; `None` before that.
    pub(super) begun: Option<Time>,
}

impl InFlight {
    pub(super) fn has_begun(&self) -> bool {
        self.begun.is_some()
    }
}

impl<P: Policy> State<P> {
    /// Returns `attempt` if it is the one `request` currently has in flight.
    pub(super) fn in_hand(&self, request: id::Request, attempt: id::Attempt) -> Option<InFlight> {
        let job = self.jobs.get(&request)?;
        match &job.stage {
            Stage::Sent {
                attempt: current,
                spot,
                at,
                work,
                expected,
                begun,
            } if *current == attempt => Some(InFlight {
                service: NameHash::of(job.service.as_str()),
                spot: spot.clone(),
                at: *at,
                work: *work,
                expected: *expected,
                begun: *begun,
            }),
            _ => None,
        }
    }

    pub(super) fn on_answer_started(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_hand(request, attempt) else {
            return;
        };
        self.judge_begun(now, request, &in_flight);
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        if let Assignment::Chosen(Place::Backend(name), _) = &in_flight.spot
            && let Some(server) = self.servers.get_mut(name)
            && server.begin(
                now.since(in_flight.at),
                in_flight.expected,
                in_flight.work,
                now,
            )
        {
            out.push(Effect::Noted(Note::Recovered(name.clone())));
        }
        if let Assignment::Chosen(Place::Backend(name), _) = &in_flight.spot
            && let Some(cap) = self.servers.get_mut(name).and_then(|s| s.cap.as_mut())
        {
            cap.record_answer(in_flight.at, now.since(in_flight.at));
        }
        if let Stage::Sent { begun, .. } = &mut job.stage {
            *begun = Some(now);
        }
        job.answering = true;
        if job.moved {
            self.deferred.record_accepted(&job.service);
        }
        if !job.deadline_covers_answer {
            self.deadlines.remove(&(job.deadline, request));
        }
        self.complete_move(now, request, out);
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        whole: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_hand(request, attempt) else {
            return;
        };
        self.release(&in_flight, whole.then_some(now.since(in_flight.at)));
        if whole {
            self.judge_ended(now, request, &in_flight);
        } else {
            self.judge_failed(request, &in_flight.spot, Cause::Broken);
            // The backend server may have crashed, even if nobody can continue the answer.
            self.probe_after_break(now, request, &in_flight, out);
        }
        self.free_copy(request, out);
        let Some(job) = self.jobs.remove(&request) else {
            return;
        };
        if whole && job.inconclusive {
            self.record_inconclusive(now, &job, &in_flight);
        } else if whole {
            self.clear_content(now, job.content, out);
            self.clear_parts(now, &job, &in_flight, out);
        }
        self.deadlines.remove(&(job.deadline, request));
        if job.owns_key {
            let phase = if whole {
                KeyPhase::Finished
            } else {
                KeyPhase::Unknown
            };
            for joiner in self.ledger.settle(request, phase) {
                self.resolve_joiner(joiner, request, whole, out);
            }
        }
        self.drain(now, &job.service, out);
    }

    pub(super) fn resolve_joiner(
        &mut self,
        joiner: id::Request,
        answer: id::Request,
        whole: bool,
        out: &mut Vec<Effect>,
    ) {
        if !whole {
            let reason = "the first send of this key was cut short";
            let reply = Reply::new(409, Verdict::MayHaveRun, reason);
            return self.finish(joiner, reply, out);
        }
        if let Some(job) = self.jobs.remove(&joiner) {
            self.deadlines.remove(&(job.deadline, joiner));
            out.push(Effect::Replay {
                request: joiner,
                answer,
            });
        }
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        verdict: Verdict,
        cause: Cause,
        out: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_hand(request, attempt) else {
            return;
        };
        self.release(&in_flight, None);
        if cause == Cause::Broken {
            self.probe_after_break(now, request, &in_flight, out);
        }
        self.record_rejection(now, &in_flight, cause, out);
        let spot = in_flight.spot.clone();
        if cause == Cause::Unreachable {
            self.probe_after_close(now, &spot, out);
        }
        self.judge_failed(request, &spot, cause);
        self.record_failure(now, &in_flight, cause);
        self.charge_failed_resume(request, cause, out);
        if self.return_to_source(now, request, verdict, out) {
            return;
        }
        let verdict = self.fail_move(request, verdict, out);
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.arrived |= cause.may_have_arrived();
        if verdict.is_not_run() {
            job.release_charge();
        } else {
            job.count_run(&spot);
        }
        // A relayed request may succeed at another backend server of that region, and one that a
        // neighbour refused at another neighbour.
        let relayed = matches!(spot, Assignment::Chosen(Place::Region(_), _));
        let neighbour = matches!(&spot, Assignment::Chosen(Place::Region(region), _)
            if *region == self.table.me.region);
        let retry_same_region =
            relayed && cause == Cause::Broken || neighbour && cause == Cause::Refused;
        // A stream that this box moved off its backend server is given further attempts until its
        // deadline.
        let owed = job.moved && verdict.is_not_run();
        if retry_same_region || owed || matches!(cause, Cause::Errored | Cause::Leaving) {
            // Allows this place to be tried again: a retry there, or through another box of the
            // region, may well succeed.
            job.tried.pop();
        }
        job.stage = Stage::Waiting;
        let may_rerun = job.repeatable || !job.may_have_run;
        let has_runs_left = job.runs > 0 && (owed || job.attempts < retry::MAX_ATTEMPTS);
        let may_retry =
            may_rerun && has_runs_left && spot != Assignment::Pinned && now < job.deadline;
        let (service, known) = (job.service.clone(), job.verdict());
        let kind = match cause.may_have_arrived() {
            false => RetryKind::Free,
            true => RetryKind::Ordinary,
        };
        let job = self.jobs.get(&request).filter(|_| may_retry);
        if let Some(reply) = job.and_then(|job| self.grace_refusal(now, job)) {
            self.finish(request, reply, out);
        } else if may_retry && owed && kind == RetryKind::Ordinary {
            self.defer(now, request, out);
        } else if may_retry && self.take_retry(now, request, &service, kind, out) {
            if !self.try_place(now, request, out) {
                self.enqueue(request, out);
            }
        } else {
            let reply = failure_reply(&spot, known, cause);
            self.finish(request, reply, out);
        }
        self.drain(now, &service, out);
    }

    /// Handles a stream that was cut: waits for its move to another engine if one is under way, and
    /// otherwise fails the attempt if its answer had begun.
    pub(super) fn on_stream_cut(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        if self.defer_to_move(request, attempt, Stream::Broken) {
            return;
        }
        if self
            .in_hand(request, attempt)
            .is_some_and(|in_flight| in_flight.has_begun())
        {
            let verdict = Verdict::MayHaveRun;
            self.on_attempt_failed(now, request, attempt, verdict, Cause::Broken, out);
        }
    }

    /// Releases the resources of an attempt that ended. `took` is the duration of a complete
    /// answer, `None` for any other end.
    pub(super) fn release(&mut self, in_flight: &InFlight, took: Option<Millis>) {
        match &in_flight.spot {
            Assignment::Chosen(Place::Backend(name), _) => {
                if let Some(server) = self.servers.get_mut(name) {
                    if !in_flight.has_begun() {
                        server.cancel_pending_prompt(in_flight.work);
                    }
                    server.end(took);
                }
            }
            Assignment::Chosen(Place::Region(region), _) => {
                self.table
                    .relay_ended(region, in_flight.service, in_flight.at)
            }
            Assignment::Pinned => {}
        }
    }

    pub(super) fn record_failure(&mut self, now: Time, in_flight: &InFlight, cause: Cause) {
        match (&in_flight.spot, cause) {
            (_, Cause::Late) | (Assignment::Pinned, _) => {}
            (Assignment::Chosen(Place::Backend(name), _), Cause::Refused | Cause::Replaced) => {
                self.servers
                    .entry(name.clone())
                    .or_default()
                    .record_refusal(now);
            }
            (Assignment::Chosen(Place::Backend(name), _), Cause::Full) => {
                self.servers
                    .entry(name.clone())
                    .or_default()
                    .record_full(now);
            }
            (Assignment::Chosen(Place::Backend(name), _), Cause::Errored) => {
                self.servers
                    .entry(name.clone())
                    .or_default()
                    .record_error(now);
            }
            (Assignment::Chosen(Place::Backend(name), _), Cause::Unreachable) => {
                self.servers
                    .entry(name.clone())
                    .or_default()
                    .record_unreachable(now);
            }
            (Assignment::Chosen(Place::Backend(name), _), Cause::Silent) => {
                self.servers
                    .entry(name.clone())
                    .or_default()
                    .record_stall(now);
            }
            (Assignment::Chosen(Place::Backend(name), _), _) => {
                self.servers
                    .entry(name.clone())
                    .or_default()
                    .record_failure(now);
            }
            (
                Assignment::Chosen(Place::Region(region), Some(door)),
                Cause::Unreachable | Cause::Leaving,
            ) => {
                self.table.record_unreachable(region, door, now);
            }
            (Assignment::Chosen(Place::Region(region), _), Cause::Refused) => {
                self.table.relay_refused(region, in_flight.service, now);
            }
            (Assignment::Chosen(Place::Region(_), _), _) => {}
        }
    }

    pub(super) fn on_disconnected(
        &mut self,
        now: Time,
        request: id::Request,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        if job.owns_key && matches!(job.stage, Stage::Sent { .. }) {
            return;
        }
        self.withdraw(request, out);
        self.free_copy(request, out);
        let Some(job) = self.jobs.remove(&request) else {
            return;
        };
        self.give_back(&job);
        self.deadlines.remove(&(job.deadline, request));
        if job.owns_key {
            for joiner in self.ledger.settle(request, key_phase(job.verdict())) {
                let reply = Reply::new(
                    409,
                    job.verdict(),
                    "the first send of this key was given up",
                );
                self.finish(joiner, reply, out);
            }
        }
        self.drain(now, &job.service, out);
    }

    /// Removes a request from its queue, aborts its attempt, or detaches it from the request whose
    /// answer it waits for.
    pub(super) fn withdraw(&mut self, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        match job.stage.clone() {
            Stage::Waiting => {
                let spot = job.queue_position();
                self.queue.remove(&spot, request);
                self.late.remove(&spot, request);
                self.deferred.remove(&spot.service, request);
            }
            Stage::Sent { attempt, .. } => {
                out.push(Effect::Abort { request, attempt });
                if let Some(in_flight) = self.in_hand(request, attempt) {
                    self.release(&in_flight, None);
                }
            }
            Stage::AwaitingOwner(owner) => self.ledger.remove_joiner(owner, request),
        }
    }

    /// Sends a request its final answer and removes it.
    pub(super) fn finish(&mut self, request: id::Request, reply: Reply, out: &mut Vec<Effect>) {
        self.free_copy(request, out);
        let Some(job) = self.jobs.remove(&request) else {
            return;
        };
        self.give_back(&job);
        self.deadlines.remove(&(job.deadline, request));
        let reply = Reply {
            offer_key: reply.offer_key || (job.owns_key && reply.verdict.is_not_run()),
            arrived: job.arrived,
            ..reply
        };
        if job.owns_key {
            for joiner in self.ledger.settle(request, key_phase(reply.verdict)) {
                let copy = reply.clone();
                self.finish(joiner, copy, out);
            }
        }
        out.push(Effect::Reply { request, reply });
    }

    /// Ends the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.deadlines.remove(&(deadline, request));
            self.expire_request(now, request, out);
        }
    }

    pub(super) fn expire_request(
        &mut self,
        now: Time,
        request: id::Request,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let (service, verdict) = (job.service.clone(), job.verdict());
        let (status, verdict, reason) = match job.stage {
            Stage::Waiting => (503, verdict, "no slot was free in time"),
            Stage::Sent { .. } => (504, Verdict::MayHaveRun, "the answer did not begin in time"),
            Stage::AwaitingOwner(_) => {
                let reason = "the first send of this key is still running";
                (504, Verdict::MayHaveRun, reason)
            }
        };
        self.withdraw(request, out);
        let reply = Reply::new(status, verdict, reason).with_retry_after(DEFAULT_RETRY_AFTER);
        self.finish(request, reply, out);
        self.drain(now, &service, out);
    }
}

pub(super) fn failure_reply(spot: &Assignment, verdict: Verdict, cause: Cause) -> Reply {
    if *spot == Assignment::Pinned {
        let reason = "the box that the key names does not answer";
        return Reply::new(409, Verdict::MayHaveRun, reason);
    }
    let reason = match cause {
        Cause::Unreachable => "the place could not be reached",
        Cause::Refused => "the place refused it",
        Cause::Full => "the place is full",
        Cause::Leaving => "the box there is stopping",
        Cause::Silent => "the place stayed silent",
        Cause::Broken => "the connection broke before the answer began",
        Cause::Late => "the box was too late to send it",
        Cause::Errored => "the place answered with an error",
        Cause::Replaced => "the place is another backend server by now",
    };
    let status = if verdict.is_not_run() { 503 } else { 502 };
    Reply::new(status, verdict, reason).with_retry_after(DEFAULT_RETRY_AFTER)
}
