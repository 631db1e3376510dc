//! What callers got: their own answers, whole and once, true refusals, nothing lost.

use std::collections::BTreeSet;

use super::{
    super::{
        fleet::GRACE,
        record::{Answer, Arrival, Attempt, Kind, Ms, Outcome, Part},
        server::{EVENTS, body_of, signature},
    },
    APPLY_MS, Breach, CONTACT_MS, Rule, View,
};

/// A request that was not passed on may end so soon after its last byte: it crossed a close (`lossSlackMs`).
const CROSSING_MS: Ms = 200;
/// How long a planned stop counts after the time that the platform leaves a process.
const AFTER_GRACE_MS: Ms = 1000;
/// How long routes let a request take.
const TIMEOUT_MS: Ms = 3000;
/// How much longer a request may lack its final answer, and how many may beside a quarter.
const HELD_MS: Ms = 500;
const HELD: usize = 8;
/// Requests from kept connections that a box in touch may lose.
const LOST: usize = 3;
/// Requests that a box in touch may deny, beside one in [`DENIED_SHARE`].
const DENIED: usize = 5;
const DENIED_SHARE: usize = 500;
/// Denials of what every configuration allows, whoever says them.
const DENIED_ANYWHERE: usize = 10;

pub(super) fn check(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let mut found = Found::default();
    for attempt in &view.record.attempts {
        once(view, attempt, breaches);
        outlasting(view, attempt, &mut found);
        match &attempt.end {
            Some((end, Outcome::Answer(answer))) => {
                own_answer(view, attempt, answer, breaches);
                denied(view, attempt, *end, answer, &mut found);
                if !answer.whole {
                    lost(view, attempt, *end, &mut found, breaches);
                }
            }
            Some((end, Outcome::Closed)) => lost(view, attempt, *end, &mut found, breaches),
            Some((_, Outcome::Unsent | Outcome::GaveUp)) | None => {}
        }
    }
    found.judge(view, breaches);
}

/// What counts only in numbers.
#[derive(Default)]
struct Found {
    lost: usize,
    denied: usize,
    denied_anywhere: usize,
    outlasting: usize,
    held: usize,
}

impl Found {
    fn judge(&self, view: &View<'_>, breaches: &mut Vec<Breach>) {
        let mut more = |rule: Rule, broken: bool, what: &str| {
            let what = what.to_owned();
            if broken {
                breaches.push(Breach { rule, what });
            }
        };
        let allowed = DENIED + view.record.attempts.len() / DENIED_SHARE;
        let lost =
            "boxes in touch passed requests on and closed without an answer, more than three times";
        more(Rule::Lost, self.lost > LOST, lost);
        let denied = "boxes in touch deny what every configuration allows";
        more(Rule::Denied, self.denied > allowed, denied);
        let anywhere = "boxes deny what every configuration allows";
        more(
            Rule::Denied,
            self.denied_anywhere > DENIED_ANYWHERE,
            anywhere,
        );
        let held = "boxes in touch hold requests far beyond what their routes allow";
        let often = self.held >= HELD && self.held * 4 > self.outlasting;
        more(Rule::Config, often, held);
    }
}

/// CONFIG: requests that outlast their route's time, and those that lack an answer long after it.
fn outlasting(view: &View<'_>, attempt: &Attempt, found: &mut Found) {
    let end = attempt.end.as_ref().map_or(view.now, |(end, _)| *end);
    let lasted = end - attempt.sent;
    found.outlasting += usize::from(lasted >= TIMEOUT_MS);
    let held = lasted > TIMEOUT_MS + HELD_MS && view.in_touch(attempt.entry, end);
    found.held += usize::from(held);
}

/// TWICE and REFUSED.
fn once(view: &View<'_>, attempt: &Attempt, breaches: &mut Vec<Breach>) {
    if attempt.kind != Kind::Once {
        return;
    }
    let id = &attempt.id;
    let arrivals = view.arrivals(id);
    let runs: u32 = arrivals.iter().map(|a| a.runs).sum();
    if runs > 1 {
        let what = format!("{id} ran {runs} times");
        breaches.push(Breach {
            rule: Rule::Twice,
            what,
        });
    }
    if let Some((_, Outcome::Answer(answer))) = &attempt.end
        && matches!(answer.status, 408 | 421 | 429 | 503)
        && runs > 0
    {
        let what = format!("{id} was refused with {}, and ran", answer.status);
        breaches.push(Breach {
            rule: Rule::Refused,
            what,
        });
    }
}

/// MIXED and ORDER.
fn own_answer(view: &View<'_>, attempt: &Attempt, answer: &Answer, breaches: &mut Vec<Breach>) {
    let id = &attempt.id;
    let success = answer.status / 100 == 2;
    let mut broken = |rule: Rule, what: &str| {
        let what = format!("{id}: {what}");
        breaches.push(Breach { rule, what });
    };
    let signer = answer.signature.as_ref().and_then(|mark| {
        let mut arrivals = view.arrivals(id).iter();
        arrivals
            .find(|a| signature(&view.record.lives[a.life].name, a.number) == *mark && a.runs > 0)
    });
    let Some(signer) = signer else {
        if success || answer.signature.is_some() {
            broken(
                Rule::Mixed,
                "an answer without the mark of a server that ran it",
            );
        }
        return;
    };
    if signer.status != answer.status {
        broken(Rule::Mixed, "the status is not the server's");
    }
    if !success {
        return;
    }
    if attempt.kind == Kind::Stream {
        if let Some(fault) = order(view, answer) {
            broken(Rule::Order, fault);
        }
        return;
    }
    let expected = body_of(&view.record.lives[signer.life].name, id);
    if answer.whole && answer.body != expected {
        broken(Rule::Mixed, "the body is not the server's");
    }
    if !expected.starts_with(&answer.body) {
        broken(Rule::Mixed, "the part that came is not the server's");
    }
}

/// What is wrong with a stream's events; those of an unfinished one may end within an event.
fn order(view: &View<'_>, answer: &Answer) -> Option<&'static str> {
    let names: BTreeSet<&str> = view.record.lives.iter().map(|l| l.name.as_str()).collect();
    let mut events: Vec<&str> = answer.body.split("\n\n").collect();
    // What follows the last blank line is nothing, or an event that was cut.
    let rest = events.pop().unwrap_or_default();
    for (index, event) in events.iter().enumerate() {
        let expected = format!("id: {}\ndata: ", index + 1);
        let Some(name) = event.strip_prefix(&expected) else {
            return Some("an event is missing, comes twice or out of order");
        };
        if !names.contains(name) {
            return Some("an event is no server's");
        }
    }
    let complete = events.len() == EVENTS as usize && rest.is_empty();
    (answer.whole && !complete).then_some("it ends as complete before its last event")
}

/// DENIED: a refusal of its own for a proper request that every configuration allows.
fn denied(view: &View<'_>, attempt: &Attempt, end: Ms, answer: &Answer, found: &mut Found) {
    let own = answer.signature.is_none() && matches!(answer.status, 300..=499);
    if !own
        || matches!(answer.status, 408 | 421 | 429)
        || matches!(attempt.kind, Kind::Versioned(_))
    {
        return;
    }
    found.denied += usize::from(view.in_touch(attempt.entry, end));
    found.denied_anywhere += usize::from(matches!(answer.status, 401 | 403 | 404));
}

/// LOST: around planned work one is too many; elsewhere some are, from boxes in touch.
fn lost(
    view: &View<'_>,
    attempt: &Attempt,
    end: Ms,
    found: &mut Found,
    breaches: &mut Vec<Breach>,
) {
    let (id, entry, sent) = (&attempt.id, attempt.entry, attempt.sent);
    let arrivals = view.arrivals(id);
    let broke_off = arrivals
        .iter()
        .any(|a| view.server_failed(a.life, sent, end));
    // "The time limit or the route's timeout was reached", "the worker broke off".
    if broke_off || end - sent >= TIMEOUT_MS {
        return;
    }
    let passed = !arrivals.is_empty();
    let in_touch = |a: &&Arrival| view.sender_in_touch(entry, a, end);
    found.lost += usize::from(passed && arrivals.iter().all(in_touch));
    // "A request that crosses your close and is not passed on is not counted."
    if !passed && end - sent <= CROSSING_MS {
        return;
    }
    // "With no unplanned disturbance from contactMs before the request to its end"; the store's excuse nothing.
    let unplanned = view.disturbed(sent.saturating_sub(CONTACT_MS), end, |part| {
        matches!(
            part,
            Part::Box(_) | Part::Frozen(_) | Part::Cut(_) | Part::Server(_)
        )
    });
    let grace = GRACE.as_millis() as Ms + AFTER_GRACE_MS;
    let planned = view
        .record
        .troubles
        .iter()
        .any(|trouble| match trouble.part {
            Part::PlannedStop(n) => {
                n == entry && trouble.from <= end && sent <= trouble.from + grace
            }
            Part::Settings(n) => {
                n == entry && trouble.from < end && sent <= trouble.from + APPLY_MS
            }
            _ => false,
        });
    if planned && !unplanned {
        let what = format!("{id} had no whole answer from box-{entry} around planned work");
        let rule = Rule::Lost;
        breaches.push(Breach { rule, what });
    }
}
