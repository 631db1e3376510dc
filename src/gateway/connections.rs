//! The connections that clients open to a box.
//!
//! Their number follows from the descriptors of the process and the memory of the box: each listener
//! has a guaranteed part and all share the rest, so that callers cannot take what boxes, operators and
//! outgoing connections need. At the limit the connection that has waited longest for a complete
//! request gives way to a new one. One that carries a request or a response never does.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use hyper::http::request::Parts;
use nix::sys::resource::{Resource, getrlimit};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    task::yield_now,
    time::{Instant, sleep},
};

use crate::{gateway::metrics::Metrics, size::Memory};

/// Descriptors that are assumed where neither the settings nor the kernel tell a limit.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Maximum number of descriptors that are counted on; more connections would not fit the memory of a
/// box.
const MAX_DESCRIPTORS: usize = 8192;
/// Descriptors for files, listeners and the runtime; at most a tenth of all.
const FILES: usize = 200;

/// Memory that is counted on for a connection of a client: its buffers, and those of its task.
const CONNECTION_BYTES: u64 = 40 << 10;
/// Divisor of a box's memory that limits its connections; request bodies take as much at most.
const MEMORY_DIVISOR: u64 = 4;

/// Memory for the heads of all requests that arrive or are answered: those of 500 requests of 16 KiB.
const MAX_HEAD_BYTES: usize = 8 << 20;
/// A head longer than this, which takes more than one read, gives way when memory for heads is short.
const LONG_HEAD_BYTES: usize = 8 << 10;

/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes of a response that are queued for a client that does not read; one more piece may follow.
const MAX_QUEUED_BYTES: usize = 16 << 10;

/// The clients of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Clients {
    Callers,
    Boxes,
    /// Boxes that send messages.
    Senders,
    /// Callers that look up boxes.
    Lookups,
    Operators,
    /// The platform's readiness checks.
    Checks,
    /// Collectors of metrics.
    Collectors,
}

impl Clients {
    const ALL: [Self; 7] = [
        Self::Callers,
        Self::Boxes,
        Self::Senders,
        Self::Lookups,
        Self::Operators,
        Self::Checks,
        Self::Collectors,
    ];

    /// Returns the guaranteed part of `all` connections.
    fn guaranteed(self, all: usize) -> usize {
        let (divisor, least) = match self {
            Self::Callers => (4, 16),
            Self::Boxes | Self::Senders | Self::Lookups => (16, 8),
            Self::Operators | Self::Checks | Self::Collectors => (64, 4),
        };
        (all / divisor).max(least)
    }
}

/// The connections of a box that its listeners share.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    all: usize,
    shared: Arc<Semaphore>,
    /// Bytes of the heads of all requests.
    heads: Arc<AtomicUsize>,
    metrics: Arc<Metrics>,
}

impl Budget {
    /// Creates the budget of a process that may hold `descriptors`, or as many as the kernel allows
    /// if that is less. A quarter is left for connections that the box opens itself. Where the
    /// memory of the box is known, its connections take a quarter of it at most.
    pub(crate) fn new(
        descriptors: Option<u32>,
        memory: Option<Memory>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let stated = descriptors.map_or(MAX_DESCRIPTORS, |descriptors| descriptors as usize);
        let allowed = getrlimit(Resource::RLIMIT_NOFILE);
        let allowed = allowed.map_or(DEFAULT_DESCRIPTORS, |(soft, _)| {
            usize::try_from(soft).unwrap_or(usize::MAX)
        });
        let descriptors = stated.min(allowed).min(MAX_DESCRIPTORS);
        let usable = descriptors - FILES.min(descriptors / 10);
        let fitting = memory.map_or(u64::MAX, |memory| {
            memory.bytes().0 / MEMORY_DIVISOR / CONNECTION_BYTES
        });
        let all = (usable - usable / 4).min(usize::try_from(fitting).unwrap_or(usize::MAX));
        log::info!("connections: {all} for clients, of {descriptors} descriptors.");
        let guaranteed: usize = Clients::ALL.iter().map(|c| c.guaranteed(all)).sum();
        Self {
            all,
            shared: Arc::new(Semaphore::new(all.saturating_sub(guaranteed))),
            heads: Arc::default(),
            metrics,
        }
    }

    /// Returns the connections of one listener.
    pub(crate) fn listener(&self, clients: Clients) -> Arc<Connections> {
        Arc::new(Connections {
            guaranteed: Arc::new(Semaphore::new(clients.guaranteed(self.all))),
            shared: self.shared.clone(),
            heads: self.heads.clone(),
            metrics: self.metrics.clone(),
            start: Instant::now(),
            open: Mutex::default(),
        })
    }
}

/// The open connections of one listener.
#[derive(Debug)]
pub(crate) struct Connections {
    guaranteed: Arc<Semaphore>,
    shared: Arc<Semaphore>,
    heads: Arc<AtomicUsize>,
    metrics: Arc<Metrics>,
    start: Instant,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    entries: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    state: Arc<State>,
    permit: OwnedSemaphorePermit,
}

/// What a connection is doing.
#[derive(Debug, Default)]
struct State {
    /// When it began to wait for its next request, in milliseconds since the start of the listener.
    since: AtomicU64,
    /// Whether a complete request is being answered.
    serving: AtomicBool,
    /// Whether the client does not take the bytes of a response.
    blocked: AtomicBool,
    /// Bytes of the head of its request, until that is answered.
    head: AtomicUsize,
    /// Whether all heads together were too long for that head to be served.
    over_budget: AtomicBool,
    /// Bytes of response bodies that were queued and are not written yet.
    queued: AtomicUsize,
    /// Whether only the end of the connection shows that the response is complete.
    unframed: AtomicBool,
    /// The task that waits until more may be queued.
    writer: Mutex<Option<Waker>>,
    evicted: Notify,
}

impl State {
    fn writer(&self) -> MutexGuard<'_, Option<Waker>> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_waiting(&self) -> bool {
        !self.serving.load(Ordering::Acquire) && !self.blocked.load(Ordering::Acquire)
    }
}

impl Connections {
    fn open(&self) -> MutexGuard<'_, Open> {
        // Entries are inserted and removed whole, so a panic with the lock leaves the map consistent.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Accepts and admits the next connection; `name` stands in the log line of a failed `accept`.
    pub(crate) async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        name: &str,
    ) -> (TcpStream, Connection) {
        loop {
            // Lets an evicted connection close before the next one is accepted.
            yield_now().await;
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("{name}: accept: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Some(connection) = self.admit() {
                return (stream, connection);
            }
        }
    }

    /// Admits a new connection, at the expense of one that waits if need be.
    fn admit(self: &Arc<Self>) -> Option<Connection> {
        let free = self.guaranteed.clone().try_acquire_owned();
        let free = free.or_else(|_| self.shared.clone().try_acquire_owned());
        let mut open = self.open();
        let permit = free.ok().or_else(|| self.evict(&mut open, 0));
        let Some(permit) = permit else {
            self.metrics.refused_connections.inc();
            return None;
        };
        let state = Arc::new(State::default());
        state.since.store(self.now(), Ordering::Relaxed);
        let number = open.next;
        open.next += 1;
        let entry = Entry {
            state: state.clone(),
            permit,
        };
        open.entries.insert(number, entry);
        drop(open);
        self.metrics.connections.inc();
        Some(Connection(Arc::new(Guard {
            connections: self.clone(),
            number,
            state,
        })))
    }

    /// Evicts the connection that has waited longest among those with a request head of at least
    /// `head` bytes, and returns its permit.
    fn evict(&self, open: &mut Open, head: usize) -> Option<OwnedSemaphorePermit> {
        let is_candidate =
            |state: &State| state.is_waiting() && state.head.load(Ordering::Relaxed) >= head;
        let waiting = open.entries.iter().filter(|(_, e)| is_candidate(&e.state));
        let (number, _) = waiting.min_by_key(|(_, e)| e.state.since.load(Ordering::Relaxed))?;
        let number = *number;
        let entry = open.entries.remove(&number)?;
        entry.state.evicted.notify_one();
        self.set_head(&entry.state, 0);
        self.metrics.evicted_connections.inc();
        Some(entry.permit)
    }

    /// Evicts all connections that wait for a complete request.
    pub(crate) fn evict_waiting(&self) {
        let mut open = self.open();
        while self.evict(&mut open, 0).is_some() {}
    }

    /// Counts the bytes of a request head; returns whether all heads together are too long.
    fn set_head(&self, state: &State, bytes: usize) -> bool {
        let before = state.head.swap(bytes, Ordering::Relaxed);
        let all = self.heads.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.heads.fetch_sub(before, Ordering::Relaxed);
        bytes > before && all - before > MAX_HEAD_BYTES
    }
}

/// Marks the start of the answer to a request, which was read completely.
pub(crate) fn begin_answer(request: &Parts) {
    if let Some(connection) = request.extensions.get::<Connection>() {
        connection.begin_answer();
    }
}

/// An admitted connection; its last clone ends the entry.
#[derive(Clone, Debug)]
pub(crate) struct Connection(Arc<Guard>);

#[derive(Debug)]
struct Guard {
    connections: Arc<Connections>,
    number: u64,
    state: Arc<State>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.connections.open().entries.remove(&self.number);
        self.connections.set_head(&self.state, 0);
        self.connections.metrics.connections.dec();
    }
}

impl Connection {
    /// Marks the start of an answer: a complete request was read.
    pub(crate) fn begin_answer(&self) {
        self.0.state.serving.store(true, Ordering::Release);
    }

    /// Marks the end of an answer: the connection waits for its next request or message.
    pub(crate) fn end_answer(&self) {
        let state = &self.0.state;
        self.0.connections.set_head(state, 0);
        state
            .since
            .store(self.0.connections.now(), Ordering::Relaxed);
        state.serving.store(false, Ordering::Release);
    }

    /// Tells how many bytes the head of the request has. If all heads together are too long, a long one
    /// of a request that is not complete gives way, the oldest first; without one, this request is not
    /// to be served if its head is long.
    pub(crate) fn set_head(&self, bytes: usize) {
        let Guard {
            connections, state, ..
        } = &*self.0;
        if bytes == state.head.load(Ordering::Relaxed) {
            return;
        }
        let is_short = connections.set_head(state, bytes);
        let evicted = is_short && {
            let mut open = connections.open();
            connections.evict(&mut open, LONG_HEAD_BYTES).is_some()
        };
        let over_budget = is_short && !evicted && bytes > LONG_HEAD_BYTES;
        state.over_budget.store(over_budget, Ordering::Relaxed);
    }

    /// Reports whether there was no memory for the head of the request.
    pub(crate) fn is_over_budget(&self) -> bool {
        self.0.state.over_budget.load(Ordering::Relaxed)
    }

    /// Checks whether more of a response may be queued; if not, the task is woken when it may. What a
    /// client does not read stays with the backend server, as far as its connection holds it.
    pub(crate) fn poll_queue(&self, cx: &Context<'_>) -> Poll<()> {
        let state = &self.0.state;
        let is_full = || state.queued.load(Ordering::Acquire) >= MAX_QUEUED_BYTES;
        if !is_full() {
            return Poll::Ready(());
        }
        *state.writer() = Some(cx.waker().clone());
        // Bytes may have been written before the waker was there.
        match is_full() {
            true => Poll::Pending,
            false => Poll::Ready(()),
        }
    }

    /// Records bytes of a response body that were queued.
    pub(crate) fn record_queued(&self, bytes: usize) {
        self.0.state.queued.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Records bytes that were written; heads and framing count as well, so the queue may be a little
    /// longer than it is taken for.
    pub(crate) fn record_written(&self, bytes: usize) {
        let state = &self.0.state;
        let rest = |queued: usize| Some(queued.saturating_sub(bytes));
        let _ = state
            .queued
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, rest);
        if let Some(writer) = state.writer().take() {
            writer.wake();
        }
    }

    /// Marks the answer as one without framing: only the end of the connection shows that it is complete.
    pub(crate) fn begin_unframed(&self) {
        self.0.state.unframed.store(true, Ordering::Release);
    }

    /// Reports whether the answer has no framing.
    pub(crate) fn is_unframed(&self) -> bool {
        self.0.state.unframed.load(Ordering::Acquire)
    }

    /// Tells whether the client takes the bytes that it is sent.
    pub(crate) fn set_blocked(&self, blocked: bool) {
        self.0.state.blocked.store(blocked, Ordering::Release);
    }

    /// Waits until the connection has to be closed for another one.
    pub(crate) async fn evicted(&self) {
        let state = &self.0.state;
        state.evicted.notified().await;
        if !state.is_waiting() {
            // A request became complete in the meantime: it is answered, and the box holds one
            // connection more than its limit until then.
            std::future::pending::<()>().await;
        }
    }
}
