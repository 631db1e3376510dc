//! The state of one backend server as derived from this box's own traffic: attempts in flight,
//! latency estimates and health.

use crate::{
    bucket::Bucket,
    cap::{Cap, Level},
    detector::Detector,
    limit::Limit,
    unit::{self, Millis, Rate, Time},
    wire::{NameHash, Usage},
};

/// Consecutive failures that open the breaker.
const BREAKER_FAILURES: u32 = 3;
/// How long an open breaker blocks requests before it admits one probe.
const BREAKER_OPEN_TIME: Millis = Millis(2000);
/// How long a server gets no requests after it refused work.
const REFUSAL_BACKOFF: Millis = Millis(2000);
/// How long a server gets no requests after it was full: about the time of one request to an
/// application.
const FULL_BACKOFF: Millis = Millis(30);
/// How long it is reported to other boxes that the server answered. The time is short, so that answers
/// before a crash do not hide the crash.
const ANSWERED_REPORT_TIME: Millis = Millis(400);
/// How long it is reported to other boxes that the server could not be reached, if it does not answer in the
/// meantime. They probe it again after that.
const UNREACHABLE_REPORT_TIME: Millis = Millis(2000);
/// How long a recovered server takes to reach its full share.
const RAMP_TIME: Millis = Millis(3000);
/// Share of its slots that a recovered server gets at once.
const RAMP_START_SHARE: f64 = 0.5;
/// How long a server that turned cold gets no requests. Those that it got just before, while it
/// counted as warm, are part of the load of that second.
const COLD_PAUSE: Millis = Millis(1000);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of one answer in the share of errors. It is small because some requests fail on any
/// server.
const ERROR_WEIGHT: f64 = 0.05;
/// Half-life of the estimates while there are no new samples, so that a server that looked bad gets
/// an occasional request and can show that it has recovered.
const ESTIMATE_HALF_LIFE: Millis = Millis(1500);
/// Half of the requests sent to an engine have ended after this time: long answers take one to two
/// seconds.
const RUNNING_HALF_LIFE: Millis = Millis(1000);
/// Initial estimate of the time to the first byte, in milliseconds.
const INITIAL_FIRST_BYTE_MS: f64 = 100.0;
/// Initial estimate of the time of a complete answer, in milliseconds.
const INITIAL_WHOLE_MS: f64 = 500.0;
/// Initial estimate of the prompt tokens that an engine processes per millisecond.
const INITIAL_PROMPT_SPEED: f64 = 45.0;
/// Bounds of a plausible prompt processing speed, in tokens per millisecond. Values outside them
/// reflect waiting time rather than the engine.
const PROMPT_SPEED_BOUNDS: (f64, f64) = (3.0, 200.0);
/// Shortest prompt whose processing time is used to estimate the speed, in tokens.
const MIN_SAMPLE_TOKENS: u32 = 3000;
/// Initial estimate of the time to the first token besides prompt processing, in milliseconds: one
/// step of the batch and the network.
const INITIAL_STEP_MS: f64 = 40.0;
/// Upper bound of one sample of that time, in milliseconds: a longer one means that the server
/// hung.
const MAX_STEP_MS: f64 = 2000.0;

/// Why a backend server gets no requests at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// The breaker is open after several consecutive failures.
    BreakerOpen,
    /// The server refused work.
    Refusing,
    /// The server asked this box to pause (pushback).
    PushedBack,
}

/// The state of one backend server, as seen by this box.
#[derive(Clone, Debug)]
pub struct Server {
    /// Attempts of this box in flight at the server.
    pub busy: u32,
    consecutive_failures: u32,
    open_until: Option<Time>,
    probing: bool,
    backoff_until: Option<Time>,
    ramp_from: Option<Time>,
    first_byte_ms: f64,
    whole_ms: f64,
    /// When the server finishes processing the prompts known to have been sent to it, in
    /// milliseconds.
    prompts_done_at: f64,
    /// Estimated time to the first token besides prompt processing, in milliseconds.
    step_ms: f64,
    /// Estimated prompt tokens that it processes per millisecond.
    prompt_speed: f64,
    /// Recent share of its answers that failed.
    failed_share: f64,
    /// When the estimates were last updated.
    updated: Time,
    /// When its last answer began.
    answered_at: Option<Time>,
    /// When it could not be reached, if it has not answered since.
    unreachable_at: Option<Time>,
    /// When no connection to it could be opened, even if it has answered over another since.
    dial_failed_at: Option<Time>,
    /// Bucket of the requests that it may get while it is cold; `None` before its first request.
    cold_bucket: Option<Bucket>,
    /// Until when it gets no requests because it turned cold while it counted as warm.
    cold_pause_until: Option<Time>,
    /// Prompt tokens of the requests running there, as far as known.
    running_prompt_tokens: f64,
    /// When `running_prompt_tokens` was last updated.
    running_updated: Time,
    detector: Detector,
    /// The rate limit that it announces over all boxes.
    pub limit: Limit,
    /// The limit on rejected requests that it announces over all boxes, while it is brittle.
    pub rejections: Limit,
    /// How many requests it is given at once, while it is brittle.
    pub cap: Option<Cap>,
    /// The end of the pause that it asked this box for.
    pushed_back_until: Option<Time>,
    /// Whether the last pause that it asked for was unreadable.
    unreadable_pushback: bool,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            busy: 0,
            consecutive_failures: 0,
            open_until: None,
            probing: false,
            backoff_until: None,
            ramp_from: None,
            first_byte_ms: INITIAL_FIRST_BYTE_MS,
            whole_ms: INITIAL_WHOLE_MS,
            prompts_done_at: 0.0,
            step_ms: INITIAL_STEP_MS,
            prompt_speed: INITIAL_PROMPT_SPEED,
            failed_share: 0.0,
            updated: Time(0),
            answered_at: None,
            unreachable_at: None,
            dial_failed_at: None,
            cold_bucket: None,
            cold_pause_until: None,
            running_prompt_tokens: 0.0,
            running_updated: Time(0),
            detector: Detector::default(),
            limit: Limit::default(),
            rejections: Limit::default(),
            cap: None,
            pushed_back_until: None,
            unreadable_pushback: false,
        }
    }
}

impl Server {
    /// Resets everything but the attempts in flight after the server restarted.
    pub fn reset_after_restart(&mut self) {
        *self = Self {
            busy: self.busy,
            ..Self::default()
        };
    }

    /// Returns the cap, which is set if there is none yet. `others` is the number of requests that
    /// other boxes have in flight there.
    pub fn cap_or_new(&mut self, slots: u32, trusted: bool, others: u32, now: Time) -> &mut Cap {
        let (busy, usual_ms) = (self.busy + others, self.first_byte_ms);
        let new = || Cap::new(slots, trusted, busy, usual_ms, now);
        self.cap.get_or_insert_with(new)
    }

    /// Returns the rejections per second that it tolerates, if it is brittle; zero if it is only taken
    /// for brittle.
    pub fn tolerance(&self) -> Option<Rate> {
        let assumed = self.cap.as_ref().map(|_| Rate::default());
        self.rejections.rate().or(assumed)
    }

    /// Returns the part of the cap that boxes agree on, if there is a cap.
    pub fn cap_level(&self) -> Option<Level> {
        self.cap.as_ref().map(Cap::level)
    }

    /// Returns why the server gets no requests at `now`, if it gets none.
    pub fn block(&self, now: Time) -> Option<Block> {
        // After the pause, a single request probes the server.
        if self.is_pushed_back(now) || self.pushed_back_until.is_some() && self.probing {
            return Some(Block::PushedBack);
        }
        if self.backoff_until.is_some_and(|t| now < t) {
            return Some(Block::Refusing);
        }
        let open = self.open_until?;
        (now < open || self.probing).then_some(Block::BreakerOpen)
    }

    /// Returns the slots that may be used at `now`, out of `slots`.
    pub fn slots(&self, slots: u32, now: Time) -> u32 {
        let Some(from) = self.ramp_from else {
            return slots;
        };
        let progress = now.since(from).0 as f64 / RAMP_TIME.0 as f64;
        let share = (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * progress).min(1.0);
        ((f64::from(slots) * share).ceil() as u32).max(1)
    }

    /// Returns `estimate` after its decay towards `initial` since the last update.
    fn decayed(&self, estimate: f64, initial: f64, now: Time) -> f64 {
        initial
            + (estimate - initial) * unit::decay_factor(now.since(self.updated), ESTIMATE_HALF_LIFE)
    }

    /// Applies the decay up to `now` to the estimates.
    fn decay(&mut self, now: Time) {
        self.step_ms = self.decayed(self.step_ms, INITIAL_STEP_MS, now);
        self.failed_share = self.decayed(self.failed_share, 0.0, now);
        self.updated = now;
    }

    /// Returns the expected time to the first byte.
    pub fn first(&self) -> Millis {
        Millis(self.first_byte_ms as u64)
    }

    /// Returns the expected time to the first token of a prompt of which `unread` tokens are not
    /// cached at the server.
    pub fn first_token(&self, unread: u32, now: Time) -> Millis {
        let reading = self.pending(now) + f64::from(unread) / self.prompt_speed;
        let step = self.decayed(self.step_ms, INITIAL_STEP_MS, now);
        Millis((step + reading) as u64)
    }

    /// Returns the time in milliseconds until the server has processed the prompts known to have
    /// been sent to it.
    pub fn pending(&self, now: Time) -> f64 {
        (self.prompts_done_at - now.0 as f64).max(0.0)
    }

    /// Returns the time in milliseconds that it takes to process `tokens`.
    pub fn reading(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prompt_speed
    }

    /// Adds `tokens` to the prompt tokens that the server has yet to process.
    pub fn add_pending_prompt(&mut self, tokens: u32, now: Time) {
        let from = self.prompts_done_at.max(now.0 as f64);
        self.prompts_done_at = from + self.reading(tokens);
    }

    /// Returns the prompt tokens of the requests that are likely still running there.
    pub fn running_tokens(&self, now: Time) -> f64 {
        self.running_prompt_tokens
            * unit::decay_factor(now.since(self.running_updated), RUNNING_HALF_LIFE)
    }

    /// Records that a request with a prompt of `tokens` is sent there.
    pub fn add_prompt(&mut self, tokens: u32, now: Time) {
        self.running_prompt_tokens = self.running_tokens(now) + f64::from(tokens);
        self.running_updated = now;
    }

    /// Returns the recent share of its answers that failed.
    pub fn failing(&self, now: Time) -> f64 {
        self.decayed(self.failed_share, 0.0, now)
    }

    /// Reports whether it may get a request while it is cold, at `rate` for this box.
    pub fn admits_cold(&self, rate: Rate, now: Time) -> bool {
        let is_paused = self.cold_pause_until.is_some_and(|until| now < until);
        !is_paused && self.cold_tokens(rate, now) >= 1.0
    }

    /// Records that it turned cold while it counted as warm.
    pub fn pause_cold(&mut self, now: Time) {
        self.cold_pause_until = Some(now + COLD_PAUSE);
    }

    /// Counts a request that it gets while it is cold.
    pub fn spend_cold(&mut self, rate: Rate, now: Time) {
        let bucket = self.cold_bucket.get_or_insert(Bucket::new(1.0, now));
        bucket.take(rate, 1.0, now);
    }

    fn cold_tokens(&self, rate: Rate, now: Time) -> f64 {
        let bucket = self.cold_bucket.as_ref();
        bucket.map_or(1.0, |bucket| bucket.tokens(rate, 1.0, now))
    }

    /// Returns the expected time of a complete answer.
    pub fn whole(&self) -> Millis {
        Millis(self.whole_ms as u64)
    }

    /// Records data on its streams and the longest pause between data on one stream. Returns true
    /// if the server was considered failed until now.
    pub fn record_stream_data(&mut self, pause: Millis, now: Time) -> bool {
        let recovered = self.detector.record_data(pause, now);
        if recovered {
            self.failed_share = 0.0;
            self.updated = now;
        }
        recovered
    }

    /// Records that its `streams` received no data for `span`. Returns true if the server is
    /// considered failed from now on.
    pub fn record_stream_silence(&mut self, span: Millis, streams: usize, now: Time) -> bool {
        let failed = self.detector.record_silence(span, streams, now);
        if failed {
            self.failed_share = 1.0;
            self.updated = now;
        }
        failed
    }

    /// Returns when the server was considered failed, if it still is.
    pub fn failed_at(&self) -> Option<Time> {
        self.detector.failed_at()
    }

    /// Records an attempt sent there with `work` prompt tokens to process.
    pub fn start(&mut self, work: u32, now: Time) {
        self.busy += 1;
        self.add_pending_prompt(work, now);
        self.probing = self.open_until.is_some() || self.pushed_back_until.is_some();
    }

    /// Records the first byte of an answer after `took`, where `expected` was expected and `work`
    /// prompt tokens were to be processed. Returns true if the server was considered failed until
    /// now.
    pub fn begin(&mut self, took: Millis, expected: Millis, work: u32, now: Time) -> bool {
        let recovered = self.record_stream_data(Millis(0), now);
        self.decay(now);
        self.failed_share -= ERROR_WEIGHT * self.failed_share;
        self.answered_at = Some(now);
        self.unreachable_at = None;
        self.learn(took, expected, work);
        self.first_byte_ms += SAMPLE_WEIGHT * (took.0 as f64 - self.first_byte_ms);
        self.consecutive_failures = 0;
        self.probing = false;
        // An answer to a request sent before the pushback may begin while the pause lasts; it does
        // not end the pause.
        let returned = self
            .pushed_back_until
            .take_if(|until| now >= *until)
            .is_some();
        if self.open_until.take().is_some() || returned {
            self.ramp_from = Some(now);
        }
        recovered
    }

    /// Records the end of an attempt; `took` is given if the answer was complete.
    pub fn end(&mut self, took: Option<Millis>) {
        self.busy = self.busy.saturating_sub(1);
        self.probing = false;
        if let Some(took) = took {
            self.whole_ms += SAMPLE_WEIGHT * (took.0 as f64 - self.whole_ms);
        }
    }

    /// Updates the speed estimates from the time that a request took.
    fn learn(&mut self, took: Millis, expected: Millis, work: u32) {
        let (took, expected) = (took.0 as f64, expected.0 as f64);
        if work < MIN_SAMPLE_TOKENS {
            let step = (took - (expected - self.step_ms)).max(0.0);
            self.step_ms += SAMPLE_WEIGHT * (step.min(MAX_STEP_MS) - self.step_ms);
            return;
        }
        let reading = (took - self.step_ms).max(1.0);
        let ratio = (expected - self.step_ms).max(1.0) / reading;
        let speed = self.prompt_speed * ratio.clamp(0.25, 4.0);
        let speed = speed.clamp(PROMPT_SPEED_BOUNDS.0, PROMPT_SPEED_BOUNDS.1);
        self.prompt_speed += SAMPLE_WEIGHT * (speed - self.prompt_speed);
    }

    /// Records that an attempt ended before its answer began: its `work` is no longer processed.
    pub fn cancel_pending_prompt(&mut self, work: u32) {
        self.prompts_done_at -= self.reading(work);
    }

    /// Records that it ran a request and answered with an error.
    pub fn record_error(&mut self, now: Time) {
        self.decay(now);
        self.failed_share += ERROR_WEIGHT * (1.0 - self.failed_share);
    }

    /// Records that an answer was overdue or broke off.
    pub fn record_stall(&mut self, now: Time) {
        self.decay(now);
        self.failed_share += SAMPLE_WEIGHT * (1.0 - self.failed_share);
    }

    /// Records a failure, and opens the breaker after several consecutive ones.
    pub fn record_failure(&mut self, now: Time) {
        self.record_stall(now);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= BREAKER_FAILURES {
            self.open_until = Some(now + BREAKER_OPEN_TIME);
        }
    }

    /// Records that the server could not be reached.
    pub fn record_unreachable(&mut self, now: Time) {
        self.record_failure(now);
        self.unreachable_at = Some(now);
        self.dial_failed_at = Some(now);
    }

    /// Reports whether its last answer began within `span`.
    pub fn answered_within(&self, span: Millis, now: Time) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Reports whether it could not be reached within `span` and has not answered since.
    pub fn unreachable_within(&self, span: Millis, now: Time) -> bool {
        self.unreachable_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Reports whether a connection to it could not be opened within `span`.
    pub fn dial_failed_within(&self, span: Millis, now: Time) -> bool {
        self.dial_failed_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Returns the state to report to other boxes; `None` if there was no recent activity.
    pub fn usage(&self, backend: NameHash, now: Time) -> Option<Usage> {
        let usage = Usage {
            backend,
            busy: self.busy,
            answered: self.answered_within(ANSWERED_REPORT_TIME, now).into(),
            unreachable: self.unreachable_within(UNREACHABLE_REPORT_TIME, now).into(),
        };
        (usage.busy + usage.answered + usage.unreachable > 0).then_some(usage)
    }

    /// Records that the server asked this box to pause for `span`. Returns true if no pause was in
    /// effect before. A shorter pause does not shorten a longer one that was requested before.
    pub fn push_back(&mut self, span: Millis, now: Time) -> bool {
        self.unreadable_pushback = false;
        if span == Millis(0) {
            return false;
        }
        let is_new = !self.is_pushed_back(now);
        self.pushed_back_until = self.pushed_back_until.max(Some(now + span));
        is_new
    }

    /// Records that the requested pause was unreadable; returns true for the first one in a row.
    pub fn record_unreadable_pushback(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable_pushback, true)
    }

    /// Reports whether a pause that it asked for is in effect at `now`.
    pub fn is_pushed_back(&self, now: Time) -> bool {
        self.pushback_left(now) > Millis(0)
    }

    /// Returns the remaining time of the pause that it asked for.
    pub fn pushback_left(&self, now: Time) -> Millis {
        self.pushed_back_until
            .map_or(Millis(0), |until| until.since(now))
    }

    /// Records that the server had no free slot, since other boxes sent requests there too.
    pub fn record_full(&mut self, now: Time) {
        self.backoff_until = Some(now + FULL_BACKOFF);
    }

    /// Records that the server refused work.
    pub fn record_refusal(&mut self, now: Time) {
        self.backoff_until = Some(now + REFUSAL_BACKOFF);
        self.ramp_from = Some(now + REFUSAL_BACKOFF);
    }
}
