//! What this box knows of one backend server from its own traffic: work in hand, times, health.

use crate::{
    bucket::Bucket,
    detector::Detector,
    limit::Limit,
    unit::{self, Millis, Rate, Time},
    wire::{Short, Usage},
};

/// Failures in a row that open the breaker.
const FAILURES: u32 = 3;
/// How long an open breaker keeps work away before one probe goes.
const OPEN: Millis = Millis(2000);
/// How long a server that refused work is left alone.
const COOL: Millis = Millis(2000);
/// How long a server that was full is left alone: about one request of an application.
const FULL: Millis = Millis(30);
/// For how long others are told that it answered. Short, so that the answers before a crash do not
/// hide it.
const ANSWERED: Millis = Millis(400);
/// For how long others are told that it could not be reached, where it does not answer meanwhile: they
/// look again after that.
const UNREACHABLE: Millis = Millis(2000);
/// How long a returned server takes to its full share.
const RAMP: Millis = Millis(3000);
/// Share of its slots that a returned server gets at once.
const RAMP_START: f64 = 0.5;
/// Weight of a new time in the moving averages.
const ALPHA: f64 = 0.2;
/// Weight of one answer in the share of errors: some requests fail wherever they run.
const ERROR_ALPHA: f64 = 0.05;
/// Half of what was learned is forgotten in this time without news, so that a server that looked
/// bad gets a request now and then and can show that it is well.
const HALF_LIFE: Millis = Millis(1500);
/// Half of the requests that were sent to an engine have ended after this time: long answers take
/// one to two seconds.
const RUN_HALF_LIFE: Millis = Millis(1000);
/// Assumed time to the first byte before one was seen.
const FIRST_GUESS: f64 = 100.0;
/// Assumed time of a whole answer before one was seen.
const WHOLE_GUESS: f64 = 500.0;
/// Prompt tokens that an engine is assumed to read in a millisecond before one was seen to.
const SPEED_GUESS: f64 = 45.0;
/// A reading speed outside these bounds says more of the wait than of the engine, in tokens a
/// millisecond.
const SPEED_BOUNDS: (f64, f64) = (3.0, 200.0);
/// Shortest prompt whose reading time tells of an engine's speed, in tokens.
const SPEED_SAMPLE: u32 = 3000;
/// Assumed time to the first token besides reading, in ms: a step of the batch and the way there.
const STEP_GUESS: f64 = 40.0;
/// Longest such time that is learned from one answer, in ms: beyond it the server hung.
const STEP_MOST: f64 = 2000.0;

/// Why a backend server gets no work now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// It failed several times in a row.
    Broken,
    /// It said that it takes no work.
    Refusing,
    /// It asked this box to send it nothing for a while.
    PushedBack,
}

/// One backend server as this box sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Attempts of this box that are in hand there.
    pub busy: u32,
    failures: u32,
    open_until: Option<Time>,
    probing: bool,
    cool_until: Option<Time>,
    ramp_from: Option<Time>,
    first: f64,
    whole: f64,
    /// Until when it reads the prompts that are known to have been sent there.
    read_until: f64,
    /// Time to the first token besides reading.
    step: f64,
    /// Prompt tokens that it reads in a millisecond.
    speed: f64,
    /// Share of its answers that failed, lately.
    failing: f64,
    /// When the last answer told something of it.
    heard: Time,
    /// When its last answer began.
    answered: Option<Time>,
    /// When it could not be reached, where it has not answered since.
    unreachable: Option<Time>,
    /// Requests that it may get while it is cold; none before it got one.
    cold_saved: Option<Bucket>,
    /// Prompt tokens of the requests that run there, as far as they are known.
    running: f64,
    /// When that was reckoned.
    reckoned: Time,
    detector: Detector,
    /// What it says that it takes from all boxes.
    pub limit: Limit,
    /// Until when it asked this box to send it nothing.
    pushed_back: Option<Time>,
    /// Whether the last time that it named could not be read.
    odd_pushback: bool,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            busy: 0,
            failures: 0,
            open_until: None,
            probing: false,
            cool_until: None,
            ramp_from: None,
            first: FIRST_GUESS,
            whole: WHOLE_GUESS,
            read_until: 0.0,
            step: STEP_GUESS,
            speed: SPEED_GUESS,
            failing: 0.0,
            heard: Time(0),
            answered: None,
            unreachable: None,
            cold_saved: None,
            running: 0.0,
            reckoned: Time(0),
            detector: Detector::default(),
            limit: Limit::default(),
            pushed_back: None,
            odd_pushback: false,
        }
    }
}

impl Server {
    /// Forgets all but the attempts in hand: it started again.
    pub fn start_again(&mut self) {
        *self = Self {
            busy: self.busy,
            ..Self::default()
        };
    }

    /// Why it gets no work at `now`, where that is so.
    pub fn bar(&self, now: Time) -> Option<Bar> {
        // One request goes first after the time that it asked for.
        if self.is_pushed_back(now) || self.pushed_back.is_some() && self.probing {
            return Some(Bar::PushedBack);
        }
        if self.cool_until.is_some_and(|t| now < t) {
            return Some(Bar::Refusing);
        }
        let open = self.open_until?;
        (now < open || self.probing).then_some(Bar::Broken)
    }

    /// The slots it gets at `now`, out of `slots`.
    pub fn slots(&self, slots: u32, now: Time) -> u32 {
        let Some(from) = self.ramp_from else {
            return slots;
        };
        let part = now.since(from).0 as f64 / RAMP.0 as f64;
        let share = (RAMP_START + (1.0 - RAMP_START) * part).min(1.0);
        ((f64::from(slots) * share).ceil() as u32).max(1)
    }

    /// What is left of something learned at the last answer.
    fn faded(&self, learned: f64, guess: f64, now: Time) -> f64 {
        guess + (learned - guess) * unit::left_after(now.since(self.heard), HALF_LIFE)
    }

    /// Forgets a part of what was learned before `now`.
    fn fade(&mut self, now: Time) {
        self.step = self.faded(self.step, STEP_GUESS, now);
        self.failing = self.faded(self.failing, 0.0, now);
        self.heard = now;
    }

    /// Expected time to the first byte.
    pub fn first(&self) -> Millis {
        Millis(self.first as u64)
    }

    /// Expected time to the first token of a prompt of which `unread` tokens are not cached there.
    pub fn first_token(&self, unread: u32, now: Time) -> Millis {
        let reading = self.pending(now) + f64::from(unread) / self.speed;
        let step = self.faded(self.step, STEP_GUESS, now);
        Millis((step + reading) as u64)
    }

    /// Time until it has read the prompts that are known to have been sent there.
    pub fn pending(&self, now: Time) -> f64 {
        (self.read_until - now.0 as f64).max(0.0)
    }

    /// Time that it takes to read `tokens`.
    pub fn reading(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.speed
    }

    /// Notes that `tokens` are sent there to be read.
    pub fn hear(&mut self, tokens: u32, now: Time) {
        let from = self.read_until.max(now.0 as f64);
        self.read_until = from + self.reading(tokens);
    }

    /// Prompt tokens of the requests that likely run there.
    pub fn running_tokens(&self, now: Time) -> f64 {
        self.running * unit::left_after(now.since(self.reckoned), RUN_HALF_LIFE)
    }

    /// Notes that a request with a prompt of `tokens` goes there.
    pub fn add_prompt(&mut self, tokens: u32, now: Time) {
        self.running = self.running_tokens(now) + f64::from(tokens);
        self.reckoned = now;
    }

    /// Share of its answers that failed, lately.
    pub fn failing(&self, now: Time) -> f64 {
        self.faded(self.failing, 0.0, now)
    }

    /// Whether it may get a request while it is cold, at `rate` for this box.
    pub fn admits_cold(&self, rate: Rate, now: Time) -> bool {
        self.cold_saved(rate, now) >= 1.0
    }

    /// Notes a request that it gets while it is cold.
    pub fn spend_cold(&mut self, rate: Rate, now: Time) {
        let saved = self.cold_saved.get_or_insert(Bucket::new(1.0, now));
        saved.spend(rate, 1.0, now);
    }

    fn cold_saved(&self, rate: Rate, now: Time) -> f64 {
        let saved = self.cold_saved.as_ref();
        saved.map_or(1.0, |saved| saved.saved(rate, 1.0, now))
    }

    /// Expected time of a whole answer.
    pub fn whole(&self) -> Millis {
        Millis(self.whole as u64)
    }

    /// Notes that its streams brought something, and the longest pause of one; true where it was taken
    /// for failed until now.
    pub fn hear_stream(&mut self, pause: Millis, now: Time) -> bool {
        let regained = self.detector.hear(pause, now);
        if regained {
            self.failing = 0.0;
            self.heard = now;
        }
        regained
    }

    /// Notes that its `streams` brought nothing for `span`; true where it counts as failed from now on.
    pub fn miss_stream(&mut self, span: Millis, streams: usize, now: Time) -> bool {
        let failed = self.detector.wait(span, streams, now);
        if failed {
            self.failing = 1.0;
            self.heard = now;
        }
        failed
    }

    /// When it was taken for failed, where it still is.
    pub fn failed_at(&self) -> Option<Time> {
        self.detector.failed_at()
    }

    /// Notes an attempt that goes there with `work` prompt tokens to read.
    pub fn start(&mut self, work: u32, now: Time) {
        self.busy += 1;
        self.hear(work, now);
        self.probing = self.open_until.is_some() || self.pushed_back.is_some();
    }

    /// Notes the first byte of an answer after `took`, where `expected` was expected and `work`
    /// prompt tokens were to be read; true where the server was taken for failed until now.
    pub fn begin(&mut self, took: Millis, expected: Millis, work: u32, now: Time) -> bool {
        let regained = self.hear_stream(Millis(0), now);
        self.fade(now);
        self.failing -= ERROR_ALPHA * self.failing;
        self.answered = Some(now);
        self.unreachable = None;
        self.learn(took, expected, work);
        self.first += ALPHA * (took.0 as f64 - self.first);
        self.failures = 0;
        self.probing = false;
        // The answer to a request that was sent before may begin within the time that it asked for.
        let returned = self.pushed_back.take_if(|until| now >= *until).is_some();
        if self.open_until.take().is_some() || returned {
            self.ramp_from = Some(now);
        }
        regained
    }

    /// Notes the end of an attempt; `took` is given where the answer was whole.
    pub fn end(&mut self, took: Option<Millis>) {
        self.busy = self.busy.saturating_sub(1);
        self.probing = false;
        if let Some(took) = took {
            self.whole += ALPHA * (took.0 as f64 - self.whole);
        }
    }

    /// Corrects what is expected of the engine by what a request took.
    fn learn(&mut self, took: Millis, expected: Millis, work: u32) {
        let (took, expected) = (took.0 as f64, expected.0 as f64);
        if work < SPEED_SAMPLE {
            let step = (took - (expected - self.step)).max(0.0);
            self.step += ALPHA * (step.min(STEP_MOST) - self.step);
            return;
        }
        let reading = (took - self.step).max(1.0);
        let ratio = (expected - self.step).max(1.0) / reading;
        let speed = self.speed * ratio.clamp(0.25, 4.0);
        let speed = speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        self.speed += ALPHA * (speed - self.speed);
    }

    /// Notes that an attempt ends before its answer began: its `work` is not read any more.
    pub fn withdraw(&mut self, work: u32) {
        self.read_until -= self.reading(work);
    }

    /// Notes that it ran a request and answered with an error.
    pub fn err(&mut self, now: Time) {
        self.fade(now);
        self.failing += ERROR_ALPHA * (1.0 - self.failing);
    }

    /// Notes that it stayed silent for too long, or broke an answer off.
    pub fn stall(&mut self, now: Time) {
        self.fade(now);
        self.failing += ALPHA * (1.0 - self.failing);
    }

    /// Notes a failure of the server.
    pub fn fail(&mut self, now: Time) {
        self.stall(now);
        self.failures += 1;
        if self.failures >= FAILURES {
            self.open_until = Some(now + OPEN);
        }
    }

    /// Notes that the server could not be reached.
    pub fn miss(&mut self, now: Time) {
        self.fail(now);
        self.unreachable = Some(now);
    }

    /// What other boxes are told of it; none where nothing was seen of it lately.
    pub fn usage(&self, backend: Short, now: Time) -> Option<Usage> {
        let lately = |at: Option<Time>, span| at.is_some_and(|at| now.since(at) <= span);
        let usage = Usage {
            backend,
            busy: self.busy,
            answered: lately(self.answered, ANSWERED).into(),
            unreachable: lately(self.unreachable, UNREACHABLE).into(),
        };
        (usage.busy + usage.answered + usage.unreachable > 0).then_some(usage)
    }

    /// Notes that it wants nothing from this box for `span`; true where it did not ask for that already. A
    /// shorter time takes nothing off a longer one that was asked for before.
    pub fn push_back(&mut self, span: Millis, now: Time) -> bool {
        self.odd_pushback = false;
        if span == Millis(0) {
            return false;
        }
        let news = !self.is_pushed_back(now);
        self.pushed_back = self.pushed_back.max(Some(now + span));
        news
    }

    /// Notes that it named a time that cannot be read; true for the first in a row.
    pub fn push_back_oddly(&mut self) -> bool {
        !std::mem::replace(&mut self.odd_pushback, true)
    }

    /// Whether it wants nothing from this box at `now`.
    pub fn is_pushed_back(&self, now: Time) -> bool {
        self.pushback_left(now) > Millis(0)
    }

    /// How much longer it wants nothing from this box.
    pub fn pushback_left(&self, now: Time) -> Millis {
        self.pushed_back.map_or(Millis(0), |until| until.since(now))
    }

    /// Notes that the server has no slot: others sent there too.
    pub fn fill(&mut self, now: Time) {
        self.cool_until = Some(now + FULL);
    }

    /// Notes that the server refused work.
    pub fn refuse(&mut self, now: Time) {
        self.cool_until = Some(now + COOL);
        self.ramp_from = Some(now + COOL);
    }
}
