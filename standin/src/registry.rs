//! Stand-in for the store of the users' platform: items with revisions, long-polling watches and
//! injected faults.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};

use crate::http::{Body, Service, Whole, decoded, json as json_answer, whole};

/// A fault injected into the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are answered.
    #[default]
    None,
    /// Every connection is closed without an answer.
    Reset,
    /// Calls are never answered.
    Silent,
    /// Calls are answered with status 503.
    Busy,
    /// Calls are answered with status 429.
    TooMany,
    /// Every second range call has its connection closed; all other calls are answered.
    Uneven,
}

/// A way in which the store differs from what its callers expect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Quirk {
    /// It behaves as documented.
    #[default]
    None,
    /// Values of queries are used without percent-decoding.
    VerbatimQueries,
    /// Values of queries are decoded as those of forms: `+` is a space.
    FormQueries,
    /// Every page of a range call is the first one.
    RepeatedPages,
    /// Pages of a range call after the first one are empty, and more are announced.
    EmptyPages,
    /// Watches are answered at once, also without a change.
    HastyWatches,
}

/// Response header on all answers: the number of restores from a backup, plus one.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Most changes kept in the history; older ones are discarded.
const MAX_HISTORY: usize = 1000;
/// Most items in one page of a range call.
const PAGE_ITEMS: usize = 3;

/// What an item holds.
#[derive(Clone, Debug)]
enum Content {
    /// A value in base64.
    Value(String),
    /// The item as it stands in answers, of any form.
    Row(Vec<u8>),
}

impl Content {
    /// Returns the item as it stands in answers.
    fn row(&self, key: &str, revision: u64) -> Vec<u8> {
        match self {
            Self::Row(row) => row.clone(),
            Self::Value(value) => to_bytes(&json!({
                "key": key, "value": value, "revision": revision, "created": revision,
            })),
        }
    }
}

fn to_bytes(content: &Value) -> Vec<u8> {
    content.to_string().into_bytes()
}

/// Returns an answer whose field `list` holds `rows`, besides the fields `others`.
fn list_answer(list: &str, rows: &[Vec<u8>], others: &Value) -> Response<Body> {
    let mut body = format!("{{\"{list}\":[").into_bytes();
    body.extend(rows.join(&b','));
    body.extend_from_slice(b"],");
    // The fields follow without their opening brace.
    body.extend_from_slice(&to_bytes(others)[1..]);
    whole(StatusCode::OK, body)
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    content: Option<Content>,
    at: Instant,
}

impl Change {
    fn apply(&self, items: &mut Items) {
        match &self.content {
            Some(content) => {
                items.insert(self.key.clone(), (content.clone(), self.revision));
            }
            None => {
                items.remove(&self.key);
            }
        }
    }

    /// Returns the change as it stands in answers.
    fn row(&self) -> Vec<u8> {
        let Self { key, revision, .. } = self;
        match &self.content {
            Some(content) => content.row(key, *revision),
            None => to_bytes(&json!({ "key": key, "revision": revision, "deleted": true })),
        }
    }
}

/// Items by their keys, with the revision of their last change.
type Items = BTreeMap<String, (Content, u64)>;

/// How old the pages of stale range calls are.
#[derive(Clone, Copy, Debug, Default)]
pub struct PageAges {
    /// The first page of a list.
    pub first: Duration,
    /// All other pages.
    pub later: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    items: Items,
    history: VecDeque<Change>,
    /// Changes up to this revision have been discarded.
    discarded_revision: u64,
    /// The items as of that revision.
    discarded_items: Items,
    page_ages: PageAges,
    revision: u64,
    /// Number of restores from a backup, plus one.
    era: u64,
    /// Key at which a page of a range call ends at the latest.
    page_end: Option<String>,
    calls: BTreeMap<&'static str, u64>,
}

impl Inner {
    /// Records `change` and discards the oldest one if there are too many.
    fn record(&mut self, change: Change) {
        change.apply(&mut self.items);
        self.history.push_back(change);
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.discarded_revision = oldest.revision;
            oldest.apply(&mut self.discarded_items);
        }
    }

    /// Returns the items as they were `age` ago, as far as the history reaches, with their revision.
    fn items_before(&self, age: Duration) -> (Items, u64) {
        if age.is_zero() {
            return (self.items.clone(), self.revision);
        }
        let mut items = self.discarded_items.clone();
        let mut revision = self.discarded_revision.min(self.revision);
        let old = |change: &&Change| change.at.elapsed() >= age;
        for change in self.history.iter().take_while(old) {
            change.apply(&mut items);
            revision = change.revision;
        }
        (items, revision)
    }
}

/// A backup of the store's content.
#[derive(Clone, Debug)]
pub struct Copy {
    items: Items,
    revision: u64,
}

/// The platform's store; clones share their content and fault.
#[derive(Clone, Debug)]
pub struct Registry {
    inner: Arc<Mutex<Inner>>,
    fault: Arc<Mutex<Fault>>,
    quirk: Arc<Mutex<Quirk>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                era: 1,
                ..Inner::default()
            })),
            fault: Arc::default(),
            quirk: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock is never poisoned")
    }

    fn change(&self, key: &str, content: Option<Content>) {
        let mut inner = self.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.record(Change {
            key: key.to_owned(),
            revision,
            content,
            at: Instant::now(),
        });
        drop(inner);
        self.changed.send_replace(revision);
    }

    /// Writes a JSON item.
    pub fn put(&self, key: &str, content: &Value) {
        self.put_bytes(key, content.to_string().as_bytes());
    }

    /// Writes arbitrary bytes.
    pub fn put_bytes(&self, key: &str, bytes: &[u8]) {
        self.change(key, Some(Content::Value(BASE64.encode(bytes))));
    }

    /// Writes an item that stands in answers as `row`, at the place of `key` in the order of keys.
    pub fn put_row(&self, key: &str, row: &[u8]) {
        self.change(key, Some(Content::Row(row.to_owned())));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Returns a store that shares the content but has a separate fault, for other boxes.
    pub fn beside(&self) -> Self {
        Self {
            fault: Arc::default(),
            ..self.clone()
        }
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().expect("the lock is never poisoned")
    }

    /// Sets the fault; open watches are woken and affected by it as well.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().expect("the lock is never poisoned") = fault;
        self.changed.send_replace(0);
    }

    fn quirk(&self) -> Quirk {
        *self.quirk.lock().expect("the lock is never poisoned")
    }

    /// Sets the quirk.
    pub fn set_quirk(&self, quirk: Quirk) {
        *self.quirk.lock().expect("the lock is never poisoned") = quirk;
    }

    /// Sets how old the pages of stale range calls are.
    pub fn set_page_ages(&self, ages: PageAges) {
        self.lock().page_ages = ages;
    }

    /// Ends each page that reaches `key` there.
    pub fn end_pages_at(&self, key: &str) {
        self.lock().page_end = Some(key.to_owned());
    }

    /// Returns a backup of the current content.
    pub fn copy(&self) -> Copy {
        let inner = self.lock();
        Copy {
            items: inner.items.clone(),
            revision: inner.revision,
        }
    }

    /// Restores a backup: later writes are lost, and their revisions are assigned again.
    pub fn restore(&self, copy: &Copy) {
        let mut inner = self.lock();
        inner.items = copy.items.clone();
        inner.revision = copy.revision;
        inner.history.retain(|c| c.revision <= copy.revision);
        if inner.discarded_revision > copy.revision {
            inner.discarded_items = copy.items.clone();
        }
        inner.era += 1;
        drop(inner);
        self.changed.send_replace(0);
    }

    /// Discards the history of changes.
    pub fn forget(&self) {
        let mut inner = self.lock();
        inner.discarded_revision = inner.revision;
        inner.discarded_items = inner.items.clone();
        inner.history.clear();
    }

    /// Returns the number of calls with this name so far.
    pub fn calls(&self, name: &str) -> u64 {
        self.lock().calls.get(name).copied().unwrap_or(0)
    }

    fn count(&self, name: &'static str) -> Fault {
        let mut inner = self.lock();
        let calls = inner.calls.entry(name).or_default();
        *calls += 1;
        match self.fault() {
            Fault::Uneven if name == "range" && calls.is_multiple_of(2) => Fault::Reset,
            Fault::Uneven => Fault::None,
            fault => fault,
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> Response<Body> {
        let inner = self.lock();
        let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let age = match (query.contains_key("serializable"), after.is_empty()) {
            (false, _) => Duration::ZERO,
            (true, true) => inner.page_ages.first,
            (true, false) => inner.page_ages.later,
        };
        let (items, as_of) = inner.items_before(age);
        let after = match self.quirk() {
            Quirk::EmptyPages if !after.is_empty() => {
                return list_answer("items", &[], &json!({ "truncated": true, "asOf": as_of }));
            }
            Quirk::RepeatedPages => String::new(),
            _ => after,
        };
        let found: Vec<_> = items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .take(PAGE_ITEMS + 1)
            .collect();
        let end = inner.page_end.as_ref();
        let end = found.iter().position(|(key, _)| end == Some(*key));
        let length = end.map_or(PAGE_ITEMS, |end| PAGE_ITEMS.min(end + 1));
        let page = found.iter().take(length);
        let rows = page.map(|(key, (content, revision))| content.row(key, *revision));
        let rows: Vec<Vec<u8>> = rows.collect();
        let others = json!({ "truncated": found.len() > length, "asOf": as_of });
        list_answer("items", &rows, &others)
    }

    /// Answers a read of one key.
    fn item(&self, query: &HashMap<String, String>) -> Response<Body> {
        let key = query.get("key").cloned().unwrap_or_default();
        match self.lock().items.get(&key) {
            Some((content, revision)) => whole(StatusCode::OK, content.row(&key, *revision)),
            None => whole(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Returns the value of a key, if it is valid JSON.
    pub fn content(&self, key: &str) -> Option<Value> {
        let inner = self.lock();
        let (Content::Value(value), _) = inner.items.get(key)? else {
            return None;
        };
        serde_json::from_slice(&BASE64.decode(value).ok()?).ok()
    }

    /// Reports whether the revisions of the items match the preconditions of a write.
    fn is_expected(&self, rows: &[Value]) -> bool {
        let inner = self.lock();
        rows.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            let revision = inner.items.get(key).map_or(0, |(_, revision)| *revision);
            row["revision"].as_u64() == Some(revision)
        })
    }

    /// Applies a write if its preconditions hold; leases never expire in this stand-in.
    fn write(&self, body: &[u8]) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return whole(StatusCode::BAD_REQUEST, "");
        };
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        if !self.is_expected(&rows("expectedRev")) {
            return whole(StatusCode::PRECONDITION_FAILED, r#"{"items":[]}"#);
        }
        for put in rows("puts") {
            let value = put["value"].as_str().map(str::to_owned);
            let key = put["key"].as_str().unwrap_or_default();
            self.change(key, value.map(Content::Value));
        }
        for key in rows("remove") {
            self.change(key.as_str().unwrap_or_default(), None);
        }
        json_answer(&json!({ "revision": self.lock().revision }))
    }

    /// Returns the changes after a revision and the current one, or status 410 (Gone) if that part
    /// of the history has been discarded or the revision is newer than the store's.
    fn changes(&self, prefix: &str, after: u64) -> Result<(Vec<Vec<u8>>, u64), StatusCode> {
        let inner = self.lock();
        if after < inner.discarded_revision || after > inner.revision {
            return Err(StatusCode::GONE);
        }
        let newer = inner.history.iter().filter(|c| c.revision > after);
        let rows = newer.filter(|c| c.key.starts_with(prefix)).map(Change::row);
        Ok((rows.collect(), inner.revision))
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Option<Response<Body>> {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
        let after = number("after");
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(number("waitMs"));
        let _ = timeout(wait, async {
            loop {
                let fault = self.fault();
                let found = self.changes(&prefix, after);
                let has_events = found.is_ok_and(|(rows, _)| !rows.is_empty());
                let unavailable = !matches!(fault, Fault::None | Fault::Uneven);
                let hasty = self.quirk() == Quirk::HastyWatches;
                if has_events || unavailable || hasty || changed.changed().await.is_err() {
                    return;
                }
            }
        })
        .await;
        let fault = self.fault();
        if !matches!(fault, Fault::None | Fault::Uneven) {
            return apply_fault(fault).await;
        }
        Some(match self.changes(&prefix, after) {
            Ok((rows, as_of)) => list_answer("events", &rows, &json!({ "asOf": as_of })),
            Err(status) => whole(status, ""),
        })
    }
}

async fn apply_fault(fault: Fault) -> Option<Response<Body>> {
    match fault {
        Fault::None | Fault::Reset | Fault::Uneven => None,
        Fault::Silent => std::future::pending().await,
        Fault::Busy => Some(whole(StatusCode::SERVICE_UNAVAILABLE, "")),
        Fault::TooMany => Some(whole(StatusCode::TOO_MANY_REQUESTS, "")),
    }
}

fn query(request: &Whole, quirk: Quirk) -> HashMap<String, String> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    let value = |text: &str| match quirk {
        Quirk::VerbatimQueries => text.to_owned(),
        Quirk::FormQueries => decoded(&text.replace('+', " ")),
        _ => decoded(text),
    };
    pairs.map(|(k, v)| (k.to_owned(), value(v))).collect()
}

impl Service for Registry {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let mut answer = self.call(request).await?;
        let era = HeaderValue::from(self.lock().era);
        answer.headers_mut().insert(ERA_HEADER, era);
        Some(answer)
    }
}

impl Registry {
    async fn call(&self, request: Whole) -> Option<Response<Body>> {
        let query = query(&request, self.quirk());
        match request.uri().path() {
            "/v1/kv-range" => match self.count("range") {
                Fault::None => Some(self.range(&query)),
                fault => apply_fault(fault).await,
            },
            "/v1/kv-key" => match self.count("key") {
                Fault::None => Some(self.item(&query)),
                fault => apply_fault(fault).await,
            },
            "/v1/kv-watch" => match self.count("watch") {
                Fault::None => self.watch(&query).await,
                fault => apply_fault(fault).await,
            },
            "/v1/kv-lease" => match self.count("lease") {
                Fault::None => Some(json_answer(&json!({ "lease": 1, "ttlMs": 600_000 }))),
                fault => apply_fault(fault).await,
            },
            "/v1/kv-txn" => match self.count("write") {
                Fault::None => Some(self.write(request.body())),
                fault => apply_fault(fault).await,
            },
            _ => Some(whole(StatusCode::NOT_FOUND, "")),
        }
    }
}
