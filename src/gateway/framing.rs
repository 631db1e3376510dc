//! Detects requests with both a `Content-Length` and a `Transfer-Encoding`.
//!
//! The HTTP library accepts such a request and goes by the chunks. A proxy in front may have used
//! the length and seen a different request after it (request smuggling), so such a request has to
//! be refused.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use hyper::{HeaderMap, header::TRANSFER_ENCODING};

/// Length of the longest name that the scanner looks for.
const MAX_NAME_BYTES: usize = "transfer-encoding".len();

/// State shared by a connection's scanner and its request handler.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flags(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    ambiguous: AtomicBool,
    /// Heads that were scanned, and requests that were counted.
    heads: AtomicUsize,
    requests: AtomicUsize,
    answered: AtomicBool,
    last: AtomicBool,
}

impl Flags {
    /// Counts a request; reports whether its length, or that of an earlier one on this connection, is
    /// ambiguous. That of a request with chunks is, if its head was not scanned because it arrived
    /// together with the request before it.
    pub(crate) fn is_ambiguous(&self, request: &HeaderMap) -> bool {
        let requests = self.0.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let unscanned = self.0.heads.load(Ordering::Acquire) < requests;
        let ambiguous = unscanned && request.contains_key(TRANSFER_ENCODING);
        ambiguous || self.0.ambiguous.load(Ordering::Relaxed)
    }

    /// Marks the current request as answered: the scanner takes the next bytes as the start of a
    /// head, unless the answer is the `last` on its connection.
    pub(crate) fn mark_answered(&self, last: bool) {
        self.0.last.store(last, Ordering::Relaxed);
        self.0.answered.store(true, Ordering::Release);
    }
}

/// The start of a line, up to its colon.
#[derive(Debug, Default)]
struct Line {
    name: [u8; MAX_NAME_BYTES],
    length: usize,
    /// Whether the name is complete or too long.
    named: bool,
    /// Whether the name is longer than those that are looked for.
    too_long: bool,
    /// Whether the line has any bytes.
    begun: bool,
}

/// Scans the request heads on one connection without keeping them.
#[derive(Debug)]
pub(crate) struct Scanner {
    flags: Flags,
    in_head: bool,
    /// Bytes of the current head so far.
    length: usize,
    line: Line,
    /// Whether a line of the head was read; empty lines before it are skipped.
    begun: bool,
    has_length: bool,
    has_coding: bool,
}

impl Scanner {
    /// Creates a scanner for a new connection.
    pub(crate) fn new(flags: Flags) -> Self {
        Self {
            flags,
            in_head: true,
            length: 0,
            line: Line::default(),
            begun: false,
            has_length: false,
            has_coding: false,
        }
    }

    /// Scans the bytes that were read from the connection. Returns how many bytes the head of the
    /// current request has so far.
    pub(crate) fn read(&mut self, bytes: &[u8]) -> usize {
        if self.flags.0.answered.swap(false, Ordering::Acquire) {
            self.start_head();
            self.in_head = !self.flags.0.last.load(Ordering::Relaxed);
        }
        for &byte in bytes {
            if !self.in_head {
                break;
            }
            self.length += 1;
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => self.line.push(byte),
            }
        }
        self.length
    }

    fn start_head(&mut self) {
        self.in_head = true;
        self.length = 0;
        self.begun = false;
        self.has_length = false;
        self.has_coding = false;
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() {
            self.begun = true;
            self.has_length |= line.is_named(b"content-length");
            self.has_coding |= line.is_named(b"transfer-encoding");
            return;
        }
        if !self.begun {
            return;
        }
        if self.has_length && self.has_coding {
            self.flags.0.ambiguous.store(true, Ordering::Relaxed);
        }
        self.flags.0.heads.fetch_add(1, Ordering::Release);
        self.in_head = false;
    }
}

impl Line {
    fn push(&mut self, byte: u8) {
        self.begun = true;
        if self.named || byte.is_ascii_whitespace() {
            return;
        }
        if byte == b':' || self.length == MAX_NAME_BYTES {
            self.named = true;
            self.too_long = byte != b':';
            return;
        }
        self.name[self.length] = byte;
        self.length += 1;
    }

    fn is_empty(&self) -> bool {
        !self.begun
    }

    fn is_named(&self, name: &[u8]) -> bool {
        !self.too_long && self.name[..self.length].eq_ignore_ascii_case(name)
    }
}
