//! The cause of a failed request is found from its id by the steps of docs/OPERATIONS.md, with logs
//! alone.

mod harness;

use harness::{
    cloud::{Cloud, CloudBox, NEWS},
    eventually,
};
use petreldrum::story::Story;
use tokio::time::sleep;

/// Returns the lines that `petreldrum trace` prints for a request.
fn trace(boxes: &[CloudBox], id: &str) -> Vec<String> {
    let mut story = Story::default();
    for (number, process) in boxes.iter().enumerate() {
        let log = process.log.text();
        let name = format!("box-{number}");
        story
            .read(&name, &mut log.as_bytes(), id)
            .expect("the log is readable");
    }
    assert_eq!(story.bad(), 0);
    story.into_lines().into_iter().map(|l| l.text).collect()
}

/// Waits for a log line of the request that contains all `fragments`, and returns it.
async fn line(boxes: &[CloudBox], id: &str, fragments: &[&str]) -> String {
    let find = || {
        let lines = trace(boxes, id);
        let whole = |l: &String| fragments.iter().all(|fragment| l.contains(fragment));
        lines.into_iter().find(whole)
    };
    eventually("the line is written", || async { find().is_some() }).await;
    find().expect("the line was found")
}

/// Returns the value of `key=` in a line, in milliseconds.
fn millis(line: &str, key: &str) -> u64 {
    let mut fields = line.split(' ');
    let value = fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='));
    let value = value.and_then(|v| v.strip_suffix("ms")?.parse().ok());
    value.unwrap_or_else(|| panic!("no {key} in {line}"))
}

#[tokio::test]
async fn refused() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let nothing = serde_json::json!({});
    cloud.registry.put("op/evacuate/atl-a", &nothing);
    sleep(NEWS).await;
    let answer = cloud.boxes[0].send("/safe/x", "refused-1", "").await;
    assert_eq!(answer.status.as_u16(), 503);
    let fragments = ["answered status=503", "verdict=not-run", "no allowed place"];
    line(&cloud.boxes, "refused-1", &fragments).await;
    let log = cloud.boxes[0].log.text();
    assert!(log.contains("store: failure domain atl-a is evacuated: true"));
}

#[tokio::test]
async fn cut_off() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let answer = cloud.boxes[0].send("/once/x", "cut-1", "lost").await;
    assert_eq!(answer.status.as_u16(), 502);
    line(&cloud.boxes, "cut-1", &["sent ", "to=i-1@", "places=1"]).await;
    line(&cloud.boxes, "cut-1", &["failed ", "cause=Broken"]).await;
    let fragments = ["answered status=502", "verdict=may-have-run"];
    line(&cloud.boxes, "cut-1", &fragments).await;
}

#[tokio::test]
async fn late() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    cloud.add_worker("i-far", "mcn").await;
    cloud.add_box("atl").await;
    cloud.add_box("mcn").await;
    cloud.settled().await;
    eventually("a relay is served", || async {
        let answer = cloud.boxes[0].send("/safe/x", "first", "").await;
        answer.status.is_success()
    })
    .await;
    let answer = cloud.boxes[0]
        .send("/stream/x", "late-1", "stream-after-1000")
        .await;
    assert!(answer.whole);
    let sent = line(&cloud.boxes, "late-1", &["sent ", "to=i-far@"]).await;
    let ended = line(&cloud.boxes, "late-1", &["ended ", "whole=true"]).await;
    assert!(millis(&ended, "first") > millis(&sent, "target"), "{ended}");
    assert!(millis(&sent, "waited") < 100, "not spent in line: {sent}");
    assert!(
        millis(&sent, "first") < 500,
        "the delay was not predicted: {sent}"
    );
    let relays = trace(&cloud.boxes, "late-1");
    assert!(
        relays.iter().any(|l| l.contains("to=mcn@")),
        "the relay is logged"
    );
}
