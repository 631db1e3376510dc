//! Checks of the users' rules, as pure functions over the record.
//!
//! Each breach names the users' rule. Only what that rule excuses is excused: time bounds apply to
//! boxes in touch only, and some of them only while the store is undisturbed.

mod answers;
mod places;

use std::{collections::HashMap, fmt};

use super::record::{Arrival, Attempt, Kind, Ms, Outcome, Part, Record};

/// How long a box must have been undisturbed for time bounds to apply to it (`contactMs`).
pub const CONTACT_MS: Ms = 5000;
/// How long a leaving server may still receive requests (`drainMs`).
pub const DRAIN_MS: Ms = 3000;
/// Time within which a configuration takes effect (`configApplyMs`).
const CONFIG_APPLY_MS: Ms = 3000;
/// Time within which an evacuation takes effect (`evacMs`).
const EVACUATION_APPLY_MS: Ms = 5000;
/// Time after the last fault within which requests are served again (`recoverS`).
const RECOVER_MS: Ms = 12_000;
/// Minimum time that a run is observed after its last fault: until boxes are in touch, and 1.5 s.
const MIN_TAIL_MS: Ms = CONTACT_MS + 1500;
/// Minimum number of requests for a verdict on the service after the last fault.
const MIN_SAMPLE: usize = 20;

/// The rules that are checked, under the users' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs, reason = "the users' page of rules describes each")]
pub enum Rule {
    Budget,
    Config,
    Denied,
    Drain,
    Evac,
    Failback,
    Fault,
    Home,
    Lost,
    Mixed,
    Order,
    Recover,
    Refused,
    Route,
    Twice,
    Unasked,
}

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// The record with indexes that several checks use.
struct View<'a> {
    record: &'a Record,
    now: Ms,
    attempts: HashMap<&'a str, &'a Attempt>,
    arrivals: HashMap<&'a str, Vec<&'a Arrival>>,
}

impl<'a> View<'a> {
    fn new(record: &'a Record, now: Ms) -> Self {
        let attempts = record.attempts.iter().map(|a| (a.id.as_str(), a));
        let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in &record.arrivals {
            arrivals.entry(&arrival.id).or_default().push(arrival);
        }
        Self {
            record,
            now,
            attempts: attempts.collect(),
            arrivals,
        }
    }

    fn arrivals(&self, id: &str) -> &[&'a Arrival] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }

    /// Reports whether a part that matches was disturbed at any time of a span.
    fn disturbed(&self, from: Ms, until: Ms, matches: impl Fn(Part) -> bool) -> bool {
        let overlaps =
            |t: &&super::record::Trouble| t.from <= until && t.until.unwrap_or(Ms::MAX) >= from;
        let mut found = self.record.troubles.iter().filter(overlaps);
        found.any(|trouble| matches(trouble.part))
    }

    /// Reports whether a box is "in touch" (1): no kill, start, SIGTERM, freeze or cut of it within
    /// `contactMs` before.
    fn in_touch(&self, number: usize, at: Ms) -> bool {
        !self.disturbed(at.saturating_sub(CONTACT_MS), at, |part| match part {
            Part::PlannedStop(n) | Part::Box(n) | Part::Gone(n) => n == number,
            Part::Frozen(n) | Part::Cut(n) => n == number,
            Part::Settings(_) | Part::Store | Part::Server(_) => false,
        })
    }

    /// Reports whether the "core" is stable: the store was undisturbed from `contactMs` before a
    /// span to its end.
    fn is_core_stable(&self, from: Ms, until: Ms) -> bool {
        !self.disturbed(from.saturating_sub(CONTACT_MS), until, |part| {
            part == Part::Store
        })
    }

    /// Reports whether the possible senders of an arrival were in touch at a time: the entry box,
    /// and for another region all boxes of the server's region, to which it may have relayed.
    fn sender_in_touch(&self, entry: usize, arrival: &Arrival, at: Ms) -> bool {
        let region = self.record.lives[arrival.life].region;
        let regions = self.record.box_regions.iter().enumerate();
        let mut relays = regions.filter(|(_, r)| **r == region);
        let direct = self.record.box_regions.get(entry) == Some(&region);
        self.in_touch(entry, at) && (direct || relays.all(|(number, _)| self.in_touch(number, at)))
    }

    /// Reports whether a backend server was disturbed in a span, or had ended before its end.
    fn server_failed(&self, life: usize, from: Ms, until: Ms) -> bool {
        let ended = self.record.lives[life].end.is_some_and(|end| end <= until);
        ended || self.disturbed(from, until, |part| part == Part::Server(life))
    }
}

/// Returns all breaches so far.
pub fn breaches(record: &Record, now: Ms) -> Vec<Breach> {
    let view = View::new(record, now);
    let mut breaches = Vec::new();
    answers::check(&view, &mut breaches);
    places::check(&view, &mut breaches);
    own_ends(&view, &mut breaches);
    recovery(&view, &mut breaches);
    breaches
}

/// "Fault", more strictly than the rule: no process ends by itself, whether disturbed or not.
fn own_ends(view: &View<'_>, breaches: &mut Vec<Breach>) {
    for (number, at, how) in &view.record.own_ends {
        breaches.push(Breach {
            rule: Rule::Fault,
            detail: format!("box-{number} ended by itself at {at} ms: {how}"),
        });
    }
}

pub(super) fn is_served(attempt: &Attempt) -> bool {
    match &attempt.end {
        Some((_, Outcome::Answer(answer))) => answer.status / 100 == 2 && answer.whole,
        _ => false,
    }
}

/// RECOVER: at least a quarter of the requests sent later than the bound after the last fault is
/// served.
fn recovery(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let Some(due) = view.record.calm.map(|calm| calm + RECOVER_MS) else {
        return;
    };
    let sent = |from: Ms, until: Ms| {
        let all = view.record.attempts.iter();
        let all = all.filter(move |a| (from..until).contains(&a.sent));
        all.filter(|a| !matches!(a.kind, Kind::Versioned(_)))
    };
    let later = sent(due, view.now).filter(|a| a.end.is_some());
    let (count, served) = later.fold((0, 0), |(count, served), a| {
        (count + 1, served + usize::from(is_served(a)))
    });
    // Callers that reach no box send no requests, so a count of zero is a breach too.
    let silent = view.now > due + 1500 && count == 0;
    if silent || (count >= MIN_SAMPLE && served * 4 < count) {
        breaches.push(Breach {
            rule: Rule::Recover,
            detail: "less than a quarter is served long after the last fault".to_owned(),
        });
    }
}

/// Reports whether a run may end after its last fault: nine tenths of recent requests are served,
/// or the bound for recovery passed 3 s ago.
pub fn is_over(record: &Record, calm: Ms, now: Ms) -> bool {
    if now < calm + MIN_TAIL_MS {
        return false;
    }
    let recent = record.attempts.iter().filter(|a| {
        let fresh = a.sent + 2000 > now && a.sent + 1000 <= now;
        fresh && !matches!(a.kind, Kind::Versioned(_))
    });
    let (count, served) = recent.fold((0, 0), |(count, served), a| {
        (count + 1, served + usize::from(is_served(a)))
    });
    now > calm + RECOVER_MS + 3000 || (count >= MIN_SAMPLE && served * 10 >= count * 9)
}
