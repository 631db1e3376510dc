//! Messages, bytes and processor time that one box spends on control, by fleet size.

use std::time::{Duration, Instant};

use petreldrum::{
    reducer::{effect::Effect, event::Event},
    settings::Secret,
    unit::Time,
    wire::Frame,
};

use super::fleet::{self, Size};

/// Seconds of the box's clock that are played.
const SECONDS: u64 = 60;
/// Bytes of TCP, IP and nng around a message.
const OVERHEAD: usize = 60;

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

/// What box 0 hears in one second: its region's heartbeats and the digests that reach it.
fn heard(size: Size, second: u64) -> Vec<Frame> {
    let mut frames = Vec::new();
    let servers = size.workers / size.regions;
    for number in 1..size.region_boxes() {
        frames.push(fleet::heartbeat(
            size,
            number * size.regions,
            second,
            servers,
        ));
    }
    if second.is_multiple_of(2) {
        for region in 1..size.regions {
            // Two boxes of this region get each digest and pass it on; the others get it twice.
            let first = region % size.region_boxes().max(1) < 2;
            frames.push(fleet::digest(size, region, second, first));
            frames.push(fleet::digest(size, region, second, false));
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
        for second in 1..=SECONDS {
            for frame in heard(size, second) {
                let bytes = frame.encode(&secret);
                received.add(bytes.len());
                let start = Instant::now();
                let frame = Frame::decode(&secret, &bytes)?;
                let effects = state.step(Time(second * 1000), Event::Heard(frame));
                spent += start.elapsed() + send(effects, &secret, &mut out);
            }
            for tick in 0..10 {
                let start = Instant::now();
                let effects = state.step(Time(second * 1000 + tick * 100), Event::Tick);
                spent += start.elapsed() + send(effects, &secret, &mut out);
            }
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
