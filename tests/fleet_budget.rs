//! Attempts beyond the first stay within the fleet's retry budget while boxes crash, start, stop
//! and lose contact.

mod harness;

use std::{collections::BTreeSet, sync::Arc};

use harness::{
    crowd::{Crowd, TICK},
    solo::{arrival, caller, server},
};
use petreldrum::{
    config::{Config, Envelope, Version},
    id,
    reducer::{
        effect::{Effect, Send, Target},
        event::{Cause, Event},
    },
    retry::Limits,
    unit::{Millis, Time},
    verdict::Verdict,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

const LIMITS: Limits = Limits {
    ratio: 0.2,
    slack: Some(58.0),
};
/// The window over which the fleet's attempts are counted, in ms.
const WINDOW_MS: u64 = 10_000;
/// Time between two steps, in ms.
const STEP_MS: u64 = 20;
/// How long a killed box is down, and how long a stopping one may still serve, in ms.
const DOWN_MS: u64 = 500;
const GRACE_MS: u64 = 3000;

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];

/// Returns a configuration with backend servers in three regions, none of which takes requests of
/// another region.
fn config() -> Arc<Config> {
    let mut text = "[route read]\nprefix=/read\nkind=application\nrepeatable=true\nattempts=3\n\
        deadline=2s\n"
        .to_owned();
    text += &caller("a", "rate=1000000/s");
    for region in REGIONS {
        text += &format!("[region {region}]\nhop=40ms\n");
        for number in 0..8 {
            let name = format!("{region}-{}", char::from(b'a' + number));
            text += &server(&name, region, 64);
        }
    }
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text: text + "[selector all]\n",
    };
    Arc::new(Config::parse("test", &envelope).expect("configuration is valid"))
}

/// Boxes of three regions whose backend servers refuse all requests while `failing` is set.
struct Fleet {
    crowd: Crowd,
    /// Requests a second at each box.
    rates: Vec<f64>,
    due_requests: Vec<f64>,
    /// When boxes that are down start, and when stopping boxes exit.
    starts: Vec<(Time, usize)>,
    ends: Vec<(Time, usize)>,
    requests: u64,
    arrivals: Vec<Time>,
    attempted: BTreeSet<id::Request>,
    retries: Vec<Time>,
    failing: bool,
}

impl Fleet {
    /// Starts boxes that know each other.
    fn new(boxes: usize, rate: f64) -> Self {
        let mut crowd = Crowd::in_three_regions(boxes, config());
        crowd.retry = LIMITS;
        (0..boxes).for_each(|number| crowd.launch(number));
        crowd.pass(20_000);
        Self {
            crowd,
            rates: vec![rate; boxes],
            due_requests: vec![0.0; boxes],
            starts: Vec::new(),
            ends: Vec::new(),
            requests: 0,
            arrivals: Vec::new(),
            attempted: BTreeSet::new(),
            retries: Vec::new(),
            failing: false,
        }
    }

    fn kill(&mut self, number: usize) {
        self.ends.retain(|(_, other)| *other != number);
        if self.crowd.boxes[number].take().is_some() {
            let up = self.crowd.now + Millis(DOWN_MS);
            self.starts.push((up, number));
        }
    }

    /// Stops a box as planned; it starts again after it has exited.
    fn stop(&mut self, number: usize) {
        if self.crowd.boxes[number].is_some() {
            self.step(number, Event::Stop(None));
            let end = self.crowd.now + Millis(GRACE_MS);
            self.ends.push((end, number));
        }
    }

    /// Partitions the boxes for which `near` holds from the others.
    fn partition(&mut self, near: &dyn Fn(usize) -> bool) {
        let boxes = self.crowd.boxes.len();
        let pairs = (0..boxes).flat_map(|a| (0..boxes).map(move |b| (a, b)));
        self.crowd.cut = pairs.filter(|(a, b)| near(*a) != near(*b)).collect();
    }

    /// Partitions every box from all others.
    fn partition_all(&mut self) {
        let boxes = self.crowd.boxes.len();
        let pairs = (0..boxes).flat_map(|a| (0..boxes).map(move |b| (a, b)));
        self.crowd.cut = pairs.collect();
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.crowd.now = self.crowd.now + Millis(STEP_MS);
            let now = self.crowd.now;
            for (_, number) in take_due(&mut self.ends, now) {
                self.kill(number);
            }
            for (_, number) in take_due(&mut self.starts, now) {
                self.crowd.launch(number);
            }
            if now.0.is_multiple_of(TICK) {
                for (number, effect) in self.crowd.tick() {
                    self.apply(number, effect);
                }
            }
            for number in 0..self.rates.len() {
                self.due_requests[number] += self.rates[number] * STEP_MS as f64 / 1000.0;
                while self.due_requests[number] >= 1.0 {
                    self.due_requests[number] -= 1.0;
                    self.send_request(number);
                }
            }
        }
    }

    /// Sends a caller's request; it counts whether or not its box is running.
    fn send_request(&mut self, number: usize) {
        self.requests += 1;
        self.arrivals.push(self.crowd.now);
        self.step(number, arrival(self.requests, "a", None));
    }

    fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.apply(number, effect);
        }
    }

    fn apply(&mut self, number: usize, effect: Effect) {
        let Effect::Send(send) = effect else {
            return;
        };
        let Send {
            request, attempt, ..
        } = send;
        let cause = match send.target {
            Target::Backend { .. } => {
                if !self.attempted.insert(request) {
                    self.retries.push(self.crowd.now);
                }
                Cause::Full
            }
            // The other box finds no backend server either.
            _ => Cause::Refused,
        };
        if self.failing {
            let verdict = Verdict::NotRun;
            let failed = Event::Failed {
                request,
                attempt,
                verdict,
                cause,
            };
            return self.step(number, failed);
        }
        self.step(number, Event::Begun { request, attempt });
        let ended = Event::Ended {
            request,
            attempt,
            whole: true,
            timing: Default::default(),
        };
        self.step(number, ended);
    }

    /// Asserts that in every window the attempts stay within the slack plus what was earned by the
    /// requests of that window, the one before it, or the one half a window before it.
    fn assert_within_budget(&self, what: &str) {
        let within = |times: &[Time], from: u64| {
            let inside = times
                .iter()
                .filter(|at| (from..from + WINDOW_MS).contains(&at.0));
            inside.count() as f64
        };
        for start in (20_000..self.crowd.now.0).step_by(100) {
            let before = [0, WINDOW_MS / 2, WINDOW_MS];
            let arrivals = before.map(|span| within(&self.arrivals, start - span));
            let most = 58.0 + 0.2 * arrivals.into_iter().fold(0.0, f64::max);
            let retries = within(&self.retries, start);
            assert!(
                retries <= most,
                "{what}: {retries} > {most} from {start} ms"
            );
        }
    }
}

/// Removes and returns the entries that are due at `now`.
fn take_due(list: &mut Vec<(Time, usize)>, now: Time) -> Vec<(Time, usize)> {
    let (take_due, later) = list.drain(..).partition(|(at, _)| *at <= now);
    *list = later;
    take_due
}

/// Low request rate, at which the slack is most of the budget.
const LOW_RATE: f64 = 2.0;

/// A box that was killed has spent its share of the slack, and its next incarnation has a small
/// part until its first window is over.
#[test]
fn successive_incarnations_spend_the_slack_once() {
    for boxes in [6, 9, 30, 60] {
        let mut fleet = Fleet::new(boxes, LOW_RATE);
        fleet.pass(WINDOW_MS);
        fleet.failing = true;
        fleet.rates.fill(30.0);
        fleet.pass(1000);
        fleet.rates.fill(LOW_RATE);
        for _ in 0..3 {
            (0..boxes).for_each(|number| fleet.kill(number));
            fleet.pass(2500);
        }
        fleet.pass(2 * WINDOW_MS);
        fleet.assert_within_budget(&format!("{boxes} boxes are killed three times"));
    }
}

/// Boxes that stop one after the other leave no larger share to those that remain.
#[test]
fn boxes_that_stop_in_turn_leave_no_share_behind() {
    for boxes in [6, 9] {
        let mut fleet = Fleet::new(boxes, LOW_RATE);
        fleet.pass(WINDOW_MS);
        fleet.failing = true;
        for number in 0..boxes {
            fleet.stop(number);
            fleet.rates[number] = 40.0;
            fleet.pass(300);
        }
        fleet.pass(3 * WINDOW_MS);
        fleet.assert_within_budget(&format!("{boxes} boxes stop in turn"));
    }
}

/// Boxes that lose contact keep their previous shares.
#[test]
fn boxes_that_lose_each_other_keep_their_shares() {
    let near: [&dyn Fn(usize) -> bool; 3] = [&|n| n % 3 == 0, &|n| n < 3, &|n| n == 0];
    for (case, near) in near.into_iter().enumerate() {
        let mut fleet = Fleet::new(9, LOW_RATE);
        fleet.partition(near);
        fleet.pass(WINDOW_MS);
        fleet.failing = true;
        fleet.pass(2 * WINDOW_MS);
        fleet.assert_within_budget(&format!("cut {case}"));
    }
    let mut fleet = Fleet::new(9, LOW_RATE);
    fleet.partition_all();
    fleet.pass(WINDOW_MS);
    fleet.failing = true;
    fleet.pass(2 * WINDOW_MS);
    fleet.assert_within_budget("each box alone");
}

/// Boxes that start during a partition do not treat the others as gone.
#[test]
fn boxes_that_start_in_a_partition_keep_to_a_part() {
    let mut fleet = Fleet::new(9, LOW_RATE);
    fleet.partition(&|n| n % 3 == 0);
    (0..9).for_each(|number| fleet.kill(number));
    fleet.pass(2 * WINDOW_MS);
    fleet.failing = true;
    fleet.pass(2 * WINDOW_MS);
    fleet.assert_within_budget("the boxes of one region start without the others");
}

/// Shares of boxes that are gone for good pass to the others in the end.
#[test]
fn boxes_that_are_gone_leave_their_shares() {
    let mut fleet = Fleet::new(6, LOW_RATE);
    let sharing_boxes = |fleet: &mut Fleet| {
        fleet.failing = true;
        fleet.pass(1000);
        fleet.failing = false;
        let clock = fleet.crowd.clock(0);
        let state = fleet.crowd.boxes[0].as_mut().expect("box is running");
        state.repeats(clock)[0].boxes
    };
    assert_eq!(sharing_boxes(&mut fleet), Some(6));
    fleet.crowd.boxes[3] = None;
    fleet.pass(60_000);
    assert_eq!(sharing_boxes(&mut fleet), Some(6), "it may come back");
    fleet.rates.fill(0.0);
    fleet.pass(21 * 60_000);
    fleet.rates.fill(LOW_RATE);
    assert_eq!(sharing_boxes(&mut fleet), Some(5));
}

/// Load shifts and boxes crash, start, stop and lose contact in any order.
#[test]
fn budget_holds_under_random_faults() {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(seed);
        let boxes = [3, 6, 9][seed as usize % 3];
        let mut fleet = Fleet::new(boxes, LOW_RATE);
        for _ in 0..14 {
            let one = random.random_range(0..boxes);
            match random.random_range(0..8) {
                0 => fleet.kill(one),
                1 => (0..boxes).for_each(|number| fleet.kill(number)),
                2 => fleet.stop(one),
                3 => fleet.partition(&|n| n % 3 == one % 3),
                4 => fleet.partition(&|n| n <= one),
                5 => fleet.crowd.cut.clear(),
                6 => fleet.failing = !fleet.failing,
                _ => {
                    let rate = |_| [0.0, LOW_RATE, 10.0, 50.0][random.random_range(0..4)];
                    fleet.rates = (0..boxes).map(rate).collect();
                }
            }
            fleet.pass(random.random_range(200..4000));
        }
        fleet.assert_within_budget(&format!("{boxes} boxes, seed {seed}"));
    }
}
