//! Checks of where and when requests reached backend servers, and of the boxes that look-ups name.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{
    super::{
        HOME_REGIONS,
        operator::COLD_RATE_PER_S,
        record::{Answer, Arrival, Attempt, Kind, Ms, Outcome, Part},
    },
    Breach, CONFIG_APPLY_MS, CONTACT_MS, DRAIN_MS, EVACUATION_APPLY_MS, Rule, View,
};

/// How long after a version took effect an older one may still be observed (`rollbackSlackMs`).
const ROLLBACK_SLACK_MS: Ms = 250;
/// Multiple of that time for a box that was frozen.
const FROZEN_FACTOR: Ms = 8;
/// Retries allowed in a window: a share of the requests, and a constant slack
/// (`retryBudgetRatio`, `budgetSlack`).
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 58.0;
const RETRY_WINDOW_MS: Ms = 10_000;
/// Time between the starts of two checked windows.
const RETRY_WINDOW_STEP_MS: Ms = 500;
/// Requests that a cold server may receive in a second: a multiple of its rate, and a constant
/// slack (`coldOver`, `coldSlack`).
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 3.0;
const SECOND_MS: Ms = 1000;
/// Servers that may run one attempt (`maxAttempts`), and how many attempts may exceed it.
const MAX_ATTEMPTS: usize = 2;
const MAX_EXCEEDING: usize = 3;
/// How long after its end a look-up may name a box: 3 s beyond `contactMs`.
const STALE_NAME_MS: Ms = CONTACT_MS + 3000;
/// Look-ups that may name a box that ended longer ago.
const MAX_STALE_LOOK_UPS: usize = 3;

pub(super) fn check(view: &View<'_>, breaches: &mut Vec<Breach>) {
    for arrival in &view.record.arrivals {
        let Some(attempt) = view.attempts.get(arrival.id.as_str()) else {
            add_breach(
                breaches,
                Rule::Unasked,
                format!("nobody sent {}", arrival.id),
            );
            continue;
        };
        check_request(view, arrival, attempt, breaches);
        if !arrival.misdirected {
            check_leaving(view, arrival, attempt, breaches);
            check_evacuated(view, arrival, attempt, breaches);
        }
    }
    check_configuration(view, breaches);
    check_retry_budget(view, breaches);
    check_attempts(view, breaches);
    check_cold(view, breaches);
    check_look_ups(view, breaches);
}

fn add_breach(breaches: &mut Vec<Breach>, rule: Rule, detail: String) {
    breaches.push(Breach { rule, detail });
}

/// UNASKED, ROUTE and HOME: requests arrive unchanged, at their service and in their home regions.
fn check_request(
    view: &View<'_>,
    arrival: &Arrival,
    attempt: &Attempt,
    breaches: &mut Vec<Breach>,
) {
    let id = &arrival.id;
    let life = &view.record.lives[arrival.life];
    if arrival.runs > 0 && !arrival.intact {
        add_breach(
            breaches,
            Rule::Unasked,
            format!("{id} was changed on its way"),
        );
    }
    if arrival.runs > 0 && life.other != (attempt.kind == Kind::Other) {
        add_breach(
            breaches,
            Rule::Route,
            format!("{id} ran at a server of another service"),
        );
    }
    if attempt.kind == Kind::Home && !HOME_REGIONS.contains(&life.region) {
        add_breach(
            breaches,
            Rule::Home,
            format!("{id} came to region {}", life.region),
        );
    }
}

/// DRAIN: a server receives no requests later than the drain time after its departure was written
/// to the store.
fn check_leaving(
    view: &View<'_>,
    arrival: &Arrival,
    attempt: &Attempt,
    breaches: &mut Vec<Breach>,
) {
    let life = &view.record.lives[arrival.life];
    let Some(leaves) = life.leaves.filter(|leaves| arrival.at > leaves + DRAIN_MS) else {
        return;
    };
    // The departure is known to have been stored if the store was stable at that time, and then it
    // stays binding during later disturbances.
    if view.is_core_stable(leaves, leaves + DRAIN_MS)
        && view.sender_in_touch(attempt.entry, arrival, arrival.at)
    {
        let late = arrival.at - leaves;
        add_breach(
            breaches,
            Rule::Drain,
            format!(
                "{} came to {} {late} ms after it left",
                arrival.id, life.name
            ),
        );
    }
}

/// EVAC: an evacuated domain receives no requests after the evacuation took effect.
fn check_evacuated(
    view: &View<'_>,
    arrival: &Arrival,
    attempt: &Attempt,
    breaches: &mut Vec<Breach>,
) {
    let region = view.record.lives[arrival.life].region;
    let broken = view.record.evacuations.iter().any(|evacuation| {
        evacuation.region == region
            && arrival.at > evacuation.from + EVACUATION_APPLY_MS
            && evacuation.until.is_none_or(|until| arrival.at < until)
            && view.is_core_stable(evacuation.from, arrival.at)
    });
    if broken && view.sender_in_touch(attempt.entry, arrival, arrival.at) {
        add_breach(
            breaches,
            Rule::Evac,
            format!("{} came to region {region}, evacuated", arrival.id),
        );
    }
}

/// CONFIG: versions take effect in time, and never go back while a box's process runs.
fn check_configuration(view: &View<'_>, breaches: &mut Vec<Breach>) {
    // For each box, the times at which versions were observed in effect.
    let mut effects: BTreeMap<usize, Vec<(Ms, u64)>> = BTreeMap::new();
    for attempt in &view.record.attempts {
        let Kind::Versioned(number) = attempt.kind else {
            continue;
        };
        let runs = view.arrivals(&attempt.id).iter().filter(|a| a.runs > 0);
        let seen = runs.map(|a| (a.at, number));
        effects.entry(attempt.entry).or_default().extend(seen);
    }
    for attempt in &view.record.attempts {
        let Kind::Versioned(number) = attempt.kind else {
            continue;
        };
        check_in_force(view, attempt, number, breaches);
        let ran = view.arrivals(&attempt.id).iter().any(|a| a.runs > 0);
        let effects = effects.get(&attempt.entry).map_or(&[][..], Vec::as_slice);
        let newer = effects.iter().find(|(at, version)| {
            *version > number
                && attempt.sent > at + ROLLBACK_SLACK_MS
                && is_same_process(view, attempt, *at)
        });
        if let Some((at, version)) = newer.filter(|_| ran) {
            let detail = format!(
                "{} ran by version {number} at box-{}, which showed {version} at {at} ms",
                attempt.id, attempt.entry,
            );
            add_breach(breaches, Rule::Config, detail);
        }
    }
}

/// Reports whether the box of an attempt has run without a restart since a time. If it was frozen
/// since, the longer slack must have passed.
fn is_same_process(view: &View<'_>, attempt: &Attempt, since: Ms) -> bool {
    let (entry, sent) = (attempt.entry, attempt.sent);
    let again = view.disturbed(since, sent, |part| part == Part::Gone(entry));
    let frozen = view.disturbed(since, sent, |part| part == Part::Frozen(entry));
    !again && (!frozen || sent > since + FROZEN_FACTOR * ROLLBACK_SLACK_MS)
}

fn check_in_force(view: &View<'_>, attempt: &Attempt, number: u64, breaches: &mut Vec<Breach>) {
    let versions = &view.record.versions;
    let Some(index) = versions.iter().position(|v| v.number == number) else {
        return;
    };
    let sent = attempt.sent;
    let end = attempt.end.as_ref().map_or(sent, |(end, _)| *end);
    let bound = |at: Ms| {
        sent > at + CONFIG_APPLY_MS
            && view.is_core_stable(at, sent)
            && view.in_touch(attempt.entry, sent)
            && view.in_touch(attempt.entry, end)
    };
    let next = versions.get(index + 1);
    let ran = view.arrivals(&attempt.id).iter().any(|a| a.runs > 0);
    if next.is_some_and(|next| bound(next.at)) && ran {
        let detail = format!("{} ran by version {number} long after the next", attempt.id);
        add_breach(breaches, Rule::Config, detail);
    }
    let missing = matches!(
        &attempt.end,
        Some((_, Outcome::Answer(Answer { status: 404, .. })))
    );
    if missing && bound(versions[index].at) && next.is_none_or(|next| end < next.at) {
        let detail = format!("{} got 404 though version {number} is in force", attempt.id);
        add_breach(breaches, Rule::Config, detail);
    }
}

/// BUDGET: limits arrivals beyond the first of each request, over all boxes, by service.
fn check_retry_budget(view: &View<'_>, breaches: &mut Vec<Breach>) {
    for other in [false, true] {
        let attempts = view.record.attempts.iter();
        let of_service = attempts.filter(|a| (a.kind == Kind::Other) == other);
        let sent: Vec<Ms> = of_service.map(|a| a.sent).collect();
        let mut known = BTreeSet::new();
        let arrivals = view.record.arrivals.iter();
        let of_service = arrivals.filter(|a| view.record.lives[a.life].other == other);
        let repeats: Vec<Ms> = of_service
            .filter(|a| !known.insert(a.id.as_str()))
            .map(|a| a.at)
            .collect();
        let count = |times: &[Ms], from: Ms| {
            let inside = times
                .iter()
                .filter(|t| (from..from + RETRY_WINDOW_MS).contains(t));
            inside.count() as f64
        };
        let starts = (0..view.now).step_by(RETRY_WINDOW_STEP_MS as usize);
        let broken = starts.filter(|start| {
            let before = [0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS]
                .map(|b| count(&sent, start.saturating_sub(b)));
            let requests = before.into_iter().fold(0.0, f64::max);
            count(&repeats, *start) > RETRY_RATIO * requests + RETRY_SLACK
        });
        if let Some(start) = broken.min() {
            let service = if other { "the other" } else { "the main" };
            add_breach(
                breaches,
                Rule::Budget,
                format!("too many retries to {service} service from {start} ms"),
            );
        }
    }
}

/// BUDGET: limits attempts that ran on more servers than their route allows; servers that have
/// ended do not count.
fn check_attempts(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let exceeds = |arrivals: &&Vec<&Arrival>| {
        let ran = arrivals.iter().filter(|a| a.runs > 0);
        let alive = ran.filter(|a| view.record.lives[a.life].end.is_none());
        let lives: BTreeSet<usize> = alive.map(|a| a.life).collect();
        lives.len() > MAX_ATTEMPTS
    };
    if view.arrivals.values().filter(exceeds).count() > MAX_EXCEEDING {
        let detail = "more than three attempts ran on too many servers".to_owned();
        add_breach(breaches, Rule::Budget, detail);
    }
}

/// FAILBACK: limits what a cold server receives in any second from all senders together.
fn check_cold(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let limit = COLD_RATE_PER_S * COLD_OVER + COLD_SLACK;
    let mut by_life: HashMap<usize, Vec<Ms>> = HashMap::new();
    for arrival in view.record.arrivals.iter().filter(|a| !a.misdirected) {
        if arrival.at < view.record.lives[arrival.life].cold_until {
            by_life.entry(arrival.life).or_default().push(arrival.at);
        }
    }
    for (life, times) in by_life {
        let most = times.iter().map(|from| {
            let inside = times
                .iter()
                .filter(|t| (*from..from + SECOND_MS).contains(t));
            inside.count()
        });
        let most = most.max().unwrap_or_default();
        if most as f64 > limit {
            let name = &view.record.lives[life].name;
            add_breach(
                breaches,
                Rule::Failback,
                format!("{name}, cold, got more than {limit} in a second"),
            );
        }
    }
}

/// DRAIN: limits look-ups that name both a box that ended long ago and one that runs.
fn check_look_ups(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let mut stale = 0;
    for look_up in &view.record.look_ups {
        let at = look_up.at;
        let gone = |number: &usize, since: Ms| {
            view.record.troubles.iter().any(|trouble| {
                trouble.part == Part::Gone(*number)
                    && trouble.from + since < at
                    && trouble.until.is_none_or(|until| until > at)
            })
        };
        let names_ended = look_up.named.iter().any(|n| gone(n, STALE_NAME_MS));
        let names_running = look_up.named.iter().any(|n| !gone(n, 0));
        stale += usize::from(names_ended && names_running && view.in_touch(look_up.by, at));
    }
    if stale > MAX_STALE_LOOK_UPS {
        let detail = "look-ups name a box that ended long ago".to_owned();
        add_breach(breaches, Rule::Drain, detail);
    }
}
