//! The promises, as pure functions over what was seen.
//!
//! Each breach names the users' rule. What is excused is what that rule excuses: bounds in time count for
//! boxes in touch only, and some of them while the store is undisturbed.

mod answers;
mod places;

use std::{collections::HashMap, fmt};

use super::record::{Arrival, Attempt, Kind, Ms, Outcome, Part, Record};

/// How long a machine must have been undisturbed for bounds in time to count (`contactMs`).
pub const CONTACT_MS: Ms = 5000;
/// How long a server that leaves may get requests (`drainMs`).
pub const DRAIN_MS: Ms = 3000;
/// How soon a configuration is in force (`configApplyMs`).
const APPLY_MS: Ms = 3000;
/// How soon an evacuation is obeyed (`evacMs`).
const EVACUATE_MS: Ms = 5000;
/// How soon after the last fault requests are served again (`recoverS`).
const RECOVER_MS: Ms = 12_000;
/// What of a run after its last fault is watched at least: until boxes are in touch, and some more.
const TAIL_MS: Ms = CONTACT_MS + 1500;
/// Requests by which the service after the last fault is judged.
const SAMPLE: usize = 20;

/// The rules that are checked, by the users' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs, reason = "the users' page of rules says what each asks")]
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

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which one.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// The record, with what several checks look up.
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

    /// Whether something of this kind was disturbed at any moment of a span.
    fn disturbed(&self, from: Ms, until: Ms, is: impl Fn(Part) -> bool) -> bool {
        let overlaps =
            |t: &&super::record::Trouble| t.from <= until && t.until.unwrap_or(Ms::MAX) >= from;
        let mut found = self.record.troubles.iter().filter(overlaps);
        found.any(|trouble| is(trouble.part))
    }

    /// "In touch", (1): no kill, start, SIGTERM, freeze or cut of the box in the time before.
    fn in_touch(&self, number: usize, at: Ms) -> bool {
        !self.disturbed(at.saturating_sub(CONTACT_MS), at, |part| match part {
            Part::PlannedStop(n) | Part::Box(n) | Part::Gone(n) => n == number,
            Part::Frozen(n) | Part::Cut(n) => n == number,
            Part::Settings(_) | Part::Store | Part::Server(_) => false,
        })
    }

    /// "Core": the store was undisturbed for long enough before a span, and throughout it.
    fn is_core_stable(&self, from: Ms, until: Ms) -> bool {
        !self.disturbed(from.saturating_sub(CONTACT_MS), until, |part| {
            part == Part::Store
        })
    }

    /// Whether whoever sent an arrival was in touch at a moment: the entry box, or any box of the server's region to
    /// which it may have relayed.
    fn sender_in_touch(&self, entry: usize, arrival: &Arrival, at: Ms) -> bool {
        let region = self.record.lives[arrival.life].region;
        let regions = self.record.box_regions.iter().enumerate();
        let mut relays = regions.filter(|(_, r)| **r == region);
        let direct = self.record.box_regions.get(entry) == Some(&region);
        self.in_touch(entry, at) && (direct || relays.all(|(number, _)| self.in_touch(number, at)))
    }

    /// Whether a backend server was disturbed or ended within a span.
    fn server_failed(&self, life: usize, from: Ms, until: Ms) -> bool {
        let ended = self.record.lives[life].end.is_some_and(|end| end <= until);
        ended || self.disturbed(from, until, |part| part == Part::Server(life))
    }
}

/// Every promise that was broken so far.
pub fn all(record: &Record, now: Ms) -> Vec<Breach> {
    let view = View::new(record, now);
    let mut breaches = Vec::new();
    answers::check(&view, &mut breaches);
    places::check(&view, &mut breaches);
    own_ends(&view, &mut breaches);
    recovery(&view, &mut breaches);
    breaches
}

/// "Fault", more strictly: no process ends by itself, be it disturbed or not.
fn own_ends(view: &View<'_>, breaches: &mut Vec<Breach>) {
    for (number, at, how) in &view.record.own_ends {
        breaches.push(Breach {
            rule: Rule::Fault,
            what: format!("box-{number} ended by itself at {at} ms: {how}"),
        });
    }
}

pub(super) fn is_served(attempt: &Attempt) -> bool {
    match &attempt.end {
        Some((_, Outcome::Answer(answer))) => answer.status / 100 == 2 && answer.whole,
        _ => false,
    }
}

/// RECOVER: what is sent later than the bound after the last fault is served, a quarter of it at least.
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
    // Callers that reach no box send nothing.
    let silent = view.now > due + 1500 && count == 0;
    if silent || (count >= SAMPLE && served * 4 < count) {
        breaches.push(Breach {
            rule: Rule::Recover,
            what: "less than a quarter is served long after the last fault".to_owned(),
        });
    }
}

/// Whether enough was seen after the last fault: service is back, or its time is long over.
pub fn is_over(record: &Record, calm: Ms, now: Ms) -> bool {
    if now < calm + TAIL_MS {
        return false;
    }
    let recent = record.attempts.iter().filter(|a| {
        let fresh = a.sent + 2000 > now && a.sent + 1000 <= now;
        fresh && !matches!(a.kind, Kind::Versioned(_))
    });
    let (count, served) = recent.fold((0, 0), |(count, served), a| {
        (count + 1, served + usize::from(is_served(a)))
    });
    now > calm + RECOVER_MS + 3000 || (count >= SAMPLE && served * 10 >= count * 9)
}
