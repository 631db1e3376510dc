//! Requests that may not be repeated: their key decides where they run, and whether.

use crate::{
    id,
    ledger::{Outcome, Phase as KeyPhase},
    pin,
    policy::Policy,
    reducer::{
        State,
        effect::{Basis, Effect, Reply, Send, Target},
        event::{Credential, Hop, Key},
        job::{Job, SOON, Spot, Stage},
    },
    unit::{Millis, Time},
    verdict::Verdict,
};

/// The status of a key that was used for another request.
const MISMATCH: u16 = 422;

impl<P: Policy> State<P> {
    /// Makes a refusal true for every send of its key, and not of this one alone.
    ///
    /// "Not run" is said only by the box that the key names, and rules the key out for good;
    /// any other box cannot know what became of earlier sends.
    pub(super) fn refuse_key(
        &mut self,
        now: Time,
        request: id::Request,
        credential: &Credential,
        key: &pin::Key,
        reply: Reply,
    ) -> Reply {
        if !reply.verdict.is_not_run() || reply.status == MISMATCH {
            return reply;
        }
        let customer = self.customer(credential);
        let void = self.names_me(now, key)
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

    /// Whether `key` lives and names this life of this box.
    pub(super) fn names_me(&self, now: Time, key: &pin::Key) -> bool {
        let pin = &key.pin;
        let me = pin.peer == self.table.me.peer && pin.incarnation == self.table.incarnation;
        me && pin.expiry > now && pin.expiry <= now + pin::LIFE
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
            Key::Absent => return Err(offer("this route needs an idempotency key")),
            Key::Bad(error @ pin::Error::Malformed) => return Err(offer(error)),
            Key::Bad(error @ pin::Error::Foreign) => {
                return Err(Reply::new(409, Verdict::MayHaveRun, error));
            }
        };
        if key.pin.peer != self.table.me.peer {
            return self.pass(now, request, job, key, out);
        }
        if key.pin.incarnation != self.table.incarnation {
            let reason = "the box that the key names has been replaced";
            return Err(Reply::new(409, Verdict::MayHaveRun, reason));
        }
        if key.pin.expiry <= now {
            return Err(Reply::new(409, Verdict::MayHaveRun, "the key has expired"));
        }
        if key.pin.expiry > now + pin::LIFE {
            return Err(offer("the key's end lies too far ahead"));
        }
        match self.ledger.claim(&job.ask.customer, key, request) {
            Outcome::Fresh => {
                job.owns_key = true;
                self.begin(now, request, job, out);
            }
            Outcome::Joined(owner) if job.hop == Hop::Direct && self.waits_passed(owner) => {
                self.hand_over(owner, request);
                job.owns_key = true;
                self.begin(now, request, job, out);
            }
            Outcome::Joined(owner) => {
                job.stage = Stage::Joined(owner);
                self.hold(request, job);
            }
            Outcome::Finished(answer) => out.push(Effect::Replay { request, answer }),
            Outcome::Unknown => {
                let reason = "an earlier send of this key may have run";
                return Err(Reply::new(409, Verdict::MayHaveRun, reason));
            }
            Outcome::Void => return Err(offer("the key was refused as not run; use a fresh one")),
            Outcome::Mismatch => {
                let reason = "the key was used for another request";
                return Err(Reply::new(MISMATCH, Verdict::NotRun, reason));
            }
            Outcome::Full => {
                let reason = "this box remembers too many keys";
                return Err(Reply::new(503, Verdict::MayHaveRun, reason).after(SOON));
            }
        }
        Ok(())
    }

    /// Whether `request` was passed here by another box and still waits for a place.
    fn waits_passed(&self, request: id::Request) -> bool {
        let job = self.jobs.get(&request);
        job.is_some_and(|job| job.hop == Hop::Pass && job.stage == Stage::Waiting)
    }

    /// Gives the key of `owner`, which waits, to `request`: what comes straight from its caller may be
    /// relayed to other regions, and what was passed here may not.
    fn hand_over(&mut self, owner: id::Request, request: id::Request) {
        let Some(job) = self.jobs.get_mut(&owner) else {
            return;
        };
        job.owns_key = false;
        job.position = None;
        job.stage = Stage::Joined(request);
        let spot = job.spot();
        self.queue.remove(&spot, owner);
        self.late.remove(&spot, owner);
        self.ledger.hand_over(owner, request);
    }

    /// Hands a request to the box that its key names; only a caller's own request is passed.
    pub(super) fn pass(
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
        let peer = key.pin.peer;
        let attempt = self.next_attempt();
        job.may_have_run = true;
        job.stage = Stage::Sent {
            attempt,
            spot: Spot::Pinned,
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
        self.hold(request, job);
        self.book_run(now, request);
        Ok(())
    }
}

/// What is remembered of a key whose request got the gateway's own answer.
pub(super) fn key_phase(verdict: Verdict) -> KeyPhase {
    match verdict {
        Verdict::NotRun => KeyPhase::Void,
        Verdict::MayHaveRun | Verdict::Ran => KeyPhase::Unknown,
    }
}

pub(super) fn offer(reason: impl std::fmt::Display) -> Reply {
    Reply {
        offer_key: true,
        ..Reply::new(428, Verdict::NotRun, reason)
    }
}
