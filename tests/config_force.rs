//! An accepted configuration is in force at all boxes within seconds and never reverts.

mod harness;

use harness::{Standin, World, backend, eventually, preamble};
use nix::sys::signal::Signal::{SIGCONT, SIGSTOP};
use petreldrum::config::{Envelope, Version};
use serde_json::json;
use std::time::{Duration, Instant};

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];

fn config_text(app: &Standin, label: usize) -> String {
    preamble(&REGIONS, "perth")
        + &backend(
            "app",
            app.address,
            "perth",
            "booking",
            &format!("labels = mark={label}"),
        )
        + "[selector rest]\n"
}

#[tokio::test]
async fn two_operators() {
    let world = World::start(&["perth"], 2).await;
    let app = Standin::start("app").await;
    let config_text = |label| config_text(&app, label).replace("[region bunbury]\nhop = 5ms\n", "");
    world.configure("perth-1", 0, &config_text(0)).await;
    for round in 1..6 {
        let (one, two) = (config_text(10 + round), config_text(20 + round));
        let base = round as u64;
        let (a, b) = tokio::join!(
            world.put("perth-1", base, "ann", &one),
            world.put("perth-2", base, "bob", &two),
        );
        let won = [&a, &b].iter().filter(|x| x.status.is_success()).count();
        assert_eq!(won, 1, "one change is accepted");
        let (winner, loser) = if a.status.is_success() {
            ("ann", b)
        } else {
            ("bob", a)
        };
        assert_eq!(loser.status.as_u16(), 409);
        let conflict = loser.json();
        assert_eq!(
            (conflict["author"].clone(), conflict["version"].clone()),
            (json!(winner), json!(base + 1))
        );
        world.in_force(base + 1).await;
    }
}

#[tokio::test]
async fn lost_replies() {
    let world = World::start(&["perth"], 2).await;
    let app = Standin::start("app").await;
    world.configure("perth-1", 0, &config_text(&app, 0)).await;

    // The write took effect and the reply was lost: reading back settles the outcome.
    world.store.post("/_fault", json!("lose_reply")).await;
    let answer = world.put("perth-1", 1, "ann", &config_text(&app, 1)).await;
    assert_eq!(
        (answer.status.as_u16(), answer.json()["outcome"].clone()),
        (200, json!("accepted"))
    );
    world.in_force(2).await;

    // The store does not recover in time: the outcome is reported as unknown, and the change is in
    // force later.
    world
        .store
        .post("/_fault", json!("lose_reply_then_down"))
        .await;
    let answer = world.put("perth-1", 2, "ann", &config_text(&app, 2)).await;
    assert_eq!(
        (answer.status.as_u16(), answer.json()["outcome"].clone()),
        (504, json!("unknown"))
    );
    world.store.post("/_fault", json!("none")).await;
    world.in_force(3).await;

    // The store is down: nothing is written, and the answer says so.
    world.store.post("/_fault", json!("down")).await;
    let answer = world.put("perth-1", 3, "ann", &config_text(&app, 3)).await;
    assert_eq!(
        (answer.status.as_u16(), answer.json()["outcome"].clone()),
        (503, json!("unavailable"))
    );

    // An invalid text is rejected whole.
    let answer = world
        .put(
            "perth-1",
            3,
            "ann",
            "[region x]\nhop = 5\n[selector s]\nfoo = 1\n",
        )
        .await;
    assert_eq!(answer.status.as_u16(), 422);
    assert_eq!(answer.json()["faults"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn store_reverts() {
    let mut world = World::start(&["perth"], 2).await;
    let app = Standin::start("app").await;
    for version in 0..3 {
        world
            .configure("perth-1", version, &config_text(&app, version as usize))
            .await;
    }
    let envelope = |version, write: &str, text: String| {
        let envelope = Envelope {
            version: Version(version),
            write: write.to_owned(),
            author: "backup".to_owned(),
            text,
        };
        use base64::Engine as _;
        let engine = base64::engine::general_purpose::STANDARD;
        let value = serde_json::to_vec(&envelope).expect("envelope serializes");
        json!({ "key": engine.encode("petreldrum/config"), "value": engine.encode(value) })
    };
    let alarms = async |n: f64| {
        eventually("an alarm", || async {
            world.get("perth-1").metric("alarms_total").await >= n
        })
        .await;
    };

    // An older version, a different text with the same version number, and an invalid one.
    world
        .store
        .post("/_set", envelope(2, "old", config_text(&app, 9)))
        .await;
    alarms(1.0).await;
    world
        .store
        .post("/_set", envelope(3, "twin", config_text(&app, 9)))
        .await;
    alarms(2.0).await;
    world
        .store
        .post("/_set", envelope(4, "bad", "[nonsense]\n".to_owned()))
        .await;
    alarms(3.0).await;
    for process in world.boxes.values() {
        assert!(process.is_ready().await);
        assert_eq!(process.version().await, 3);
    }
    // A box that starts now takes the newest configuration that its peer holds, not the one in the
    // store.
    world
        .store
        .post("/_set", envelope(2, "old", config_text(&app, 9)))
        .await;
    world.start_box("perth-3", "perth").await;
    world.in_force(3).await;
    // The operator continues from the configuration in force.
    world.configure("perth-2", 3, &config_text(&app, 4)).await;
    for process in world.boxes.values() {
        assert!(process.version().await >= 4);
    }
}

#[tokio::test]
async fn watchers_die() {
    let mut world = World::start(&["perth"], 3).await;
    let app = Standin::start("app").await;
    world.configure("perth-1", 0, &config_text(&app, 0)).await;
    let watching = async || {
        let mut names = Vec::new();
        for process in world.boxes.values() {
            if process.status().await.watching {
                names.push(process.name.clone());
            }
        }
        names
    };
    eventually("two of three boxes watch", || async {
        watching().await.len() == 2
    })
    .await;
    let watching = watching().await;
    // One watcher freezes and one dies; the remaining box starts to watch and gets the change.
    world.get(&watching[0]).signal(SIGSTOP);
    world
        .boxes
        .get_mut(&watching[1])
        .expect("box exists")
        .kill()
        .await;
    let gone = world.boxes.remove(&watching[1]);
    let frozen = world.boxes.remove(&watching[0]).expect("box exists");
    let left = world.boxes.keys().next().expect("box exists").clone();
    eventually("the remaining box watches", || async {
        world.get(&left).status().await.watching
    })
    .await;
    world.configure(&left, 1, &config_text(&app, 1)).await;
    drop(gone);
    // The frozen box resumes and has the change as well, before it takes work.
    frozen.signal(SIGCONT);
    eventually("the frozen box has the change", || async {
        frozen.is_ready().await && frozen.version().await == 2
    })
    .await;
}

/// Prints the time until a change is in force at each of nine boxes; the figures are not asserted.
#[tokio::test]
async fn time_to_force() {
    const CHANGES: usize = 20;
    let world = World::start(&REGIONS, 3).await;
    let app = Standin::start("app").await;
    world.configure("perth-1", 0, &config_text(&app, 0)).await;
    let mut times = Vec::new();
    let mut slowest = Vec::new();
    for change in 1..=CHANGES {
        let through = format!("{}-{}", REGIONS[change % 3], 1 + change % 3);
        let answer = world
            .put(&through, change as u64, "test", &config_text(&app, change))
            .await;
        assert!(answer.status.is_success());
        let start = Instant::now();
        let waits = world.boxes.values().map(|process| async move {
            while process.metric("config_version").await <= change as f64 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            start.elapsed()
        });
        let mut waits = futures_util::future::join_all(waits).await;
        waits.sort();
        slowest.push(waits[waits.len() - 1]);
        times.extend(waits);
    }
    times.sort();
    slowest.sort();
    println!(
        "in force at a box: min {:?} median {:?} max {:?}; everywhere: median {:?} max {:?}",
        times[0],
        times[times.len() / 2],
        times[times.len() - 1],
        slowest[CHANGES / 2],
        slowest[CHANGES - 1],
    );
    assert_eq!(times.len(), CHANGES * world.boxes.len());
}
