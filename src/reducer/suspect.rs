//! Which content ended a backend server: who was there, whether it ended, and what the boxes tell each
//! other of it.
//!
//! Load pattern: a server that ends breaks tens of attempts of several boxes within milliseconds. A broken
//! connection alone proves no end, since servers reset some and links are cut; so the box knocks at the
//! server's port, twice where it is open at first, and only a closed port is the end of that life. What it then knows goes
//! to every box at once, and what is held back stands in the messages that the boxes exchange anyway: a box
//! that started, woke or was cut off learns it from the first of them.

use std::collections::HashMap;

use crate::{
    content::Fingerprint,
    id,
    policy::{Place, Policy},
    quarantine::{self, Held, Step, Strike},
    reducer::{
        State,
        effect::{Effect, Reply},
        job::{Job, Spot, Stage},
        outcome,
    },
    unit::{Millis, Time},
    wire::{Body, Frame, Marks},
};

/// Strikes and clearings that one message tells of: about 1.5 KB.
const MAX_TOLD: usize = 64;
/// Suspects that are remembered for one server while it is knocked at; a batch of an engine is 64.
const MAX_SUSPECTS: usize = 128;

/// How long a request waits for word of a server that is knocked at: two knocks and the time between them
/// take 400 ms at most.
const WORD_PATIENCE: Millis = Millis(500);

/// A server that is knocked at.
#[derive(Debug)]
struct Knock {
    since: Time,
    /// What its end would say.
    strikes: Vec<Strike>,
}

/// Attempts that broke at servers which may have ended.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    knocks: HashMap<id::Backend, Knock>,
    /// Contents whose clearing the others are to hear of.
    cleared: Vec<Fingerprint>,
}

impl Knock {
    /// What the server's end would say of `content`; one end counts once, whatever broke there.
    fn weight(&self, content: &Fingerprint) -> Option<u32> {
        let same = self.strikes.iter().filter(|s| s.content == *content);
        same.map(|strike| strike.weight).max()
    }
}

impl<P: Policy> State<P> {
    /// Notes an attempt whose connection to its backend server broke, and finds out whether the server
    /// has ended.
    pub(super) fn suspect(
        &mut self,
        now: Time,
        request: id::Request,
        held: &outcome::Held,
        out: &mut Vec<Effect>,
    ) {
        let Spot::Chosen(Place::Backend(name), _) = &held.spot else {
            return;
        };
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let begun = held.begun.map(|at| now.since(at));
        out.push(Effect::Broken {
            request,
            backend: name.clone(),
            content: job.content,
            age: now.since(held.at),
            begun,
        });
        // The end of one that was leaving is no surprise.
        let Some(backend) = self.fleet.get(name).filter(|backend| !backend.leaving) else {
            return;
        };
        let strike = Strike {
            content: job.content,
            life: backend.life(),
            weight: quarantine::weight(begun),
        };
        let address = backend.address;
        let knocks = &mut self.suspects.knocks;
        // Word that comes later may speak of the next life.
        knocks.retain(|_, knock| now.since(knock.since) < WORD_PATIENCE);
        if !knocks.contains_key(name) {
            let backend = name.clone();
            out.push(Effect::Knock { backend, address });
        }
        let knock = knocks.entry(name.clone()).or_insert(Knock {
            since: now,
            strikes: Vec::new(),
        });
        if knock.strikes.len() < MAX_SUSPECTS {
            knock.strikes.push(strike);
        }
    }

    /// Takes word of a server that was knocked at: where it ended, what was in hand there is struck.
    pub(super) fn knocked(
        &mut self,
        now: Time,
        backend: &id::Backend,
        closed: bool,
        out: &mut Vec<Effect>,
    ) {
        self.judge_broken(backend, closed);
        let knock = self.suspects.knocks.remove(backend);
        let strikes = knock.filter(|_| closed).map(|knock| knock.strikes);
        let mut news = Vec::new();
        for strike in strikes.into_iter().flatten() {
            if self.strike(now, strike, out) {
                news.push(strike);
                self.keep(now, strike.content, out);
            }
        }
        for strikes in news.chunks(MAX_TOLD) {
            self.tell_marks(now, strikes.to_vec(), Vec::new(), out);
        }
        // What waited for the word may go on, where it is not held back now.
        self.drain_all(now, out);
    }

    /// Notes a whole answer: it speaks for its content.
    pub(super) fn exonerate(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        let Some(step) = self.quarantine.clear(content, now) else {
            return;
        };
        out.push(Effect::Quarantine(step));
        self.suspects.cleared.push(content);
        if self.registry && step.is_decision() {
            out.push(Effect::Discard(content));
        }
    }

    /// Keeps in the store what this box's own word has proved.
    fn keep(&self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        if !self.registry {
            return;
        }
        let left = self.quarantine.held(&content, now);
        out.extend(left.map(|left| Effect::Keep(Held { content, left })));
    }

    /// Takes the store's word for a content; it does not say for how much longer.
    pub(super) fn kept(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        let left = quarantine::HOLD;
        self.hear_held(now, &[Held { content, left }], out);
    }

    /// Tells the others what was cleared since the last tick.
    pub(super) fn tell_cleared(&mut self, now: Time, out: &mut Vec<Effect>) {
        let cleared = std::mem::take(&mut self.suspects.cleared);
        for cleared in cleared.chunks(MAX_TOLD) {
            self.tell_marks(now, Vec::new(), cleared.to_vec(), out);
        }
    }

    /// Takes what another box tells of contents, and passes it on where asked.
    pub(super) fn hear_marks(
        &mut self,
        now: Time,
        frame: &Frame,
        marks: &Marks,
        out: &mut Vec<Effect>,
    ) {
        for strike in &marks.strikes {
            // Who knows better says so, to all.
            if self.quarantine.has_alibi(&strike.content, now) {
                self.suspects.cleared.push(strike.content);
                continue;
            }
            self.strike(now, *strike, out);
        }
        for content in &marks.cleared {
            // One box that says so is enough.
            self.suspects.cleared.retain(|told| told != content);
            let step = self.quarantine.clear(*content, now);
            out.extend(step.map(Effect::Quarantine));
        }
        if marks.spread {
            let body = Body::Marks(Marks {
                spread: false,
                ..marks.clone()
            });
            self.pass_on(now, frame, body, out);
        }
    }

    /// Takes what another box holds back.
    pub(super) fn hear_held(&mut self, now: Time, held: &[Held], out: &mut Vec<Effect>) {
        for held in held {
            if self.quarantine.has_alibi(&held.content, now) {
                self.suspects.cleared.push(held.content);
            } else if let Some(step) = self.quarantine.hold(*held, now) {
                self.take_step(now, step, out);
            }
        }
    }

    /// Lets a content run again, by an operator's word.
    pub(super) fn pardon(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        self.exonerate(now, content, out);
        self.tell_cleared(now, out);
    }

    /// The answer to a request whose content is held back; none where it may run.
    pub(super) fn withheld(&self, now: Time, job: &Job) -> Option<Reply> {
        let left = self.quarantine.held(&job.content, now)?;
        let reason = "it is held back: backend servers ended while they ran the same request";
        Some(Reply::new(503, job.verdict(), reason).after(left))
    }

    /// Whether a server is being knocked at whose end would be the proof against the job's content: the
    /// next server is not risked before that is known. Without it a stream went on to a fourth server in the
    /// milliseconds that the knock took, in 2 of 10 runs of ten such requests at two boxes; in none of 16
    /// with it.
    pub(super) fn awaits_word(&self, now: Time, job: &Job) -> bool {
        let knocks = self.suspects.knocks.values();
        let weight: u32 = knocks
            .filter(|knock| now.since(knock.since) < WORD_PATIENCE)
            .filter_map(|knock| knock.weight(&job.content))
            .sum();
        weight > 0 && self.quarantine.would_hold(&job.content, weight)
    }

    /// Takes a strike; true where it is news.
    fn strike(&mut self, now: Time, strike: Strike, out: &mut Vec<Effect>) -> bool {
        let Some(step) = self.quarantine.strike(strike, now) else {
            return false;
        };
        self.take_step(now, step, out);
        true
    }

    fn take_step(&mut self, now: Time, step: Step, out: &mut Vec<Effect>) {
        out.push(Effect::Quarantine(step));
        if let Step::Held { content, .. } = step {
            self.recall(now, content, out);
        }
    }

    /// Ends what this box has in hand of a content that is held back from now on: what waits, and what
    /// was sent and has not begun, so that no further server begins it.
    fn recall(&mut self, now: Time, content: Fingerprint, out: &mut Vec<Effect>) {
        let same = self.jobs.iter().filter(|(_, job)| job.content == content);
        let pending = same.filter(|(_, job)| match &job.stage {
            Stage::Waiting => true,
            Stage::Sent { begun, .. } => begun.is_none(),
            Stage::Joined(_) => false,
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
                .and_then(|job| self.withheld(now, job))
            else {
                continue;
            };
            self.withdraw(request, out);
            self.finish(request, reply, out);
        }
    }

    /// Tells every box of the region, and one of each other region that passes it on there.
    fn tell_marks(
        &mut self,
        now: Time,
        strikes: Vec<Strike>,
        cleared: Vec<Fingerprint>,
        out: &mut Vec<Effect>,
    ) {
        for (to, spread) in self.everyone(now) {
            let frame = self.frame(Body::Marks(Marks {
                strikes: strikes.clone(),
                cleared: cleared.clone(),
                spread,
            }));
            out.push(Effect::Gossip { to, frame });
        }
    }
}
