//! Messages, bytes and processor time that one box spends on control, by fleet size.

use std::time::{Duration, Instant};

use petreldrum::{
    policy::Balanced,
    reducer::{State, effect::Effect, event::Event},
    settings::Secret,
    unit::{Millis, Time},
    wire::Frame,
};

use super::fleet::{self, Size};
use crate::crowd::OVERHEAD;

/// Seconds of the box's clock that are played.
const SECONDS: u64 = 60;

/// Milliseconds between two ticks.
const TENTH: u64 = 100;
/// Requests that a box holds at the goal's peak, about 24 a second for some seconds each.
const IN_HAND: u64 = 60;

/// Keeps requests in hand, so that heartbeats have loads to tell of.
#[derive(Default)]
struct Busy {
    requests: u64,
}

impl Busy {
    fn keep(&mut self, state: &mut State<Balanced>, size: Size, now: Time) {
        let wanted = IN_HAND.min((size.workers / size.regions) as u64);
        // A box that is not ready yet refuses; the next tenth tries again.
        for _ in state.busy() as u64..wanted {
            self.requests += 1;
            state.step(now, fleet::arrival(size, self.requests));
        }
    }
}

#[derive(Default)]
struct Sum {
    messages: usize,
    bytes: usize,
}

impl Sum {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes + OVERHEAD;
    }

    fn a_second(&self) -> (f64, f64) {
        let seconds = SECONDS as f64;
        (self.messages as f64 / seconds, self.bytes as f64 / seconds)
    }
}

/// How often a box says something, in tenths of a second: as the reducer's own periods.
fn tenths(period: Millis) -> u64 {
    period.0.div_ceil(TENTH)
}

/// What box 0 hears in a tenth of a second: heartbeats of its region and the digests that reach it.
fn heard(size: Size, tenth: u64, periods: (u64, u64)) -> Vec<Frame> {
    let mut frames = Vec::new();
    let servers = size.workers / size.regions;
    for number in 1..size.region_boxes() {
        if (tenth + number as u64).is_multiple_of(periods.0) {
            frames.push(fleet::heartbeat(
                size,
                number * size.regions,
                tenth,
                servers,
            ));
        }
    }
    for region in 1..size.regions {
        let turn = tenth + region as u64;
        if turn.is_multiple_of(periods.1) {
            // One box of this region gets the digest and passes it on.
            let first = (turn / periods.1).is_multiple_of(size.region_boxes() as u64);
            frames.push(fleet::digest(size, region, tenth, first));
        }
    }
    frames
}

pub(super) fn run() -> eyre::Result<()> {
    let secret: Secret = "measure-cluster-secret"
        .parse()
        .map_err(|e| eyre::eyre!("{e}"))?;
    println!(
        "boxes  regions  workers  out msg/s  out B/s  in msg/s  in B/s  us/s of a core  % of a core"
    );
    let fleets = [
        (9, 3, 15),
        (90, 10, 300),
        (180, 12, 650),
        (360, 24, 1300),
        (720, 24, 1300),
    ];
    for (boxes, regions, workers) in fleets {
        let size = Size {
            boxes,
            regions,
            workers,
            ..Size::GOAL
        };
        let mut state = fleet::state(size, fleet::config(fleet::text(size)));
        let (mut out, mut received) = (Sum::default(), Sum::default());
        let mut spent = Duration::ZERO;
        let mut busy = Busy::default();
        for tenth in 1..=SECONDS * 1000 / TENTH {
            let now = Time(tenth * TENTH);
            busy.keep(&mut state, size, now);
            let periods = state.periods();
            let periods = (tenths(periods.0), tenths(periods.1));
            for frame in heard(size, tenth, periods) {
                let bytes = frame.encode(&secret);
                received.add(bytes.len());
                let start = Instant::now();
                let frame = Frame::decode(&secret, &bytes)?;
                let effects = state.step(now, Event::Received(frame));
                spent += start.elapsed() + send(effects, &secret, &mut out);
            }
            let start = Instant::now();
            let effects = state.step(now, Event::Tick);
            spent += start.elapsed() + send(effects, &secret, &mut out);
        }
        let ((out_messages, out_bytes), (in_messages, in_bytes)) =
            (out.a_second(), received.a_second());
        let share = spent.as_secs_f64() / SECONDS as f64;
        println!(
            "{boxes:5}  {regions:7}  {workers:7}  {out_messages:9.1}  {out_bytes:7.0}  \
             {in_messages:8.1}  {in_bytes:6.0}  {:14.0}  {:11.3}",
            share * 1e6,
            share * 100.0,
        );
    }
    Ok(())
}

/// Encodes what would be sent and returns the time that took.
fn send(effects: Vec<Effect>, secret: &Secret, out: &mut Sum) -> Duration {
    let start = Instant::now();
    for effect in effects {
        if let Effect::Gossip { frame, .. } = effect {
            out.add(frame.encode(secret).len());
        }
    }
    start.elapsed()
}
