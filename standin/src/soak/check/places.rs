//! Where and when requests reached backend servers, and what look-ups name.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{
    super::{
        HOMES,
        operator::COLD_RATE,
        record::{Answer, Arrival, Attempt, Kind, Ms, Outcome, Part},
    },
    APPLY_MS, Breach, CONTACT_MS, DRAIN_MS, EVACUATE_MS, Rule, View,
};

/// How long after a version's effect an older one may still show (`rollbackSlackMs`).
const ROLLBACK_MS: Ms = 250;
/// So many times as long on a machine that was slowed.
const SLOWED: Ms = 8;
/// Retries as a share of requests, and beside it (`retryBudgetRatio`, `budgetSlack`), in a window.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 58.0;
const WINDOW_MS: Ms = 10_000;
/// Between two windows that are looked at.
const WINDOW_STEP_MS: Ms = 500;
/// What a cold server may get in a second beside its rate (`coldOver`, `coldSlack`).
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 3.0;
const SECOND_MS: Ms = 1000;
/// Servers that one attempt may be sent to (`maxAttempts`), and how many attempts may exceed it.
const ATTEMPTS: usize = 2;
const EXCEEDING: usize = 3;
/// How long after its end a look-up may name a box, beyond the time in touch.
const NAMED_MS: Ms = CONTACT_MS + 3000;
/// Look-ups that may name a dead box.
const STALE: usize = 3;

pub(super) fn check(view: &View<'_>, breaches: &mut Vec<Breach>) {
    for arrival in &view.record.arrivals {
        let Some(attempt) = view.attempts.get(arrival.id.as_str()) else {
            add(
                breaches,
                Rule::Unasked,
                format!("nobody sent {}", arrival.id),
            );
            continue;
        };
        asked_for(view, arrival, attempt, breaches);
        if !arrival.misdirected {
            leaving(view, arrival, attempt, breaches);
            evacuated(view, arrival, attempt, breaches);
        }
    }
    configuration(view, breaches);
    budget(view, breaches);
    exceeding(view, breaches);
    cold(view, breaches);
    stale_look_ups(view, breaches);
}

fn add(breaches: &mut Vec<Breach>, rule: Rule, what: String) {
    breaches.push(Breach { rule, what });
}

/// UNASKED, ROUTE and HOME.
fn asked_for(view: &View<'_>, arrival: &Arrival, attempt: &Attempt, breaches: &mut Vec<Breach>) {
    let id = &arrival.id;
    let life = &view.record.lives[arrival.life];
    if arrival.runs > 0 && !arrival.intact {
        add(
            breaches,
            Rule::Unasked,
            format!("{id} was changed on its way"),
        );
    }
    if arrival.runs > 0 && life.other != (attempt.kind == Kind::Other) {
        add(
            breaches,
            Rule::Route,
            format!("{id} ran at a server of another service"),
        );
    }
    if attempt.kind == Kind::Home && !HOMES.contains(&life.region) {
        add(
            breaches,
            Rule::Home,
            format!("{id} came to region {}", life.region),
        );
    }
}

/// DRAIN: nothing later than the drain time after the store took that a server leaves.
fn leaving(view: &View<'_>, arrival: &Arrival, attempt: &Attempt, breaches: &mut Vec<Breach>) {
    let life = &view.record.lives[arrival.life];
    let Some(leaves) = life.leaves.filter(|leaves| arrival.at > leaves + DRAIN_MS) else {
        return;
    };
    // The store acknowledges while stable; what was acknowledged binds later, too.
    if view.is_core_stable(leaves, leaves + DRAIN_MS)
        && view.sender_in_touch(attempt.entry, arrival, arrival.at)
    {
        let late = arrival.at - leaves;
        add(
            breaches,
            Rule::Drain,
            format!(
                "{} came to {} {late} ms after it left",
                arrival.id, life.name
            ),
        );
    }
}

/// EVAC.
fn evacuated(view: &View<'_>, arrival: &Arrival, attempt: &Attempt, breaches: &mut Vec<Breach>) {
    let region = view.record.lives[arrival.life].region;
    let broken = view.record.evacuations.iter().any(|evacuation| {
        evacuation.region == region
            && arrival.at > evacuation.from + EVACUATE_MS
            && evacuation.until.is_none_or(|until| arrival.at < until)
            && view.is_core_stable(evacuation.from, arrival.at)
    });
    if broken && view.sender_in_touch(attempt.entry, arrival, arrival.at) {
        add(
            breaches,
            Rule::Evac,
            format!("{} came to region {region}, evacuated", arrival.id),
        );
    }
}

/// CONFIG: versions are in force in time, and never go back within one life of a box.
fn configuration(view: &View<'_>, breaches: &mut Vec<Breach>) {
    // By box: when effects of versions were seen.
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
        in_force(view, attempt, number, breaches);
        let ran = view.arrivals(&attempt.id).iter().any(|a| a.runs > 0);
        let effects = effects.get(&attempt.entry).map_or(&[][..], Vec::as_slice);
        let newer = effects.iter().find(|(at, version)| {
            *version > number && attempt.sent > at + ROLLBACK_MS && same_life(view, attempt, *at)
        });
        if let Some((at, version)) = newer.filter(|_| ran) {
            let what = format!(
                "{} ran by version {number} at box-{}, which showed {version} at {at} ms",
                attempt.id, attempt.entry,
            );
            add(breaches, Rule::Config, what);
        }
    }
}

/// Whether the box of an attempt lived on, undisturbed or long enough, since a moment.
fn same_life(view: &View<'_>, attempt: &Attempt, since: Ms) -> bool {
    let (entry, sent) = (attempt.entry, attempt.sent);
    let again = view.disturbed(since, sent, |part| part == Part::Gone(entry));
    let frozen = view.disturbed(since, sent, |part| part == Part::Frozen(entry));
    !again && (!frozen || sent > since + SLOWED * ROLLBACK_MS)
}

fn in_force(view: &View<'_>, attempt: &Attempt, number: u64, breaches: &mut Vec<Breach>) {
    let versions = &view.record.versions;
    let Some(index) = versions.iter().position(|v| v.number == number) else {
        return;
    };
    let sent = attempt.sent;
    let end = attempt.end.as_ref().map_or(sent, |(end, _)| *end);
    let bound = |at: Ms| {
        sent > at + APPLY_MS
            && view.is_core_stable(at, sent)
            && view.in_touch(attempt.entry, sent)
            && view.in_touch(attempt.entry, end)
    };
    let next = versions.get(index + 1);
    let ran = view.arrivals(&attempt.id).iter().any(|a| a.runs > 0);
    if next.is_some_and(|next| bound(next.at)) && ran {
        let what = format!("{} ran by version {number} long after the next", attempt.id);
        add(breaches, Rule::Config, what);
    }
    let missing = matches!(
        &attempt.end,
        Some((_, Outcome::Answer(Answer { status: 404, .. })))
    );
    if missing && bound(versions[index].at) && next.is_none_or(|next| end < next.at) {
        let what = format!("{} got 404 though version {number} is in force", attempt.id);
        add(breaches, Rule::Config, what);
    }
}

/// BUDGET: arrivals beyond the first of each request, over all boxes, by service.
fn budget(view: &View<'_>, breaches: &mut Vec<Breach>) {
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
                .filter(|t| (from..from + WINDOW_MS).contains(t));
            inside.count() as f64
        };
        let starts = (0..view.now).step_by(WINDOW_STEP_MS as usize);
        let broken = starts.filter(|start| {
            let before =
                [0, WINDOW_MS / 2, WINDOW_MS].map(|b| count(&sent, start.saturating_sub(b)));
            let requests = before.into_iter().fold(0.0, f64::max);
            count(&repeats, *start) > RETRY_RATIO * requests + RETRY_SLACK
        });
        if let Some(start) = broken.min() {
            let service = if other { "the other" } else { "the main" };
            add(
                breaches,
                Rule::Budget,
                format!("too many retries to {service} service from {start} ms"),
            );
        }
    }
}

/// BUDGET: attempts that ran on more servers than their route allows; ended servers do not count.
fn exceeding(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let exceeds = |arrivals: &&Vec<&Arrival>| {
        let ran = arrivals.iter().filter(|a| a.runs > 0);
        let alive = ran.filter(|a| view.record.lives[a.life].end.is_none());
        let lives: BTreeSet<usize> = alive.map(|a| a.life).collect();
        lives.len() > ATTEMPTS
    };
    if view.arrivals.values().filter(exceeds).count() > EXCEEDING {
        let what = "more than three attempts ran on too many servers".to_owned();
        add(breaches, Rule::Budget, what);
    }
}

/// FAILBACK: what a cold server got in any second, whoever sent it.
fn cold(view: &View<'_>, breaches: &mut Vec<Breach>) {
    let limit = COLD_RATE * COLD_OVER + COLD_SLACK;
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
            add(
                breaches,
                Rule::Failback,
                format!("{name}, cold, got more than {limit} in a second"),
            );
        }
    }
}

/// DRAIN: look-ups that name a box that ended long ago beside one that runs.
fn stale_look_ups(view: &View<'_>, breaches: &mut Vec<Breach>) {
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
        let dead = look_up.named.iter().any(|n| gone(n, NAMED_MS));
        let beside = look_up.named.iter().any(|n| !gone(n, 0));
        stale += usize::from(dead && beside && view.in_touch(look_up.by, at));
    }
    if stale > STALE {
        let what = "look-ups name a box that ended long ago".to_owned();
        add(breaches, Rule::Drain, what);
    }
}
