//! Starts boxes and stand-ins as processes and ends them when the test ends.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod brittle;
pub mod clients;
pub mod cloud;
pub mod cold;
pub mod crashes;
pub mod engines;
pub mod limits;
pub mod oracle;
pub mod solo;
pub mod unread;

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::Stdio,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::Method;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use petreldrum::{config::KeyHash, reducer::status::Status};
pub use petreldrum_standin::crowd;
use petreldrum_standin::http::{Answer, Begun, begin, call};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncBufReadExt as _, BufReader},
    process::{Child, Command},
    time::sleep,
};

pub const API_KEY: &str = "test-key";
pub const OTHER_KEY: &str = "other-key";
pub const TOKEN: &str = "test-admin-token-0001";
pub const SECRET: &str = "test-cluster-secret-0001";
/// Time limit of [`eventually`]; long, so that a busy machine does not fail a test.
pub const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it holds; panics after [`EVENTUALLY_TIMEOUT`].
pub async fn eventually<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < EVENTUALLY_TIMEOUT,
            "timed out waiting for: {what}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// The standard output of a process so far.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<String>>);

impl Log {
    pub fn text(&self) -> String {
        self.0.lock().expect("the lock is never poisoned").clone()
    }

    fn push(&self, line: &str) {
        let mut text = self.0.lock().expect("the lock is never poisoned");
        text.push_str(line);
        text.push('\n');
    }
}

pub(crate) async fn spawn(command: Command) -> (Child, String) {
    let (child, line, _) = spawn_logged(command).await;
    (child, line)
}

pub(crate) async fn spawn_logged(mut command: Command) -> (Child, String, Log) {
    let log = Log::default();
    let mut child = command
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program starts; build the workspace first");
    let out = child.stdout.take().expect("stdout is piped");
    let mut lines = BufReader::new(out).lines();
    // Log lines share standard output with the line that gives the addresses.
    let is_address_line =
        |line: &String| line.starts_with("public=") || line.starts_with("listening ");
    loop {
        let line = lines.next_line().await.expect("readable standard output");
        let line = line.expect("a line with the listening addresses");
        log.push(&line);
        if is_address_line(&line) {
            let rest = log.clone();
            tokio::spawn(async move {
                while let Ok(Some(line)) = lines.next_line().await {
                    rest.push(&line);
                }
            });
            return (child, line, log);
        }
    }
}

pub(crate) fn signal(child: &Child, signal: Signal) {
    let pid = child.id().expect("the process runs");
    kill(Pid::from_raw(pid as i32), signal).expect("the signal is sent");
}

/// A stand-in process.
pub struct Standin {
    pub address: SocketAddr,
    child: Child,
}

impl Standin {
    pub async fn start(kind: &str) -> Self {
        Self::start_at(kind, "127.0.0.1:0".parse().expect("an address")).await
    }

    pub async fn start_at(kind: &str, address: SocketAddr) -> Self {
        let gateway = PathBuf::from(env!("CARGO_BIN_EXE_petreldrum"));
        let program = gateway.with_file_name("petreldrum-standin");
        let mut command = Command::new(program);
        command.args(["--listen", &address.to_string(), kind]);
        let (child, line) = spawn(command).await;
        let address = line
            .strip_prefix("listening ")
            .expect("the stand-in listens");
        Self {
            address: address.parse().expect("an address"),
            child,
        }
    }

    pub async fn post(&self, path: &str, body: Value) {
        let answer = call(self.address, Method::POST, path, &[], body.to_string()).await;
        assert!(answer.expect("the stand-in answers").status.is_success());
    }

    pub async fn counts(&self) -> Value {
        let answer = call(self.address, Method::GET, "/_counts", &[], "").await;
        answer.expect("the stand-in answers").json()
    }

    /// Returns how often an application service ran `id`.
    pub async fn runs(&self, id: &str) -> u64 {
        self.counts().await[id].as_u64().unwrap_or(0)
    }

    pub fn signal(&self, name: Signal) {
        signal(&self.child, name);
    }

    pub async fn kill(mut self) {
        self.child.kill().await.expect("the stand-in ends");
    }
}

/// A box process.
pub struct BoxProcess {
    pub name: String,
    pub region: String,
    pub public: SocketAddr,
    pub peer: SocketAddr,
    pub gossip: SocketAddr,
    pub admin: SocketAddr,
    pub log: Log,
    child: Child,
}

impl BoxProcess {
    pub fn pid(&self) -> u32 {
        self.child.id().expect("the process runs")
    }

    pub fn signal(&self, name: Signal) {
        signal(&self.child, name);
    }

    pub async fn kill(&mut self) {
        self.child.kill().await.expect("the box ends");
    }

    pub async fn wait(&mut self) -> bool {
        self.child.wait().await.expect("the box ends").success()
    }

    pub async fn admin(&self, method: Method, path: &str, body: Value) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        call(self.admin, method, path, &headers, body.to_string())
            .await
            .expect("the box answers its operator")
    }

    pub async fn status(&self) -> Status {
        let answer = self.admin(Method::GET, "/status", json!(null)).await;
        serde_json::from_slice(&answer.body).expect("a status")
    }

    pub async fn is_ready(&self) -> bool {
        let answer = call(self.admin, Method::GET, "/ready", &[], "").await;
        answer.is_ok_and(|a| a.status.is_success())
    }

    pub async fn version(&self) -> u64 {
        self.status().await.version.0
    }

    /// Returns the value of the metric `petreldrum_{name}`, or 0 if it is absent.
    pub async fn metric(&self, name: &str) -> f64 {
        let answer = call(self.admin, Method::GET, "/metrics", &[], "").await;
        let text = String::from_utf8_lossy(&answer.expect("metrics").body).into_owned();
        let name = format!("petreldrum_{name} ");
        let line = text.lines().find_map(|l| l.strip_prefix(&name));
        line.and_then(|v| v.parse().ok()).unwrap_or(0.0)
    }

    pub async fn call(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        let mut all = vec![("x-api-key", API_KEY)];
        all.extend_from_slice(headers);
        call(self.public, Method::POST, path, &all, body.to_string())
            .await
            .expect("the box answers")
    }

    pub async fn begin(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Begun {
        let mut all = vec![("x-api-key", API_KEY)];
        all.extend_from_slice(headers);
        begin(self.public, Method::POST, path, &all, body.to_string())
            .await
            .expect("the box begins an answer")
    }

    /// Returns the boxes that `/petreldrum/ask` lists, with their key prefixes.
    pub async fn ask(&self) -> Vec<Value> {
        let headers = [("x-api-key", API_KEY)];
        let answer = call(self.public, Method::GET, "/petreldrum/ask", &headers, "").await;
        let content = answer.expect("the box answers").json();
        content["boxes"].as_array().cloned().unwrap_or_default()
    }

    /// Returns an idempotency key with this box's key prefix, followed by `rest`.
    pub async fn key(&self, rest: &str) -> String {
        let boxes = self.ask().await;
        let mine = boxes.iter().find(|b| b["box"] == self.name.as_str());
        let mine = mine.expect("the box in its own list");
        format!("{}{rest}", mine["key_prefix"].as_str().expect("a prefix"))
    }

    pub async fn chat(&self, content: &str, tokens: u64) -> Answer {
        self.call("/v1/chat/completions", &[], &chat(content, tokens))
            .await
    }

    pub async fn book(&self, key: &str, id: &str) -> Answer {
        let headers = [("idempotency-key", key)];
        self.call("/booking/new", &headers, &json!({ "id": id }))
            .await
    }
}

/// The body of a model request.
pub fn chat(content: &str, tokens: u64) -> Value {
    json!({
        "model": "referral",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": content }],
    })
}

/// The text that the engine generates for [`chat`].
pub fn tokens(content: &str, count: u64) -> String {
    (0..count).map(|i| format!("{content}#{i} ")).collect()
}

/// The text of a streamed answer; `None` if the stream is incomplete.
pub fn streamed(answer: &Answer) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines: Vec<&str> = text.split("\n\n").filter(|l| !l.is_empty()).collect();
    let (last, rest) = lines.split_last()?;
    if !answer.whole || *last != "data: [DONE]" {
        return None;
    }
    let delta = |line: &&str| -> Option<String> {
        let content: Value = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
        Some(
            content["choices"][0]["delta"]["content"]
                .as_str()?
                .to_owned(),
        )
    };
    rest.iter().map(delta).collect()
}

/// A backend server's section of a configuration.
pub fn backend(name: &str, address: SocketAddr, region: &str, serves: &str, more: &str) -> String {
    format!(
        "[backend {name}]\naddress = {address}\nregion = {region}\nfailure_domain = {region}-a\n\
         serves = {serves}\n{more}\n"
    )
}

/// The common sections of the tests' configurations: regions, callers, a model and routes.
pub fn preamble(regions: &[&str], home: &str) -> String {
    let mut text: String = regions
        .iter()
        .map(|r| format!("[region {r}]\nhop = 5ms\n"))
        .collect();
    let hash = |key: &str| KeyHash::of(key.as_bytes());
    text.push_str(&format!(
        "[caller ward]\nkey_sha256 = {}\nlabels = team=ward\nhome = {home}\nrate = 10000/s\n\
         [caller other]\nkey_sha256 = {}\nlabels = team=other\nhome = {home}\nrate = 10000/s\n\
         [model referral]\nlabels = data=patient\n\
         [route chat]\nprefix = /v1\nkind = model\nrepeatable = true\nlabels = kind=chat\n\
         [route booking]\nprefix = /booking\nkind = application\nrepeatable = false\n\
         labels = kind=booking\ndeadline = 8s\n\
         [route slots]\nprefix = /slots\nkind = application\nrepeatable = true\n\
         labels = kind=slots\n",
        hash(API_KEY),
        hash(OTHER_KEY),
    ));
    text
}

/// A store, a platform and box processes.
pub struct World {
    pub store: Standin,
    pub platform: Standin,
    pub boxes: BTreeMap<String, BoxProcess>,
    pub settings: BTreeMap<String, String>,
    trace: Option<SocketAddr>,
    dir: TempDir,
}

impl World {
    /// Starts `count` boxes in each region, without a configuration.
    pub async fn start(regions: &[&str], count: usize) -> Self {
        Self::start_traced(regions, count, None).await
    }

    pub async fn start_traced(regions: &[&str], count: usize, trace: Option<SocketAddr>) -> Self {
        let mut world = Self {
            store: Standin::start("store").await,
            platform: Standin::start("platform").await,
            boxes: BTreeMap::new(),
            settings: BTreeMap::new(),
            trace,
            dir: TempDir::new().expect("a directory"),
        };
        for region in regions {
            for index in 1..=count {
                world.start_box(&format!("{region}-{index}"), region).await;
            }
        }
        world
    }

    /// Starts a box whose seeds are all other boxes.
    pub async fn start_box(&mut self, name: &str, region: &str) {
        self.start_box_with(name, region, "").await;
    }

    /// Starts a box with additional lines at the end of its settings: keys of `[limits]`, then
    /// further sections.
    pub async fn start_box_with(&mut self, name: &str, region: &str, extra: &str) {
        let seeds: Vec<String> = self
            .boxes
            .values()
            .filter(|b| b.name != name)
            .map(|b| format!("{}/{}", b.region, b.gossip))
            .collect();
        let any = "127.0.0.1:0";
        let trace = self
            .trace
            .map(|t| format!("trace = {t}\n"))
            .unwrap_or_default();
        let text = format!(
            "[box]\nname = {name}\nregion = {region}\nfailure_domain = {region}-a\nlog = warn\n\
             [listen]\npublic = {any}\npeer = {any}\ngossip = {any}\nadmin = {any}\n\
             admin_token = {TOKEN}\n\
             [peers]\nsecret = {SECRET}\nseeds = {}\n\
             [platform]\nstore = {}\nlist = {}\n{trace}\
             [limits]\nlinger = 1s\n{extra}",
            seeds.join(", "),
            self.store.address,
            self.platform.address,
        );
        self.settings.insert(name.to_owned(), text);
        self.run_box(name, region).await;
    }

    /// Starts the process of a box from its stored settings.
    pub async fn run_box(&mut self, name: &str, region: &str) {
        let path = self.dir.path().join(format!("{name}.ini"));
        fs::write(&path, &self.settings[name]).expect("the settings are written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_petreldrum"));
        command.arg("gateway").arg("--settings").arg(&path);
        let (child, line, log) = spawn_logged(command).await;
        let address = |key: &str| {
            let found = line.split(' ').find_map(|part| part.strip_prefix(key));
            found
                .and_then(|a| a.parse().ok())
                .expect("a listening address of the box")
        };
        let process = BoxProcess {
            name: name.to_owned(),
            region: region.to_owned(),
            public: address("public="),
            peer: address("peer="),
            gossip: address("gossip="),
            admin: address("admin="),
            log,
            child,
        };
        self.boxes.insert(name.to_owned(), process);
    }

    pub fn get(&self, name: &str) -> &BoxProcess {
        &self.boxes[name]
    }

    /// Changes the configuration through a box and waits until it is in force in every box.
    pub async fn configure(&self, box_name: &str, base: u64, text: &str) {
        let answer = self.put(box_name, base, "test", text).await;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.status.is_success(), "configuration refused: {body}");
        self.in_force(base + 1).await;
    }

    pub async fn put(&self, box_name: &str, base: u64, author: &str, text: &str) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        let base = format!("v{base}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("if-match", base.as_str()),
            ("x-author", author),
        ];
        call(
            self.get(box_name).admin,
            Method::PUT,
            "/config",
            &headers,
            text.to_owned(),
        )
        .await
        .expect("the box answers its operator")
    }

    /// Waits until every box is ready with a configuration of at least `version`.
    pub async fn in_force(&self, version: u64) {
        for process in self.boxes.values() {
            eventually(&format!("{} has v{version}", process.name), || async {
                process.is_ready().await && process.version().await >= version
            })
            .await;
        }
    }

    /// Waits until every box knows a candidate for a request of `ward`. A digest that already lists
    /// boxes for relays may be older than the configuration and report no capacity yet.
    pub async fn places(&self, path: &str, model: Option<&str>) {
        let question = json!({ "caller": "ward", "path": path, "model": model });
        for process in self.boxes.values() {
            eventually(
                &format!("{} has a candidate for {path}", process.name),
                || async {
                    let answer = process
                        .admin(Method::POST, "/explain", question.clone())
                        .await;
                    let candidates = answer.json()["candidates"].as_array().map_or(0, Vec::len);
                    candidates > 0
                },
            )
            .await;
        }
    }

    /// Waits until every box of `region` knows boxes for relays in at least `others` regions.
    pub async fn hears(&self, region: &str, others: usize) {
        for process in self.boxes.values().filter(|b| b.region == region) {
            eventually(
                &format!("{} knows boxes in {others} regions", process.name),
                || async {
                    let status = process.status().await;
                    status
                        .regions
                        .iter()
                        .filter(|r| !r.doors.is_empty())
                        .count()
                        >= others
                },
            )
            .await;
        }
    }
}
