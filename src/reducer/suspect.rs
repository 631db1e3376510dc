//! Finds out which request content, or which part of prompts, crashed a backend server, and shares
//! the evidence between boxes.
//!
//! Load pattern: a server that crashes breaks tens of attempts of several boxes within
//! milliseconds. A broken connection alone does not prove a crash, since servers reset connections
//! and links are cut. The box therefore probes the server's port, twice if it is open at first;
//! only a closed port counts as the end of that incarnation. The result is sent to every box at
//! once, and quarantined contents are also part of the messages that boxes exchange regularly, so a
//! box that started, resumed or was cut off learns them from the first such message.

use std::collections::{HashMap, VecDeque};

use crate::{
    content::Fingerprint,
    crash::{Evidence, Origin, Report, Success, Suspect},
    id::{self, Service},
    policy::{Place, Policy},
    quarantine::{self, Held, Step, Strike},
    reducer::{
        State,
        effect::{Effect, Reply},
        job::{Assignment, Job, Stage},
        outcome,
    },
    unit::{Millis, Time},
    wire::{Body, Frame, Marks, NameHash, Parts},
};

/// Maximum number of strikes, or of cleared contents, in one message: about 1.5 KB.
const MAX_MARKS_PER_MESSAGE: usize = 64;
/// Maximum number of strikes kept for one server while it is probed; an engine's batch is 64.
const MAX_STRIKES_PER_PROBE: usize = 128;

/// How long a request waits for the result of a probe: two connection attempts and the time between
/// them take 400 ms at most.
const PROBE_TIMEOUT: Millis = Millis(500);

/// How long answers that ended with their connections are remembered: a crash shows in other
/// connections, or in the next attempt to open one.
const CLOSED_RETENTION: Millis = Millis(1000);
/// Maximum number of such answers.
const MAX_CLOSED: usize = 128;

/// A request that a server ran when it may have crashed.
#[derive(Debug)]
struct Involvement {
    at: Time,
    backend: id::Backend,
    service: Service,
    strike: Strike,
    suspect: Option<Suspect>,
}

/// A probe of a server's port that has not reported yet.
#[derive(Debug)]
struct Probe {
    since: Time,
    /// The strikes to record if the server has crashed.
    strikes: Vec<Strike>,
    /// The service of the attempts that broke.
    service: Service,
    /// The requests with a prompt that may have crashed it.
    suspects: Vec<Suspect>,
}

/// Attempts that broke at servers which may have crashed.
#[derive(Debug, Default)]
pub(super) struct CrashProbes {
    probes: HashMap<id::Backend, Probe>,
    /// Requests whose answers ended as they would after a crash.
    closed: VecDeque<Involvement>,
    /// Cleared contents that the other boxes have not been told of yet.
    cleared: Vec<Fingerprint>,
    /// Parts with complete answers that the other boxes have not been told of yet.
    answered: Vec<Fingerprint>,
}

impl CrashProbes {
    fn add_closed(&mut self, involved: Involvement, now: Time) {
        self.closed.retain(|c| now.since(c.at) < CLOSED_RETENTION);
        if self.closed.len() >= MAX_CLOSED {
            self.closed.pop_front();
        }
        self.closed.push_back(involved);
    }

    /// Removes the last answer of a server that ended with its connection.
    fn pop_closed(&mut self, name: &id::Backend, now: Time) -> Option<Involvement> {
        let recent = |c: &Involvement| c.backend == *name && now.since(c.at) < CLOSED_RETENTION;
        let last = self.closed.iter().rposition(recent)?;
        self.closed.remove(last)
    }

    /// Removes all such answers of a server.
    fn take_closed(&mut self, name: &id::Backend, now: Time) -> Vec<Involvement> {
        std::iter::from_fn(|| self.pop_closed(name, now)).collect()
    }
}

impl Probe {
    /// Returns the weight of a crash as evidence against `content`, if it ran there. One crash
    /// counts once, however many attempts with that content broke.
    fn weight(&self, content: &Fingerprint) -> Option<u32> {
        let same = self.strikes.iter().filter(|s| s.content == *content);
        same.map(|strike| strike.weight).max()
    }

    /// Reports whether a request with `part` may have crashed the server.
    fn suspects(&self, part: &Fingerprint) -> bool {
        NameHash::of(self.service.as_str()) == part.owner
            && self
                .suspects
                .iter()
                .any(|s| s.parts.contains(&part.content))
    }
}

impl<P: Policy> State<P> {
    /// Records an attempt whose connection to its backend server broke, and probes whether the
    /// server has crashed.
    pub(super) fn probe_after_break(
        &mut self,
        now: Time,
        request: id::Request,
        in_flight: &outcome::InFlight,
        out: &mut Vec<Effect>,
    ) {
        let Assignment::Chosen(Place::Backend(name), _) = &in_flight.spot else {
            return;
        };
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let begun = in_flight.begun.map(|at| now.since(at));
        out.push(Effect::Broken {
            request,
            backend: name.clone(),
            content: job.content,
            parts: job.shared_parts().to_vec(),
            age: now.since(in_flight.at),
            begun,
        });
        let broken = self.involvement(now, name, job, begun);
        // The end of a server that was leaving is expected.
        if let Some(broken) = broken {
            self.probe(now, broken, out);
        }
    }

    /// Returns how a request is involved if the server that ran it has crashed; `begun` is the time
    /// since its answer began. `None` if the server was leaving.
    fn involvement(
        &self,
        now: Time,
        name: &id::Backend,
        job: &Job,
        begun: Option<Millis>,
    ) -> Option<Involvement> {
        let backend = self.fleet.get(name).filter(|backend| !backend.leaving)?;
        Some(Involvement {
            at: now,
            backend: name.clone(),
            service: job.service.clone(),
            strike: Strike {
                content: job.content,
                life: backend.life(),
                weight: quarantine::weight(begun),
            },
            suspect: job.suspect(begun),
        })
    }

    /// Probes a server that may have crashed while it ran a request.
    fn probe(&mut self, now: Time, involved: Involvement, out: &mut Vec<Effect>) {
        let Some(backend) = self.fleet.get(&involved.backend) else {
            return;
        };
        let address = backend.address;
        let name = involved.backend.clone();
        let closed = self.suspects.take_closed(&name, now);
        let probes = &mut self.suspects.probes;
        // A later result may concern the server's next incarnation.
        probes.retain(|_, probe| now.since(probe.since) < PROBE_TIMEOUT);
        if !probes.contains_key(&name) {
            let backend = name.clone();
            out.push(Effect::Probe { backend, address });
        }
        let probe = probes.entry(name).or_insert(Probe {
            since: now,
            strikes: Vec::new(),
            service: involved.service.clone(),
            suspects: Vec::new(),
        });
        for involved in closed.into_iter().chain([involved]) {
            if probe.strikes.len() < MAX_STRIKES_PER_PROBE {
                probe.strikes.push(involved.strike);
                probe.suspects.extend(involved.suspect);
            }
        }
    }

    pub(super) fn mark_inconclusive(&mut self, request: id::Request, attempt: id::Attempt) {
        if self.in_hand(request, attempt).is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&request) {
            job.inconclusive = true;
        }
    }

    /// Remembers a request whose answer ended as it would if its server had crashed.
    pub(super) fn record_inconclusive(
        &mut self,
        now: Time,
        job: &Job,
        in_flight: &outcome::InFlight,
    ) {
        let Assignment::Chosen(Place::Backend(name), _) = &in_flight.spot else {
            return;
        };
        let begun = in_flight.begun.map(|at| now.since(at));
        if let Some(involved) = self.involvement(now, name, job, begun) {
            self.suspects.add_closed(involved, now);
        }
    }

    /// Probes a server that cannot be reached soon after answers ended with their connections.
    pub(super) fn probe_after_close(
        &mut self,
        now: Time,
        spot: &Assignment,
        out: &mut Vec<Effect>,
    ) {
        let Assignment::Chosen(Place::Backend(name), _) = spot else {
            return;
        };
        if let Some(involved) = self.suspects.pop_closed(name, now) {
            self.probe(now, involved, out);
        }
    }

    /// Handles the result of a probe: if the server has ended, records a strike for each content
    /// that was in flight there.
    pub(super) fn on_probe_result(
        &mut self,
        now: Time,
        backend: &id::Backend,
        closed: bool,
        out: &mut Vec<Effect>,
    ) {
        self.judge_broken(backend, closed);
        let probe = self.suspects.probes.remove(backend);
        let probe = probe.filter(|_| closed);
        if let Some(probe) = &probe {
            self.report_crash(now, probe, out);
        }
        let strikes = probe.map(|probe| probe.strikes);
        let mut new_strikes = Vec::new();
        for strike in strikes.into_iter().flatten() {
            if self.record_strike(now, strike, out) {
                new_strikes.push(strike);
                self.store_quarantined(now, strike.content, out);
            }
        }
        for strikes in new_strikes.chunks(MAX_MARKS_PER_MESSAGE) {
            let strikes = strikes.to_vec();
            self.broadcast_marks(
                now,
                Marks {
                    strikes,
                    ..Marks::default()
                },
                out,
            );
        }
        // Requests that waited for the result may continue unless they are quarantined now.
        self.drain_all(now, out);
    }

    /// Clears a content after a complete answer or an operator's pardon.
    pub(super) fn clear_content(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        let Some(step) = self.quarantine.clear(content, now) else {
            return;
        };
        out.push(Effect::Quarantine(step));
        self.suspects.cleared.push(content);
        if self.registry && step.is_decision() {
            out.push(Effect::RemoveHeld(content));
        }
    }

    /// Stores a quarantined content if this box itself found the evidence.
    fn store_quarantined(&self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        if !self.registry {
            return;
        }
        let left = self.quarantine.held(&content, now);
        out.extend(left.map(|left| Effect::StoreHeld(Held { content, left })));
    }

    /// Quarantines a content that the store holds. The store does not give the remaining time, so
    /// the full period is used.
    pub(super) fn on_stored_quarantine(
        &mut self,
        now: Time,
        content: Fingerprint,
        out: &mut Vec<Effect>,
    ) {
        let left = quarantine::HOLD;
        self.receive_held(now, &[Held { content, left }], out);
    }

    /// Sends the other boxes the contents cleared and the parts answered since the last tick.
    pub(super) fn send_cleared(&mut self, now: Time, out: &mut Vec<Effect>) {
        let cleared = std::mem::take(&mut self.suspects.cleared);
        for cleared in cleared.chunks(MAX_MARKS_PER_MESSAGE) {
            let marks = Marks {
                cleared: cleared.to_vec(),
                ..Marks::default()
            };
            self.broadcast_marks(now, marks, out);
        }
        let mut answered = std::mem::take(&mut self.suspects.answered);
        answered.sort_unstable();
        answered.dedup();
        for answered in answered.chunks(MAX_MARKS_PER_MESSAGE) {
            let success = |part: &Fingerprint| {
                let age = now.since(self.crashes.last_success(part)?);
                Some(Success { part: *part, age })
            };
            let successes = answered.iter().filter_map(success).collect();
            let evidence = Evidence {
                successes,
                ..Evidence::default()
            };
            self.broadcast_evidence(now, evidence, out);
        }
    }

    fn broadcast_evidence(&mut self, now: Time, evidence: Evidence, out: &mut Vec<Effect>) {
        let marks = Marks {
            parts: Parts(evidence),
            ..Marks::default()
        };
        self.broadcast_marks(now, marks, out);
    }

    /// Applies strikes and cleared contents received from another box, and forwards them if
    /// requested.
    pub(super) fn receive_marks(
        &mut self,
        now: Time,
        frame: &Frame,
        marks: &Marks,
        out: &mut Vec<Effect>,
    ) {
        let Evidence { reports, successes } = &marks.parts.0;
        for report in reports {
            self.crashes.record(report, Origin::Other, now);
        }
        for success in successes {
            // Another box has announced it already.
            self.suspects.answered.retain(|part| *part != success.part);
            let began = Time(now.0.saturating_sub(success.age.0));
            self.crashes.record_success(success.part, began);
            self.lift_refuted(now, success.part, out);
        }
        for strike in &marks.strikes {
            // This box has a complete answer for the content, so it tells all boxes that it is
            // cleared.
            if self.quarantine.has_recent_success(&strike.content, now) {
                self.suspects.cleared.push(strike.content);
                continue;
            }
            self.record_strike(now, *strike, out);
        }
        for content in &marks.cleared {
            // Another box has announced it already.
            self.suspects.cleared.retain(|other| other != content);
            let step = self.quarantine.clear(*content, now);
            out.extend(step.map(Effect::Quarantine));
        }
        if marks.spread {
            let body = Body::Marks(Marks {
                spread: false,
                ..marks.clone()
            });
            self.forward(now, frame, body, out);
        }
    }

    /// Applies the quarantined contents received from another box.
    pub(super) fn receive_held(&mut self, now: Time, held: &[Held], out: &mut Vec<Effect>) {
        for held in held {
            if self.quarantine.has_recent_success(&held.content, now) {
                self.suspects.cleared.push(held.content);
            } else if self.crashes.refutes(&held.content, held.since(now)) {
                self.suspects.answered.push(held.content);
            } else if self.crashes.accepts(&held.content)
                && let Some(step) = self.quarantine.apply_report(*held, now)
            {
                self.apply_step(now, step, out);
            }
        }
    }

    /// Lets a content run again on an operator's request.
    pub(super) fn pardon(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        if self.crashes.knows(&content) {
            self.crashes.record_success(content, now);
            self.suspects.answered.push(content);
            self.lift_refuted(now, content, out);
        } else {
            self.clear_content(now, content, out);
        }
        self.send_cleared(now, out);
    }

    /// Returns the refusal for a request whose content is quarantined, or `None` if it may run.
    pub(super) fn quarantine_refusal(&self, now: Time, job: &Job) -> Option<Reply> {
        let (left, reason) = match self.quarantine.held(&job.content, now) {
            Some(left) => {
                let reason =
                    "it is held back: backend servers ended while they ran the same request";
                (left, reason)
            }
            None => {
                let held = |part| self.quarantine.held(&part, now);
                let reason = "it is held back: backend servers ended under a part of its prompt";
                (job.part_fingerprints().find_map(held)?, reason)
            }
        };
        Some(Reply::new(503, job.verdict(), reason).with_retry_after(left))
    }

    /// Reports whether a server is being probed whose crash would be the last evidence needed to
    /// quarantine the job's content. No further server is risked before the result is known.
    /// Without this wait a stream went on to a fourth server in the milliseconds that the probe
    /// took, in 2 of 10 runs of ten such requests at two boxes; with it, in none of 16.
    pub(super) fn awaits_probe(&self, now: Time, job: &Job) -> bool {
        let recent = |probe: &&Probe| now.since(probe.since) < PROBE_TIMEOUT;
        let probed = |part: &Fingerprint| {
            let mut probes = self.suspects.probes.values().filter(recent);
            probes.any(|probe| probe.suspects(part))
        };
        let mut parts = job.part_fingerprints();
        if parts.any(|part| probed(&part) && self.crashes.needs_one_more(&part)) {
            return true;
        }
        let probes = self.suspects.probes.values();
        let weight: u32 = probes
            .filter(recent)
            .filter_map(|probe| probe.weight(&job.content))
            .sum();
        weight > 0 && self.quarantine.would_quarantine(&job.content, weight)
    }

    /// Reports the requests in flight at a server that crashed to all boxes, this one included.
    fn report_crash(&mut self, now: Time, probe: &Probe, out: &mut Vec<Effect>) {
        let Some(life) = probe.strikes.first().map(|strike| strike.life) else {
            return;
        };
        for suspects in probe.suspects.chunks(MAX_MARKS_PER_MESSAGE) {
            let report = Report {
                life,
                service: NameHash::of(probe.service.as_str()),
                age: now.since(probe.since),
                suspects: suspects.to_vec(),
            };
            self.crashes.record(&report, Origin::Own, now);
            let evidence = Evidence {
                reports: vec![report],
                ..Evidence::default()
            };
            self.broadcast_evidence(now, evidence, out);
        }
    }

    /// Holds back the parts that explain the crashes which all boxes have reported on.
    pub(super) fn examine_crashes(&mut self, now: Time, out: &mut Vec<Effect>) {
        for life in self.crashes.take_reported(now) {
            self.examine_crash(now, life, out);
        }
    }

    /// Holds back the part that explains the series which ends with the crash of `life`.
    fn examine_crash(&mut self, now: Time, life: NameHash, out: &mut Vec<Effect>) {
        let quarantine = &self.quarantine;
        let held = |part: &Fingerprint| quarantine.held(part, now).is_some();
        let suspected = |part: &Fingerprint| quarantine.is_on_probation(part);
        if let Some((part, series)) = self.crashes.culprit(life, held, suspected) {
            out.push(Effect::Quarantine(Step::Explained {
                part,
                crashes: series.crashes,
                contents: series.contents.len(),
            }));
            let left = quarantine::HOLD;
            let content = part;
            if let Some(step) = self.quarantine.apply_report(Held { content, left }, now) {
                self.apply_step(now, step, out);
                // One box writes: that which sent a request with the part to the server.
                if self.crashes.is_own(life, &part) {
                    self.store_quarantined(now, part, out);
                }
            }
        }
        self.exonerate(now, out);
    }

    /// Drops the evidence against contents that were in flight at crashes which a held part
    /// explains.
    fn exonerate(&mut self, now: Time, out: &mut Vec<Effect>) {
        let quarantine = &self.quarantine;
        let explained = self
            .crashes
            .explained(|part| quarantine.held(part, now).is_some());
        if explained.is_empty() {
            return;
        }
        for content in self.quarantine.drop_crashes(&explained) {
            self.clear_content(now, content, out);
        }
    }

    /// Ends the quarantine or the probation of a part that complete answers contradict.
    fn lift_refuted(&mut self, now: Time, part: Fingerprint, out: &mut Vec<Effect>) {
        let left = self.quarantine.held(&part, now);
        let held = left.map(|left| Held {
            content: part,
            left,
        });
        let refuted = held.is_some_and(|held| self.crashes.refutes(&part, held.since(now)));
        if !refuted && !self.quarantine.is_on_probation(&part) {
            return;
        }
        let Some(step) = self.quarantine.lift(part) else {
            return;
        };
        out.push(Effect::Quarantine(step));
        if self.registry && self.crashes.is_own_part(&part) {
            out.push(Effect::RemoveHeld(part));
        }
    }

    /// Records a complete answer of a backend server for the parts of its request's prompt.
    pub(super) fn clear_parts(
        &mut self,
        now: Time,
        job: &Job,
        in_flight: &outcome::InFlight,
        out: &mut Vec<Effect>,
    ) {
        let at_backend = matches!(in_flight.spot, Assignment::Chosen(Place::Backend(_), _));
        let Some(began) = in_flight.begun.filter(|_| at_backend) else {
            return;
        };
        let parts: Vec<Fingerprint> = job.part_fingerprints().collect();
        for part in &parts {
            let held = self.quarantine.held(part, now).is_some();
            if self.crashes.record_success(*part, began) || held {
                self.suspects.answered.push(*part);
            }
            self.lift_refuted(now, *part, out);
        }
        if !parts.is_empty() {
            self.crashes.record_answer(parts, began);
        }
    }

    /// Records a strike; returns whether it was new.
    fn record_strike(&mut self, now: Time, strike: Strike, out: &mut Vec<Effect>) -> bool {
        let quarantine = &self.quarantine;
        let held = |part: &Fingerprint| quarantine.held(part, now).is_some();
        if self.crashes.is_explained(strike.life, held) {
            return false;
        }
        let Some(step) = self.quarantine.record_crash(strike, now) else {
            return false;
        };
        self.apply_step(now, step, out);
        true
    }

    fn apply_step(&mut self, now: Time, step: Step, out: &mut Vec<Effect>) {
        out.push(Effect::Quarantine(step));
        if let Step::Held { content, .. } = step {
            self.refuse_pending(now, content, out);
            self.exonerate(now, out);
        }
    }

    /// Refuses this box's pending requests of a content that was just quarantined: those waiting,
    /// and those sent whose answer has not begun, so that no further server starts them.
    fn refuse_pending(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        let concerned = |job: &Job| {
            job.content == content || job.part_fingerprints().any(|part| part == content)
        };
        let same = self.jobs.iter().filter(|(_, job)| concerned(job));
        let pending = same.filter(|(_, job)| match &job.stage {
            Stage::Waiting => true,
            Stage::Sent { begun, .. } => begun.is_none(),
            Stage::AwaitingOwner(_) => false,
        });
        let mut pending: Vec<id::Request> = pending.map(|(request, _)| *request).collect();
        pending.sort_unstable();
        for request in pending {
            let Some(job) = self.jobs.get_mut(&request) else {
                continue;
            };
            job.may_have_run |= matches!(job.stage, Stage::Sent { .. });
            let Some(reply) = self
                .jobs
                .get(&request)
                .and_then(|job| self.quarantine_refusal(now, job))
            else {
                continue;
            };
            self.withdraw(request, out);
            self.finish(request, reply, out);
        }
    }

    /// Sends strikes and cleared contents to every box of the region, and to one box of each other
    /// region, which forwards them there.
    fn broadcast_marks(&mut self, now: Time, marks: Marks, out: &mut Vec<Effect>) {
        for (to, spread) in self.broadcast_targets(now) {
            let frame = self.frame(Body::Marks(Marks {
                spread,
                ..marks.clone()
            }));
            out.push(Effect::Gossip { to, frame });
        }
    }
}
