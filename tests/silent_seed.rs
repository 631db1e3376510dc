//! A seed that does not answer is dialled repeatedly, so that it is found soon after it is back.

mod harness;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use harness::World;
use tokio::time::sleep;

/// Accepts and counts connections, and never sends anything.
fn silent_listener() -> (u16, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming() {
            kept.push(stream);
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    (port, count)
}

#[tokio::test]
async fn dialled_often() {
    let (port, count) = silent_listener();
    let mut world = World::start(&["perth"], 1).await;
    let text = world.settings["perth-1"].clone();
    let seeds = format!("seeds = perth/127.0.0.1:{port}");
    let text = text.replace("seeds = ", &seeds);
    world
        .settings
        .insert("perth-2".to_owned(), text.replace("perth-1", "perth-2"));
    world.run_box("perth-2", "perth").await;
    // The backoff between dials grows at first.
    sleep(Duration::from_secs(3)).await;
    let before = count.load(Ordering::Relaxed);
    sleep(Duration::from_secs(5)).await;
    let dials = count.load(Ordering::Relaxed) - before;
    assert!(dials >= 4, "{dials} dials in 5 s");
}
