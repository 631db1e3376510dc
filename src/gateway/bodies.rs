//! Reads request bodies, and reserves memory for them as their bytes arrive.
//!
//! All bodies share one budget. A body reserves what it has sent, never what it announces, so that
//! callers who have hardly begun cannot hold the budget. When it is used up, bodies that have been
//! arriving for long give way to new ones; nobody waits for memory that another incomplete body
//! holds.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout, timeout_at},
};

use crate::unit;

/// Time limit for the arrival of a request body.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// A body that has been arriving for this long gives way when memory is short. One of `max_body`
/// takes well under a second on a link between regions.
const SLOW_AFTER: Duration = Duration::from_secs(2);
/// Time limit for the memory of evicted bodies to become free; their tasks only have to run once.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of body memory per semaphore permit.
const UNIT_BYTES: usize = 1024;

/// Memory that is reserved for a body, and released with it.
pub(crate) type Reservation = OwnedSemaphorePermit;

/// The reason why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The body is longer than the limit.
    TooLarge,
    /// All memory for bodies is in use.
    Full,
    /// The body did not arrive in time, or gave way to other bodies.
    Slow,
    /// The connection broke, or the framing is invalid.
    Broken,
}

impl Failure {
    /// Returns the label for metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "large",
            Self::Full => "full",
            Self::Slow => "slow",
            Self::Broken => "broken",
        }
    }
}

/// A body that is still arriving.
struct Arriving {
    since: Instant,
    units: Arc<AtomicUsize>,
    evicted: Arc<Notify>,
}

/// The memory for the request bodies of one box.
pub(crate) struct Bodies {
    free: Arc<Semaphore>,
    /// Bodies that are still arriving, oldest first.
    arriving: Mutex<BTreeMap<u64, Arriving>>,
    next: AtomicUsize,
}

impl Bodies {
    /// Creates a budget of `size`.
    pub(crate) fn new(size: unit::Bytes) -> Self {
        let units = (size.0 as usize).div_ceil(UNIT_BYTES);
        Self {
            free: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
            arriving: Mutex::default(),
            next: AtomicUsize::new(0),
        }
    }

    fn arriving(&self) -> MutexGuard<'_, BTreeMap<u64, Arriving>> {
        // Entries are inserted and removed whole, so a panic with the lock leaves the map consistent.
        self.arriving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a body of at most `limit` bytes.
    pub(crate) async fn read(
        &self,
        body: &mut Incoming,
        limit: unit::Bytes,
    ) -> Result<(Bytes, Option<Reservation>), Failure> {
        let limit = limit.0 as usize;
        let hint = body.size_hint();
        if hint.lower() > limit as u64 {
            return Err(Failure::TooLarge);
        }
        if hint.exact() == Some(0) {
            return Ok((Bytes::new(), None));
        }
        let most = hint.exact().map_or(limit, |exact| exact as usize);
        let mut arrival = Arrival::new(self, most);
        let deadline = Instant::now() + ARRIVAL_TIMEOUT;
        let evicted = arrival.evicted.clone();
        tokio::select! {
            read = timeout_at(deadline, arrival.collect(body, limit)) => {
                read.unwrap_or(Err(Failure::Slow))?;
            }
            () = evicted.notified() => return Err(Failure::Slow),
        }
        Ok(arrival.finish())
    }

    /// Reserves `units`, at the expense of slow bodies if need be.
    async fn reserve(&self, units: usize) -> Option<Reservation> {
        let count = u32::try_from(units).ok()?;
        if let Ok(reserved) = self.free.clone().try_acquire_many_owned(count) {
            return Some(reserved);
        }
        if !self.evict_slow(units) {
            return None;
        }
        let freed = self.free.clone().acquire_many_owned(count);
        timeout(EVICTION_TIMEOUT, freed).await.ok()?.ok()
    }

    /// Evicts the bodies that have been arriving longest, until they free `units`; returns whether
    /// there are enough slow ones.
    fn evict_slow(&self, units: usize) -> bool {
        let now = Instant::now();
        let mut arriving = self.arriving();
        let slow = arriving
            .iter()
            .take_while(|(_, body)| now - body.since >= SLOW_AFTER);
        let mut freed = self.free.available_permits();
        let mut evicted = Vec::new();
        for (number, body) in slow {
            if freed >= units {
                break;
            }
            freed += body.units.load(Ordering::Relaxed);
            evicted.push(*number);
        }
        if freed < units {
            return false;
        }
        for number in evicted {
            if let Some(body) = arriving.remove(&number) {
                body.evicted.notify_one();
            }
        }
        true
    }
}

/// One body on its way in. Its drop ends its entry among the arriving bodies.
struct Arrival<'a> {
    bodies: &'a Bodies,
    number: u64,
    units: Arc<AtomicUsize>,
    evicted: Arc<Notify>,
    reserved: Option<Reservation>,
    /// The most bytes that the body can have.
    most: usize,
    /// The body, if it came in one piece.
    whole: Bytes,
    pieces: BytesMut,
}

impl<'a> Arrival<'a> {
    fn new(bodies: &'a Bodies, most: usize) -> Self {
        let units = Arc::new(AtomicUsize::new(0));
        let evicted = Arc::new(Notify::new());
        let entry = Arriving {
            since: Instant::now(),
            units: units.clone(),
            evicted: evicted.clone(),
        };
        let mut arriving = bodies.arriving();
        // Numbers are given with the lock, so that their order is that of the arrivals.
        let number = bodies.next.fetch_add(1, Ordering::Relaxed) as u64;
        arriving.insert(number, entry);
        Self {
            bodies,
            number,
            units,
            evicted,
            reserved: None,
            most,
            whole: Bytes::new(),
            pieces: BytesMut::new(),
        }
    }

    async fn collect(&mut self, body: &mut Incoming, limit: usize) -> Result<(), Failure> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Failure::Broken)?;
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            let length = self.pieces.len() + piece.len();
            if length > limit {
                return Err(Failure::TooLarge);
            }
            if length == piece.len() && body.is_end_stream() {
                self.reserve(length).await?;
                self.whole = piece;
                return Ok(());
            }
            self.grow(length).await?;
            self.pieces.extend_from_slice(&piece);
        }
        Ok(())
    }

    /// Makes room for a body of `length` bytes; the room doubles, so that pieces are copied a few
    /// times at most.
    async fn grow(&mut self, length: usize) -> Result<(), Failure> {
        let room = self.pieces.capacity();
        if length <= room {
            return Ok(());
        }
        let room = (2 * room).min(self.most).max(length);
        self.reserve(room).await?;
        self.pieces.reserve(room - self.pieces.len());
        Ok(())
    }

    /// Reserves memory for `bytes` in all.
    async fn reserve(&mut self, bytes: usize) -> Result<(), Failure> {
        let held = self.units.load(Ordering::Relaxed);
        let units = bytes.div_ceil(UNIT_BYTES);
        if units <= held {
            return Ok(());
        }
        let more = self.bodies.reserve(units - held).await;
        let more = more.ok_or(Failure::Full)?;
        match &mut self.reserved {
            Some(reserved) => reserved.merge(more),
            None => self.reserved = Some(more),
        }
        self.units.store(units, Ordering::Relaxed);
        Ok(())
    }

    fn finish(mut self) -> (Bytes, Option<Reservation>) {
        let whole = std::mem::take(&mut self.whole);
        let pieces = std::mem::take(&mut self.pieces).freeze();
        let body = if whole.is_empty() { pieces } else { whole };
        (body, self.reserved.take())
    }
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        self.bodies.arriving().remove(&self.number);
    }
}
