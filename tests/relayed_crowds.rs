//! Crowds whose requests are passed on to a box of another region.

mod harness;

use harness::{
    World, backend,
    clients::{CONNECTION_KIB, CROWD, TURN, Usage, flood_all, head},
    preamble,
    unread::{ask_all, assert_whole, long_answers},
};
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

const LIMITS: &str = "max_body = 64KiB\nbody_memory = 1MiB\n";
/// Memory for bodies, in KiB, at each box.
const BODIES_KIB: u64 = 1 << 10;
/// Connections of the crowd and of the boxes for it, at each box.
const CONNECTIONS: u64 = 2 * CROWD as u64;
/// Time in which the answers reach the boxes as far as they take them.
const PAUSE: Duration = Duration::from_secs(3);

/// Starts a box for callers, and one in another region before `server`.
async fn two_regions(server: SocketAddr) -> World {
    let mut world = World::start(&[], 0).await;
    world.start_box_with("perth-1", "perth", LIMITS).await;
    world.start_box_with("bunbury-1", "bunbury", LIMITS).await;
    let text = preamble(&["perth", "bunbury"], "perth")
        + &backend("app", server, "bunbury", "booking, slots", "slots = 512")
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.hears("perth", 1).await;
    world.places("/slots/all", None).await;
    world
}

fn usages(world: &World) -> Vec<Usage> {
    let boxes = world.boxes.values();
    boxes.map(|process| Usage::of(process.pid())).collect()
}

async fn assert_sound(world: &World, usages: &[Usage], what: &str) {
    for usage in usages {
        usage.assert_descriptors(what).await;
    }
    let body = json!({});
    let answer = world.get("perth-1").call("/slots/all", &[], &body).await;
    assert_eq!(answer.status, 200, "{what}");
}

// An answer that nobody reads is held at each of the boxes on its way.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_answers_that_nobody_reads() {
    let _turn = TURN.lock().await;
    for what in ["length", "chunks"] {
        let world = two_regions(long_answers(what == "chunks").await).await;
        let usages = usages(&world);
        let request = head("/slots/long", "content-length: 0\r\nconnection: close\r\n");
        let requests = std::iter::repeat_n(request, CROWD);
        let mut callers = ask_all(world.get("perth-1").public, requests).await;
        sleep(PAUSE).await;
        for usage in &usages {
            usage.assert_memory(BODIES_KIB + CONNECTIONS * CONNECTION_KIB, what);
        }
        assert_whole(&mut callers, what).await;
        drop(callers);
        assert_sound(&world, &usages, what).await;
    }
}

// A body that is passed on is held at both boxes, within the memory for bodies of each.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_bodies_of_the_longest_size() {
    let _turn = TURN.lock().await;
    let world = two_regions(long_answers(false).await).await;
    let usages = usages(&world);
    let start = head("/slots/all", "content-length: 65536\r\n");
    let request = [start.as_bytes(), &[b'a'; 64 << 10]].concat();
    flood_all(world.get("perth-1").public, &[], &request).await;
    for usage in &usages {
        usage.assert_memory(BODIES_KIB + CONNECTIONS * CONNECTION_KIB, "bodies");
    }
    assert_sound(&world, &usages, "bodies").await;
}
