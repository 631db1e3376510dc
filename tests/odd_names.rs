//! Names in the configuration and in the entries of backend servers that hold any text.

mod harness;

use std::time::Duration;

use harness::{
    cloud::{Cloud, HOST, NEWS},
    eventually,
};
use petreldrum_standin::worker::Worker;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Names that the platform's users may choose.
fn texts() -> Vec<String> {
    let plain = [
        "Bunbury Hospital",
        "a/b",
        "a:b",
        "a\"b",
        "a,b",
        "a+b",
        "a%20b",
        "Gr\u{fc}n \u{6c34}",
        "a\nb",
        "a\r\nTenant: b",
        "a\0b",
        " a ",
        "",
        "anybody",
        "=anybody",
        "UTF-8''a",
    ];
    let plain = plain.map(str::to_owned).into_iter();
    plain.chain(["n".repeat(200)]).collect()
}

/// Returns the value of a header that carries a name: as it stands, or percent-encoded as RFC 8187
/// has it where a field cannot carry it.
fn carried(name: &str) -> String {
    match name {
        "a\nb" => "UTF-8''a%0Ab".to_owned(),
        "a\r\nTenant: b" => "UTF-8''a%0D%0ATenant%3A%20b".to_owned(),
        "a\0b" => "UTF-8''a%00b".to_owned(),
        " a " => "UTF-8''%20a%20".to_owned(),
        "" => "UTF-8''".to_owned(),
        "UTF-8''a" => "UTF-8''UTF-8%27%27a".to_owned(),
        plain => plain.to_owned(),
    }
}

/// The place of a name in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Field {
    Customer,
    Route,
    Service,
    Split,
    RouteHome,
    CustomerHome,
}

const FIELDS: [Field; 6] = [
    Field::Customer,
    Field::Route,
    Field::Service,
    Field::Split,
    Field::RouteHome,
    Field::CustomerHome,
];

fn key(version: u64) -> String {
    format!("key-{version}")
}

fn route(name: &str, prefix: &str) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 3000,
        "targetLatencyMs": 800, "priority": 0, "service": "app", "maxAttempts": 2,
        "homeRegions": [],
    })
}

/// Returns a configuration with one key and the route `/vN/` for version N, and beside them `text`
/// in `field`.
fn version(version: u64, field: Field, text: &str) -> Value {
    let mut customer = json!({ "name": "ward", "apiKeys": [key(version)], "homeRegions": [] });
    let mut other = json!({ "name": "other", "apiKeys": ["other"], "homeRegions": [] });
    let mut odd = route("odd", "/odd/");
    let mut services = vec![json!({ "name": "app", "healthPath": "/health" })];
    match field {
        Field::Customer => customer["name"] = json!(text),
        Field::Route => odd["name"] = json!(text),
        Field::Service => services.push(json!({ "name": text, "healthPath": "/health" })),
        Field::Split => {
            odd["service"] = Value::Null;
            odd["trafficSplit"] = json!([{ "service": text, "weight": 1 }]);
        }
        Field::RouteHome => odd["homeRegions"] = json!([text]),
        Field::CustomerHome => other["homeRegions"] = json!([text]),
    }
    let sound = route("sound", &format!("/v{version}/"));
    json!({
        "version": version, "tenants": [customer, other], "routes": [odd, sound],
        "services": services, "limits": {},
    })
}

async fn status(cloud: &Cloud, path: &str, id: &str, key: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let answer = cloud.boxes[0].send_with(path, id, &headers).await;
    answer.status.as_u16()
}

/// Asserts that version `number` is in force: its key and its route are served, and the key before
/// is not.
async fn assert_in_force(cloud: &Cloud, number: u64, case: &str) {
    let path = format!("/v{number}/x");
    eventually(&format!("{case}: the version is in force"), || async {
        status(cloud, &path, "first", &key(number)).await == 200
    })
    .await;
    let before = status(cloud, &path, "before", &key(number - 1)).await;
    assert_eq!(before, 401, "{case}: the key was taken away");
}

/// Guards against versions that are not applied because of one name, so that a key that they take
/// away goes on working.
#[tokio::test]
async fn one_odd_name_keeps_no_version_out() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    let mut number = 1;
    for field in FIELDS {
        for text in texts() {
            number += 1;
            let case = format!("{field:?} {text:?}");
            cloud
                .registry
                .put("op/config", &version(number, field, &text));
            assert_in_force(&cloud, number, &case).await;
            let seen = cloud.workers["i-1"].seen("first").pop();
            let customer = seen.expect("the request ran").headers.remove("tenant");
            let expected = match field {
                Field::Customer => carried(&text),
                _ => "ward".to_owned(),
            };
            assert_eq!(customer, Some(expected), "{case}");
            let odd = status(&cloud, "/odd/x", "odd", &key(number)).await;
            let expected = match field {
                // Nothing serves that service, and no box is in that region.
                Field::Split | Field::RouteHome => 503,
                _ => 200,
            };
            assert_eq!(odd, expected, "{case}");
            if field == Field::CustomerHome {
                let other = status(&cloud, "/odd/x", "home", "other").await;
                assert_eq!(other, 503, "{case}: no region may serve the customer");
            }
        }
        cloud.restart_boxes("atl").await;
        cloud.settled().await;
        assert_in_force(&cloud, number, &format!("{field:?}, after a restart")).await;
    }
    let log = cloud.boxes[0].log.text();
    let stray = log.lines().find(|line| line.starts_with("Tenant:"));
    assert_eq!(stray, None, "a name ends no line of the log");
}

/// Guards against a customer that is taken for the callers without a key, since it is called as they
/// are.
#[tokio::test]
async fn callers_without_a_key_are_no_customer() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let customer = json!([{ "name": "anybody", "apiKeys": ["known"], "homeRegions": ["mcn"] }]);
    cloud.configure_for(2, customer);
    eventually("the version is in force", || async {
        cloud.boxes[0].send("/safe/x", "none", "").await.status == 401
    })
    .await;
    let answer = cloud.boxes[0].send("/open/x", "open", "").await;
    assert_eq!(
        answer.status.as_u16(),
        200,
        "the customer's home binds its own"
    );
    let seen = cloud.workers["i-1"].seen("open").remove(0);
    assert_eq!(seen.headers.get("tenant"), None);
    assert_eq!(status(&cloud, "/open/x", "far", "known").await, 503);
}

/// Guards against relayed requests whose customer the other box does not recognize.
#[tokio::test]
async fn relayed_customers_keep_their_names() {
    let cloud = Cloud::across(&["i-1"]).await;
    for (number, text) in (2..).zip(texts()) {
        let customer = json!([{ "name": text, "apiKeys": [key(number)] }]);
        cloud.configure_for(number, customer);
        for process in &cloud.boxes {
            eventually("the version is in force", || async {
                let bearer = format!("Bearer {}", key(number));
                let headers = [("authorization", bearer.as_str())];
                let path = format!("/v{number}/x");
                process.send_with(&path, "first", &headers).await.status == 200
            })
            .await;
        }
        let id = format!("relayed-{number}");
        assert_eq!(status(&cloud, "/safe/x", &id, &key(number)).await, 200);
        let seen = cloud.workers["i-1"].seen(&id).remove(0);
        assert_eq!(
            seen.headers.get("tenant"),
            Some(&carried(&text)),
            "{text:?}"
        );
    }
}

/// Guards against servers that get no requests because of their name, or of the name of their
/// release.
#[tokio::test]
async fn odd_servers_are_used() {
    let cloud = Cloud::serving(&[]).await;
    for text in texts() {
        let name = format!("i{text}");
        // The server knows itself by what a header can carry.
        let header = match carried(&text).strip_prefix("UTF-8''") {
            Some(encoded) if !text.is_empty() && !text.starts_with("UTF-8") => {
                format!("UTF-8''i{encoded}")
            }
            _ => name.clone(),
        };
        let worker = Worker::start(&header).await.expect("the worker starts");
        cloud.register_release(&name, worker.address, "atl", "ready", &text);
        eventually(&format!("{name:?} is used"), || async {
            cloud.boxes[0].send("/safe/x", "one", "").await.status == 200
        })
        .await;
        assert!(!worker.seen("one").is_empty());
        cloud.registry.remove(&format!("servers/{name}"));
        sleep(NEWS).await;
    }
}

/// Guards against roll-outs that are ignored because of the name of their service or release.
#[tokio::test]
async fn odd_releases_are_rolled_out() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    let order = json!({ "service": "app", "targetVersion": "v2 \u{fc}/\n", "durationS": 60.0 });
    cloud.registry.put("op/rollout/app", &order);
    cloud.add_worker("i-2", "atl").await;
    let address = cloud.workers["i-2"].address;
    cloud.register_release("i-2", address, "atl", "ready", "v2 \u{fc}/\n");
    eventually("the status is written", || async {
        cloud.boxes[0].send("/safe/x", "one", "").await;
        let status = cloud.registry.content("status/rollout/app");
        status.is_some_and(|status| status["targetVersion"] == "v2 \u{fc}/\n")
    })
    .await;
}

/// Guards against versions that are not applied because of one row that cannot be parsed.
#[tokio::test]
async fn one_unreadable_row_keeps_no_version_out() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let rows = ["routes", "tenants", "services"];
    let key_in_no_list = json!({ "name": "lost", "apiKeys": "key-in-no-list" });
    let broken = [
        json!(null),
        json!({ "name": 7 }),
        json!("text"),
        json!([]),
        key_in_no_list,
    ];
    let mut number = 1;
    for list in rows {
        for row in &broken {
            number += 1;
            let case = format!("{list} {row}");
            let mut content = version(number, Field::Route, "odd");
            let entries = content[list].as_array_mut().expect("a list");
            entries.insert(0, row.clone());
            cloud.registry.put("op/config", &content);
            assert_in_force(&cloud, number, &case).await;
        }
    }
    // No customer can be read: no request is served, instead of all.
    let mut content = version(number + 1, Field::Route, "odd");
    content["tenants"] = json!([7]);
    cloud.registry.put("op/config", &content);
    let path = format!("/v{}/x", number + 1);
    eventually("the version is in force", || async {
        status(&cloud, &path, "first", &key(number)).await == 401
    })
    .await;
    let log = cloud.boxes[0].log.text();
    assert!(!log.contains("key-in-no-list"), "a key is logged");
}

/// Guards against requests of a route that cannot be parsed which then follow a shorter one.
#[tokio::test]
async fn requests_of_an_unreadable_route_follow_no_other() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let mut content = version(2, Field::Route, "odd");
    let mut longer = route("longer", "/odd/longer/");
    longer["kind"] = json!("unknown");
    content["routes"]
        .as_array_mut()
        .expect("a list")
        .push(longer);
    cloud.registry.put("op/config", &content);
    assert_in_force(&cloud, 2, "an unknown kind").await;
    assert_eq!(status(&cloud, "/odd/x", "a", &key(2)).await, 200);
    let start = std::time::Instant::now();
    assert_eq!(status(&cloud, "/odd/longer/x", "b", &key(2)).await, 503);
    let at_once = Duration::from_millis(500);
    assert!(start.elapsed() < at_once, "it is refused at once");
    assert!(cloud.workers["i-1"].seen("b").is_empty());
}
