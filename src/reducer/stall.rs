//! Moves repeatable requests away from a place that stays silent much longer than expected.
//!
//! A server that hangs, or whose answer was lost, would otherwise hold a request until its caller
//! gives up. The attempt is aborted only if another place can take the request at once.

use crate::{
    id,
    policy::{Choice, Place, Policy},
    reducer::{
        State,
        effect::{Basis, Effect},
        event::Cause,
        job::{Assignment, Job, Stage},
        outcome::InFlight,
        repeat::RetryKind,
    },
    retry,
    server::Server,
    unit::{Millis, Time},
};

/// An attempt counts as stalled after this multiple of its expected time to the first byte, plus
/// the share of the route's target below.
const STALL_FACTOR: u64 = 3;
/// Share of the route's target latency that is always waited; the rest is left for the next
/// attempt.
const MIN_TARGET_SHARE: f64 = 0.5;

impl<P: Policy> State<P> {
    /// Schedules the time at which an attempt that was just sent counts as stalled.
    pub(super) fn schedule_stall_check(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
    ) {
        let Some(job) = self.jobs.get(&request).filter(|job| job.repeatable) else {
            return;
        };
        let Some(target) = job.target else {
            return;
        };
        let Stage::Sent { expected, .. } = &job.stage else {
            return;
        };
        let base = (target.0 as f64 * MIN_TARGET_SHARE) as u64;
        let wait = Millis(expected.0 * STALL_FACTOR + base);
        self.stalls.insert((now + wait, request, attempt));
    }

    /// Moves the requests whose attempts have stalled.
    pub(super) fn move_stalled(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(&(at, request, attempt)) = self.stalls.first() {
            if at > now {
                return;
            }
            self.stalls.pop_first();
            self.move_stalled_attempt(now, request, attempt, out);
        }
    }

    fn move_stalled_attempt(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        out: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self
            .in_hand(request, attempt)
            .filter(|in_flight| !in_flight.has_begun())
        else {
            return;
        };
        self.retry_elsewhere(now, request, attempt, &in_flight, out);
    }

    /// Stops an attempt and sends its request elsewhere, if another place can take it at once and
    /// the retry budget allows it.
    pub(super) fn retry_elsewhere(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        in_flight: &InFlight,
        out: &mut Vec<Effect>,
    ) {
        let Some((place, basis)) = self.alternative_place(now, request) else {
            return;
        };
        let service = self.jobs[&request].service.clone();
        if !self.take_retry(now, request, &service, RetryKind::Ordinary, out) {
            return;
        }
        out.push(match in_flight.has_begun() {
            true => Effect::DetachStream { request, attempt },
            false => Effect::Abort { request, attempt },
        });
        self.release(in_flight, None);
        self.record_failure(now, in_flight, Cause::Silent);
        self.free_copy(request, out);
        if let Some(job) = self.jobs.get_mut(&request) {
            job.count_run(&in_flight.spot);
            job.moved |= in_flight.has_begun();
            job.stage = Stage::Waiting;
        }
        self.send(now, request, place, basis, out);
    }

    /// Returns another place that would take the request at once, if the request may run once more.
    fn alternative_place(&self, now: Time, request: id::Request) -> Option<(Place, Basis)> {
        let job = self.jobs.get(&request)?;
        let spent = job.runs < 2 || job.attempts >= retry::MAX_ATTEMPTS;
        let refused =
            self.quarantine_refusal(now, job).is_some() || self.grace_refusal(now, job).is_some();
        if spent || refused || self.awaits_probe(now, job) {
            return None;
        }
        let decision = self.decide(now, job).ok()?;
        let Choice::Send(place) = decision.choice else {
            return None;
        };
        if let Place::Backend(name) = &place
            && self.servers.get(name).and_then(Server::failed_at).is_some()
        {
            return None;
        }
        let basis = self.basis(now, job, &place, &decision.candidates);
        Some((place, basis))
    }
}

impl Job {
    /// Subtracts the runs that an attempt at `spot` may have used.
    pub(super) fn count_run(&mut self, spot: &Assignment) {
        self.may_have_run = true;
        let used = match spot {
            Assignment::Chosen(Place::Region(_), _) => self.runs_for_region(),
            Assignment::Chosen(Place::Backend(_), _) | Assignment::Pinned => 1,
        };
        self.runs = self.runs.saturating_sub(used);
    }

    /// Returns how many runs another region may use; one is kept in case that region does not
    /// answer.
    pub(super) fn runs_for_region(&self) -> u32 {
        self.runs.saturating_sub(1).max(1)
    }
}
