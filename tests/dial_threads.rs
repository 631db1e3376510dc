//! A box that meets many others at once keeps few threads.
//!
//! Symptom: 300 boxes of one machine were refused for want of threads. A box had 12 threads at rest and
//! up to 141 from the moment at which a hundred others started; all together had 17,700.
//! Sequence: the boxes of a region start, or come back, at the same moment; each dials all others.
//! Cause: a dial takes a thread while it lasts, and nothing bounded the dials under way: 129 of the 140
//! threads of one box belonged to the pool for blocking calls.

mod harness;

use std::{
    fs,
    net::TcpListener,
    time::{Duration, Instant},
};

use harness::World;
use tokio::time::sleep;

/// Others that appear at once.
const PEERS: usize = 100;
/// Threads that dials may take at any moment.
const MOST: usize = 8;

/// Addresses that take connections and never say a word, so that each dial lasts as long as it may.
fn silent_listeners(count: usize) -> Vec<TcpListener> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a port");
    (0..count).map(bind).collect()
}

fn threads(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("Threads:"));
    let count = line.and_then(|count| count.trim().parse().ok());
    count.expect("a number of threads")
}

/// The most threads that a process has within `span`.
async fn most_threads(pid: u32, span: Duration) -> usize {
    let start = Instant::now();
    let mut most = 0;
    while start.elapsed() < span {
        most = most.max(threads(pid));
        sleep(Duration::from_millis(10)).await;
    }
    most
}

#[tokio::test]
async fn few_while_many_peers_appear() {
    let mut world = World::start(&["perth"], 1).await;
    let rest = most_threads(world.get("perth-1").pid(), Duration::from_secs(1)).await;

    let listeners = silent_listeners(PEERS);
    let seed = |listener: &TcpListener| {
        let address = listener.local_addr().expect("an address");
        format!("perth/{address}")
    };
    let seeds: Vec<String> = listeners.iter().map(seed).collect();
    let text = world.settings["perth-1"].replace("perth-1", "perth-2");
    let text = text.replace("seeds = ", &format!("seeds = {}", seeds.join(", ")));
    world.settings.insert("perth-2".to_owned(), text);
    world.run_box("perth-2", "perth").await;
    let most = most_threads(world.get("perth-2").pid(), Duration::from_secs(3)).await;
    assert!(
        most <= rest + MOST,
        "{most} threads, {rest} in a box that dials nobody"
    );
}
