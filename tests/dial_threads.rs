//! A box that learns of many others at once uses few threads.
//!
//! Guards against unbounded dials: 300 boxes on one machine ran out of threads. A box had 12
//! threads when idle and up to 141 from the moment a hundred others started; all boxes together had
//! 17,700. When the boxes of a region start or come back together, each dials all others. A dial
//! takes a thread while it lasts, and nothing bounded the dials in flight: 129 of the 140 threads
//! of one box belonged to the pool for blocking calls.

mod harness;

use std::{
    fs,
    net::TcpListener,
    time::{Duration, Instant},
};

use harness::World;
use tokio::time::sleep;

/// Peers that appear at once.
const PEERS: usize = 100;
/// Threads that dials may use at any moment.
const MAX_DIAL_THREADS: usize = 8;

/// Binds addresses that accept connections and never reply, so that each dial runs into its
/// time-out.
fn silent_listeners(count: usize) -> Vec<TcpListener> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("listener binds");
    (0..count).map(bind).collect()
}

fn threads(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("process is running");
    let line = status.lines().find_map(|l| l.strip_prefix("Threads:"));
    let count = line.and_then(|count| count.trim().parse().ok());
    count.expect("status has a thread count")
}

/// Returns the highest thread count of a process within `span`.
async fn most_threads(pid: u32, span: Duration) -> usize {
    let start = Instant::now();
    let mut peak = 0;
    while start.elapsed() < span {
        peak = peak.max(threads(pid));
        sleep(Duration::from_millis(10)).await;
    }
    peak
}

#[tokio::test]
async fn thread_count_is_bounded_while_many_peers_appear() {
    let mut world = World::start(&["perth"], 1).await;
    let idle = most_threads(world.get("perth-1").pid(), Duration::from_secs(1)).await;

    let listeners = silent_listeners(PEERS);
    let seed = |listener: &TcpListener| {
        let address = listener.local_addr().expect("valid address");
        format!("perth/{address}")
    };
    let seeds: Vec<String> = listeners.iter().map(seed).collect();
    let text = world.settings["perth-1"].replace("perth-1", "perth-2");
    let text = text.replace("seeds = ", &format!("seeds = {}", seeds.join(", ")));
    world.settings.insert("perth-2".to_owned(), text);
    world.run_box("perth-2", "perth").await;
    let peak = most_threads(world.get("perth-2").pid(), Duration::from_secs(3)).await;
    assert!(
        peak <= idle + MAX_DIAL_THREADS,
        "{peak} threads, {idle} in a box that dials no peers"
    );
}
