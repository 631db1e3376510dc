//! Moves runs, together with their memory, to another engine when the engine that runs them leaves.
//!
//! The box that handles the request decides, and owns the copy. A first copy is made while the run
//! continues; then the run is stopped, the rest is copied, and the request resumes from the copy
//! within the same answer. It is not sent elsewhere until the engine has confirmed that the run is
//! stopped or, after a lost answer, that it no longer exists.

mod choice;
mod reserve;
mod transfer;

use std::net::SocketAddr;

use crate::{
    fleet, id,
    memory::transfer::{Handover, Origin},
    policy::{Place, Policy},
    reducer::{
        State,
        effect::{Effect, Move, MoveOutcome},
        event::Cause,
        job::Stage,
    },
    retry::Outcome,
    unit::{Millis, Time},
    verdict::Verdict,
};

use transfer::{Destination, Step};
pub(super) use transfer::{Stream, Transfer};

/// Calls for one run: a first copy, the final one, and one retry if an answer was lost.
const MAX_CALLS: u32 = 3;
/// Time after an engine's departure became known in which a stopped run may return to it: a leaving
/// server accepts requests only for a short while.
const RETURN_WINDOW: Millis = Millis(1500);

impl<P: Policy> State<P> {
    /// Moves the most valuable runs off the engines of this region that leave.
    pub(super) fn move_runs(&mut self, now: Time, out: &mut Vec<Effect>) {
        let ending = self.fleet.ending();
        let ending: Vec<(id::Backend, fleet::Shutdown)> = ending
            .filter(|(_, end)| end.at > now)
            .map(|(name, end)| (name.clone(), end))
            .collect();
        for (name, end) in ending {
            self.move_from(now, &name, end, out);
        }
    }

    /// Repeats the call that stops a run where it is due.
    pub(super) fn retry_calls(&mut self, now: Time, out: &mut Vec<Effect>) {
        for request in self.runs_to_stop() {
            self.request_copy(now, request, out);
        }
    }

    fn move_from(
        &mut self,
        now: Time,
        source: &id::Backend,
        end: fleet::Shutdown,
        out: &mut Vec<Effect>,
    ) {
        for request in self.runs_to_move(now, source, end.at) {
            let Some((from, to)) = self.choose_target(now, request, source) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            job.move_targets.push(to.name.clone());
            job.transfer = Some(Transfer::new(from, to, now));
            self.request_copy(now, request, out);
        }
    }

    /// Asks the engine that runs a request to copy its memory and, once a first copy exists, to
    /// stop the run if the retry budget has an attempt left for it.
    fn request_copy(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let transfer = self.jobs.get(&request).and_then(|j| j.transfer.as_ref());
        let stops = transfer.is_some_and(|t| matches!(t.step, Step::StopPending(_)));
        if stops && !self.may_stop(now, request, out) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let (tokens, attempt) = (job.tokens(), job.attempt());
        let (Some(attempt), Some(transfer)) = (attempt, job.transfer.as_mut()) else {
            return;
        };
        let last = match transfer.step {
            Step::StopPending(stream) => {
                transfer.calls += 1;
                transfer.enter(Step::Stopping(stream), now);
                true
            }
            _ => false,
        };
        let mut ending = self.fleet.ending();
        let end = ending.find(|(name, _)| **name == transfer.source.name);
        let left = end.map_or(Millis(0), |(_, end)| end.at.since(now));
        out.push(Effect::Move(Move {
            request,
            attempt,
            from: transfer.source.clone(),
            to: transfer.target.clone(),
            last,
            left,
            tokens,
        }));
    }

    /// Handles the result of a call.
    pub(super) fn moved(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        from: SocketAddr,
        result: Handover,
        out: &mut Vec<Effect>,
    ) {
        let current = self.in_hand(request, attempt).is_some();
        let job = self.jobs.get_mut(&request).filter(|_| current);
        let calling = |t: &&mut Transfer| t.is_calling() && t.source.address == from;
        let transfer = job.and_then(|job| job.transfer.as_mut()).filter(calling);
        let Some(transfer) = transfer else {
            // The request has ended in the meantime, so nothing else would free the copy.
            let origin = |handle| Origin {
                address: from,
                handle,
            };
            out.extend(result.handle().map(origin).map(Effect::FreeCopy));
            return;
        };
        let source = transfer.source.name.clone();
        match transfer.step {
            Step::Copying => self.handle_first_copy(now, request, result, out),
            Step::Stopping(stream) => self.handle_stop(now, request, stream, result, out),
            _ => {}
        }
        let end = self.fleet.ending().find(|(name, _)| **name == source);
        if let Some((_, end)) = end {
            self.move_from(now, &source, end, out);
        }
    }

    /// Handles the result of the first copy, made while the run continued.
    fn handle_first_copy(
        &mut self,
        now: Time,
        request: id::Request,
        result: Handover,
        out: &mut Vec<Effect>,
    ) {
        let Handover::Copied { handle, .. } = result else {
            let end = match result {
                Handover::Absent => MoveOutcome::Ended,
                _ => MoveOutcome::Refused,
            };
            return self.end_transfer(request, end, out);
        };
        let job = self.jobs.get_mut(&request);
        if let Some(transfer) = job.and_then(|job| job.transfer.as_mut()) {
            transfer.handle = Some(handle);
            transfer.enter(Step::StopPending(Stream::Open), now);
        }
        self.request_copy(now, request, out);
    }

    /// Handles the result of the call that stops the run.
    fn handle_stop(
        &mut self,
        now: Time,
        request: id::Request,
        stream: Stream,
        result: Handover,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let (Some(attempt), Some(transfer)) = (job.attempt(), job.transfer.as_mut()) else {
            return;
        };
        let again = transfer.calls < MAX_CALLS;
        transfer.stop_in_doubt |= result == Handover::Lost;
        match (result, stream) {
            (Handover::Copied { handle, .. }, _) => {
                transfer.handle = Some(handle);
                self.resume(now, request, Destination::Target, out);
            }
            (Handover::Kept(handle), _) => {
                transfer.handle = Some(handle);
                // The source still has the whole memory, whereas the target may lack the newest
                // part.
                self.resume(now, request, Destination::Source, out);
            }
            // The run is over, and the first copy can continue it if an earlier call stopped it.
            (Handover::Absent, _) if transfer.stop_in_doubt => {
                self.resume(now, request, Destination::Target, out);
            }
            (Handover::Absent, Stream::Closed) => {
                self.end_transfer(request, MoveOutcome::Ended, out);
                out.push(Effect::CompleteStream { request, attempt });
            }
            (Handover::Absent, Stream::Open) => {
                transfer.enter(Step::Ended, now);
                self.drop_copy(request, out);
            }
            (Handover::Busy | Handover::Lost | Handover::Refused, _) if again => {
                transfer.enter(Step::StopPending(stream), now);
            }
            (_, Stream::Open) => {
                transfer.enter(Step::Unknown, now);
                self.drop_copy(request, out);
            }
            (_, Stream::Broken | Stream::Closed) => {
                transfer.enter(Step::Unknown, now);
                self.fail_broken(now, request, attempt, out);
            }
        }
    }

    /// Sends a request whose run is stopped to the engine where it resumes from the copy.
    fn resume(
        &mut self,
        now: Time,
        request: id::Request,
        destination: Destination,
        out: &mut Vec<Effect>,
    ) {
        let Some(destination) = self.choose_destination(now, request, destination) else {
            return self.fail_stopped(now, request, out);
        };
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let (Some(attempt), Some(transfer)) = (job.attempt(), job.transfer.as_mut()) else {
            return;
        };
        transfer.enter(Step::Stopped(destination), now);
        let site = match destination {
            Destination::Target => &transfer.target,
            Destination::Source => &transfer.source,
        };
        let place = Place::Backend(site.name.clone());
        if let Some(held) = self.in_hand(request, attempt) {
            self.release(&held, None);
        }
        self.send_to_resume(now, request, destination, place, out);
    }

    fn send_to_resume(
        &mut self,
        now: Time,
        request: id::Request,
        destination: Destination,
        place: Place,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.stage = Stage::Waiting;
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let mut basis = self.basis(now, job, &place, &[]);
        basis.number = job.attempts;
        self.send(now, request, place, basis, out);
        let job = self.jobs.get_mut(&request);
        if let Some(transfer) = job.and_then(|job| job.transfer.as_mut()) {
            transfer.enter(Step::Sent(destination), now);
        }
    }

    /// Returns where a stopped run may resume: at `wanted` or at the other of the two engines.
    fn choose_destination(
        &self,
        now: Time,
        request: id::Request,
        wanted: Destination,
    ) -> Option<Destination> {
        let transfer = self.jobs.get(&request)?.transfer.as_ref()?;
        let target = self.fleet.get(&transfer.target.name);
        let target = target.is_some_and(|b| {
            b.address == transfer.target.address && !self.evacuated.contains(&b.domain)
        });
        let source = self.accepts_return(now, &transfer.source.name);
        match wanted {
            Destination::Target if target => Some(Destination::Target),
            _ if source => Some(Destination::Source),
            _ => target.then_some(Destination::Target),
        }
    }

    /// Reports whether a leaving engine may still get a run back.
    fn accepts_return(&self, now: Time, source: &id::Backend) -> bool {
        let known = self.fleet.get(source);
        let unavailable = known.is_none_or(|b| self.evacuated.contains(&b.domain));
        let mut ending = self.fleet.ending();
        let end = ending.find(|(name, _)| *name == source);
        !unavailable
            && end
                .is_some_and(|(_, end)| now < end.at && now.since(end.announced_at) < RETURN_WINDOW)
    }

    /// Fails a stopped run that cannot resume anywhere.
    fn fail_stopped(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let attempt = self.jobs.get(&request).and_then(|job| job.attempt());
        if let Some(attempt) = attempt {
            self.fail_broken(now, request, attempt, out);
        }
    }

    /// Fails the attempt as if its stream had been cut, so that the request is retried from the
    /// start only if that is allowed.
    fn fail_broken(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        let verdict = Verdict::MayHaveRun;
        self.on_attempt_failed(now, request, attempt, verdict, Cause::Broken, out);
    }

    /// Records that the connection of a stream ended while its run was to be stopped; returns false
    /// if no stop is pending or under way.
    pub(super) fn defer_to_move(
        &mut self,
        request: id::Request,
        attempt: id::Attempt,
        stream: Stream,
    ) -> bool {
        if self.in_hand(request, attempt).is_none() {
            return false;
        }
        let job = self.jobs.get_mut(&request);
        let Some(transfer) = job.and_then(|job| job.transfer.as_mut()) else {
            return false;
        };
        transfer.step = match transfer.step {
            Step::StopPending(_) if transfer.calls > 1 => Step::StopPending(stream),
            Step::Stopping(_) => Step::Stopping(stream),
            _ => return false,
        };
        true
    }

    /// Handles the close of a stream's connection while its run was to be stopped.
    pub(super) fn closed(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        if self.defer_to_move(request, attempt, Stream::Closed)
            || self.in_hand(request, attempt).is_none()
        {
            return;
        }
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let ended = job.transfer.as_ref().is_some_and(|t| t.step == Step::Ended);
        if ended {
            self.end_transfer(request, MoveOutcome::Ended, out);
            out.push(Effect::CompleteStream { request, attempt });
        } else {
            self.fail_broken(now, request, attempt, out);
        }
    }

    /// Returns a run that the target did not accept to the source, which still has its memory,
    /// once, if the retry budget has an attempt left for it.
    pub(super) fn return_to_source(
        &mut self,
        now: Time,
        request: id::Request,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&request) else {
            return false;
        };
        let Some(transfer) = &job.transfer else {
            return false;
        };
        let refused = transfer.step == Step::Sent(Destination::Target) && verdict.is_not_run();
        if !refused || !self.accepts_return(now, &transfer.source.name) {
            return false;
        }
        let place = Place::Backend(transfer.source.name.clone());
        let service = job.service.clone();
        if !self.reserve_attempt(now, request) {
            self.report_retry(now, request, &service, Outcome::Refused, out);
            return false;
        }
        if let Some(transfer) = self
            .jobs
            .get_mut(&request)
            .and_then(|j| j.transfer.as_mut())
        {
            transfer.enter(Step::Stopped(Destination::Source), now);
        }
        self.send_to_resume(now, request, Destination::Source, place, out);
        true
    }

    /// Ends the move of a run that failed, and returns the verdict for the request. A request whose
    /// resumed attempt was refused has still run at the source.
    pub(super) fn fail_move(
        &mut self,
        request: id::Request,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) -> Verdict {
        let job = self.jobs.get(&request);
        let Some(transfer) = job.and_then(|job| job.transfer.as_ref()) else {
            return verdict;
        };
        let sent = matches!(transfer.step, Step::Sent(_));
        let end = match transfer.step {
            Step::Copying | Step::StopPending(_) => MoveOutcome::Refused,
            _ => MoveOutcome::Lost,
        };
        self.end_transfer(request, end, out);
        match sent {
            true => Verdict::MayHaveRun,
            false => verdict,
        }
    }
}
