//! Measures the messages, bytes and processor time of one box's control traffic, by fleet size.

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

/// Simulated seconds of the box's clock.
const SIMULATED_SECONDS: u64 = 60;

/// Interval between ticks, in milliseconds.
const TICK_MS: u64 = 100;
/// Requests in flight on a box at the peak of the target size: about 24 per second, each lasting
/// some seconds.
const REQUESTS_IN_FLIGHT: u64 = 60;

/// Keeps requests in flight, so that heartbeats contain backend loads.
#[derive(Default)]
struct LoadGenerator {
    requests: u64,
}

impl LoadGenerator {
    fn top_up(&mut self, state: &mut State<Balanced>, size: Size, now: Time) {
        let wanted = REQUESTS_IN_FLIGHT.min((size.workers / size.regions) as u64);
        // A box that is not ready yet refuses requests; the next tick tries again.
        for _ in state.busy() as u64..wanted {
            self.requests += 1;
            state.step(now, fleet::arrival(size, self.requests));
        }
    }
}

#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes + OVERHEAD;
    }

    fn per_second(&self) -> (f64, f64) {
        let seconds = SIMULATED_SECONDS as f64;
        (self.messages as f64 / seconds, self.bytes as f64 / seconds)
    }
}

/// Converts a sending period of the reducer to ticks, rounded up.
fn ticks(period: Millis) -> u64 {
    period.0.div_ceil(TICK_MS)
}

/// Returns the frames that box 0 receives in one tick: heartbeats of its region and digests.
fn incoming_frames(size: Size, tick: u64, periods: (u64, u64)) -> Vec<Frame> {
    let mut frames = Vec::new();
    let servers = size.workers / size.regions;
    for number in 1..size.region_boxes() {
        if (tick + number as u64).is_multiple_of(periods.0) {
            frames.push(fleet::heartbeat(size, number * size.regions, tick, servers));
        }
    }
    for region in 1..size.regions {
        let turn = tick + region as u64;
        if turn.is_multiple_of(periods.1) {
            // Each digest is sent to one box of this region, which forwards it to the others.
            let first = (turn / periods.1).is_multiple_of(size.region_boxes() as u64);
            frames.push(fleet::digest(size, region, tick, first));
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
            ..Size::TARGET
        };
        let mut state = fleet::state(size, fleet::config(fleet::text(size)));
        let (mut out, mut received) = (Traffic::default(), Traffic::default());
        let mut spent = Duration::ZERO;
        let mut load = LoadGenerator::default();
        for tick in 1..=SIMULATED_SECONDS * 1000 / TICK_MS {
            let now = Time(tick * TICK_MS);
            load.top_up(&mut state, size, now);
            let periods = state.periods();
            let periods = (ticks(periods.0), ticks(periods.1));
            for frame in incoming_frames(size, tick, periods) {
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
            (out.per_second(), received.per_second());
        let share = spent.as_secs_f64() / SIMULATED_SECONDS as f64;
        println!(
            "{boxes:5}  {regions:7}  {workers:7}  {out_messages:9.1}  {out_bytes:7.0}  \
             {in_messages:8.1}  {in_bytes:6.0}  {:14.0}  {:11.3}",
            share * 1e6,
            share * 100.0,
        );
    }
    Ok(())
}

/// Encodes the outgoing frames, counts them and returns the time taken.
fn send(effects: Vec<Effect>, secret: &Secret, out: &mut Traffic) -> Duration {
    let start = Instant::now();
    for effect in effects {
        if let Effect::Gossip { frame, .. } = effect {
            out.add(frame.encode(secret).len());
        }
    }
    start.elapsed()
}
