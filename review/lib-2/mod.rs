//! Stand-ins for the cases of this review: the platform's store, backend servers, clients and the
//! processes of the system, with the standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The names by which every stand-in calls a service's host.
pub const HOST: &str = "svc.example";

/// Whether the case runs with its disruption: the second argument, which `run.sh` takes from TROUBLE.
pub fn trouble() -> bool {
    std::env::args().nth(2).is_none_or(|value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder of the case, which is the first argument of the program.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).expect("the folder of the case");
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt");
        let file = Arc::new(Mutex::new(file));
        let start = Instant::now();
        Self { start, file }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {text}", self.start.elapsed().as_secs_f64());
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, code: i32, text: &str) -> i32 {
    record.line(text);
    println!("{text}");
    code
}

/// A temporary folder that is removed at the end.
pub struct Temp(pub PathBuf);

impl Temp {
    pub fn new() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns an address on loopback whose port is free.
pub fn free_address() -> SocketAddr {
    static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    let mut used = USED.lock().unwrap();
    loop {
        let address = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        if !used.contains(&address.port()) {
            used.push(address.port());
            return address;
        }
    }
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the first line and the headers; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let entry = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(entry);
        }
    }
}

/// Reads the body after `message`, and calls `progress` with each part of it.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
    mut progress: impl FnMut(&[u8]),
) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|l| l.parse::<usize>().ok());
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
            chunk.truncate(size);
            progress(&chunk);
            message.body.extend_from_slice(&chunk);
        }
    }
    if let Some(length) = length {
        let mut left = length;
        let mut buffer = vec![0; 16 << 10];
        while left > 0 {
            let most = left.min(buffer.len());
            let read = reader.read(&mut buffer[..most])?;
            if read == 0 {
                return Ok(());
            }
            progress(&buffer[..read]);
            message.body.extend_from_slice(&buffer[..read]);
            left -= read;
        }
        message.whole = true;
        return Ok(());
    }
    if is_answer {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = reader.read(&mut buffer)?;
            if read == 0 {
                message.whole = true;
                return Ok(());
            }
            progress(&buffer[..read]);
            message.body.extend_from_slice(&buffer[..read]);
        }
    }
    message.whole = true;
    Ok(())
}

/// Serves connections: `handle` gets each complete request and writes its answer; it returns whether
/// the connection stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut TcpStream, Message) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request, false, |_| {}).is_err() {
                        break;
                    }
                    if !handle(&mut writer, request) {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
    });
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= part.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    text
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns a value of the query of `target`.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode(value))
}

/// One change of the store.
#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<String>,
}

/// An item: its value, its last change and its creation.
type Item = (String, u64, u64);

/// How old the answer to a stale read is: for its first page, and for those that begin after a key.
pub type Lag = (Duration, Duration);

/// The platform's store: lists, watches and stale reads. Writes of the system are refused (503), as
/// no case needs them.
#[derive(Clone)]
pub struct Store {
    changes: Arc<(Mutex<Vec<Change>>, Condvar)>,
    lag: Arc<Mutex<Lag>>,
    record: Record,
}

/// The most items of a page.
const PAGE: usize = 500;

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Self {
        let store = Self {
            changes: Arc::default(),
            lag: Arc::default(),
            record: record.clone(),
        };
        let shared = store.clone();
        let listener = TcpListener::bind(address).expect("the store's address");
        serve(listener, move |stream, request| {
            shared.handle(stream, &request)
        });
        store
    }

    /// Sets how old stale reads are.
    pub fn set_lag(&self, lag: Lag) {
        *self.lag.lock().unwrap() = lag;
    }

    /// Writes or deletes an item, as the operator and the servers do; returns the revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let (changes, changed) = &*self.changes;
        let mut changes = changes.lock().unwrap();
        let revision = changes.last().map_or(1, |change| change.revision) + 1;
        changes.push(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            value: value.map(str::to_owned),
        });
        changed.notify_all();
        revision
    }

    /// Returns the items as they were `lag` ago, and the revision of that moment.
    fn items(&self, lag: Duration) -> (BTreeMap<String, Item>, u64) {
        let changes = self.changes.0.lock().unwrap();
        let mut items: BTreeMap<String, Item> = BTreeMap::new();
        let mut revision = 1;
        for change in changes.iter().filter(|change| change.at.elapsed() >= lag) {
            revision = change.revision;
            match &change.value {
                Some(value) => {
                    let created = items.get(&change.key).map_or(revision, |item| item.2);
                    items.insert(change.key.clone(), (value.clone(), revision, created));
                }
                None => {
                    items.remove(&change.key);
                }
            }
        }
        (items, revision)
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let target = request.target();
        let json = "Content-Type: application/json\r\n";
        if target.starts_with("/v1/kv-range") {
            let page = self.range(target);
            return answer(stream, "200 OK", json, page.as_bytes());
        }
        if target.starts_with("/v1/kv-watch") {
            let events = self.watch(target);
            return answer(stream, "200 OK", json, events.as_bytes());
        }
        if target.starts_with("/v1/kv-key") {
            let key = query(target, "key").unwrap_or_default();
            let (items, revision) = self.items(Duration::ZERO);
            let Some((value, changed, created)) = items.get(&key) else {
                return answer(stream, "404 Not Found", json, b"{}");
            };
            let row = row(&key, value, *changed, *created);
            let body = format!("{},\"asOf\":{revision}}}", row.trim_end_matches('}'));
            return answer(stream, "200 OK", json, body.as_bytes());
        }
        answer(stream, "503 Service Unavailable", json, b"{}")
    }

    fn range(&self, target: &str) -> String {
        let prefix = query(target, "pathPrefix").unwrap_or_default();
        let after = query(target, "after");
        let stale = query(target, "serializable").is_some_and(|value| value == "1");
        let (first, later) = *self.lag.lock().unwrap();
        let lag = if after.is_some() { later } else { first };
        let (items, revision) = self.items(if stale { lag } else { Duration::ZERO });
        let begins = |key: &str| {
            key.starts_with(&prefix) && after.as_ref().is_none_or(|after| key > after.as_str())
        };
        let found: Vec<_> = items.iter().filter(|(key, _)| begins(key)).collect();
        let truncated = found.len() > PAGE;
        let rows = found.iter().take(PAGE);
        let rows: Vec<String> = rows
            .map(|(key, item)| row(key, &item.0, item.1, item.2))
            .collect();
        self.record.line(&format!(
            "store: page after={after:?} stale={stale} items={} truncated={truncated} asOf={revision}",
            rows.len()
        ));
        let rows = rows.join(",");
        format!("{{\"items\":[{rows}],\"truncated\":{truncated},\"asOf\":{revision}}}")
    }

    fn watch(&self, target: &str) -> String {
        let prefix = query(target, "pathPrefix").unwrap_or_default();
        let number = |name| query(target, name).and_then(|value| value.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (changes, changed) = &*self.changes;
        let mut changes = changes.lock().unwrap();
        loop {
            let newer = changes
                .iter()
                .filter(|c| c.revision > after && c.key.starts_with(&prefix));
            let rows: Vec<String> = newer
                .map(|change| match &change.value {
                    Some(value) => row(&change.key, value, change.revision, change.revision),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let as_of = changes.last().map_or(1, |change| change.revision);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"asOf\":{as_of}}}", rows.join(","));
            }
            changes = changed.wait_timeout(changes, left).unwrap().0;
        }
    }
}

fn row(key: &str, value: &str, revision: u64, created: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

/// One process of the system.
pub struct Gateway {
    child: Child,
    pub public: SocketAddr,
    pub ready: SocketAddr,
    pub gossip: SocketAddr,
}

/// Where a process runs, and what it is told.
pub struct Place<'a> {
    pub name: &'a str,
    pub region: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub seeds: &'a str,
    pub gossip: SocketAddr,
    /// `ZONE/REGION`, separated by commas.
    pub domains: &'a str,
    /// Where the other machines reach `gossip`, if through a proxy.
    pub advertised: Option<SocketAddr>,
}

impl Gateway {
    /// Starts a process with the command of the deploy file, and the settings that its template gives
    /// for a machine of 260 MB.
    pub fn start(temp: &Temp, place: &Place<'_>) -> Self {
        let (public, ready) = (free_address(), free_address());
        let settings = format!(
            "[box]\nname = {}\nregion = {}\nfailure_domain = {}\ninterface = platform\nlog = info\n\
             [listen]\npublic = {public}\npeer = {}\ngossip = {}\nadmin = {}\nready = {ready}\n\
             directory = {}\nmetrics = {}\nadmin_token = reachable-only-inside\n\
             [peers]\nsecret = reachable-only-inside\nseeds = {}\n\
             [platform]\nstore = {}\ndomains = {}\nhop = 110ms\nbeat = 1200ms\n\
             [limits]\nmax_head = 64KiB\nmax_body = 8MiB\nbody_memory = 64MiB\nmemory = 260MiB\n\
             descriptors = 4100\nlinger = 3s\ngrace = 8s\nretry_ratio = 0.2\nretry_slack = 58\n\
             policy = balanced\n",
            place.name,
            place.region,
            place.zone,
            free_address(),
            place.gossip,
            free_address(),
            free_address(),
            free_address(),
            place.seeds,
            place.store,
            place.domains,
        );
        let advertised = place.advertised;
        let advertised = advertised.map(|address| format!("[advertise]\ngossip = {address}\n"));
        let settings = settings + &advertised.unwrap_or_default();
        let path = temp.0.join(format!("{}.ini", place.name));
        fs::write(&path, settings).expect("the settings");
        let log = File::create(temp.0.join(format!("{}.log", place.name))).expect("a log");
        let child = Command::new("target/release/petreldrum")
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("target/release/petreldrum");
        Self {
            child,
            public,
            ready,
            gossip: place.gossip,
        }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let request = "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let asked = ask(
                self.ready,
                request.as_bytes(),
                Duration::from_secs(1),
                |_| {},
            );
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends `request` on a new connection and reads the answer.
pub fn ask(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
    progress: impl FnMut(&[u8]),
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    // A body that breaks off is one that is not whole.
    let _ = read_body(&mut reader, &mut message, true, progress);
    Ok(message)
}

/// Returns an id that no other request has.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:016x}",
        0x9c41_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Returns a server's entry in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1}}"
    )
}

/// A proxy in front of an address. Its open channels can be silenced: they stay open, and what is sent
/// on them is dropped. New ones work.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Channels that were opened before the last silence are of an earlier number.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the proxy's address");
        let silences = Arc::new(AtomicU64::new(0));
        let shared = silences.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let number = shared.load(Ordering::SeqCst);
                pipe(&near, &far, number, &shared);
                pipe(&far, &near, number, &shared);
            }
        });
        Self { address, silences }
    }

    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Passes on what `from` sends, until the channel is silenced.
fn pipe(from: &TcpStream, to: &TcpStream, number: u64, silences: &Arc<AtomicU64>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let silences = silences.clone();
    thread::spawn(move || {
        let _ = to.set_nodelay(true);
        let mut buffer = vec![0; 64 << 10];
        loop {
            let read = std::io::Read::read(&mut from, &mut buffer).unwrap_or(0);
            let silent = silences.load(Ordering::SeqCst) > number;
            if silent && read > 0 {
                continue;
            }
            if silent {
                // The other side hears nothing of the end either.
                return std::mem::forget(to);
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
