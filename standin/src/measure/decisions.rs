//! Measures decisions per second and bytes of state, by fleet size.

use std::{
    fs,
    hint::black_box,
    mem::forget,
    net::SocketAddr,
    time::{Duration, Instant},
};

use petreldrum::{
    allotment::{Accounts, Allotment, Knowledge, Sum, Unit},
    config::{Config, Envelope, KeyHash, Version},
    content::Content,
    gateway::pack::pack,
    id::{self, Incarnation},
    ledger::Ledger,
    pin,
    policy::Balanced,
    reducer::{State, effect::Effect, event::Event},
    unit::{Rate, Time},
};

use super::fleet::{self, Size};

const REQUESTS: u64 = 20_000;
const LOOKUPS: usize = 100_000;
const PAGE_BYTES: usize = 4096;

/// Measures the look-up of an API key's customer, by number of keys.
fn key_lookups() -> eyre::Result<()> {
    println!("keys     look-up, hash included");
    for count in [40, 400, 4_000, 40_000] {
        let mut text = "[region perth]\n".to_owned();
        for number in 0..count / 4 {
            let key = |spare: usize| KeyHash::of(format!("key-{number}-{spare}").as_bytes());
            let hashes: Vec<String> = (0..4).map(|spare| key(spare).to_string()).collect();
            let hashes = hashes.join(", ");
            text += &format!("[customer c-{number}]\nkey_sha256 = {hashes}\n");
        }
        let envelope = Envelope {
            version: Version(1),
            write: String::new(),
            author: String::new(),
            text,
        };
        let config = Config::parse("keys", &envelope)?;
        let start = Instant::now();
        for number in 0..LOOKUPS {
            let key = format!("key-{}-{}", number % (count / 4), number % 4);
            let hash = KeyHash::of(key.as_bytes());
            assert!(black_box(config.customer(&hash)).is_some());
        }
        let each = start.elapsed().as_nanos() / LOOKUPS as u128;
        println!("{count:6}  {each:8} ns");
    }
    Ok(())
}

/// Measures the content fingerprint of a request, by body size.
fn fingerprints() -> eyre::Result<()> {
    println!("body bytes  fingerprint");
    let secret = "the-secret-of-all-boxes"
        .parse()
        .map_err(eyre::Report::msg)?;
    for size in [300, 1_000, 17_000] {
        let body = vec![7; size];
        let start = Instant::now();
        for _ in 0..REQUESTS {
            black_box(Content::of(
                &secret,
                "POST",
                "a.example",
                "/x/y",
                black_box(&body),
            ));
        }
        let each = start.elapsed().as_nanos() / u128::from(REQUESTS);
        println!("{size:10}  {each:8} ns");
    }
    Ok(())
}

/// Returns fleet sizes up to the target size, and one with few regions of thousands of servers.
fn sizes() -> [Size; 4] {
    let size = |boxes, regions, workers| Size {
        boxes,
        regions,
        workers,
        ..Size::TARGET
    };
    [
        size(9, 3, 10),
        size(90, 10, 100),
        Size::TARGET,
        size(984, 3, 9552),
    ]
}

/// Returns a box of a fleet of `size` that has received heartbeats and digests from all senders.
fn informed_box(size: Size) -> State<Balanced> {
    let mut state = fleet::state(size, fleet::config(fleet::text(size)));
    state.step(Time(1), Event::Tick);
    for number in 1..size.region_boxes() {
        let frame = fleet::heartbeat(size, number * size.regions, 1, 0);
        state.step(Time(1), Event::Received(frame));
    }
    for region in 1..size.regions {
        state.step(
            Time(1),
            Event::Received(fleet::digest(size, region, 1, false)),
        );
    }
    state
}

/// Runs one request from arrival to end; returns the number of effects of its arrival.
fn request(state: &mut State<Balanced>, size: Size, number: u64) -> usize {
    let effects = state.step(Time(2), fleet::arrival(size, number));
    let sent = effects.iter().find_map(|e| match e {
        Effect::Send(send) => Some((send.request, send.attempt)),
        _ => None,
    });
    let Some((request, attempt)) = sent else {
        return effects.len();
    };
    state.step(Time(2), Event::Begun { request, attempt });
    let whole = true;
    let ended = Event::Ended {
        request,
        attempt,
        whole,
        timing: Default::default(),
    };
    state.step(Time(2), ended);
    effects.len()
}

pub(super) fn run() -> eyre::Result<()> {
    fingerprints()?;
    key_lookups()?;
    println!("workers  boxes  regions  decisions/s  us/decision  config KB  packed KB  check ms");
    for size in sizes() {
        let text = fleet::text(size);
        let bytes = text.len();
        let packed = pack(&fleet::envelope(text.clone()))?.len();
        let start = Instant::now();
        black_box(fleet::config(text));
        let check = start.elapsed();
        let mut state = informed_box(size);
        let start = Instant::now();
        for number in 0..REQUESTS {
            black_box(request(&mut state, size, number));
        }
        let took = start.elapsed();
        println!(
            "{:7}  {:5}  {:7}  {:11.0}  {:11.2}  {:9.1}  {:9.1}  {:8.2}",
            size.workers,
            size.boxes,
            size.regions,
            REQUESTS as f64 / took.as_secs_f64(),
            took.as_secs_f64() * 1e6 / REQUESTS as f64,
            bytes as f64 / 1024.0,
            packed as f64 / 1024.0,
            check.as_secs_f64() * 1e3,
        );
    }
    Ok(())
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn print_growth(what: &str, count: usize, before: usize) {
    // Lets the allocator's bookkeeping settle before memory is read.
    std::thread::sleep(Duration::from_millis(10));
    let grown = resident_bytes().saturating_sub(before);
    let each = grown as f64 / count as f64;
    println!(
        "{what:22} {count:8} {:10.1} KB {each:10.0} B each",
        grown as f64 / 1024.0
    );
}

pub(super) fn state() -> eyre::Result<()> {
    println!("what                      count      grown          each");
    // Nothing is freed between readings, so that each shows only its own growth.
    for count in [1_000, 10_000, 100_000] {
        let before = resident_bytes();
        let mut ledger = Ledger::default();
        let caller: id::Customer = "caller-1".parse()?;
        for number in 0..count {
            let pin = pin::Pin {
                peer: SocketAddr::from(([10, 0, 0, 1], 81)),
                incarnation: Incarnation(1),
                expiry: Time(number),
            };
            let key = pin::Key {
                pin,
                digest: pin::Digest::of(&number.to_string()),
                content: number,
            };
            black_box(ledger.claim(&caller, &key, id::Request(number)));
        }
        print_growth("remembered key", count as usize, before);
        forget(ledger);
    }
    for count in [400, 4_000, 40_000] {
        let before = resident_bytes();
        let mut accounts = Accounts::default();
        let allotment = Allotment {
            unit: Unit::Requests,
            rate: Rate(10.0),
            burst: 20.0,
            plain: 1,
        };
        let known = Knowledge::Reported {
            others: Sum::default(),
            part: 1.0,
        };
        for number in 0..count {
            let customer: id::Customer = format!("customer-{number}").parse()?;
            let _ = black_box(accounts.take(&customer, &allotment, 1.0, known, 0, Time(0)));
        }
        print_growth("customer's account", count, before);
        forget(accounts);
    }
    for workers in [10, 100, 1_300, 13_000] {
        let size = Size {
            workers,
            ..Size::TARGET
        };
        let before = resident_bytes();
        let config = fleet::config(fleet::text(size));
        print_growth("worker in the config", workers, before);
        forget(config);
    }
    for boxes in [90, 360, 3_600, 36_000] {
        let size = Size {
            boxes,
            regions: 1,
            workers: 54,
            ..Size::TARGET
        };
        let mut state = fleet::state(size, fleet::config(fleet::text(size)));
        let before = resident_bytes();
        for number in 1..boxes {
            let frame = fleet::heartbeat(size, number, 1, 20);
            state.step(Time(1), Event::Received(frame));
        }
        print_growth("peer of the region", boxes, before);
        forget(state);
    }
    Ok(())
}
