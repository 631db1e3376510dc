//! Roll-out orders over the `petreldrum rollout` command: accepted, refused, followed by every box,
//! completed, rolled back and stopped.

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

/// Two regions with one backend server of each release in each region.
struct Fixture {
    world: World,
    old: Vec<Standin>,
    new: Vec<Standin>,
    text: String,
}

impl Fixture {
    async fn start() -> Self {
        let world = World::start(&REGIONS, 1).await;
        let (mut old, mut new) = (vec![], vec![]);
        let mut text = preamble(&REGIONS, "perth") + SELECTOR;
        for region in REGIONS {
            for (release, options, servers) in [
                ("v1", "release = v1", &mut old),
                ("v2", "release = v2\nawait_order = true", &mut new),
            ] {
                let server = Standin::start("app").await;
                let name = format!("{region}-{release}");
                text += &backend(&name, server.address, region, "slots", options);
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
            .expect("petreldrum can be run");
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

    async fn rollout_row(&self, region: &str) -> Option<Rollout> {
        let status = self.world.get(&format!("{region}-1")).status().await;
        status.rollouts.into_iter().next()
    }

    async fn standing(&self, region: &str) -> Option<Standing> {
        self.rollout_row(region).await?.standing
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

    /// Sends requests to both boxes until both report the state `end` or `timeout` has passed;
    /// returns the number of failed requests.
    async fn send_until(&self, end: Option<Standing>, timeout: Duration) -> usize {
        let (start, mut failed) = (Instant::now(), 0);
        for number in 0.. {
            let sends = (0..6).map(|one| async move {
                let entry = self.world.get(["perth-1", "broome-1"][one % 2]);
                let id = format!("{number}-{one}");
                let answer = entry.call("/slots/x", &[], &json!({ "id": id })).await;
                answer.status.is_success()
            });
            let answers = futures_util::future::join_all(sends).await;
            failed += answers.iter().filter(|good| !**good).count();
            let timed_out = start.elapsed() >= timeout;
            let ended = end.is_some()
                && self.standing("perth").await == end
                && self.standing("broome").await == end;
            if timed_out || ended {
                break;
            }
            sleep(Duration::from_millis(15)).await;
        }
        failed
    }
}

#[tokio::test]
async fn ordered_release_serves_alone() {
    let fixture = Fixture::start().await;
    let mut failed = fixture.send_until(None, Duration::from_secs(2)).await;
    assert_eq!(
        Fixture::runs(&fixture.new).await,
        0,
        "requests reached a release that was not ordered"
    );

    let ordered = Instant::now();
    let (code, message) = fixture.start_order("perth", "v2", "8s").await;
    assert_eq!((code, message.trim()), (0, "accepted as v2"));
    // The box of another region learns of the order and refuses a second one.
    eventually("the box in broome reports the order", || async {
        fixture.rollout_row("broome").await.is_some()
    })
    .await;
    let (code, message) = fixture.start_order("broome", "v2", "8s").await;
    assert_eq!(code, 1);
    assert!(message.contains("the order for v2 is open"), "{message}");
    failed += fixture
        .send_until(Some(Standing::Completed), Duration::from_secs(20))
        .await;
    assert_eq!(fixture.standing("broome").await, Some(Standing::Completed));
    assert!(
        ordered.elapsed() < Duration::from_secs(9),
        "roll-out ended after its deadline"
    );
    assert_eq!(failed, 0, "requests failed during the roll-out");

    let before = (
        Fixture::runs(&fixture.old).await,
        Fixture::runs(&fixture.new).await,
    );
    fixture.send_until(None, Duration::from_secs(1)).await;
    assert_eq!(Fixture::runs(&fixture.old).await, before.0);
    assert!(Fixture::runs(&fixture.new).await > before.1);
    let (code, message) = fixture.rollout("broome", &["show", "slots"]).await;
    assert_eq!(code, 0);
    assert!(message.contains("slots to v2: completed"), "{message}");
    let (code, message) = fixture.start_order("broome", "v2", "8s").await;
    assert!(
        code == 1 && message.contains("slots runs v2 already"),
        "{message}"
    );
    let stop = ["stop", "slots", "--author", "ann"];
    let (code, message) = fixture.rollout("perth", &stop).await;
    assert!(
        code == 1 && message.contains("has ended: completed"),
        "{message}"
    );
}

#[tokio::test]
async fn bad_release_is_rolled_back() {
    let fixture = Fixture::start().await;
    for server in &fixture.new {
        server.post("/_behave", json!({ "lose_reply": true })).await;
    }
    fixture.send_until(None, Duration::from_secs(2)).await;
    assert_eq!(fixture.start_order("broome", "v2", "60s").await.0, 0);
    fixture
        .send_until(Some(Standing::RolledBack), Duration::from_secs(30))
        .await;
    assert_eq!(fixture.standing("perth").await, Some(Standing::RolledBack));
    let before = Fixture::runs(&fixture.new).await;
    let failed = fixture.send_until(None, Duration::from_secs(1)).await;
    assert_eq!((failed, Fixture::runs(&fixture.new).await), (0, before));
    // The same release can be ordered again.
    let (code, message) = fixture.start_order("perth", "v2", "60s").await;
    assert_eq!(code, 0, "{message}");
}

#[tokio::test]
async fn stopped_order_keeps_requests_off() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.start_order("perth", "v2", "60s").await.0, 0);
    fixture.send_until(None, Duration::from_secs(3)).await;
    assert!(Fixture::runs(&fixture.new).await > 0);
    let stop = ["stop", "slots", "--author", "bob"];
    let (code, message) = fixture.rollout("broome", &stop).await;
    assert_eq!(code, 0, "{message}");
    for region in REGIONS {
        eventually("the box reports the order as stopped", || async {
            let row = fixture.rollout_row(region).await;
            row.is_none_or(|row| row.within.is_none())
        })
        .await;
    }
    let before = Fixture::runs(&fixture.new).await;
    fixture.send_until(None, Duration::from_secs(1)).await;
    assert_eq!(Fixture::runs(&fixture.new).await, before);
    let (code, message) = fixture.rollout("broome", &stop).await;
    assert!(
        code == 1 && message.contains("no order for slots"),
        "{message}"
    );
}

/// A configuration change based on the current text must not conflict with the roll-out state that
/// boxes wrote into the same record, and must not remove the order.
#[tokio::test]
async fn new_text_keeps_the_order() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.start_order("perth", "v2", "60s").await.0, 0);
    eventually("the roll-out is written as active", || async {
        fixture.standing("broome").await == Some(Standing::Active)
    })
    .await;
    let text = fixture.text.clone() + "[model other]\n";
    let answer = fixture.world.put("broome-1", 1, "bob", &text).await;
    assert!(answer.status.is_success(), "{:?}", answer.json());
    let version = answer.json()["version"].as_u64().expect("a version");
    fixture.world.in_force(version).await;
    let row = fixture
        .rollout_row("perth")
        .await
        .expect("the order is still open");
    assert_eq!(row.standing, Some(Standing::Active));
    // A change based on a version that is no longer current is a conflict.
    let answer = fixture.world.put("perth-1", 1, "ann", &fixture.text).await;
    assert_eq!(answer.json()["outcome"], "conflict");
}

/// A release that fails while the store is unreachable must still stop getting requests, and its
/// rollback must be written once the store answers again. An order that cannot be written must be
/// reported as not written.
#[tokio::test]
async fn silent_store_holds_nothing_up() {
    let fixture = Fixture::start().await;
    fixture.send_until(None, Duration::from_secs(2)).await;
    assert_eq!(fixture.start_order("perth", "v2", "60s").await.0, 0);
    eventually("the roll-out is written as active", || async {
        fixture.standing("broome").await == Some(Standing::Active)
    })
    .await;
    fixture.world.store.signal(Signal::SIGSTOP);
    for server in &fixture.new {
        server.post("/_behave", json!({ "lose_reply": true })).await;
    }
    fixture.send_until(None, Duration::from_secs(12)).await;
    let before = Fixture::runs(&fixture.new).await;
    assert_eq!(fixture.send_until(None, Duration::from_secs(1)).await, 0);
    assert_eq!(
        Fixture::runs(&fixture.new).await,
        before,
        "requests reached the failing release"
    );
    let (code, message) = fixture.start_order("perth", "v2", "60s").await;
    assert!(
        code == 1 && message.contains("not written"),
        "{code} {message}"
    );
    fixture.world.store.signal(Signal::SIGCONT);
    for region in REGIONS {
        eventually("the rollback is written", || async {
            fixture.standing(region).await == Some(Standing::RolledBack)
        })
        .await;
    }
}

#[tokio::test]
async fn hopeless_orders_are_refused() {
    let mut fixture = Fixture::start().await;
    let refused = async |fixture: &Fixture, release: &str, within: &str| {
        let (code, message) = fixture.start_order("perth", release, within).await;
        assert_eq!(code, 1, "{message}");
        message
    };
    let message = refused(&fixture, "v3", "60s").await;
    assert!(
        message.contains("no backend server of v3 serves"),
        "{message}"
    );
    let message = refused(&fixture, "v1", "60s").await;
    assert!(message.contains("slots runs v1 already"), "{message}");
    let message = refused(&fixture, "v2", "0s").await;
    assert!(message.contains("no time to watch"), "{message}");

    fixture.new.pop().expect("a server").kill().await;
    let message = refused(&fixture, "v2", "60s").await;
    assert!(
        message.contains("no server of it is ready in broome"),
        "{message}"
    );
    let homes = SELECTOR.to_owned() + "regions = broome\n";
    let text = fixture.text.replace(SELECTOR, &homes);
    fixture.world.configure("perth-1", 1, &text).await;
    let message = refused(&fixture, "v2", "60s").await;
    assert!(message.contains("may run: perth"), "{message}");
    fixture.new.pop().expect("a server").kill().await;
    let message = refused(&fixture, "v2", "60s").await;
    assert!(
        message.contains("no backend server of v2 is ready"),
        "{message}"
    );
    assert_eq!(
        fixture.world.get("perth-1").version().await,
        2,
        "a refused order was written"
    );
}

/// The old servers run until the operator stops them, so they must get no requests long after the
/// roll-out was completed either.
#[test]
fn completed_release_stays_alone() {
    let text = BASE.to_owned()
        + &caller("a", "")
        + &server("s1", "perth", 4)
        + "release = v1\n"
        + &server("s2", "perth", 4)
        + "release = v2\nawait_order = true\n[selector all]\n";
    let mut solo = Solo::new(&text);
    let target_of = |solo: &mut Solo, number: u64| {
        let effects = solo.step(arrival(number, "a", None));
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send(send) => Some(format!("{:?}", send.target)),
            _ => None,
        });
        sent.expect("the request is sent")
    };
    assert!(target_of(&mut solo, 1).contains("s1"));
    let release: Release = "v2".parse().expect("valid name");
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
    let rollouts = [("read".parse().expect("valid name"), entry)].into();
    let revision = Revision::first(3);
    solo.step(Event::Rollouts { rollouts, revision });
    for number in 2..5 {
        solo.pass(60_000);
        assert!(target_of(&mut solo, number).contains("s2"), "{number}");
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
    let faults =
        Config::parse("test", &envelope).expect_err("a backend without a release is rejected");
    assert!(faults.to_string().contains("[backend s1] await_order"));
}
