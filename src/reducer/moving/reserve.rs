//! The attempts of the retry budget that moves hold.
//!
//! A request that resumes a run counts as the same run only if an engine accepts it; otherwise it
//! is an attempt beyond the first. Nobody knows which before the answer, so an attempt is reserved
//! before a run is stopped, and a run for which the budget has none goes on where it is.

use crate::{
    id,
    policy::Policy,
    reducer::{State, effect::Effect, event::Cause},
    retry::Outcome,
    unit::Time,
};

use super::{MoveOutcome, transfer::Reserve};

impl<P: Policy> State<P> {
    /// Reserves an attempt for the move of `request` unless it holds one; returns whether it does.
    pub(super) fn reserve_attempt(&mut self, now: Time, request: id::Request) -> bool {
        let Some(job) = self.jobs.get_mut(&request) else {
            return false;
        };
        let Some(transfer) = job.transfer.as_mut() else {
            return false;
        };
        if transfer.reserve != Reserve::Held && self.budgets.reserve(&job.service, now) {
            transfer.reserve = Reserve::Held;
        }
        transfer.reserve == Reserve::Held
    }

    /// Reserves the attempt without which a run is not stopped. The run stays postponed while the
    /// budget has none left, which is reported once.
    pub(super) fn may_stop(
        &mut self,
        now: Time,
        request: id::Request,
        out: &mut Vec<Effect>,
    ) -> bool {
        if self.reserve_attempt(now, request) {
            return true;
        }
        let Some(job) = self.jobs.get_mut(&request) else {
            return false;
        };
        let service = job.service.clone();
        let transfer = job.transfer.as_mut();
        if let Some(transfer) = transfer.filter(|t| t.reserve == Reserve::Empty) {
            transfer.reserve = Reserve::Awaited;
            self.report_retry(now, request, &service, Outcome::Postponed, out);
        }
        false
    }

    /// Stops the postponed runs for which the budget has attempts again.
    pub(super) fn stop_postponed(&mut self, now: Time, out: &mut Vec<Effect>) {
        for request in self.runs_to_stop() {
            let transfer = self.jobs.get(&request).and_then(|j| j.transfer.as_ref());
            if transfer.is_some_and(|t| t.reserve == Reserve::Awaited) {
                self.request_copy(now, request, out);
            }
        }
    }

    /// Ends the move of a request that an engine accepted.
    pub(in crate::reducer) fn complete_move(
        &mut self,
        now: Time,
        request: id::Request,
        out: &mut Vec<Effect>,
    ) {
        let job = self.jobs.get_mut(&request);
        if !job.is_some_and(|job| job.is_resuming()) {
            return;
        }
        self.settle_reserve(request, false, out);
        if let Some(job) = self.jobs.get_mut(&request) {
            out.extend(job.complete_move(request, now));
        }
        self.stop_postponed(now, out);
    }

    /// Charges a request to resume that failed, unless it certainly reached no engine.
    pub(in crate::reducer) fn charge_failed_resume(
        &mut self,
        request: id::Request,
        cause: Cause,
        out: &mut Vec<Effect>,
    ) {
        if self.jobs.get(&request).is_some_and(|job| job.is_resuming()) {
            self.settle_reserve(request, cause.may_have_arrived(), out);
        }
    }

    /// Frees the copy and gives back the attempt of a run that will not resume, while its stream
    /// goes on.
    pub(super) fn drop_copy(&mut self, request: id::Request, out: &mut Vec<Effect>) {
        self.settle_reserve(request, false, out);
        let job = self.jobs.get_mut(&request);
        let transfer = job.and_then(|job| job.transfer.as_mut());
        let origin = transfer.and_then(|transfer| transfer.take_origin());
        out.extend(origin.map(Effect::FreeCopy));
    }

    /// Ends the move of a request with the outcome `end`, freeing its copy. A request to resume
    /// that is still unanswered is charged.
    pub(super) fn end_transfer(
        &mut self,
        request: id::Request,
        end: MoveOutcome,
        out: &mut Vec<Effect>,
    ) {
        let sent = self.jobs.get(&request).is_some_and(|job| job.is_resuming());
        self.settle_reserve(request, sent, out);
        if let Some(job) = self.jobs.get_mut(&request) {
            out.extend(job.end_transfer(request, end));
        }
    }

    /// Frees the copy of a request that ends here. A copy still being made by a call in flight is
    /// freed when the call's result arrives.
    pub(in crate::reducer) fn free_copy(&mut self, request: id::Request, out: &mut Vec<Effect>) {
        let transfer = self.jobs.get(&request).and_then(|j| j.transfer.as_ref());
        if let Some(end) = transfer.map(|transfer| transfer.end()) {
            self.end_transfer(request, end, out);
        }
    }

    /// Spends the attempt that the move of a request holds, or gives it back.
    fn settle_reserve(&mut self, request: id::Request, spent: bool, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let transfer = job.transfer.as_mut();
        let Some(transfer) = transfer.filter(|t| t.reserve == Reserve::Held) else {
            return;
        };
        transfer.reserve = Reserve::Empty;
        let (service, sent_at) = (job.service.clone(), transfer.step_changed());
        if spent {
            self.budgets.spend_reserved(&service, sent_at);
            self.report_retry(sent_at, request, &service, Outcome::NotResumed, out);
        } else {
            self.budgets.release(&service);
        }
    }
}
