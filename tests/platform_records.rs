//! Records of the platform's store are converted to the gateway's own types or rejected as a whole.

mod harness;

use bolero::check;
use harness::solo::places;
use petreldrum::{
    config::Config,
    fleet::Revision,
    platform::{
        record::{self, Key},
        rollout,
    },
    rollout::Standing,
    unit::Millis,
};

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-1","host":"a.example","pathPrefix":"/crew/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":800,"priority":0,"service":"model","maxAttempts":2,"sticky":true,
  "resumable":true,"gapAimMs":600,"homeRegions":["atl","mcn"]},
 {"name":"r-2","host":"a.example","pathPrefix":"/crew/long/","kind":"streaming","timeoutMs":9000,
  "targetLatencyMs":1200,"priority":1,"maxAttempts":1,"resumable":false,
  "trafficSplit":[{"service":"model","weight":90},{"service":"app","weight":10}]},
 {"name":"r-3","host":"a.example","pathPrefix":"/ack/","kind":"idempotent","timeoutMs":3000.0,
  "service":"app","maxAttempts":2},
 {"name":"r-4","host":"b.example","pathPrefix":"/ack/","kind":"non_idempotent","timeoutMs":3000,
  "service":"app","maxAttempts":1}],
 "services":[{"name":"model","coldStartS":3.0,"coldPerS":8.0,"engine":{"kvTokens":345351}},
  {"name":"app","coldStartS":0.0,"coldPerS":0.0}],"limits":{}}"#;

fn config() -> Config {
    let envelope = record::envelope(CONFIG.into()).expect("the record parses");
    record::parse_config(&envelope, &places()).expect("the record parses")
}

fn route(config: &Config, host: &str, path: &str) -> Option<String> {
    let route = config.route(Some(host), path)?;
    Some(route.name.to_string())
}

#[test]
fn keys_are_told_apart() {
    assert_eq!(Key::parse("op/config"), Some(Key::Config));
    let domain = "atl-a".parse().expect("a name");
    let evacuation = Some(Key::Evacuation(domain));
    assert_eq!(Key::parse("op/evacuate/atl-a"), evacuation);
    let server = "i-1".parse().expect("a name");
    assert_eq!(Key::parse("servers/i-1"), Some(Key::Server(server)));
    let service = |name: &str| name.parse().expect("a name");
    let order = Key::parse("op/rollout/app");
    assert_eq!(order, Some(Key::Rollout(service("app"))));
    let status = Key::parse("status/rollout/app");
    assert_eq!(status, Some(Key::RolloutStatus(service("app"))));
    assert_eq!(Key::parse("op/rollout/"), None);
    assert_eq!(Key::parse("op/other"), None);
    assert_eq!(Key::parse("servers/"), None);
}

#[test]
fn longest_prefix_of_the_host() {
    let config = config();
    let found = |host, path| route(&config, host, path);
    assert_eq!(found("a.example", "/crew/x").as_deref(), Some("r-1"));
    assert_eq!(found("a.example", "/crew/long/x").as_deref(), Some("r-2"));
    assert_eq!(found("a.example", "/crew/longer").as_deref(), Some("r-1"));
    assert_eq!(found("a.example", "/crew"), None);
    assert_eq!(found("b.example", "/ack/1").as_deref(), Some("r-4"));
    assert_eq!(found("c.example", "/ack/1"), None);
}

#[test]
fn kinds_say_what_may_repeat() {
    let config = config();
    let repeatable = |name: &str| {
        let route = config.routes.iter().find(|r| r.name.as_str() == name);
        route.expect("the route exists").repeatable
    };
    assert!(repeatable("r-1"), "a stream that may be resumed");
    assert!(!repeatable("r-2"), "a stream that may not");
    assert!(repeatable("r-3"));
    assert!(!repeatable("r-4"));
}

#[test]
fn shares_follow_the_draw() {
    let config = config();
    let caller = config
        .anonymous
        .clone()
        .expect("an anonymous customer exists");
    let service = |draw| {
        let ask = petreldrum::config::Query {
            customer: caller.clone(),
            path: "/crew/long/x".to_owned(),
            model: None,
            host: Some("a.example".to_owned()),
            random: draw,
        };
        config.plan(&ask).expect("a place").service.to_string()
    };
    let draws = (0..100).map(service);
    assert_eq!(draws.filter(|s| s == "model").count(), 90);
}

#[test]
fn entries_of_servers() {
    let entry = br#"{"service":"model","address":"10.128.0.9:8080","zone":"atl-a","version":"v1",
        "slots":64,"state":"draining","coldRemainingMs":2500,"sequence":4,"timeLeftMs":2000}"#;
    let name = "i-1".parse().expect("a name");
    let server = record::parse_server(&name, entry, &places()).expect("the record parses");
    assert!(server.leaving);
    assert_eq!(server.region.as_str(), "atl");
    assert_eq!(server.cold, Millis(2500));
    let invalid = br#"{"service":"model","address":"10.128.0.9:8080","zone":"x","slots":1,
        "state":"ready"}"#;
    assert!(
        record::parse_server(&name, invalid, &places()).is_err(),
        "unknown zone"
    );
    assert!(record::parse_server(&name, b"{", &places()).is_err());
}

#[test]
fn any_bytes_are_refused_whole() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let name = "i-1".parse().expect("a name");
        let _ = record::parse_server(&name, bytes, &places());
        if let Ok(envelope) = record::envelope(bytes.clone()) {
            let _ = record::parse_config(&envelope, &places());
        }
    });
}

#[test]
fn orders_and_what_is_written_of_them() {
    let entry = br#"{"service":"app","targetVersion":"v2","durationS":12.5}"#;
    let order = rollout::parse_order(entry, Revision::first(7)).expect("the record parses");
    assert_eq!(order.release.as_str(), "v2");
    assert_eq!(
        (order.within, order.revision),
        (Millis(12_500), Revision::first(7))
    );
    for (standing, state) in [
        (Standing::Active, "active"),
        (Standing::Completed, "completed"),
        (Standing::RolledBack, "rolled_back"),
    ] {
        let bytes = rollout::serialize_status(&order, standing);
        let text = String::from_utf8(bytes.clone()).expect("text");
        assert_eq!(
            text,
            format!(r#"{{"state":"{state}","targetVersion":"v2"}}"#)
        );
        let written = rollout::parse_status(&bytes, Revision::first(8)).expect("the record parses");
        assert_eq!(
            (written.standing, &written.release),
            (standing, &order.release)
        );
    }
}

#[test]
fn orders_of_odd_durations_leave_no_time_or_much() {
    let order = |duration: &str| {
        let entry = format!(r#"{{"targetVersion":"v2","durationS":{duration}}}"#);
        rollout::parse_order(entry.as_bytes(), Revision::first(1)).map(|order| order.within)
    };
    assert_eq!(order("-3").expect("the record parses"), Millis(0));
    assert_eq!(order("0").expect("the record parses"), Millis(0));
    assert_eq!(order("1e300").expect("the record parses"), Millis(u64::MAX));
    assert!(order("1e999").is_err());
    assert!(order("null").is_err());
}

#[test]
fn rollout_entries_of_any_bytes_read_or_do_not() {
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(order) = rollout::parse_order(bytes, Revision::first(1)) {
            let bytes = rollout::serialize_status(&order, Standing::Active);
            assert!(rollout::parse_status(&bytes, Revision::first(2)).is_ok());
        }
        let _ = rollout::parse_status(bytes, Revision::first(1));
    });
}
