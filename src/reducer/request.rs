//! A request's way from its arrival to its final answer.

use crate::{
    config::{Ask, Refusal},
    id::{self, Service},
    ledger::{Outcome, Phase as KeyPhase},
    pin,
    policy::{Choice, Place, Policy},
    reducer::{
        State,
        effect::{Effect, Entry, Reply, Send, Target},
        event::{Arrival, Cause, Credential, Hop, Key},
    },
    retry,
    unit::{Millis, Rate, Time},
    verdict::Verdict,
    wire::Phase,
};

/// When to come back where nothing better is known.
const SOON: Millis = Millis(1000);
/// The status of a key that was used for another request.
const MISMATCH: u16 = 422;
/// Longest deadline a caller may ask for.
const MAX_LEFT: Millis = Millis(600_000);
/// Waiting requests without a place that are looked at in one go.
const SCAN: usize = 8;

/// Where an attempt is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Spot {
    /// At a place that was chosen.
    Chosen(Place, Option<id::BoxName>),
    /// At the box that the key names.
    Pinned,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for a slot.
    Waiting,
    /// One attempt is in hand.
    Sent {
        attempt: id::Attempt,
        spot: Spot,
        at: Time,
        begun: bool,
    },
    /// It waits for another request with its key.
    Joined(id::Request),
}

/// One request in hand.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) ask: Ask,
    pub(super) service: Service,
    pub(super) prefix: u64,
    pub(super) hop: Hop,
    pub(super) repeatable: bool,
    pub(super) owns_key: bool,
    pub(super) deadline: Time,
    pub(super) attempts: u32,
    pub(super) tried: Vec<Place>,
    pub(super) may_have_run: bool,
    /// Its place in the line, once it was let in; it then stays until it is served or its time is
    /// over.
    pub(super) position: Option<usize>,
    pub(super) stage: Stage,
}

impl Job {
    fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

fn refusal(refusal: Refusal) -> Reply {
    let status = match refusal {
        Refusal::UnknownCaller => 401,
        Refusal::NoRoute | Refusal::NoModel | Refusal::NoSelector => 404,
        Refusal::NoRegion => 503,
    };
    let reply = Reply::new(status, Verdict::NotRun, refusal);
    match refusal {
        Refusal::NoRegion => reply.after(SOON),
        _ => reply,
    }
}

impl<P: Policy> State<P> {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Effect>) {
        let request = arrival.request;
        let credential = arrival.credential.clone();
        let key = match (&arrival.key, &arrival.hop) {
            // A relay is an attempt of the box that owns the key; its refusal speaks of no more.
            (Key::Good(key), Hop::Direct | Hop::Pass) => Some(*key),
            _ => None,
        };
        if let Err(reply) = self.admit(now, arrival, out) {
            let reply = match key {
                Some(key) => self.refuse_key(now, request, &credential, &key, reply),
                None => reply,
            };
            out.push(Effect::Reply { request, reply });
        }
    }

    /// Makes a refusal true for every send of its key, and not of this one alone.
    ///
    /// "Not run" is said only by the box that the key names, and rules the key out for good;
    /// any other box cannot know what became of earlier sends.
    fn refuse_key(
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
        let caller = self.caller(credential);
        let void = self.names_me(now, key)
            && caller.is_some_and(|caller| self.ledger.void(&caller, key, request));
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
    fn names_me(&self, now: Time, key: &pin::Key) -> bool {
        let pin = &key.pin;
        let me = pin.peer == self.table.me.peer && pin.incarnation == self.table.incarnation;
        me && pin.expiry > now && pin.expiry <= now + pin::LIFE
    }

    fn admit(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Effect>) -> Result<(), Reply> {
        let unready = || Reply::new(503, Verdict::NotRun, "this box is not ready").after(SOON);
        let config = self.config.clone().ok_or_else(unready)?;
        if self.phase(now) == Phase::Unready {
            return Err(unready());
        }
        let caller = self
            .caller(&arrival.credential)
            .ok_or_else(|| refusal(Refusal::UnknownCaller))?;
        let ask = Ask {
            caller,
            path: arrival.path,
            model: arrival.model,
        };
        let plan = config.plan(&ask).map_err(refusal)?;
        if matches!(arrival.hop, Hop::Relay(_)) && !plan.permits(&self.table.me.region) {
            let reason = "this region is not permitted";
            return Err(Reply::new(503, Verdict::NotRun, reason));
        }
        let known = match &arrival.key {
            Key::Good(key) => self.ledger.knows(&ask.caller, key),
            Key::Absent | Key::Bad(_) => false,
        };
        // A re-send of a known key costs no new work.
        if arrival.hop == Hop::Direct && !known {
            self.charge(now, &ask.caller, plan.caller.rate)?;
        }
        let left = arrival.left.unwrap_or(plan.route.deadline).min(MAX_LEFT);
        let job = Job {
            service: plan.service.clone(),
            prefix: arrival.prefix,
            repeatable: plan.route.repeatable,
            owns_key: false,
            deadline: now + left,
            attempts: 0,
            tried: vec![],
            may_have_run: false,
            position: None,
            stage: Stage::Waiting,
            hop: arrival.hop,
            ask,
        };
        // A relay carries the decision of the box that owns the key, so it brings none itself.
        if !job.repeatable && !matches!(job.hop, Hop::Relay(_)) {
            return self.admit_key(now, arrival.request, job, &arrival.key, out);
        }
        self.begin(now, arrival.request, job, out);
        Ok(())
    }

    /// Takes a fresh request off its caller's share.
    fn charge(&mut self, now: Time, caller: &id::Caller, rate: Rate) -> Result<(), Reply> {
        let boxes = self.table.ready(now).count() + 1;
        let over = |wait| Reply::new(429, Verdict::NotRun, "over the caller's rate").after(wait);
        self.limiter.take(caller, rate, boxes, now).map_err(over)?;
        self.budget.earn();
        Ok(())
    }

    pub(super) fn caller(&self, credential: &Credential) -> Option<id::Caller> {
        match credential {
            Credential::Missing => None,
            Credential::Key(hash) => {
                let caller = self.config.as_ref()?.caller(hash)?;
                Some(caller.name.clone())
            }
            Credential::Vouched(caller) => Some(caller.clone()),
        }
    }

    fn admit_key(
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
        match self.ledger.claim(&job.ask.caller, key, request) {
            Outcome::Fresh => {
                job.owns_key = true;
                self.begin(now, request, job, out);
            }
            Outcome::Joined => {
                let owner = self.ledger.owner(&job.ask.caller, key);
                job.stage = Stage::Joined(owner.unwrap_or(request));
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

    /// Hands a request to the box that its key names; only a caller's own request is passed.
    fn pass(
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
            begun: false,
        };
        out.push(Effect::Send(Send {
            request,
            attempt,
            target: Target::Pass { peer },
            caller: job.ask.caller.clone(),
            repeatable: false,
            record: false,
            not_after: job.deadline,
        }));
        self.hold(request, job);
        Ok(())
    }

    fn hold(&mut self, request: id::Request, job: Job) {
        self.deadlines.insert((job.deadline, request));
        self.jobs.insert(request, job);
    }

    fn begin(&mut self, now: Time, request: id::Request, job: Job, out: &mut Vec<Effect>) {
        self.hold(request, job);
        // Those who already wait go first.
        let service = self.jobs[&request].service.clone();
        if self.queue.waiting(&service) > 0 {
            self.drain(now, &service, out);
        }
        if self.place(now, request, out) {
            return;
        }
        self.enqueue(request, out);
    }

    /// Finds a place for a request; false where it has to wait.
    fn place(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) -> bool {
        if self.phase(now) == Phase::Unready {
            return false;
        }
        let Some(job) = self.jobs.get(&request) else {
            return true;
        };
        let verdict = job.verdict();
        let decision = match self.decide(now, job) {
            Ok(decision) => decision,
            Err(reason) => {
                let reply = Reply {
                    verdict,
                    ..refusal(reason)
                };
                self.finish(request, reply, out);
                return true;
            }
        };
        match decision.choice {
            Choice::Wait => return false,
            Choice::Send(place) => self.send(now, request, place, out),
            Choice::Refuse(wait) => {
                let reason = if decision.candidates.is_empty() {
                    "no allowed place can take it now"
                } else {
                    "no allowed place can begin the answer in time"
                };
                let reply = Reply::new(503, verdict, reason).after(wait.max(SOON));
                self.finish(request, reply, out);
            }
        }
        true
    }

    fn send(&mut self, now: Time, request: id::Request, place: Place, out: &mut Vec<Effect>) {
        let attempt = self.next_attempt();
        let Some((target, door)) = self.target(&place) else {
            let verdict = self
                .jobs
                .get(&request)
                .map_or(Verdict::NotRun, Job::verdict);
            let reply = Reply::new(503, verdict, "the place is gone").after(SOON);
            return self.finish(request, reply, out);
        };
        match &place {
            Place::Backend(name) => self.servers.entry(name.clone()).or_default().start(),
            Place::Region(region) => self.table.relayed(region),
        }
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.attempts += 1;
        job.tried.push(place.clone());
        job.stage = Stage::Sent {
            attempt,
            spot: Spot::Chosen(place, door),
            at: now,
            begun: false,
        };
        out.push(Effect::Send(Send {
            request,
            attempt,
            target,
            caller: job.ask.caller.clone(),
            repeatable: job.repeatable,
            record: job.owns_key,
            not_after: job.deadline,
        }));
    }

    fn target(&self, place: &Place) -> Option<(Target, Option<id::BoxName>)> {
        match place {
            Place::Backend(name) => {
                let backend = self.config.as_ref()?.backends.get(name)?;
                let target = Target::Backend {
                    name: name.clone(),
                    address: backend.address,
                    refusal_header: backend.refusal_header.clone(),
                };
                Some((target, None))
            }
            Place::Region(region) => {
                let door = self.table.door(region, self.attempts)?;
                let target = Target::Relay {
                    region: region.clone(),
                    door: door.contact.name.clone(),
                    peer: door.contact.peer,
                };
                Some((target, Some(door.contact.name.clone())))
            }
        }
    }

    fn next_attempt(&mut self) -> id::Attempt {
        self.attempts += 1;
        id::Attempt(self.attempts)
    }

    /// The spot and start of `attempt`, where it is the one in hand.
    fn in_hand(&self, request: id::Request, attempt: id::Attempt) -> Option<(Spot, Time, bool)> {
        match &self.jobs.get(&request)?.stage {
            Stage::Sent {
                attempt: current,
                spot,
                at,
                begun,
            } if *current == attempt => Some((spot.clone(), *at, *begun)),
            _ => None,
        }
    }

    pub(super) fn begun(&mut self, now: Time, request: id::Request, attempt: id::Attempt) {
        let Some((spot, at, _)) = self.in_hand(request, attempt) else {
            return;
        };
        if let Spot::Chosen(Place::Backend(name), _) = &spot
            && let Some(server) = self.servers.get_mut(name)
        {
            server.begin(now.since(at), now);
        }
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, request));
        job.stage = Stage::Sent {
            attempt,
            spot,
            at,
            begun: true,
        };
    }

    pub(super) fn ended(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        whole: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some((spot, at, _)) = self.in_hand(request, attempt) else {
            return;
        };
        self.release(&spot, at, whole.then_some(now.since(at)));
        let Some(job) = self.jobs.remove(&request) else {
            return;
        };
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

    fn resolve_joiner(
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

    pub(super) fn failed(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        verdict: Verdict,
        cause: Cause,
        out: &mut Vec<Effect>,
    ) {
        let Some((spot, at, _)) = self.in_hand(request, attempt) else {
            return;
        };
        self.release(&spot, at, None);
        self.blame(now, &spot, cause);
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.may_have_run |= !verdict.is_not_run();
        job.stage = Stage::Waiting;
        let safe = job.repeatable || !job.may_have_run;
        let again = safe && spot != Spot::Pinned && job.attempts < retry::MAX_ATTEMPTS;
        let service = job.service.clone();
        if again && now < job.deadline && self.budget.spend() {
            if !self.place(now, request, out) {
                self.enqueue(request, out);
            }
        } else {
            let reply = give_up(&spot, job.verdict(), cause);
            self.finish(request, reply, out);
        }
        self.drain(now, &service, out);
    }

    /// Lets a request wait, at the end of its caller's line.
    fn enqueue(&mut self, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.position = Some(SCAN);
        let (service, caller, verdict) =
            (job.service.clone(), job.ask.caller.clone(), job.verdict());
        if !self.queue.push(&service, &caller, request) {
            let reply = Reply::new(503, verdict, "too many requests wait").after(SOON);
            self.finish(request, reply, out);
        }
    }

    /// Gives back what an attempt that went out at `at` held; `took` tells of a whole answer.
    fn release(&mut self, spot: &Spot, at: Time, took: Option<Millis>) {
        match spot {
            Spot::Chosen(Place::Backend(name), _) => {
                if let Some(server) = self.servers.get_mut(name) {
                    server.end(took);
                }
            }
            Spot::Chosen(Place::Region(region), _) => self.table.relay_ended(region, at),
            Spot::Pinned => {}
        }
    }

    fn blame(&mut self, now: Time, spot: &Spot, cause: Cause) {
        match (spot, cause) {
            (_, Cause::Late) | (Spot::Pinned, _) => {}
            (Spot::Chosen(Place::Backend(name), _), Cause::Refused) => {
                self.servers.entry(name.clone()).or_default().refuse(now);
            }
            (Spot::Chosen(Place::Backend(name), _), _) => {
                self.servers.entry(name.clone()).or_default().fail(now);
            }
            (Spot::Chosen(Place::Region(region), Some(door)), Cause::Unreachable) => {
                self.table.lose_door(region, door);
            }
            (Spot::Chosen(Place::Region(region), _), Cause::Refused) => {
                self.table.relay_refused(region, now);
            }
            (Spot::Chosen(Place::Region(_), _), _) => {}
        }
    }

    pub(super) fn gone(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        match &job.stage {
            Stage::Sent { .. } if job.owns_key => return,
            Stage::Sent {
                attempt, spot, at, ..
            } => {
                let (attempt, spot, at) = (*attempt, spot.clone(), *at);
                out.push(Effect::Abort { request, attempt });
                self.release(&spot, at, None);
            }
            Stage::Waiting => {
                let (service, caller) = (job.service.clone(), job.ask.caller.clone());
                self.queue.remove(&service, &caller, request);
            }
            Stage::Joined(owner) => self.ledger.leave(*owner, request),
        }
        let Some(job) = self.jobs.remove(&request) else {
            return;
        };
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

    /// Gives a request its final answer and forgets it.
    pub(super) fn finish(&mut self, request: id::Request, reply: Reply, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.remove(&request) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, request));
        let reply = Reply {
            offer_key: reply.offer_key || (job.owns_key && reply.verdict.is_not_run()),
            ..reply
        };
        if job.owns_key {
            for joiner in self.ledger.settle(request, key_phase(reply.verdict)) {
                let same = reply.clone();
                self.finish(joiner, same, out);
            }
        }
        out.push(Effect::Reply { request, reply });
    }

    /// Ends the requests whose time is over.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.deadlines.remove(&(deadline, request));
            self.expire_one(now, request, out);
        }
    }

    fn expire_one(&mut self, now: Time, request: id::Request, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let service = job.service.clone();
        let reply = match job.stage.clone() {
            Stage::Waiting => {
                let caller = job.ask.caller.clone();
                self.queue.remove(&service, &caller, request);
                Reply::new(503, job.verdict(), "no slot was free in time").after(SOON)
            }
            Stage::Sent {
                attempt, spot, at, ..
            } => {
                out.push(Effect::Abort { request, attempt });
                self.release(&spot, at, None);
                let reason = "the answer did not begin in time";
                Reply::new(504, Verdict::MayHaveRun, reason).after(SOON)
            }
            Stage::Joined(owner) => {
                self.ledger.leave(owner, request);
                let reason = "the first send of this key is still running";
                Reply::new(504, Verdict::MayHaveRun, reason).after(SOON)
            }
        };
        self.finish(request, reply, out);
        self.drain(now, &service, out);
    }

    /// Gives free slots of a service to those who wait, in fair turns.
    pub(super) fn drain(&mut self, now: Time, service: &Service, out: &mut Vec<Effect>) {
        let mut stuck = Vec::new();
        while stuck.len() < SCAN {
            let Some(request) = self.queue.pop(service) else {
                break;
            };
            if let Some(job) = self.jobs.get_mut(&request) {
                job.position = Some(stuck.len());
            }
            if !self.place(now, request, out) {
                stuck.push(request);
            }
        }
        for request in stuck.into_iter().rev() {
            if let Some(job) = self.jobs.get(&request) {
                self.queue.put_back(service, &job.ask.caller, request);
            }
        }
    }

    pub(super) fn drain_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        for service in self.queue.services() {
            self.drain(now, &service, out);
        }
    }

    pub(super) fn boxes(
        &mut self,
        now: Time,
        request: id::Request,
        credential: &Credential,
        out: &mut Vec<Effect>,
    ) {
        let name = self.caller(credential);
        let caller = self
            .config
            .as_ref()
            .zip(name)
            .and_then(|(config, name)| config.callers.get(&name));
        let Some(caller) = caller else {
            let reply = match self.config {
                Some(_) => refusal(Refusal::UnknownCaller),
                None => Reply::new(503, Verdict::NotRun, "this box is not ready").after(SOON),
            };
            out.push(Effect::Reply { request, reply });
            return;
        };
        let home = caller.home.clone();
        let boxes = self.entries(now, home.as_ref());
        out.push(Effect::Boxes { request, boxes });
    }

    fn entries(&self, now: Time, home: Option<&id::Region>) -> Vec<Entry> {
        let me = (self.phase(now) == Phase::Ready).then(|| Entry {
            contact: self.table.me.clone(),
            incarnation: self.table.incarnation,
            uptime: now,
            busy: Some(self.jobs.len() as u32),
        });
        let near = self.table.ready(now).map(|peer| Entry {
            contact: peer.last.contact.clone(),
            incarnation: peer.incarnation,
            uptime: peer.uptime(now),
            busy: Some(peer.last.busy),
        });
        let far = self.table.reachable(now).flat_map(|(_, remote)| {
            let age = now.since(remote.heard);
            remote.digest.doors.iter().map(move |door| Entry {
                contact: door.contact.clone(),
                incarnation: door.incarnation,
                uptime: door.uptime + age,
                busy: None,
            })
        });
        let mut boxes: Vec<Entry> = me.into_iter().chain(near).chain(far).collect();
        let mine = &self.table.me.region;
        boxes.sort_by_key(|e| {
            let region = &e.contact.region;
            (Some(region) != home, region != mine, e.busy)
        });
        boxes
    }
}

/// What is remembered of a key whose request got the gateway's own answer.
fn key_phase(verdict: Verdict) -> KeyPhase {
    match verdict {
        Verdict::NotRun => KeyPhase::Void,
        Verdict::MayHaveRun | Verdict::Ran => KeyPhase::Unknown,
    }
}

fn offer(reason: impl std::fmt::Display) -> Reply {
    Reply {
        offer_key: true,
        ..Reply::new(428, Verdict::NotRun, reason)
    }
}

fn give_up(spot: &Spot, verdict: Verdict, cause: Cause) -> Reply {
    if *spot == Spot::Pinned {
        let reason = "the box that the key names does not answer";
        return Reply::new(409, Verdict::MayHaveRun, reason);
    }
    let reason = match cause {
        Cause::Unreachable => "the place could not be reached",
        Cause::Refused => "the place refused it",
        Cause::Broken => "the connection broke before the answer began",
        Cause::Late => "the box was too late to send it",
    };
    let status = if verdict.is_not_run() { 503 } else { 502 };
    Reply::new(status, verdict, reason).after(SOON)
}
