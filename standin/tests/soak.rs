//! The soak finds faults that are planted, and none in the boxes of a short run.

use std::{cell::Cell, collections::BTreeSet, path::PathBuf};

use clap::Parser;
use petreldrum_standin::soak::{
    Options, Plant,
    check::{self, Rule},
    plan::{self, Departure, Fault, Step},
    record::{
        Answer, Arrival, Attempt, Kind, Life, LookUp, Outcome, Part, Record, Trouble, Version,
    },
};

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    options: Options,
}

fn options(line: &str) -> Options {
    let words = std::iter::once("soak").chain(line.split_whitespace());
    let mut options = Line::parse_from(words).options;
    let program = PathBuf::from(env!("CARGO_BIN_EXE_petreldrum-standin"));
    options.program = Some(program.with_file_name("petreldrum"));
    options
}

fn rules(record: &Record) -> BTreeSet<Rule> {
    let breaches = check::all(record, 60_000);
    breaches.into_iter().map(|b| b.rule).collect()
}

#[test]
fn plans_come_from_their_seed() {
    let steps = options("--seed 7 --seconds 40").steps();
    assert_eq!(steps, options("--seed 7 --seconds 40").steps());
    let shorter = options("--seed 7 --seconds 20").steps();
    assert_eq!(steps[..shorter.len()], shorter);
    assert_ne!(steps, options("--seed 8 --seconds 40").steps());
    let part = options("--seed 7 --seconds 40 --only 3,5-7").steps();
    assert_eq!(plan::numbers(&part), "3,5,6,7");
}

#[tokio::test]
async fn shrinks_to_what_fails() {
    let steps = options("--seed 7 --seconds 40").steps();
    let tries = Cell::new(0);
    let rest = plan::shrink(steps, |part| {
        tries.set(tries.get() + 1);
        let has = |number| part.iter().any(|s: &Step| s.number == number);
        let fails = has(3) && has(17);
        async move { fails }
    });
    assert_eq!(plan::numbers(&rest.await), "3,17");
    assert!(tries.get() <= 50);
}

#[tokio::test]
async fn whole_under_faults() {
    let options = options("--seed 15 --seconds 10");
    let (record, breaches) = options.play(&options.steps()).await.expect("it runs");
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(record.arrivals.len() > 300, "callers were served");
}

/// What a run with planted faults breaks.
async fn broken(seed: u64, plants: &[Plant], faults: &[(u64, Fault)]) -> BTreeSet<Rule> {
    let mut options = options(&format!("--seed {seed} --seconds 8"));
    options.plant = plants.to_vec();
    let step = |(number, (at, fault)): (usize, &(u64, Fault))| Step {
        number,
        at: *at,
        fault: *fault,
    };
    let steps: Vec<Step> = faults.iter().enumerate().map(step).collect();
    let (_, breaches) = options.play(&steps).await.expect("it runs");
    breaches.into_iter().map(|b| b.rule).collect()
}

#[tokio::test]
async fn planted_answers_are_found() {
    let plants = [
        Plant::Twice,
        Plant::FalseRefusal,
        Plant::ForeignAnswer,
        Plant::SkippedEvent,
        Plant::WrongRegion,
    ];
    let found = broken(1, &plants, &[]).await;
    let planted = [
        Rule::Home,
        Rule::Mixed,
        Rule::Order,
        Rule::Refused,
        Rule::Twice,
    ];
    assert!(found.is_superset(&planted.into()), "{found:?}");
}

#[tokio::test]
async fn planted_silences_are_found() {
    let plants = [
        Plant::UnwrittenLeave,
        Plant::UnwrittenEvacuation,
        Plant::UnwrittenVersion,
    ];
    let faults = [
        (100, Fault::Depart(0, Departure::Announced, 100)),
        (100, Fault::Evacuate(1, 7500)),
        (200, Fault::Configure),
    ];
    let found = broken(2, &plants, &faults).await;
    let planted = [Rule::Config, Rule::Drain, Rule::Evac];
    assert_eq!(found, planted.into());
}

#[tokio::test]
async fn hidden_cold_servers_are_found() {
    // Both servers of a region, so that its traffic has to go to the next ones.
    let faults = [
        (100, Fault::Depart(0, Departure::Crash, 100)),
        (100, Fault::Depart(3, Departure::Crash, 100)),
    ];
    let found = broken(3, &[Plant::HiddenCold], &faults).await;
    assert_eq!(found, [Rule::Failback].into());
}

#[tokio::test]
async fn cut_stops_are_found() {
    let stop = |target: usize| (1000 + 100 * target as u64, Fault::Terminate(target, 500));
    let found = broken(4, &[Plant::ShortGrace], &[stop(0), stop(1), stop(2)]).await;
    assert_eq!(found, [Rule::Lost].into());
}

/// Two that started the same box at once left one of the two processes to nobody.
#[tokio::test(flavor = "multi_thread")]
async fn two_starts_at_once_are_one() {
    let kill = |target: usize| (1000, Fault::Kill(target, 500));
    let kills = [kill(0), kill(0), kill(1), kill(1), kill(2), kill(2)];
    assert_eq!(broken(5, &[], &kills).await, [].into());
}

/// One server of each service, two boxes, one version.
fn quiet() -> Record {
    let life = |other| Life {
        name: format!("i-{other}"),
        region: 0,
        other,
        start: 0,
        cold_until: 0,
        leaves: None,
        end: None,
    };
    Record {
        lives: vec![life(false), life(true)],
        versions: vec![Version { number: 1, at: 0 }],
        box_regions: vec![0, 0],
        ..Record::default()
    }
}

fn sent(record: &mut Record, kind: Kind, id: &str, at: u64, outcome: Outcome) {
    record.attempts.push(Attempt {
        id: id.to_owned(),
        kind,
        entry: 0,
        sent: at,
        end: Some((at + 300, outcome)),
    });
}

fn came(record: &mut Record, id: &str, life: usize, at: u64) {
    record.arrivals.push(Arrival {
        number: record.arrivals.len(),
        id: id.to_owned(),
        life,
        at,
        intact: true,
        misdirected: false,
        runs: 1,
        status: 200,
    });
}

fn status(status: u16) -> Outcome {
    Outcome::Answer(Answer {
        status,
        whole: true,
        ..Answer::default()
    })
}

fn trouble(part: Part, from: u64, until: u64) -> Trouble {
    Trouble {
        part,
        from,
        until: Some(until),
    }
}

#[test]
fn losses_around_planned_stops_are_found() {
    let mut record = quiet();
    sent(&mut record, Kind::Safe, "a", 20_000, Outcome::Closed);
    came(&mut record, "a", 0, 20_010);
    assert!(rules(&record).is_empty(), "no planned work is near");
    record
        .troubles
        .push(trouble(Part::PlannedStop(0), 19_000, 24_000));
    assert_eq!(rules(&record), [Rule::Lost].into());
    record.troubles.push(trouble(Part::Store, 19_000, 24_000));
    assert_eq!(
        rules(&record),
        [Rule::Lost].into(),
        "the store excuses nothing"
    );
    record.troubles.push(trouble(Part::Box(1), 16_000, 17_000));
    assert!(rules(&record).is_empty(), "unplanned work was near");
}

#[test]
fn answers_of_a_second_run_are_whole() {
    let mut record = quiet();
    let answer = |mark: &str| {
        Outcome::Answer(Answer {
            status: 200,
            signature: Some(mark.to_owned()),
            body: "i-false has run a".to_owned(),
            whole: true,
        })
    };
    sent(&mut record, Kind::Safe, "a", 100, answer("i-false/1"));
    came(&mut record, "a", 0, 110);
    came(&mut record, "a", 0, 120);
    record.arrivals[0].status = 500;
    assert!(rules(&record).is_empty(), "the same server ran it again");
    record.attempts[0].end = Some((400, answer("i-false/0")));
    assert_eq!(rules(&record), [Rule::Mixed].into());
}

#[test]
fn losses_of_boxes_in_touch_are_counted() {
    let mut record = quiet();
    for id in ["a", "b", "c"] {
        sent(&mut record, Kind::Safe, id, 20_000, Outcome::Closed);
        came(&mut record, id, 0, 20_010);
    }
    assert!(rules(&record).is_empty(), "three are allowed");
    sent(&mut record, Kind::Safe, "d", 20_000, Outcome::Closed);
    came(&mut record, "d", 0, 20_010);
    assert_eq!(rules(&record), [Rule::Lost].into());
}

#[test]
fn leaving_servers_bind_boxes_in_touch() {
    let mut record = quiet();
    sent(&mut record, Kind::Safe, "a", 20_000, Outcome::GaveUp);
    came(&mut record, "a", 0, 20_010);
    record.lives[0].leaves = Some(17_100);
    assert!(rules(&record).is_empty(), "within the drain time");
    record.lives[0].leaves = Some(17_000);
    assert_eq!(rules(&record), [Rule::Drain].into());
    record.troubles.push(trouble(Part::Store, 13_000, 14_000));
    assert!(rules(&record).is_empty(), "the store was disturbed before");
}

#[test]
fn strays_and_wrong_services_are_found() {
    let mut record = quiet();
    came(&mut record, "nobody", 0, 100);
    assert_eq!(rules(&record), [Rule::Unasked].into());
    let mut record = quiet();
    sent(&mut record, Kind::Safe, "a", 100, Outcome::GaveUp);
    came(&mut record, "a", 1, 110);
    assert_eq!(rules(&record), [Rule::Route].into());
}

#[test]
fn versions_that_go_back_are_found() {
    let mut record = quiet();
    record.versions.push(Version {
        number: 2,
        at: 1000,
    });
    sent(&mut record, Kind::Versioned(2), "v2", 1100, Outcome::GaveUp);
    came(&mut record, "v2", 0, 1150);
    sent(&mut record, Kind::Versioned(1), "v1", 1450, Outcome::GaveUp);
    came(&mut record, "v1", 0, 1460);
    assert_eq!(rules(&record), [Rule::Config].into());
    record.troubles.push(trouble(Part::Gone(0), 1200, 1300));
    assert!(rules(&record).is_empty(), "it is another life");
}

#[test]
fn retries_and_denials_are_counted() {
    let mut record = quiet();
    sent(&mut record, Kind::Safe, "a", 100, Outcome::GaveUp);
    for _ in 0..60 {
        came(&mut record, "a", 0, 200);
    }
    assert_eq!(rules(&record), [Rule::Budget].into());
    let mut record = quiet();
    for number in 0..6 {
        sent(
            &mut record,
            Kind::Safe,
            &format!("a{number}"),
            100,
            status(413),
        );
    }
    assert_eq!(rules(&record), [Rule::Denied].into());
}

#[test]
fn ends_and_dead_boxes_are_found() {
    let mut record = quiet();
    record.own_ends.push((1, 500, "signal: 11".to_owned()));
    assert_eq!(rules(&record), [Rule::Fault].into());
    let mut record = quiet();
    record.troubles.push(trouble(Part::Gone(1), 1000, 30_000));
    let look_up = |at| LookUp {
        by: 0,
        at,
        named: vec![0, 1],
    };
    record.look_ups = (8000..9000).step_by(100).map(look_up).collect();
    assert!(rules(&record).is_empty(), "it may be named for a while");
    record.look_ups = (9100..9500).step_by(100).map(look_up).collect();
    assert_eq!(rules(&record), [Rule::Drain].into());
}

#[test]
fn service_has_to_come_back() {
    let mut record = quiet();
    record.calm = Some(10_000);
    assert_eq!(rules(&record), [Rule::Recover].into(), "nobody sends");
    for number in 0..30 {
        let id = format!("a{number}");
        sent(&mut record, Kind::Safe, &id, 30_000, status(503));
    }
    assert_eq!(rules(&record), [Rule::Recover].into());
}
