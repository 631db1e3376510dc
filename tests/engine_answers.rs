//! Memory that answers of engines take, to calls that are no requests.

mod harness;

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use harness::{
    clients::{TURN, peak_memory},
    eventually,
};
use petreldrum::{gateway::dial::Pool, memory::transfer::Handover, platform::engine};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    join,
    net::TcpListener,
    time::sleep,
};

/// Memory, in KiB, that all calls together may take: what a box of 160 MB has left beside its
/// budgets for requests and answers (docs/CAPACITY.md).
const MAX_GROWTH_KIB: u64 = 28_000_000 >> 10;
/// Engines whose caches a box follows at most.
const FOLLOWED: usize = 16;
/// Runs of one engine that move at once.
const MOVES: usize = 64;
/// Bytes of answers that end: more than is read of an engine, and less.
const LENGTHS: [usize; 2] = [7 << 20, 15 << 17];

/// Pause of a slow engine between two bytes, shorter than what a box waits for.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time for which slow engines may hold up others; a call may take 20 s.
const MAX_HOLD_UP: Duration = Duration::from_secs(8);

/// An engine that answers each call with `start`, `filler` again and again, and `end`; without an
/// end it goes on until the caller closes.
#[derive(Clone, Copy, Debug)]
struct Talker {
    start: &'static str,
    filler: &'static str,
    end: Option<&'static str>,
    length: usize,
}

impl Talker {
    async fn serve(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let part: Arc<str> = self.filler.repeat((64 << 10) / self.filler.len()).into();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let part = part.clone();
                tokio::spawn(async move {
                    let _ = stream.read(&mut [0; 4096]).await;
                    let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                    sent = sent.and(stream.write_all(self.start.as_bytes()).await);
                    let mut length = 0;
                    while sent.is_ok() && (self.end.is_none() || length < self.length) {
                        sent = stream.write_all(part.as_bytes()).await;
                        length += part.len();
                    }
                    let _ = stream.write_all(self.end.unwrap_or("").as_bytes()).await;
                });
            }
        });
        address
    }
}

/// Returns by how much `calls` raise the peak memory of this process, in KiB, and their answers.
async fn growth<T>(calls: impl Future<Output = T>) -> (u64, T) {
    // Sets the peak to what is in use (proc_pid_clear_refs(5)).
    fs::write("/proc/self/clear_refs", "5").expect("the peak is reset");
    let before = peak_memory(std::process::id());
    let answers = calls.await;
    let growth = peak_memory(std::process::id()).saturating_sub(before);
    (growth, answers)
}

/// Guards against answers that are kept up to 8 MiB each, or take many times their length once they
/// are parsed.
#[tokio::test]
async fn calls_to_faulty_engines_take_little_memory() {
    let _turn = TURN.lock().await;
    let talkers = [
        ("", "no answer ", None),
        ("{\"epoch\":0,\"next", "PageToken", None),
        ("{\"epoch\":[0", ",{\"\":0}", Some("]}")),
        ("{\"handle\":[0", ",{\"\":0}", Some("]}")),
        (
            "{\"epoch\":0,\"nextPageToken\":0,\"held\":[[\"\",\"1\",0,0]",
            ",[\"\",\"1\",0,0]",
            Some("]}"),
        ),
    ];
    for (start, filler, end) in talkers {
        for length in LENGTHS {
            let talker = Talker {
                start,
                filler,
                end,
                length,
            };
            let address = talker.serve().await;
            let pool = Arc::new(Pool::default());
            // A box passes each list on as it arrives.
            let list = async |_| engine::list_cached(&pool, address).await.is_ok();
            let (listed, _) = growth(join_all((0..FOLLOWED).map(list))).await;
            let run = |_| engine::move_run(&pool, address, "one", address, true);
            let (moved, _) = growth(join_all((0..MOVES).map(run))).await;
            assert!(listed <= MAX_GROWTH_KIB, "{talker:?}: lists {listed} KiB");
            assert!(moved <= MAX_GROWTH_KIB, "{talker:?}: moves {moved} KiB");
        }
    }
}

/// As many parts as a large engine can hold are read, by all calls that a box makes at once.
#[tokio::test]
async fn long_lists_are_read() {
    let _turn = TURN.lock().await;
    let talker = Talker {
        start: "{\"epoch\":0,\"nextPageToken\":0,\"held\":[[\"\",\"1\",0,\"\"]",
        filler: ",[\"\",\"0123456789abcdef\",1600,\"model\"]",
        end: Some("]}"),
        length: 1 << 20,
    };
    let address = talker.serve().await;
    let pool = Arc::new(Pool::default());
    let lists = (0..FOLLOWED).map(|_| engine::list_cached(&pool, address));
    for list in join_all(lists).await {
        let parts = list.expect("the list is read").parts;
        assert!(parts.len() > 20_000, "{} parts", parts.len());
    }
}

/// Guards against faulty engines that send long lists slowly and keep sound ones from being read.
#[tokio::test]
async fn slow_lists_hold_up_no_others() {
    let _turn = TURN.lock().await;
    let parts = "[\"\",\"1\",0,\"\"]";
    let sound = Talker {
        start: "{\"held\":[[\"\",\"1\",0,\"\"]",
        filler: ",[\"\",\"0123456789abcdef\",1600,\"model\"]",
        end: Some("]}"),
        length: 1 << 20,
    };
    let slow = TcpListener::bind("127.0.0.1:0").await;
    let slow = slow.expect("a port is free");
    let slow_address = slow.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = slow.accept().await {
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let start = format!("HTTP/1.1 200 OK\r\n\r\n{{\"held\":[{parts}");
                let start = start + &format!(",{parts}").repeat((128 << 10) / parts.len());
                let mut sent = stream.write_all(start.as_bytes()).await;
                while sent.is_ok() {
                    sleep(TRICKLE_INTERVAL).await;
                    sent = stream.write_all(b" ").await;
                }
            });
        }
    });
    let address = sound.serve().await;
    let pool = Arc::new(Pool::default());
    let slow_lists = (0..2).map(|_| engine::list_cached(&pool, slow_address));
    let sound_list = async {
        // The slow ones are being read.
        sleep(TRICKLE_INTERVAL).await;
        let retry = || async { engine::list_cached(&pool, address).await.is_ok() };
        eventually("a sound engine's list is read", retry).await;
    };
    let started = Instant::now();
    let (slow_lists, ()) = join!(join_all(slow_lists), sound_list);
    assert!(slow_lists.iter().all(Result::is_err));
    assert!(started.elapsed() < MAX_HOLD_UP, "{:?}", started.elapsed());
}

/// Guards against a surplus answer to a request that is taken for the answer to a call.
#[tokio::test]
async fn answers_to_requests_are_none_to_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let answer = "HTTP/1.1 404 Gone\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let pool = Arc::new(Pool::default());
    let result = engine::move_run(&pool, address, "one", address, true).await;
    assert_eq!(result, Handover::Lost);
}
