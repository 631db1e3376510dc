//! The retry budget: attempts beyond the first as a share of fresh requests, for each service.
//!
//! The budget applies to all boxes together, in any window of ten seconds. Boxes respect it without
//! exchanging what they spend: within a window, a box spends at most its share of the slack and a
//! weighted sum of what its own requests earned in that window and in two earlier ones. The weights
//! are the same at all boxes and add up to one, so the sum over the boxes is at most what the
//! fleet's requests earned in the best of the three windows, wherever load moves.
//!
//! Load pattern: regions peak in turn. If each box counted the window up to its own last attempt,
//! boxes whose peak ends would spend what they earned before it, boxes whose peak begins what they
//! earn in it, and the fleet nearly twice what any one window earns.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use crate::{
    id::Service,
    unit::{Millis, Time},
};

/// Maximum attempts of one request, rejected ones included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Part of the fleet's slack that the boxes allocate. The rest covers the delay with which they
/// learn how many boxes share it.
const SLACK_SHARE: f64 = 0.7;
/// Part of the slack that a box may spend within one window after a restart: all boxes may restart
/// twice within one window.
const RESTARTED_SLACK_SHARE: f64 = (1.0 - SLACK_SHARE) / 2.0;
/// Attempts that a box takes from the slack in each window while it cannot know how many boxes
/// share it.
const UNKNOWN_FLEET_SLACK: f64 = 1.0;
/// The window over which the platform sums attempts and requests.
const WINDOW: Millis = Millis(10_000);
/// Resolution of the counts.
const SLOT_TIME: Millis = Millis(200);
/// Maximum delay between granting an attempt and its arrival at a backend server, for attempts
/// relayed through another region.
const MAX_ARRIVAL_DELAY: Millis = Millis(400);
/// Weights of the requests that pay for the attempts of a window: those of the window itself, of
/// the window that begins half a window earlier, and of the window that ends where it begins.
/// Weight on earlier windows allows larger bursts, weight on later ones follows rising load.
const EARNING_WEIGHTS: [f64; 3] = [0.25, 0.25, 0.5];

/// Limits on the attempts beyond the first over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Attempts beyond the first that each fresh request earns.
    pub ratio: f64,
    /// Additional attempts beyond the first in each window, over all boxes. Without it, there is no
    /// common limit, and each box has a budget of its own with [`Limits::SAVED`].
    pub slack: Option<f64>,
}

impl Limits {
    /// Additional attempts per box if no slack is set for the fleet.
    pub const SAVED: f64 = 20.0;
    /// The default number of attempts that a fresh request earns.
    pub const RATIO: f64 = 0.2;
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ratio: Self::RATIO,
            slack: None,
        }
    }
}

/// The result of asking the budget for an attempt beyond the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The budget had an attempt left.
    Granted,
    /// The budget was used up.
    Refused,
    /// The previous attempt certainly reached no backend server, so this one is not charged.
    Free,
    /// The attempt continues a stream that was moved off its backend server: it is made once the
    /// budget has an attempt left.
    Deferred,
    /// A run is not stopped in order to move it until the budget has an attempt left.
    Postponed,
    /// An engine did not accept the request that resumes a moved run: the reserved attempt is spent.
    NotResumed,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; 6] = [
        Self::Granted,
        Self::Refused,
        Self::Free,
        Self::Deferred,
        Self::Postponed,
        Self::NotResumed,
    ];
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Granted => "granted",
            Self::Refused => "refused",
            Self::Free => "free",
            Self::Deferred => "deferred",
            Self::Postponed => "postponed",
            Self::NotResumed => "not-resumed",
        })
    }
}

/// The budget of a box for one service, in the most restrictive window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Attempts made within the window, and those reserved.
    pub spent: u32,
    /// Attempts earned by requests.
    pub earned: f64,
    /// The box's share of the slack.
    pub share: f64,
}

impl Balance {
    /// Returns the number of attempts left.
    pub fn left(&self) -> f64 {
        self.earned + self.share - f64::from(self.spent)
    }
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            spent,
            earned,
            share,
        } = self;
        write!(f, "spent={spent} earned={earned:.1} share={share:.1}")
    }
}

/// How often each [`Outcome`] occurred since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([u64; Outcome::ALL.len()]);

impl Counts {
    /// Returns how often `outcome` occurred.
    pub fn of(&self, outcome: Outcome) -> u64 {
        self.0[outcome as usize]
    }

    fn add(&mut self, outcome: Outcome) {
        self.0[outcome as usize] += 1;
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = Outcome::ALL.map(|outcome| format!("{outcome}={}", self.of(outcome)));
        f.write_str(&counts.join(" "))
    }
}

/// Returns the number of slots in `span`.
fn slots(span: Millis) -> i64 {
    (span.0 / SLOT_TIME.0) as i64
}

/// Cumulative numbers of requests and of attempts beyond the first.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    fresh: u32,
    spent: u32,
}

/// The recent requests and attempts of one service.
#[derive(Clone, Debug)]
struct Window {
    /// The totals at the end of each slot of the last two windows.
    totals: VecDeque<Total>,
    /// The number of the last slot.
    last_slot: i64,
    /// Attempts reserved for requests of which it is not yet known whether they count. They may be
    /// made at any time, so they count in every window.
    reserved: u32,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            totals: vec![Total::default(); 2 * slots(WINDOW) as usize + 2].into(),
            last_slot: 0,
            reserved: 0,
        }
    }
}

impl Window {
    /// Returns the totals as of `now`.
    fn current(&mut self, now: Time) -> &mut Total {
        let current = slots(Millis(now.0));
        let elapsed = (current - self.last_slot).clamp(0, self.totals.len() as i64);
        self.last_slot = self.last_slot.max(current);
        let total = *self.latest();
        for _ in 0..elapsed {
            self.totals.pop_front();
            self.totals.push_back(total);
        }
        self.latest()
    }

    fn latest(&mut self) -> &mut Total {
        self.totals.back_mut().expect("there are always slots")
    }

    /// Returns the totals before `slot`. Slots before the first kept one count as the oldest, and
    /// future slots as the newest.
    fn totals_before(&self, slot: i64) -> Total {
        let newest = self.totals.len() as i64 - 1;
        let index = newest - (self.last_slot - (slot - 1));
        self.totals[index.clamp(0, newest) as usize]
    }

    /// Returns the requests of the slots from `from` up to, but not including, `to`.
    fn fresh_between(&self, from: i64, to: i64) -> u32 {
        self.totals_before(to).fresh - self.totals_before(from).fresh
    }

    /// Returns the attempts of the slots from `from` on, and those reserved.
    fn spent_since(&self, from: i64) -> u32 {
        self.totals_before(self.last_slot + 1).spent - self.totals_before(from).spent
            + self.reserved
    }

    /// Returns the balance of the window that ends now, by its own requests alone.
    fn last_window(&self, ratio: f64, share: f64) -> Balance {
        let start = self.last_slot - slots(WINDOW);
        Balance {
            spent: self.spent_since(start),
            earned: ratio * f64::from(self.fresh_between(start + 1, self.last_slot + 1)),
            share,
        }
    }

    /// Returns the balance of the window that begins within the slot `start`. Only requests of
    /// complete slots count.
    fn window_from(&self, start: i64, ratio: f64, share: f64) -> Balance {
        let (window, half) = (slots(WINDOW), slots(WINDOW) / 2);
        let fresh = [0, half, window]
            .map(|offset| self.fresh_between(start - offset + 1, start - offset + window));
        let weighted = EARNING_WEIGHTS.iter().zip(fresh);
        let earned: f64 = weighted
            .map(|(weight, fresh)| weight * f64::from(fresh))
            .sum();
        Balance {
            spent: self.spent_since(start - slots(MAX_ARRIVAL_DELAY)),
            earned: ratio * earned,
            share,
        }
    }

    /// Returns the balance of the most restrictive of all windows that an attempt made now may fall
    /// into. The window that ends now counts by its own requests as well, since earlier requests
    /// that have ended need no further attempts.
    fn tightest_window(&self, ratio: f64, share: f64) -> Balance {
        let starts = self.last_slot - slots(WINDOW)..=self.last_slot + slots(MAX_ARRIVAL_DELAY);
        let windows = starts.map(|start| self.window_from(start, ratio, share));
        windows.fold(self.last_window(ratio, share), |least, next| {
            if next.left() < least.left() {
                next
            } else {
                least
            }
        })
    }
}

/// The budgets of one box, by service.
#[derive(Clone, Debug)]
pub struct Budgets {
    limits: Limits,
    /// Whether no process ran on this box before.
    first_start: bool,
    /// The number of boxes that share the slack; `None` if this box cannot know.
    boxes: Option<usize>,
    windows: HashMap<Service, Window>,
    counts: HashMap<Service, Counts>,
}

impl Budgets {
    /// Creates the budgets of a box that knows of no other box yet; `first_start` states that no
    /// process ran on this box before.
    pub fn new(limits: Limits, first_start: bool) -> Self {
        Self {
            limits,
            first_start,
            boxes: None,
            windows: HashMap::new(),
            counts: HashMap::new(),
        }
    }

    /// Reports whether no process ran on this box before.
    pub fn is_first_start(&self) -> bool {
        self.first_start
    }

    /// Sets new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets how many boxes share the slack; `None` if the box cannot know.
    pub fn set_boxes(&mut self, boxes: Option<usize>) {
        self.boxes = boxes;
    }

    /// Returns the box's share of the slack at `now`. The process before this one may have spent
    /// the full share, so a restarted one takes only its part of the reserve until its first window
    /// is over.
    fn slack_share(&self, now: Time) -> f64 {
        let Some(slack) = self.limits.slack else {
            return Limits::SAVED;
        };
        let Some(boxes) = self.boxes else {
            return UNKNOWN_FLEET_SLACK;
        };
        let restarted = !self.first_start && now < Time(0) + WINDOW;
        let part = if restarted {
            RESTARTED_SLACK_SHARE
        } else {
            SLACK_SHARE
        };
        part * slack / boxes.max(1) as f64
    }

    /// Records a fresh request for `service`.
    pub fn record_request(&mut self, service: &Service, now: Time) {
        if let Some(window) = self.windows.get_mut(service) {
            window.current(now).fresh += 1;
            return;
        }
        let window = self.windows.entry(service.clone()).or_default();
        window.current(now).fresh += 1;
    }

    /// Returns the balance of the budget of `service`.
    pub fn balance(&mut self, service: &Service, now: Time) -> Balance {
        let (ratio, share) = (self.limits.ratio, self.slack_share(now));
        let window = self.windows.entry(service.clone()).or_default();
        window.current(now);
        match self.limits.slack {
            Some(_) => window.tightest_window(ratio, share),
            None => window.last_window(ratio, share),
        }
    }

    /// Iterates over how often attempts beyond the first were asked for, by service.
    pub fn counts(&self) -> impl Iterator<Item = (&Service, &Counts)> {
        self.counts.iter()
    }

    /// Counts the outcome of asking for an attempt for `service`.
    pub fn count(&mut self, service: &Service, outcome: Outcome) {
        self.counts.entry(service.clone()).or_default().add(outcome);
    }

    /// Takes one attempt that was made already.
    fn take(&mut self, service: &Service, now: Time) {
        let window = self.windows.entry(service.clone()).or_default();
        window.current(now).spent += 1;
    }

    /// Takes one attempt if the budget of `service` has one left.
    pub fn spend(&mut self, service: &Service, now: Time) -> bool {
        let balance = self.balance(service, now);
        if balance.left() < 1.0 {
            return false;
        }
        self.take(service, now);
        true
    }

    /// Reserves one attempt if the budget of `service` has one left. It is given back with
    /// [`Budgets::release`] or taken with [`Budgets::spend_reserved`].
    pub fn reserve(&mut self, service: &Service, now: Time) -> bool {
        let granted = self.balance(service, now).left() >= 1.0;
        if let Some(window) = self.windows.get_mut(service).filter(|_| granted) {
            window.reserved += 1;
        }
        granted
    }

    /// Gives back a reserved attempt that was not made, or that does not count.
    pub fn release(&mut self, service: &Service) {
        if let Some(window) = self.windows.get_mut(service) {
            window.reserved = window.reserved.saturating_sub(1);
        }
    }

    /// Takes a reserved attempt, which was made at `made`.
    pub fn spend_reserved(&mut self, service: &Service, made: Time) {
        self.release(service);
        self.take(service, made);
    }
}
