//! Messages from nng's own PUSH socket.

mod harness;

use std::ffi::CString;

use anng::protocols::pipeline0;
use harness::{clients::Lone, eventually};
use hyper::Method;
use petreldrum_standin::http::call;

// The listener for messages speaks the protocol itself; what it speaks has to be nng's.
#[tokio::test(flavor = "multi_thread")]
async fn messages_of_nng_are_received() {
    let lone = Lone::start("").await;
    let process = lone.process();
    let url = CString::new(format!("tcp://{}", process.gossip)).expect("no null bytes");
    let socket = pipeline0::Push0::dial(url.as_c_str()).await;
    let mut socket = socket.expect("the box accepts");
    let message = anng::Message::from(&b"not a message of a box"[..]);
    assert!(socket.push(message).await.is_ok(), "the message is sent");
    eventually("the message is counted", || async {
        let answer = call(process.admin, Method::GET, "/metrics", &[], "").await;
        let text = answer.expect("metrics").body;
        let text = String::from_utf8_lossy(&text).into_owned();
        text.contains("direction=\"received\",kind=\"unreadable\"} 22")
    })
    .await;
}
