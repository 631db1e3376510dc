//! Requests that may not be repeated: their idempotency key determines the box that handles them,
//! and whether they run.

use crate::{
    id,
    ledger::{Outcome, Phase as KeyPhase},
    pin,
    policy::Policy,
    reducer::{
        State,
        effect::{Basis, Effect, Reply, Send, Target},
        event::{Credential, Hop, Key},
        job::{Assignment, DEFAULT_RETRY_AFTER, Job, Stage},
    },
    unit::{Millis, Time},
    verdict::Verdict,
};

/// HTTP status for a key that was used for another request.
const MISMATCH_STATUS: u16 = 422;

impl<P: Policy> State<P> {
    /// Extends a refusal of one send to all sends of its key.
    ///
    /// Only the box that the key names may answer "not run", and it then rules the key out for
    /// good. Any other box cannot know the outcome of earlier sends.
    pub(super) fn refuse_key(
        &mut self,
        now: Time,
        request: id::Request,
        credential: &Credential,
        key: &pin::Key,
        reply: Reply,
    ) -> Reply {
        if !reply.verdict.is_not_run() || reply.status == MISMATCH_STATUS {
            return reply;
        }
        let customer = self.customer(credential);
        let void = self.names_this_box(now, key)
            && customer.is_some_and(|customer| self.ledger.void(&customer, key, request));
        Reply {
            verdict: if void {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            },
            offer_key: void,
            ..reply
        }
    }

    /// Reports whether `key` is valid at `now` and names this incarnation of this box.
    pub(super) fn names_this_box(&self, now: Time, key: &pin::Key) -> bool {
        let pin = &key.pin;
        let me = pin.peer == self.table.me.peer && pin.incarnation == self.table.incarnation;
        me && pin.expiry > now && pin.expiry <= now + pin::PIN_LIFETIME
    }

    pub(super) fn admit_key(
        &mut self,
        now: Time,
        request: id::Request,
        mut job: Job,
        key: &Key,
        out: &mut Vec<Effect>,
    ) -> Result<(), Reply> {
        let key = match key {
            Key::Good(key) => key,
            Key::Absent => return Err(key_required("this route needs an idempotency key")),
            Key::Bad(error @ pin::Error::Malformed) => return Err(key_required(error)),
            Key::Bad(error @ pin::Error::WrongSecret) => {
                return Err(Reply::new(409, Verdict::MayHaveRun, error));
            }
        };
        if key.pin.peer != self.table.me.peer {
            return self.pass_to_named_box(now, request, job, key, out);
        }
        if key.pin.incarnation != self.table.incarnation {
            let reason = "the box that the key names has been replaced";
            return Err(Reply::new(409, Verdict::MayHaveRun, reason));
        }
        if key.pin.expiry <= now {
            return Err(Reply::new(409, Verdict::MayHaveRun, "the key has expired"));
        }
        if key.pin.expiry > now + pin::PIN_LIFETIME {
            return Err(key_required("the key's end lies too far ahead"));
        }
        match self.ledger.claim(&job.ask.customer, key, request) {
            Outcome::Fresh => {
                job.owns_key = true;
                self.place_or_enqueue(now, request, job, out);
            }
            Outcome::Joined(owner) if job.hop == Hop::Direct && self.is_waiting_pass(owner) => {
                self.transfer_key(owner, request);
                job.owns_key = true;
                self.place_or_enqueue(now, request, job, out);
            }
            Outcome::Joined(owner) => {
                job.stage = Stage::AwaitingOwner(owner);
                self.insert_job(request, job);
            }
            Outcome::Finished(answer) => out.push(Effect::Replay { request, answer }),
            Outcome::Unknown => {
                let reason = "an earlier send of this key may have run";
                return Err(Reply::new(409, Verdict::MayHaveRun, reason));
            }
            Outcome::Void => {
                return Err(key_required(
                    "the key was refused as not run; use a fresh one",
                ));
            }
            Outcome::Mismatch => {
                let reason = "the key was used for another request";
                return Err(Reply::new(MISMATCH_STATUS, Verdict::NotRun, reason));
            }
            Outcome::Full => {
                let reason = "this box remembers too many keys";
                return Err(Reply::new(503, Verdict::MayHaveRun, reason)
                    .with_retry_after(DEFAULT_RETRY_AFTER));
            }
        }
        Ok(())
    }

    /// Reports whether `request` was passed on by another box and still waits for a place.
    fn is_waiting_pass(&self, request: id::Request) -> bool {
        let job = self.jobs.get(&request);
        job.is_some_and(|job| job.hop == Hop::Pass && job.stage == Stage::Waiting)
    }

    /// Transfers the key of `owner`, which waits, to `request`. A request that arrived directly
    /// from its caller may be relayed to other regions; one that was passed on by a box may not.
    fn transfer_key(&mut self, owner: id::Request, request: id::Request) {
        let Some(job) = self.jobs.get_mut(&owner) else {
            return;
        };
        job.owns_key = false;
        job.position = None;
        job.stage = Stage::AwaitingOwner(request);
        let spot = job.queue_position();
        self.queue.remove(&spot, owner);
        self.late.remove(&spot, owner);
        self.ledger.transfer_ownership(owner, request);
    }

    /// Sends a request to the box that its key names. Only requests that arrived directly from a
    /// caller are passed on.
    pub(super) fn pass_to_named_box(
        &mut self,
        now: Time,
        request: id::Request,
        mut job: Job,
        key: &pin::Key,
        out: &mut Vec<Effect>,
    ) -> Result<(), Reply> {
        if job.hop != Hop::Direct {
            let reason = "the key names another box than the one it was passed to";
            return Err(Reply::new(409, Verdict::MayHaveRun, reason));
        }
        if let Some(reply) = self.grace_refusal(now, &job) {
            return Err(reply);
        }
        let peer = key.pin.peer;
        let attempt = self.next_attempt();
        job.may_have_run = true;
        job.stage = Stage::Sent {
            attempt,
            spot: Assignment::Pinned,
            at: now,
            work: 0,
            expected: Millis(0),
            begun: None,
        };
        out.push(Effect::Send(Send {
            request,
            attempt,
            target: Target::Pass { peer },
            customer: job.ask.customer.clone(),
            anonymous: self.is_anonymous(&job.ask.customer),
            route: job.line.clone(),
            repeatable: false,
            resumable: false,
            movable: false,
            continues: None,
            priority: job.priority,
            runs: job.runs,
            record: false,
            fetch: None,
            not_after: job.deadline,
            basis: Basis::default(),
        }));
        self.insert_job(request, job);
        self.book_run(now, request);
        Ok(())
    }
}

/// Returns the ledger entry for a key whose request was answered by the gateway itself.
pub(super) fn key_phase(verdict: Verdict) -> KeyPhase {
    match verdict {
        Verdict::NotRun => KeyPhase::Void,
        Verdict::MayHaveRun | Verdict::Ran => KeyPhase::Unknown,
    }
}

pub(super) fn key_required(reason: impl std::fmt::Display) -> Reply {
    Reply {
        offer_key: true,
        ..Reply::new(428, Verdict::NotRun, reason)
    }
}
