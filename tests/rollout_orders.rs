//! Orders for roll-outs on our own interface: given, refused, followed by every box, ended, taken back.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    Standin, TOKEN, World, backend, eventually, preamble,
    solo::{BASE, Solo, arrival, caller, server},
};
use nix::sys::signal::Signal;
use petreldrum::{
    config::{Config, Envelope, Version},
    fleet::Revision,
    id::Release,
    reducer::{effect::Effect, event::Event, status::Rollout},
    rollout::{Entry, Order, Standing, Written},
    unit::Millis,
};
use serde_json::json;
use tokio::{process::Command, time::sleep};

const REGIONS: [&str; 2] = ["perth", "broome"];
const SELECTOR: &str = "[selector slots]\nroutes = kind=slots\n";

/// Two regions, with a server of each release in each.
struct Stage {
    world: World,
    old: Vec<Standin>,
    new: Vec<Standin>,
    text: String,
}

impl Stage {
    async fn start() -> Self {
        let world = World::start(&REGIONS, 1).await;
        let (mut old, mut new) = (vec![], vec![]);
        let mut text = preamble(&REGIONS, "perth") + SELECTOR;
        for region in REGIONS {
            for (release, more, servers) in [
                ("v1", "release = v1", &mut old),
                ("v2", "release = v2\nawait_order = true", &mut new),
            ] {
                let server = Standin::start("app").await;
                let name = format!("{region}-{release}");
                text += &backend(&name, server.address, region, "slots", more);
                servers.push(server);
            }
        }
        world.configure("perth-1", 0, &text).await;
        world.places("/slots/x", None).await;
        Self {
            world,
            old,
            new,
            text,
        }
    }

    /// Runs `petreldrum rollout` against the box of `region`.
    async fn rollout(&self, region: &str, args: &[&str]) -> (i32, String) {
        let admin = self.world.get(&format!("{region}-1")).admin.to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_petreldrum"))
            .arg("rollout")
            .args(args)
            .args(["--admin", &admin, "--token", TOKEN])
            .output()
            .await
            .expect("the program runs");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        (output.status.code().unwrap_or(-1), text)
    }

    async fn start_order(&self, region: &str, release: &str, within: &str) -> (i32, String) {
        let args = [
            "start", "slots", release, "--within", within, "--author", "ann",
        ];
        self.rollout(region, &args).await
    }

    async fn shown(&self, region: &str) -> Option<Rollout> {
        let status = self.world.get(&format!("{region}-1")).status().await;
        status.rollouts.into_iter().next()
    }

    async fn standing(&self, region: &str) -> Option<Standing> {
        self.shown(region).await?.standing
    }

    async fn runs(servers: &[Standin]) -> u64 {
        let mut sum = 0;
        for server in servers {
            let counts = server.counts().await;
            let counts = counts.as_object().expect("counts").values();
            sum += counts.filter_map(|count| count.as_u64()).sum::<u64>();
        }
        sum
    }

    /// Callers ask both boxes until both show `end`, or `most` is over; how many requests failed.
    async fn ask_until(&self, end: Option<Standing>, most: Duration) -> usize {
        let (start, mut failed) = (Instant::now(), 0);
        for number in 0.. {
            let asks = (0..6).map(|one| async move {
                let entry = self.world.get(["perth-1", "broome-1"][one % 2]);
                let id = format!("{number}-{one}");
                let answer = entry.call("/slots/x", &[], &json!({ "id": id })).await;
                answer.status.is_success()
            });
            let answers = futures_util::future::join_all(asks).await;
            failed += answers.iter().filter(|good| !**good).count();
            let over = start.elapsed() >= most;
            let ended = end.is_some()
                && self.standing("perth").await == end
                && self.standing("broome").await == end;
            if over || ended {
                break;
            }
            sleep(Duration::from_millis(15)).await;
        }
        failed
    }
}

#[tokio::test]
async fn ordered_release_serves_alone() {
    let stage = Stage::start().await;
    let mut failed = stage.ask_until(None, Duration::from_secs(2)).await;
    assert_eq!(Stage::runs(&stage.new).await, 0, "it was not ordered");

    let ordered = Instant::now();
    let (code, told) = stage.start_order("perth", "v2", "8s").await;
    assert_eq!((code, told.trim()), (0, "accepted as v2"));
    // The box of another region knows it, and takes no second order.
    eventually("broome knows the order", || async {
        stage.shown("broome").await.is_some()
    })
    .await;
    let (code, told) = stage.start_order("broome", "v2", "8s").await;
    assert_eq!(code, 1);
    assert!(told.contains("the order for v2 is open"), "{told}");
    failed += stage
        .ask_until(Some(Standing::Completed), Duration::from_secs(20))
        .await;
    assert_eq!(stage.standing("broome").await, Some(Standing::Completed));
    assert!(ordered.elapsed() < Duration::from_secs(9), "after its time");
    assert_eq!(failed, 0, "callers saw nothing of it");

    let before = (Stage::runs(&stage.old).await, Stage::runs(&stage.new).await);
    stage.ask_until(None, Duration::from_secs(1)).await;
    assert_eq!(Stage::runs(&stage.old).await, before.0);
    assert!(Stage::runs(&stage.new).await > before.1);
    let (code, told) = stage.rollout("broome", &["show", "slots"]).await;
    assert_eq!(code, 0);
    assert!(told.contains("slots to v2: completed"), "{told}");
    let (code, told) = stage.start_order("broome", "v2", "8s").await;
    assert!(
        code == 1 && told.contains("slots runs v2 already"),
        "{told}"
    );
    let stop = ["stop", "slots", "--author", "ann"];
    let (code, told) = stage.rollout("perth", &stop).await;
    assert!(code == 1 && told.contains("has ended: completed"), "{told}");
}

#[tokio::test]
async fn bad_release_is_rolled_back() {
    let stage = Stage::start().await;
    for server in &stage.new {
        server.post("/_behave", json!({ "lose_reply": true })).await;
    }
    stage.ask_until(None, Duration::from_secs(2)).await;
    assert_eq!(stage.start_order("broome", "v2", "60s").await.0, 0);
    stage
        .ask_until(Some(Standing::RolledBack), Duration::from_secs(30))
        .await;
    assert_eq!(stage.standing("perth").await, Some(Standing::RolledBack));
    let before = Stage::runs(&stage.new).await;
    let failed = stage.ask_until(None, Duration::from_secs(1)).await;
    assert_eq!((failed, Stage::runs(&stage.new).await), (0, before));
    // Another order for it may follow.
    let (code, told) = stage.start_order("perth", "v2", "60s").await;
    assert_eq!(code, 0, "{told}");
}

#[tokio::test]
async fn stopped_order_keeps_requests_off() {
    let stage = Stage::start().await;
    assert_eq!(stage.start_order("perth", "v2", "60s").await.0, 0);
    stage.ask_until(None, Duration::from_secs(3)).await;
    assert!(Stage::runs(&stage.new).await > 0);
    let stop = ["stop", "slots", "--author", "bob"];
    let (code, told) = stage.rollout("broome", &stop).await;
    assert_eq!(code, 0, "{told}");
    for region in REGIONS {
        eventually("the box knows the stop", || async {
            let shown = stage.shown(region).await;
            shown.is_none_or(|row| row.within.is_none())
        })
        .await;
    }
    let before = Stage::runs(&stage.new).await;
    stage.ask_until(None, Duration::from_secs(1)).await;
    assert_eq!(Stage::runs(&stage.new).await, before);
    let (code, told) = stage.rollout("broome", &stop).await;
    assert!(code == 1 && told.contains("no order for slots"), "{told}");
}

/// A change of the text that was based on the text that stands must neither be refused for the sake of what
/// boxes wrote of a roll-out, nor take the order away.
#[tokio::test]
async fn new_text_keeps_the_order() {
    let stage = Stage::start().await;
    assert_eq!(stage.start_order("perth", "v2", "60s").await.0, 0);
    eventually("the boxes wrote that it is active", || async {
        stage.standing("broome").await == Some(Standing::Active)
    })
    .await;
    let text = stage.text.clone() + "[model other]\n";
    let answer = stage.world.put("broome-1", 1, "bob", &text).await;
    assert!(answer.status.is_success(), "{:?}", answer.json());
    let version = answer.json()["version"].as_u64().expect("a version");
    stage.world.in_force(version).await;
    let shown = stage.shown("perth").await.expect("the order stands");
    assert_eq!(shown.standing, Some(Standing::Active));
    // The text that it was based on does not stand any more.
    let answer = stage.world.put("perth-1", 1, "ann", &stage.text).await;
    assert_eq!(answer.json()["outcome"], "conflict");
}

/// What fails while the store is away must be kept off all the same, and its end written afterwards; an order
/// that can't be written must be told as that.
#[tokio::test]
async fn silent_store_holds_nothing_up() {
    let stage = Stage::start().await;
    stage.ask_until(None, Duration::from_secs(2)).await;
    assert_eq!(stage.start_order("perth", "v2", "60s").await.0, 0);
    eventually("the boxes wrote that it is active", || async {
        stage.standing("broome").await == Some(Standing::Active)
    })
    .await;
    stage.world.store.signal(Signal::SIGSTOP);
    for server in &stage.new {
        server.post("/_behave", json!({ "lose_reply": true })).await;
    }
    stage.ask_until(None, Duration::from_secs(12)).await;
    let before = Stage::runs(&stage.new).await;
    assert_eq!(stage.ask_until(None, Duration::from_secs(1)).await, 0);
    assert_eq!(Stage::runs(&stage.new).await, before, "kept off");
    let (code, told) = stage.start_order("perth", "v2", "60s").await;
    assert!(code == 1 && told.contains("not written"), "{code} {told}");
    stage.world.store.signal(Signal::SIGCONT);
    for region in REGIONS {
        eventually("the end is written", || async {
            stage.standing(region).await == Some(Standing::RolledBack)
        })
        .await;
    }
}

#[tokio::test]
async fn hopeless_orders_are_refused() {
    let mut stage = Stage::start().await;
    let refused = async |stage: &Stage, release: &str, within: &str| {
        let (code, told) = stage.start_order("perth", release, within).await;
        assert_eq!(code, 1, "{told}");
        told
    };
    let told = refused(&stage, "v3", "60s").await;
    assert!(told.contains("no backend server of v3 serves"), "{told}");
    let told = refused(&stage, "v1", "60s").await;
    assert!(told.contains("slots runs v1 already"), "{told}");
    let told = refused(&stage, "v2", "0s").await;
    assert!(told.contains("no time to watch"), "{told}");

    stage.new.pop().expect("a server").kill().await;
    let told = refused(&stage, "v2", "60s").await;
    assert!(
        told.contains("no server of it is ready in broome"),
        "{told}"
    );
    let homes = SELECTOR.to_owned() + "regions = broome\n";
    let text = stage.text.replace(SELECTOR, &homes);
    stage.world.configure("perth-1", 1, &text).await;
    let told = refused(&stage, "v2", "60s").await;
    assert!(told.contains("may run: perth"), "{told}");
    stage.new.pop().expect("a server").kill().await;
    let told = refused(&stage, "v2", "60s").await;
    assert!(told.contains("no backend server of v2 is ready"), "{told}");
    assert_eq!(stage.world.get("perth-1").version().await, 2, "all refused");
}

/// Nobody stops the old servers but the operator: they must get nothing long after the end either.
#[test]
fn completed_release_stays_alone() {
    let text = BASE.to_owned()
        + &caller("a", "")
        + &server("s1", "perth", 4)
        + "release = v1\n"
        + &server("s2", "perth", 4)
        + "release = v2\nawait_order = true\n[selector all]\n";
    let mut solo = Solo::new(&text);
    let goes_to = |solo: &mut Solo, number: u64| {
        let effects = solo.step(arrival(number, "a", None));
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send(send) => Some(format!("{:?}", send.target)),
            _ => None,
        });
        sent.expect("it is sent")
    };
    assert!(goes_to(&mut solo, 1).contains("s1"));
    let release: Release = "v2".parse().expect("a name");
    let entry = Entry {
        order: Some(Order {
            release: release.clone(),
            within: Millis(8000),
            revision: Revision::first(2),
        }),
        written: Some(Written {
            standing: Standing::Completed,
            release,
            revision: Revision::first(3),
        }),
        age: Millis(0),
    };
    let rollouts = [("read".parse().expect("a name"), entry)].into();
    let revision = Revision::first(3);
    solo.step(Event::Rollouts { rollouts, revision });
    for number in 2..5 {
        solo.pass(60_000);
        assert!(goes_to(&mut solo, number).contains("s2"), "{number}");
    }
}

#[test]
fn waiting_servers_name_their_release() {
    let text = BASE.to_owned() + &server("s1", "perth", 4) + "await_order = true\n";
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text,
    };
    let faults = Config::parse("test", &envelope).expect_err("it has no release");
    assert!(faults.to_string().contains("[backend s1] await_order"));
}
