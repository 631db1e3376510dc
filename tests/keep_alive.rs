//! Idle times that servers announce for their connections.

use std::sync::Arc;

use petreldrum::{gateway::dial::Pool, platform::engine};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=(timeout)\r\ncontent-length: 11\r\n\
                      \r\n{\"held\":[]}";

/// Guards against a time past the end of the clock, which ended the task that made the call.
#[tokio::test]
async fn odd_idle_times_end_no_task() {
    let odd = [
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775807",
        "99999999999999999999999999",
        "1e300",
        "-1",
        "NaN",
        "0",
        "",
    ];
    for timeout in odd {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let answer = ANSWER.replace("(timeout)", timeout);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let answer = answer.clone();
                tokio::spawn(async move {
                    while stream.read(&mut [0; 4096]).await.is_ok_and(|read| read > 0) {
                        let _ = stream.write_all(answer.as_bytes()).await;
                    }
                });
            }
        });
        let pool = Arc::new(Pool::default());
        for call in 0..3 {
            let (pool, address) = (pool.clone(), address);
            let parts = tokio::spawn(async move { engine::cached_parts(&pool, address).await });
            let parts = parts.await.expect("the task goes on");
            assert_eq!(parts, Ok(vec![]), "{timeout:?}, call {call}");
        }
    }
}
