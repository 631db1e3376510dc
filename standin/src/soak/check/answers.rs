//! Checks of the answers that callers received: their own, complete, from a single run, truthful
//! refusals and no losses.

use std::collections::BTreeSet;

use super::{
    super::{
        fleet::TERMINATION_GRACE,
        record::{Answer, Arrival, Attempt, Kind, Ms, Outcome, Part},
        server::{EVENTS, response_body, signature},
    },
    Breach, CONFIG_APPLY_MS, CONTACT_MS, Rule, View,
};

/// A request that was not forwarded is excused if it ends this soon after it was sent: it crossed a
/// close of the connection (`lossSlackMs`).
const CLOSE_RACE_MS: Ms = 200;
/// How long a planned stop still counts as planned work after the platform's grace period.
const AFTER_GRACE_MS: Ms = 1000;
/// Timeout of the routes.
const ROUTE_TIMEOUT_MS: Ms = 3000;
/// How far beyond the timeout a request may lack its final answer. A breach takes at least
/// `MIN_HELD` such requests, and more than a quarter of those that reach the timeout.
const ANSWER_SLACK_MS: Ms = 500;
const MIN_HELD: usize = 8;
/// Forwarded requests that boxes in touch may lose.
const MAX_LOST: usize = 3;
/// Requests that boxes in touch may deny, in addition to one in [`DENIED_SHARE`].
const MAX_DENIED: usize = 5;
const DENIED_SHARE: usize = 500;
/// Denials (401, 403, 404) of requests that every configuration allows, by any box.
const MAX_DENIED_ANYWHERE: usize = 10;

pub(super) fn check(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let mut counts = Counts::default();
    for attempt in &view.record.attempts {
        check_once(view, attempt, breaches);
        count_outlasting(view, attempt, &mut counts);
        match &attempt.end {
            Some((end, Outcome::Answer(answer))) => {
                check_own_answer(view, attempt, answer, breaches);
                count_denied(view, attempt, *end, answer, &mut counts);
                if !answer.whole {
                    check_lost(view, attempt, *end, &mut counts, breaches);
                }
            }
            Some((end, Outcome::Closed)) => check_lost(view, attempt, *end, &mut counts, breaches),
            Some((_, Outcome::Unsent | Outcome::GaveUp)) | None => {}
        }
    }
    counts.report(view, breaches);
}

/// Counts of events that are breaches only above a limit.
#[derive(Default)]
struct Counts {
    lost: usize,
    denied: usize,
    denied_anywhere: usize,
    outlasting: usize,
    held: usize,
}

impl Counts {
    fn report(&self, view: &View<'_>, breaches: &mut Vec<Breach>) {
        let mut report_if = |rule: Rule, broken: bool, detail: &str| {
            let detail = detail.to_owned();
            if broken {
                breaches.push(Breach { rule, detail });
            }
        };
        let allowed = MAX_DENIED + view.record.attempts.len() / DENIED_SHARE;
        let lost =
            "boxes in touch passed requests on and closed without an answer, more than three times";
        report_if(Rule::Lost, self.lost > MAX_LOST, lost);
        let denied = "boxes in touch deny what every configuration allows";
        report_if(Rule::Denied, self.denied > allowed, denied);
        let anywhere = "boxes deny what every configuration allows";
        report_if(
            Rule::Denied,
            self.denied_anywhere > MAX_DENIED_ANYWHERE,
            anywhere,
        );
        let held = "boxes in touch hold requests far beyond what their routes allow";
        let often = self.held >= MIN_HELD && self.held * 4 > self.outlasting;
        report_if(Rule::Config, often, held);
    }
}

/// CONFIG: counts requests that reach their route's timeout, and those that still lack an answer
/// long after it.
fn count_outlasting(view: &View<'_>, attempt: &Attempt, counts: &mut Counts) {
    let end = attempt.end.as_ref().map_or(view.now, |(end, _)| *end);
    let lasted = end - attempt.sent;
    counts.outlasting += usize::from(lasted >= ROUTE_TIMEOUT_MS);
    let held = lasted > ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS && view.in_touch(attempt.entry, end);
    counts.held += usize::from(held);
}

/// TWICE and REFUSED: requests of kind `once` run at most once, and not at all if they were
/// refused.
fn check_once(view: &View<'_>, attempt: &Attempt, breaches: &mut Vec<Breach>) {
    if attempt.kind != Kind::Once {
        return;
    }
    let id = &attempt.id;
    let arrivals = view.arrivals(id);
    let runs: u32 = arrivals.iter().map(|a| a.runs).sum();
    if runs > 1 {
        let detail = format!("{id} ran {runs} times");
        breaches.push(Breach {
            rule: Rule::Twice,
            detail,
        });
    }
    if let Some((_, Outcome::Answer(answer))) = &attempt.end
        && matches!(answer.status, 408 | 421 | 429 | 503)
        && runs > 0
    {
        let detail = format!("{id} was refused with {}, and ran", answer.status);
        breaches.push(Breach {
            rule: Rule::Refused,
            detail,
        });
    }
}

/// MIXED and ORDER: an answer is that of the server that ran the request, with all events in order.
fn check_own_answer(
    view: &View<'_>,
    attempt: &Attempt,
    answer: &Answer,
    breaches: &mut Vec<Breach>,
) {
    let id = &attempt.id;
    let success = answer.status / 100 == 2;
    let mut broken = |rule: Rule, detail: &str| {
        let detail = format!("{id}: {detail}");
        breaches.push(Breach { rule, detail });
    };
    let signer = answer.signature.as_ref().and_then(|expected_signature| {
        let mut arrivals = view.arrivals(id).iter();
        arrivals.find(|a| {
            signature(&view.record.lives[a.life].name, a.number) == *expected_signature
                && a.runs > 0
        })
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
        if let Some(fault) = stream_fault(view, answer) {
            broken(Rule::Order, fault);
        }
        return;
    }
    let expected = response_body(&view.record.lives[signer.life].name, id);
    if answer.whole && answer.body != expected {
        broken(Rule::Mixed, "the body is not the server's");
    }
    if !expected.starts_with(&answer.body) {
        broken(Rule::Mixed, "the part that came is not the server's");
    }
}

/// Returns what is wrong with a stream's events; an incomplete stream may end inside an event.
fn stream_fault(view: &View<'_>, answer: &Answer) -> Option<&'static str> {
    let names: BTreeSet<&str> = view.record.lives.iter().map(|l| l.name.as_str()).collect();
    let mut events: Vec<&str> = answer.body.split("\n\n").collect();
    // After the last blank line there is nothing, or an event that was cut.
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

/// DENIED: counts refusals by a box itself of well-formed requests that every configuration allows.
fn count_denied(view: &View<'_>, attempt: &Attempt, end: Ms, answer: &Answer, counts: &mut Counts) {
    let own = answer.signature.is_none() && matches!(answer.status, 300..=499);
    if !own
        || matches!(answer.status, 408 | 421 | 429)
        || matches!(attempt.kind, Kind::Versioned(_))
    {
        return;
    }
    counts.denied += usize::from(view.in_touch(attempt.entry, end));
    counts.denied_anywhere += usize::from(matches!(answer.status, 401 | 403 | 404));
}

/// LOST: around planned work any lost request is a breach; elsewhere losses of boxes in touch are
/// counted.
fn check_lost(
    view: &View<'_>,
    attempt: &Attempt,
    end: Ms,
    counts: &mut Counts,
    breaches: &mut Vec<Breach>,
) {
    let (id, entry, sent) = (&attempt.id, attempt.entry, attempt.sent);
    let arrivals = view.arrivals(id);
    let server_broke_off = arrivals
        .iter()
        .any(|a| view.server_failed(a.life, sent, end));
    // "The time limit or the route's timeout was reached", "the worker broke off".
    if server_broke_off || end - sent >= ROUTE_TIMEOUT_MS {
        return;
    }
    let forwarded = !arrivals.is_empty();
    let in_touch = |a: &&Arrival| view.sender_in_touch(entry, a, end);
    counts.lost += usize::from(forwarded && arrivals.iter().all(in_touch));
    // "A request that crosses your close and is not passed on is not counted."
    if !forwarded && end - sent <= CLOSE_RACE_MS {
        return;
    }
    // "With no unplanned disturbance from contactMs before the request to its end"; disturbances of
    // the store are no excuse.
    let unplanned = view.disturbed(sent.saturating_sub(CONTACT_MS), end, |part| {
        matches!(
            part,
            Part::Box(_) | Part::Frozen(_) | Part::Cut(_) | Part::Server(_)
        )
    });
    let grace = TERMINATION_GRACE.as_millis() as Ms + AFTER_GRACE_MS;
    let planned = view
        .record
        .troubles
        .iter()
        .any(|trouble| match trouble.part {
            Part::PlannedStop(n) => {
                n == entry && trouble.from <= end && sent <= trouble.from + grace
            }
            Part::Settings(n) => {
                n == entry && trouble.from < end && sent <= trouble.from + CONFIG_APPLY_MS
            }
            _ => false,
        });
    if planned && !unplanned {
        let detail = format!("{id} had no whole answer from box-{entry} around planned work");
        let rule = Rule::Lost;
        breaches.push(Breach { rule, detail });
    }
}
