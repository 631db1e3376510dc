//! Runs that go on at another engine, with their memory, when the engine that runs them leaves.
//!
//! The box that holds the request decides and owns the copy. A first copy is made while the run
//! goes on; then the run is stopped, the rest is copied, and the request goes on with the copy within
//! the same answer. It is sent nowhere before the engine says that the run is stopped.

mod choice;
mod transfer;

use std::net::SocketAddr;

use crate::{
    fleet, id,
    memory::moved::{Moved, Origin},
    policy::{Place, Policy},
    reducer::{
        State,
        effect::{Effect, End, Move},
        event::Cause,
        job::Stage,
    },
    unit::{Millis, Time},
    verdict::Verdict,
};

use transfer::{Seat, Step};
pub(super) use transfer::{Stream, Transfer};

/// Calls for one run: a first copy, the last, and once more where an answer was lost.
const MAX_CALLS: u32 = 3;
/// How long after it was heard that an engine leaves a stopped run may go back to it: a leaving
/// server takes requests for a short while only.
const RETURN: Millis = Millis(1500);

impl<P: Policy> State<P> {
    /// Moves what is worth most off the engines of this region that leave.
    pub(super) fn move_runs(&mut self, now: Time, out: &mut Vec<Effect>) {
        let ending = self.fleet.ending();
        let ending: Vec<(id::Backend, fleet::End)> = ending
            .filter(|(_, end)| end.at > now)
            .map(|(name, end)| (name.clone(), end))
            .collect();
        for (name, end) in ending {
            self.move_from(now, &name, end, out);
        }
    }

    /// Calls again where the answer to the call that stops a run was lost.
    pub(super) fn call_again(&mut self, now: Time, out: &mut Vec<Effect>) {
        for request in self.due_runs() {
            self.call(now, request, out);
        }
    }

    fn move_from(
        &mut self,
        now: Time,
        source: &id::Backend,
        end: fleet::End,
        out: &mut Vec<Effect>,
    ) {
        for request in self.runs_to_move(now, source, end.at) {
            let Some((from, to)) = self.refuge(now, request, source) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            job.refuges.push(to.name.clone());
            job.transfer = Some(Transfer::new(from, to, now));
            self.call(now, request, out);
        }
    }

    /// Asks the engine that runs a request to copy its memory, and to stop it where a copy stands.
    fn call(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let (tokens, attempt) = (job.tokens(), job.attempt());
        let (Some(attempt), Some(transfer)) = (attempt, job.transfer.as_mut()) else {
            return;
        };
        let last = match transfer.step {
            Step::Due(stream) => {
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

    /// Takes in what came of a call.
    pub(super) fn moved(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        from: SocketAddr,
        result: Moved,
        out: &mut Vec<Effect>,
    ) {
        let current = self.in_hand(request, attempt).is_some();
        let job = self.jobs.get_mut(&request).filter(|_| current);
        let calling = |t: &&mut Transfer| t.is_calling() && t.source.address == from;
        let transfer = job.and_then(|job| job.transfer.as_mut()).filter(calling);
        let Some(transfer) = transfer else {
            // Its request ended meanwhile, and nobody else owns the copy.
            let origin = |handle| Origin {
                address: from,
                handle,
            };
            out.extend(result.handle().map(origin).map(Effect::Free));
            return;
        };
        let source = transfer.source.name.clone();
        match transfer.step {
            Step::Copying => self.copied(now, request, result, out),
            Step::Stopping(stream) => self.stopped(now, request, stream, result, out),
            _ => {}
        }
        let end = self.fleet.ending().find(|(name, _)| **name == source);
        if let Some((_, end)) = end {
            self.move_from(now, &source, end, out);
        }
    }

    /// Takes in what came of the first copy, while the run went on.
    fn copied(&mut self, now: Time, request: id::Request, result: Moved, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let Moved::Copied { handle, .. } = result else {
            let end = match result {
                Moved::Absent => End::Ended,
                _ => End::Refused,
            };
            out.extend(job.end_transfer(request, end));
            return;
        };
        if let Some(transfer) = &mut job.transfer {
            transfer.handle = Some(handle);
            transfer.enter(Step::Due(Stream::Open), now);
        }
        self.call(now, request, out);
    }

    /// Takes in what came of the call that stops the run.
    fn stopped(
        &mut self,
        now: Time,
        request: id::Request,
        stream: Stream,
        result: Moved,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let (Some(attempt), Some(transfer)) = (job.attempt(), job.transfer.as_mut()) else {
            return;
        };
        let again = transfer.calls < MAX_CALLS;
        match (result, stream) {
            (Moved::Copied { handle, .. }, _) => {
                transfer.handle = Some(handle);
                self.go_on(now, request, Seat::Target, out);
            }
            (Moved::Kept(handle), _) => {
                transfer.handle = Some(handle);
                // The source lacks nothing; the target may hold all but the newest part.
                self.go_on(now, request, Seat::Source, out);
            }
            (Moved::Absent, Stream::Closed) => {
                out.extend(job.end_transfer(request, End::Ended));
                out.push(Effect::Close { request, attempt });
            }
            (Moved::Absent, Stream::Open) => transfer.enter(Step::Ended, now),
            (Moved::Busy | Moved::Lost | Moved::Refused, _) if again => {
                transfer.enter(Step::Due(stream), now);
            }
            (_, Stream::Open) => transfer.enter(Step::Unknown, now),
            (_, Stream::Cut | Stream::Closed) => {
                transfer.enter(Step::Unknown, now);
                self.break_off(now, request, attempt, out);
            }
        }
    }

    /// Sends a request whose run is stopped to where it goes on with the copy.
    fn go_on(&mut self, now: Time, request: id::Request, seat: Seat, out: &mut Vec<Effect>) {
        let Some(seat) = self.seat(now, request, seat) else {
            return self.no_seat(now, request, out);
        };
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let (Some(attempt), Some(transfer)) = (job.attempt(), job.transfer.as_mut()) else {
            return;
        };
        transfer.enter(Step::Stopped(seat), now);
        let site = match seat {
            Seat::Target => &transfer.target,
            Seat::Source => &transfer.source,
        };
        let place = Place::Backend(site.name.clone());
        if let Some(held) = self.in_hand(request, attempt) {
            self.release(&held, None);
        }
        self.send_on(now, request, seat, place, out);
    }

    fn send_on(
        &mut self,
        now: Time,
        request: id::Request,
        seat: Seat,
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
            transfer.enter(Step::Sent(seat), now);
        }
    }

    /// Where a stopped run may go on: at `wanted`, or at the other of the two.
    fn seat(&self, now: Time, request: id::Request, wanted: Seat) -> Option<Seat> {
        let transfer = self.jobs.get(&request)?.transfer.as_ref()?;
        let target = self.fleet.get(&transfer.target.name);
        let target = target.is_some_and(|b| {
            b.address == transfer.target.address && !self.evacuated.contains(&b.domain)
        });
        let source = self.takes_back(now, &transfer.source.name);
        match wanted {
            Seat::Target if target => Some(Seat::Target),
            _ if source => Some(Seat::Source),
            _ => target.then_some(Seat::Target),
        }
    }

    /// Whether an engine that leaves may still get a run back.
    fn takes_back(&self, now: Time, source: &id::Backend) -> bool {
        let known = self.fleet.get(source);
        let outside = known.is_none_or(|b| self.evacuated.contains(&b.domain));
        let mut ending = self.fleet.ending();
        let end = ending.find(|(name, _)| *name == source);
        !outside && end.is_some_and(|(_, end)| now < end.at && now.since(end.heard) < RETURN)
    }

    /// Gives up a stopped run that may go on nowhere.
    fn no_seat(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let attempt = self.jobs.get(&request).and_then(|job| job.attempt());
        if let Some(attempt) = attempt {
            self.break_off(now, request, attempt, out);
        }
    }

    /// Lets a stream whose run is over go on as one that was cut: anew where it may, else not at all.
    fn break_off(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        let verdict = Verdict::MayHaveRun;
        self.failed(now, request, attempt, verdict, Cause::Broken, out);
    }

    /// Notes that the connection of a stream ended whose run is to be stopped; false where it is not.
    pub(super) fn await_move(
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
            Step::Due(_) if transfer.calls > 1 => Step::Due(stream),
            Step::Stopping(_) => Step::Stopping(stream),
            _ => return false,
        };
        true
    }

    /// Notes that the connection of a stream closed while its run was to be stopped.
    pub(super) fn closed(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        if self.await_move(request, attempt, Stream::Closed)
            || self.in_hand(request, attempt).is_none()
        {
            return;
        }
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let ended = job.transfer.as_ref().is_some_and(|t| t.step == Step::Ended);
        if ended {
            out.extend(job.end_transfer(request, End::Ended));
            out.push(Effect::Close { request, attempt });
        } else {
            self.break_off(now, request, attempt, out);
        }
    }

    /// Sends a run that the other engine did not take back to the one that keeps its memory, once.
    pub(super) fn go_back(
        &mut self,
        now: Time,
        request: id::Request,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) -> bool {
        let job = self.jobs.get(&request);
        let Some(transfer) = job.and_then(|job| job.transfer.as_ref()) else {
            return false;
        };
        let refused = transfer.step == Step::Sent(Seat::Target) && verdict.is_not_run();
        if !refused || !self.takes_back(now, &transfer.source.name) {
            return false;
        }
        let place = Place::Backend(transfer.source.name.clone());
        if let Some(transfer) = self
            .jobs
            .get_mut(&request)
            .and_then(|j| j.transfer.as_mut())
        {
            transfer.enter(Step::Stopped(Seat::Source), now);
        }
        self.send_on(now, request, Seat::Source, place, out);
        true
    }

    /// Ends the move of a run that failed; returns what is known of the request's run. One that went
    /// on nowhere with its copy has run all the same.
    pub(super) fn lose_copy(
        &mut self,
        request: id::Request,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) -> Verdict {
        let Some(job) = self.jobs.get_mut(&request) else {
            return verdict;
        };
        let Some(transfer) = &job.transfer else {
            return verdict;
        };
        let sent = matches!(transfer.step, Step::Sent(_));
        let end = match transfer.step {
            Step::Copying | Step::Due(_) => End::Refused,
            _ => End::Lost,
        };
        out.extend(job.end_transfer(request, end));
        match sent {
            true => Verdict::MayHaveRun,
            false => verdict,
        }
    }
}
