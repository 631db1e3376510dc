//! Checks that the store's stand-in provides the guarantees that the gateway relies on: of
//! concurrent compare-and-swap writes only one succeeds, and a write whose reply is lost takes
//! effect.

use std::net::SocketAddr;

use hyper::Method;
use petreldrum_standin::{
    http::{call, serve},
    store::Store,
};
use serde_json::{Value, json};

async fn send(address: SocketAddr, path: &str, body: Value) -> Option<Value> {
    let answer = call(address, Method::POST, path, &[], body.to_string()).await;
    answer.ok().map(|a| a.json())
}

fn swap(expected: u64, value: &str) -> Value {
    json!({
        "compare": [{ "key": "k", "target": "MOD", "mod_revision": expected.to_string() }],
        "success": [{ "request_put": { "key": "k", "value": value } }],
    })
}

#[tokio::test]
async fn swaps_once() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let (address, _) = serve(loopback, Store::default())
        .await
        .expect("the store starts");
    let mut tasks = Vec::new();
    for index in 0..16 {
        let body = swap(0, &format!("v{index}"));
        tasks.push(tokio::spawn(send(address, "/v3/kv/txn", body)));
    }
    let mut won = 0;
    for task in tasks {
        let answer = task.await.expect("task completes").expect("store answers");
        won += u64::from(answer["succeeded"] == true);
    }
    assert_eq!(won, 1);
}

#[tokio::test]
async fn loses_a_reply() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let (address, _) = serve(loopback, Store::default())
        .await
        .expect("the store starts");
    send(address, "/_fault", json!("lose_reply"))
        .await
        .expect("fault is set");
    assert_eq!(send(address, "/v3/kv/txn", swap(0, "new")).await, None);
    let range = send(address, "/v3/kv/range", json!({ "key": "k" }))
        .await
        .expect("store answers");
    assert_eq!(range["kvs"][0]["value"], "new");
}
