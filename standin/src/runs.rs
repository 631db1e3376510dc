//! Migration of streams between model engines of the users' platform, together with their memory.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, LazyLock, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{http::decoded, worker::Seen};

/// Delay of the answer in [`Way::LastSlow`].
const LATE_ANSWER: Duration = Duration::from_millis(900);
/// Delay of answers in [`Way::LastSilent`]: longer than any box waits.
const SILENCE: Duration = Duration::from_secs(10);

/// Memory copies by source engine and handle; the only state that engines share.
static COPIES: LazyLock<Mutex<HashMap<(SocketAddr, String), MemoryCopy>>> =
    LazyLock::new(Mutex::default);

/// How the engine answers calls to move a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// Calls succeed.
    #[default]
    Good,
    /// The last part of the memory is refused because the target has no room.
    LastRefused,
    /// The call that stops a run is handled 1.5 s late, when the run has long ended.
    LastLate,
    /// The call that stops a run takes effect, and is answered 0.9 s later.
    LastSlow,
    /// The first call that stops a run is lost by a reset before it takes effect.
    LastUnheard,
    /// As in [`Way::LastUnheard`], and the run ends on its own at once.
    LastEnded,
    /// As in [`Way::LastReset`], and the second call is answered with status 409.
    LastBusy,
    /// The first call that stops a run takes effect, and is answered with status 503 and no handle.
    LastNameless,
    /// Calls that stop a run take effect, and none is answered in time.
    LastSilent,
    /// The first call that stops a run takes effect, and is answered with status 500.
    LastLost,
    /// The first call that stops a run takes effect; its connection is reset instead of an answer.
    LastReset,
    /// The first call that stops a run takes effect; its connection is reset inside the answer.
    LastHalf,
    /// As in [`Way::LastReset`], and the copies of the run expire at once.
    LastExpired,
}

impl Way {
    /// Reports whether the answer to a call that stops a run is lost.
    fn loses_answer(self) -> bool {
        matches!(
            self,
            Self::LastLost
                | Self::LastReset
                | Self::LastHalf
                | Self::LastExpired
                | Self::LastBusy
                | Self::LastNameless
        )
    }
}

/// What the engine sends in reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// A complete answer.
    Answer(String),
    /// These bytes and a reset of the connection.
    Reset(String),
}

/// A copy of a run's memory.
#[derive(Clone, Debug)]
struct MemoryCopy {
    run: String,
    /// The engine that holds the copy; `None` if the copy is incomplete.
    target: Option<SocketAddr>,
    /// Whether the run has stopped, so that it may be resumed from the copy.
    stopped: bool,
}

#[derive(Debug, Default)]
struct State {
    stopped: AtomicBool,
    /// Whether the remaining events are made at once.
    finishing: AtomicBool,
    events: AtomicU32,
    /// Number of calls that stop the run.
    stops: AtomicU32,
    ended_at: OnceLock<Instant>,
}

/// A running stream; dropping it ends the run.
pub(crate) struct Run {
    id: String,
    state: Arc<State>,
    runs: Arc<Runs>,
}

impl Run {
    pub(crate) fn is_stopped(&self) -> bool {
        self.state.stopped.load(Relaxed)
    }

    pub(crate) fn is_finishing(&self) -> bool {
        self.state.finishing.load(Relaxed)
    }

    pub(crate) fn record_event(&self, event: u32) {
        self.state.events.store(event, Relaxed);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.state.ended_at.get_or_init(Instant::now);
        self.runs.lock().remove(&self.id);
    }
}

/// The runs of one engine.
#[derive(Debug, Default)]
pub struct Runs {
    running: Mutex<BTreeMap<String, Arc<State>>>,
    /// All runs with their start.
    begun: Mutex<Vec<(String, Instant, Arc<State>)>>,
    way: Mutex<Way>,
    freed: Mutex<Vec<String>>,
    /// What follows the id of a run in the handle of its copy.
    suffix: Mutex<String>,
    calls: AtomicU32,
}

impl Runs {
    /// Sets how further calls to move a run are answered.
    pub fn take(&self, way: Way) {
        *self.way.lock().expect("the lock is never poisoned") = way;
    }

    /// Ends the handles of further copies with `suffix`.
    pub fn end_handles_with(&self, suffix: &str) {
        *self.suffix.lock().expect("the lock is never poisoned") = suffix.to_owned();
    }

    /// Returns the handles that were freed at this engine.
    pub fn freed(&self) -> Vec<String> {
        let freed = self.freed.lock().expect("the lock is never poisoned");
        freed.clone()
    }

    /// Returns the number of calls to move a run so far.
    pub fn calls(&self) -> u32 {
        self.calls.load(Relaxed)
    }

    /// Returns when this engine began and ended each run of a request; one that was stopped ended
    /// then.
    pub fn spans(&self, id: &str) -> Vec<(Instant, Instant)> {
        let begun = self.begun.lock().expect("the lock is never poisoned");
        let same = begun.iter().filter(|(run, ..)| run == id);
        let end = |state: &State| state.ended_at.get().copied().unwrap_or_else(Instant::now);
        same.map(|(_, start, state)| (*start, end(state))).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<State>>> {
        self.running.lock().expect("the lock is never poisoned")
    }

    pub(crate) fn begin(self: &Arc<Self>, id: &str) -> Run {
        let state = Arc::<State>::default();
        self.lock().insert(id.to_owned(), state.clone());
        let mut begun = self.begun.lock().expect("the lock is never poisoned");
        begun.push((id.to_owned(), Instant::now(), state.clone()));
        drop(begun);
        Run {
            id: id.to_owned(),
            state,
            runs: self.clone(),
        }
    }

    /// Reports whether a request may run on this engine. A resumed request needs its memory copy,
    /// which can be used only once.
    pub(crate) fn admit(&self, engine: SocketAddr, headers: &BTreeMap<String, String>) -> bool {
        let Some((source, handle)) = headers.get("kv-from").and_then(|f| f.split_once('/')) else {
            return true;
        };
        let Ok(source) = source.parse::<SocketAddr>() else {
            return false;
        };
        let key = (source, handle.to_owned());
        let mut copies = COPIES.lock().expect("the lock is never poisoned");
        let admitted = copies.get(&key).is_some_and(|copy| {
            let holds_copy = source == engine || copy.target == Some(engine);
            let last = headers.contains_key("last-event-id");
            holds_copy && last && copy.stopped && headers.get("request-id") == Some(&copy.run)
        });
        if admitted {
            copies.remove(&key);
        }
        admitted
    }

    /// Answers a call about runs; returns `None` for any other request.
    pub(crate) async fn call(&self, engine: SocketAddr, request: &Seen) -> Option<Reply> {
        let path = request.line.split([' ', '?']).nth(1)?;
        if let Some(handle) = path.strip_prefix("/v1/kv-handle/") {
            let handle = decoded(handle);
            let key = (engine, handle.clone());
            let mut copies = COPIES.lock().expect("the lock is never poisoned");
            let known = copies.remove(&key).is_some();
            let mut freed = self.freed.lock().expect("the lock is never poisoned");
            freed.push(handle);
            return Some(answer(if known { 200 } else { 404 }, &json!({})));
        }
        if path != "/v1/kv-move" {
            return None;
        }
        self.calls.fetch_add(1, Relaxed);
        let content: Value = serde_json::from_slice(&request.body).ok()?;
        let last = content["last"] == json!(true);
        let way = *self.way.lock().expect("the lock is never poisoned");
        if last && way == Way::LastLate {
            sleep(Duration::from_millis(1500)).await;
        }
        let run = content["id"].as_str()?.to_owned();
        let suffix = self
            .suffix
            .lock()
            .expect("the lock is never poisoned")
            .clone();
        let handle = format!("h-{run}{suffix}");
        let running = self.lock().get(&run).cloned();
        let stops = self.count_stop(&run, last);
        match way {
            Way::LastBusy if stops == 2 => return Some(answer(409, &json!({}))),
            Way::LastSilent if stops > 1 => sleep(SILENCE).await,
            Way::LastUnheard | Way::LastEnded if stops == 1 => {
                if let Some(state) = running {
                    state.finishing.store(way == Way::LastEnded, Relaxed);
                }
                return Some(Reply::Reset(String::new()));
            }
            _ => {}
        }
        // A run that was stopped is no longer running, even while its stream is being closed.
        let Some(state) = running.filter(|state| !state.stopped.load(Relaxed)) else {
            return Some(answer(404, &json!({})));
        };
        let refused = last && way == Way::LastRefused;
        let target = content["targetVersion"].as_str()?.parse().ok();
        let copy = MemoryCopy {
            run,
            target: target.filter(|_| !refused),
            stopped: last,
        };
        if last {
            state.stopped.store(true, Relaxed);
            state.ended_at.get_or_init(Instant::now);
        }
        let key = (engine, handle.clone());
        COPIES
            .lock()
            .expect("the lock is never poisoned")
            .insert(key, copy);
        let events = state.events.load(Relaxed);
        let content = json!({ "handle": handle, "created": events });
        match way {
            Way::LastSlow if last => sleep(LATE_ANSWER).await,
            Way::LastSilent if last => sleep(SILENCE).await,
            _ => {}
        }
        if stops == 1 && way.loses_answer() {
            return Some(self.lose_answer(engine, &handle, way, &content));
        }
        Some(answer(if refused { 503 } else { 200 }, &content))
    }

    /// Counts a call that stops a run if it is the `last` one of a move; returns how many there were
    /// for the run, 0 for any other call.
    fn count_stop(&self, run: &str, last: bool) -> u32 {
        let begun = self.begun.lock().expect("the lock is never poisoned");
        let known = begun.iter().rev().find(|(id, ..)| last && id == run);
        known.map_or(0, |(_, _, state)| state.stops.fetch_add(1, Relaxed) + 1)
    }

    /// Returns what is sent in place of the answer `content` to a call that took effect.
    fn lose_answer(&self, engine: SocketAddr, handle: &str, way: Way, content: &Value) -> Reply {
        match way {
            Way::LastLost => return answer(500, &json!({})),
            Way::LastNameless => return answer(503, &json!({})),
            Way::LastHalf => {
                let whole = text(200, content);
                return Reply::Reset(whole[..whole.len() - 5].to_owned());
            }
            Way::LastExpired => {
                let mut copies = COPIES.lock().expect("the lock is never poisoned");
                copies.remove(&(engine, handle.to_owned()));
            }
            _ => {}
        }
        Reply::Reset(String::new())
    }
}

fn answer(status: u16, content: &Value) -> Reply {
    Reply::Answer(text(status, content))
}

fn text(status: u16, content: &Value) -> String {
    let content = content.to_string();
    let length = content.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{content}")
}
