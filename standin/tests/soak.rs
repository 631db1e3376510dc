//! Tests that the soak detects planted faults, and that a short run of the boxes breaks no rule.

use std::{cell::Cell, collections::BTreeSet, path::PathBuf};

use clap::Parser;
use petreldrum_standin::soak::{
    Options, PlantedFault,
    check::{self, Rule},
    plan::{self, Departure, Fault, Step},
    record::{
        Answer, Arrival, Attempt, Kind, Life, LookUp, Outcome, Part, Record, Trouble, Version,
    },
};

#[derive(Parser)]
struct CommandLine {
    #[command(flatten)]
    options: Options,
}

fn options(line: &str) -> Options {
    let words = std::iter::once("soak").chain(line.split_whitespace());
    let mut options = CommandLine::parse_from(words).options;
    let program = PathBuf::from(env!("CARGO_BIN_EXE_petreldrum-standin"));
    options.program = Some(program.with_file_name("petreldrum"));
    options
}

fn rules(record: &Record) -> BTreeSet<Rule> {
    let breaches = check::breaches(record, 60_000);
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
    assert_eq!(plan::format_selection(&part), "3,5,6,7");
}

#[tokio::test]
async fn shrinks_to_what_fails() {
    let steps = options("--seed 7 --seconds 40").steps();
    let runs = Cell::new(0);
    let remaining = plan::shrink(steps, |part| {
        runs.set(runs.get() + 1);
        let contains_step = |number| part.iter().any(|s: &Step| s.number == number);
        let fails = contains_step(3) && contains_step(17);
        async move { fails }
    });
    assert_eq!(plan::format_selection(&remaining.await), "3,17");
    assert!(runs.get() <= 50);
}

#[tokio::test]
async fn whole_under_faults() {
    let options = options("--seed 15 --seconds 10");
    let (record, breaches) = options
        .run_steps(&options.steps())
        .await
        .expect("the soak runs");
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(
        record.arrivals.len() > 300,
        "too few requests reached backend servers"
    );
}

/// Runs the faults with the given planted faults and returns the rules that were broken.
async fn broken_rules(
    seed: u64,
    planted_faults: &[PlantedFault],
    faults: &[(u64, Fault)],
) -> BTreeSet<Rule> {
    let mut options = options(&format!("--seed {seed} --seconds 8"));
    options.plant = planted_faults.to_vec();
    let step = |(number, (at, fault)): (usize, &(u64, Fault))| Step {
        number,
        at: *at,
        fault: *fault,
    };
    let steps: Vec<Step> = faults.iter().enumerate().map(step).collect();
    let (_, breaches) = options.run_steps(&steps).await.expect("the soak runs");
    breaches.into_iter().map(|b| b.rule).collect()
}

#[tokio::test]
async fn planted_answers_are_found() {
    let planted_faults = [
        PlantedFault::Twice,
        PlantedFault::FalseRefusal,
        PlantedFault::ForeignAnswer,
        PlantedFault::SkippedEvent,
        PlantedFault::WrongRegion,
    ];
    let found = broken_rules(1, &planted_faults, &[]).await;
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
    let planted_faults = [
        PlantedFault::UnwrittenLeave,
        PlantedFault::UnwrittenEvacuation,
        PlantedFault::UnwrittenVersion,
    ];
    let faults = [
        (100, Fault::Depart(0, Departure::Announced, 100)),
        (100, Fault::Evacuate(1, 7500)),
        (200, Fault::Configure),
    ];
    let found = broken_rules(2, &planted_faults, &faults).await;
    let planted = [Rule::Config, Rule::Drain, Rule::Evac];
    assert_eq!(found, planted.into());
}

#[tokio::test]
async fn hidden_cold_servers_are_found() {
    // Both servers of a region crash, so that all its traffic goes to their cold successors.
    let faults = [
        (100, Fault::Depart(0, Departure::Crash, 100)),
        (100, Fault::Depart(3, Departure::Crash, 100)),
    ];
    let found = broken_rules(3, &[PlantedFault::HiddenCold], &faults).await;
    assert_eq!(found, [Rule::Failback].into());
}

#[tokio::test]
async fn cut_stops_are_found() {
    let stop = |target: usize| (1000 + 100 * target as u64, Fault::Terminate(target, 500));
    let found = broken_rules(4, &[PlantedFault::ShortGrace], &[stop(0), stop(1), stop(2)]).await;
    assert_eq!(found, [Rule::Lost].into());
}

/// Guards against two steps that start the same box concurrently and leave one of the two processes
/// without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn two_starts_at_once_are_one() {
    let kill = |target: usize| (1000, Fault::Kill(target, 500));
    let kills = [kill(0), kill(0), kill(1), kill(1), kill(2), kill(2)];
    assert_eq!(broken_rules(5, &[], &kills).await, [].into());
}

/// Returns a record with one server of each service, two boxes, one version and no requests.
fn undisturbed_record() -> Record {
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

fn add_attempt(record: &mut Record, kind: Kind, id: &str, at: u64, outcome: Outcome) {
    record.attempts.push(Attempt {
        id: id.to_owned(),
        kind,
        entry: 0,
        sent: at,
        end: Some((at + 300, outcome)),
    });
}

fn add_arrival(record: &mut Record, id: &str, life: usize, at: u64) {
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
    let mut record = undisturbed_record();
    add_attempt(&mut record, Kind::Safe, "a", 20_000, Outcome::Closed);
    add_arrival(&mut record, "a", 0, 20_010);
    assert!(rules(&record).is_empty(), "no planned work nearby");
    record
        .troubles
        .push(trouble(Part::PlannedStop(0), 19_000, 24_000));
    assert_eq!(rules(&record), [Rule::Lost].into());
    record.troubles.push(trouble(Part::Store, 19_000, 24_000));
    assert_eq!(
        rules(&record),
        [Rule::Lost].into(),
        "disturbances of the store are no excuse"
    );
    record.troubles.push(trouble(Part::Box(1), 16_000, 17_000));
    assert!(
        rules(&record).is_empty(),
        "an unplanned disturbance nearby excuses it"
    );
}

#[test]
fn answers_of_a_second_run_are_whole() {
    let mut record = undisturbed_record();
    let answer = |mark: &str| {
        Outcome::Answer(Answer {
            status: 200,
            signature: Some(mark.to_owned()),
            body: "i-false has run a".to_owned(),
            whole: true,
        })
    };
    add_attempt(&mut record, Kind::Safe, "a", 100, answer("i-false/1"));
    add_arrival(&mut record, "a", 0, 110);
    add_arrival(&mut record, "a", 0, 120);
    record.arrivals[0].status = 500;
    assert!(rules(&record).is_empty(), "the same server ran it again");
    record.attempts[0].end = Some((400, answer("i-false/0")));
    assert_eq!(rules(&record), [Rule::Mixed].into());
}

#[test]
fn losses_of_boxes_in_touch_are_counted() {
    let mut record = undisturbed_record();
    for id in ["a", "b", "c"] {
        add_attempt(&mut record, Kind::Safe, id, 20_000, Outcome::Closed);
        add_arrival(&mut record, id, 0, 20_010);
    }
    assert!(rules(&record).is_empty(), "three losses are allowed");
    add_attempt(&mut record, Kind::Safe, "d", 20_000, Outcome::Closed);
    add_arrival(&mut record, "d", 0, 20_010);
    assert_eq!(rules(&record), [Rule::Lost].into());
}

#[test]
fn leaving_servers_bind_boxes_in_touch() {
    let mut record = undisturbed_record();
    add_attempt(&mut record, Kind::Safe, "a", 20_000, Outcome::GaveUp);
    add_arrival(&mut record, "a", 0, 20_010);
    record.lives[0].leaves = Some(17_100);
    assert!(rules(&record).is_empty(), "within the drain time");
    record.lives[0].leaves = Some(17_000);
    assert_eq!(rules(&record), [Rule::Drain].into());
    record.troubles.push(trouble(Part::Store, 13_000, 14_000));
    assert!(
        rules(&record).is_empty(),
        "the store was disturbed shortly before"
    );
}

#[test]
fn strays_and_wrong_services_are_found() {
    let mut record = undisturbed_record();
    add_arrival(&mut record, "nobody", 0, 100);
    assert_eq!(rules(&record), [Rule::Unasked].into());
    let mut record = undisturbed_record();
    add_attempt(&mut record, Kind::Safe, "a", 100, Outcome::GaveUp);
    add_arrival(&mut record, "a", 1, 110);
    assert_eq!(rules(&record), [Rule::Route].into());
}

#[test]
fn versions_that_go_back_are_found() {
    let mut record = undisturbed_record();
    record.versions.push(Version {
        number: 2,
        at: 1000,
    });
    add_attempt(&mut record, Kind::Versioned(2), "v2", 1100, Outcome::GaveUp);
    add_arrival(&mut record, "v2", 0, 1150);
    add_attempt(&mut record, Kind::Versioned(1), "v1", 1450, Outcome::GaveUp);
    add_arrival(&mut record, "v1", 0, 1460);
    assert_eq!(rules(&record), [Rule::Config].into());
    record.troubles.push(trouble(Part::Gone(0), 1200, 1300));
    assert!(
        rules(&record).is_empty(),
        "the box was restarted in between"
    );
}

#[test]
fn retries_and_denials_are_counted() {
    let mut record = undisturbed_record();
    add_attempt(&mut record, Kind::Safe, "a", 100, Outcome::GaveUp);
    for _ in 0..60 {
        add_arrival(&mut record, "a", 0, 200);
    }
    assert_eq!(rules(&record), [Rule::Budget].into());
    let mut record = undisturbed_record();
    for number in 0..6 {
        add_attempt(
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
    let mut record = undisturbed_record();
    record.own_ends.push((1, 500, "signal: 11".to_owned()));
    assert_eq!(rules(&record), [Rule::Fault].into());
    let mut record = undisturbed_record();
    record.troubles.push(trouble(Part::Gone(1), 1000, 30_000));
    let look_up = |at| LookUp {
        by: 0,
        at,
        named: vec![0, 1],
    };
    record.look_ups = (8000..9000).step_by(100).map(look_up).collect();
    assert!(rules(&record).is_empty(), "look-ups may name it for 8 s");
    record.look_ups = (9100..9500).step_by(100).map(look_up).collect();
    assert_eq!(rules(&record), [Rule::Drain].into());
}

#[test]
fn service_has_to_come_back() {
    let mut record = undisturbed_record();
    record.calm = Some(10_000);
    assert_eq!(
        rules(&record),
        [Rule::Recover].into(),
        "no requests at all are a breach"
    );
    for number in 0..30 {
        let id = format!("a{number}");
        add_attempt(&mut record, Kind::Safe, &id, 30_000, status(503));
    }
    assert_eq!(rules(&record), [Rule::Recover].into());
}
