//! The log's way out of the process: lines are gathered in memory and written by a thread of their
//! own, so that no request ever waits for whoever reads them.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use crate::unit::{Millis, Time};

/// Most bytes that wait to be written; later lines are dropped and counted.
const MAX_WAITING: usize = 512 << 10;
/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);
/// Request lines a second that a box may write for long: three lines for each of the requests that
/// it is built for.
const LINES_PER_SECOND: f64 = 400.0;
/// How often dropped request lines are told of.
const TELL: Millis = Millis(1000);
/// Request lines that it may write at once.
const BURST: f64 = 800.0;

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    news: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // Plain bytes stay whole whatever a panicking writer did.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A writer that never blocks.
#[derive(Clone, Default)]
pub struct Lines(Arc<Shared>);

impl Lines {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let lines = Self::default();
        let shared = lines.0.clone();
        let builder = thread::Builder::new().name("log".to_owned());
        builder.spawn(move || write_out(&shared, out))?;
        Ok(lines)
    }

    /// Waits, for a little while, until all lines are written.
    pub fn flush_all(&self) {
        for _ in 0..20 {
            let waiting = self.0.lock();
            if waiting.bytes.is_empty() && !waiting.writing {
                return;
            }
            drop(waiting);
            thread::sleep(GATHER / 10);
        }
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut waiting = self.0.lock();
        if waiting.bytes.len() + bytes.len() > MAX_WAITING {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(bytes);
            if !waiting.writing {
                self.0.news.notify_one();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_out(shared: &Shared, mut out: impl Write) {
    let mut waiting = shared.lock();
    loop {
        while waiting.bytes.is_empty() {
            waiting.writing = false;
            let woken = shared.news.wait(waiting);
            waiting = woken.unwrap_or_else(PoisonError::into_inner);
        }
        waiting.writing = true;
        drop(waiting);
        thread::sleep(GATHER);
        waiting = shared.lock();
        let bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        drop(waiting);
        // There is nowhere left to tell of a failure to write the log.
        let _ = out.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(out, "[WARN] log: dropped={dropped} reason=slow-reader");
        }
        let _ = out.flush();
        waiting = shared.lock();
    }
}

/// Bounds the lines that tell of single requests.
#[derive(Debug)]
pub(crate) struct Quota {
    saved: f64,
    at: Time,
    dropped: u64,
    /// When the dropped lines were last told of.
    told: Time,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            saved: BURST,
            at: Time(0),
            dropped: 0,
            told: Time(0),
        }
    }
}

impl Quota {
    /// Whether one more line may be written at `now`.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let Millis(passed) = now.since(self.at);
        self.at = now;
        self.saved = (self.saved + passed as f64 * LINES_PER_SECOND / 1000.0).min(BURST);
        if self.saved < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.saved -= 1.0;
        if self.dropped > 0 && now.since(self.told) >= TELL {
            log::warn!("log: dropped={} reason=too-many-requests", self.dropped);
            self.dropped = 0;
            self.told = now;
        }
        true
    }
}
