//! Clients that do not keep to the limits, and what a process uses of its machine.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use hyper::Method;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use petreldrum_standin::http::{Answer, call};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, WriteHalf, split},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{Instant, sleep, timeout_at},
};

use super::{API_KEY, BoxProcess, Standin, World, backend, eventually, preamble};

/// Clients of a crowd.
pub const CROWD: usize = 64;
/// Memory, in KiB, that a box may use for a connection beside its budgets: 500 of them fit half of a
/// machine of 256 MB.
pub const CONNECTION_KIB: u64 = 256;
/// Descriptors that a box may hold after a crowd has left, beyond those that it held before.
const SPARE_DESCRIPTORS: usize = 16;
/// Bytes that a client sends at most, and the time in which it does so.
const FLOOD_BYTES: usize = 24 << 20;
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Bytes of an answer that a client keeps.
const KEPT_BYTES: usize = 4 << 10;

/// Held by the running test: tests of one file would load the machine for each other.
pub static TURN: Mutex<()> = Mutex::const_new(());

fn status_row(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).expect("a number")
}

/// Returns the peak resident memory of a process, in KiB.
pub fn peak_memory(pid: u32) -> u64 {
    status_row(pid, "VmHWM:")
}

/// Returns the number of descriptors that a process holds.
pub fn descriptors(pid: u32) -> usize {
    let folder = format!("/proc/{pid}/fd");
    fs::read_dir(Path::new(&folder))
        .expect("the process runs")
        .count()
}

/// What a box used before a crowd came.
pub struct Usage {
    pid: u32,
    memory: u64,
    descriptors: usize,
}

impl Usage {
    pub fn of(pid: u32) -> Self {
        Self {
            pid,
            memory: peak_memory(pid),
            descriptors: descriptors(pid),
        }
    }

    /// Asserts that the box lives and took at most `kib` of memory beyond what it used before.
    pub fn assert_memory(&self, kib: u64, what: &str) {
        let growth = peak_memory(self.pid) - self.memory;
        assert!(growth <= kib, "{what}: {growth} KiB, {kib} allowed");
    }

    /// Waits until the box has closed what the crowd left open.
    pub async fn assert_descriptors(&self, what: &str) {
        let most = self.descriptors + SPARE_DESCRIPTORS;
        eventually(&format!("{what}: descriptors are closed"), || async {
            descriptors(self.pid) <= most
        })
        .await;
    }
}

/// The box `perth-1`, with additional lines of `[limits]`, before one backend server.
pub struct Lone {
    pub world: World,
    _app: Option<Standin>,
}

impl Lone {
    pub async fn start(limits: &str) -> Self {
        let app = Standin::start("app").await;
        let mut lone = Self::before(app.address, limits).await;
        lone._app = Some(app);
        lone
    }

    /// Starts the box with at most `most` descriptors.
    pub async fn start_limited(most: u64) -> Self {
        let app = Standin::start("app").await;
        let kind = Resource::RLIMIT_NOFILE;
        let (soft, hard) = getrlimit(kind).expect("the limit is readable");
        setrlimit(kind, most, hard).expect("a lower limit is allowed");
        let mut lone = Self::before(app.address, "").await;
        setrlimit(kind, soft, hard).expect("the limit is allowed");
        lone._app = Some(app);
        lone
    }

    /// Starts the box before `server`.
    pub async fn before(server: SocketAddr, limits: &str) -> Self {
        let mut world = World::start(&[], 0).await;
        world.start_box_with("perth-1", "perth", limits).await;
        let text = preamble(&["perth"], "perth")
            + &backend("app", server, "perth", "booking, slots", "slots = 512")
            + "[selector rest]\n";
        world.configure("perth-1", 0, &text).await;
        world.places("/slots/all", None).await;
        Self { world, _app: None }
    }

    pub fn process(&self) -> &BoxProcess {
        self.world.get("perth-1")
    }

    /// Sends one request as an ordinary caller.
    pub async fn ordinary(&self, id: &str) -> Answer {
        let body = json!({ "id": id });
        self.process().call("/slots/all", &[], &body).await
    }

    /// Asserts that callers and operators are answered.
    pub async fn assert_serves(&self, what: &str) {
        let answer = self.ordinary("after").await;
        let heard = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, 200, "{what}: {heard}");
        let admin = call(self.process().admin, Method::GET, "/health", &[], "").await;
        assert_eq!(admin.expect("an answer").status, 200, "{what}");
    }
}

/// Returns the head of a POST request with an API key and further header lines.
pub fn head(path: &str, lines: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nx-api-key: {API_KEY}\r\n{lines}\r\n")
}

/// Returns the start of a request whose head has `bytes` more bytes and does not end.
pub fn unfinished_head(bytes: usize) -> String {
    let start = head("/slots/all", "");
    format!("{}\r\nx-long: {}", start.trim_end(), "a".repeat(bytes))
}

/// The greeting of nng's PUSH socket.
pub const PUSH_GREETING: &[u8] = &[0, b'S', b'P', 0, 0, 0x50, 0, 0];

/// Returns a message of nng's protocol with `bytes` of content.
pub fn message(bytes: usize) -> Vec<u8> {
    let length = (bytes as u64).to_be_bytes();
    [&length[..], &vec![b'a'; bytes]].concat()
}

/// A connection that reads in the background and keeps the start of what it hears.
pub struct Client {
    writer: WriteHalf<TcpStream>,
    heard: JoinSet<Vec<u8>>,
}

impl Client {
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut reader, writer) = split(stream);
        let mut heard = JoinSet::new();
        heard.spawn(async move {
            let mut kept = Vec::new();
            let mut part = [0; KEPT_BYTES];
            while let Ok(read @ 1..) = reader.read(&mut part).await {
                let room = KEPT_BYTES - kept.len();
                kept.extend_from_slice(&part[..read.min(room)]);
            }
            kept
        });
        Some(Self { writer, heard })
    }

    /// Writes bytes; returns whether the other side still takes them.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.writer.write_all(bytes).await.is_ok()
    }

    /// Writes bytes; returns whether the other side keeps the connection.
    async fn send(&mut self, bytes: &[u8]) -> bool {
        self.write(bytes).await && self.heard.try_join_next().is_none()
    }

    /// Waits until the other side closes, and returns the start of what was heard.
    pub async fn hear(&mut self) -> String {
        let heard = self.heard.join_next().await;
        let heard = heard.and_then(Result::ok).unwrap_or_default();
        String::from_utf8_lossy(&heard).into_owned()
    }
}

/// Sends `start`, then `piece` again and again, until the bytes or the time are used up or the other
/// side closes.
async fn flood(address: SocketAddr, start: Vec<u8>, piece: Vec<u8>) {
    let until = Instant::now() + FLOOD_TIME;
    let Some(mut client) = Client::open(address).await else {
        return;
    };
    let sending = async {
        let mut open = client.send(&start).await;
        let mut sent = 0;
        while open && sent < FLOOD_BYTES {
            open = client.send(&piece).await;
            sent += piece.len();
        }
    };
    let _ = timeout_at(until, sending).await;
}

/// Lets a crowd flood `address` at once.
pub async fn flood_all(address: SocketAddr, start: &[u8], piece: &[u8]) {
    flood_by(CROWD, address, start, piece).await;
}

/// Lets `count` clients flood `address` at once.
pub async fn flood_by(count: usize, address: SocketAddr, start: &[u8], piece: &[u8]) {
    let mut crowd = JoinSet::new();
    for _ in 0..count {
        crowd.spawn(flood(address, start.to_vec(), piece.to_vec()));
    }
    crowd.join_all().await;
}

/// Keeps `count` clients at `address`, each of which sends `start` and then one byte each fifth of a
/// second, and comes again when it is closed.
pub fn trickle(address: SocketAddr, count: usize, start: &[u8], byte: &[u8]) -> JoinSet<()> {
    let mut crowd = JoinSet::new();
    for _ in 0..count {
        let (start, byte) = (start.to_vec(), byte.to_vec());
        crowd.spawn(async move {
            loop {
                if let Some(mut client) = Client::open(address).await {
                    let mut open = client.send(&start).await;
                    while open {
                        sleep(Duration::from_millis(200)).await;
                        open = client.send(&byte).await;
                    }
                }
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    crowd
}
