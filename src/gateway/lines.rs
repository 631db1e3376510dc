//! A non-blocking log writer. Lines are buffered in memory and written by a dedicated thread, so
//! that a slow reader of the log never blocks a request.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use crate::unit::{Millis, Time};

/// Size limit of the buffer; lines that exceed it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// How long lines are buffered before they are written in one batch.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Sustained rate of request lines: three lines for each request at the design load of a box.
const LINES_PER_SECOND: f64 = 400.0;
/// Minimum interval between two warnings about dropped request lines.
const DROP_WARNING_INTERVAL: Millis = Millis(1000);
/// Request lines that may be written in one burst.
const MAX_BURST_LINES: f64 = 800.0;

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    data_available: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // The buffer holds plain bytes, which stay valid if a writer panicked with the lock.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A log writer that does not block on the output.
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

    /// Waits until all lines are written, for at most 200 ms (20 polls).
    pub fn flush_all(&self) {
        for _ in 0..20 {
            let buffer = self.0.lock();
            if buffer.bytes.is_empty() && !buffer.writing {
                return;
            }
            drop(buffer);
            thread::sleep(BATCH_DELAY / 10);
        }
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock();
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(bytes);
            if !buffer.writing {
                self.0.data_available.notify_one();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_out(shared: &Shared, mut out: impl Write) {
    let mut buffer = shared.lock();
    loop {
        while buffer.bytes.is_empty() {
            buffer.writing = false;
            let result = shared.data_available.wait(buffer);
            buffer = result.unwrap_or_else(PoisonError::into_inner);
        }
        buffer.writing = true;
        drop(buffer);
        thread::sleep(BATCH_DELAY);
        buffer = shared.lock();
        let bytes = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        drop(buffer);
        // Errors are ignored: there is no other place to report that the log cannot be written.
        let _ = out.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(out, "[WARN] log: dropped={dropped} reason=slow-reader");
        }
        let _ = out.flush();
        buffer = shared.lock();
    }
}

/// A token bucket that limits the log lines about single requests.
#[derive(Debug)]
pub(crate) struct Quota {
    tokens: f64,
    refilled_at: Time,
    dropped: u64,
    /// When the last warning about dropped lines was logged.
    warned_at: Time,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            tokens: MAX_BURST_LINES,
            refilled_at: Time(0),
            dropped: 0,
            warned_at: Time(0),
        }
    }
}

impl Quota {
    /// Takes one token and returns true if another line may be written at `now`; otherwise counts
    /// the line as dropped.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let Millis(elapsed_ms) = now.since(self.refilled_at);
        self.refilled_at = now;
        self.tokens =
            (self.tokens + elapsed_ms as f64 * LINES_PER_SECOND / 1000.0).min(MAX_BURST_LINES);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        if self.dropped > 0 && now.since(self.warned_at) >= DROP_WARNING_INTERVAL {
            log::warn!("log: dropped={} reason=too-many-requests", self.dropped);
            self.dropped = 0;
            self.warned_at = now;
        }
        true
    }
}
