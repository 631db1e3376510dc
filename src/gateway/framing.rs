//! Detects requests with both a `Content-Length` and a `Transfer-Encoding`.
//!
//! The HTTP library accepts such a request and goes by the chunks. A proxy in front may have used
//! the length and seen a different request after it (request smuggling), so such a request has to
//! be refused.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Maximum size of a scanned head; the HTTP library refuses longer ones.
const MAX_HEAD_BYTES: usize = 64 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// State shared by a connection's scanner and its request handler.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flags(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    ambiguous: AtomicBool,
    answered: AtomicBool,
}

impl Flags {
    /// Reports whether a request on this connection had an ambiguous length.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.0.ambiguous.load(Ordering::Relaxed)
    }

    /// Marks the current request as answered: the scanner takes the next bytes as the start of a
    /// head.
    pub(crate) fn mark_answered(&self) {
        self.0.answered.store(true, Ordering::Relaxed);
    }
}

/// Scans the request heads on one connection.
#[derive(Debug)]
pub(crate) struct Scanner {
    flags: Flags,
    head: Vec<u8>,
    in_head: bool,
}

impl Scanner {
    /// Creates a scanner for a new connection.
    pub(crate) fn new(flags: Flags) -> Self {
        Self {
            flags,
            head: Vec::new(),
            in_head: true,
        }
    }

    /// Scans the bytes that were read from the connection.
    pub(crate) fn read(&mut self, bytes: &[u8]) {
        if self.flags.0.answered.swap(false, Ordering::Relaxed) {
            self.in_head = true;
            self.head.clear();
        }
        if !self.in_head || bytes.is_empty() {
            return;
        }
        let from = self.head.len().saturating_sub(HEAD_END.len());
        self.head.extend_from_slice(bytes);
        let end = self.head[from..]
            .windows(HEAD_END.len())
            .position(|w| w == HEAD_END);
        if let Some(end) = end {
            let head = &self.head[..from + end];
            if has_two_lengths(head) {
                self.flags.0.ambiguous.store(true, Ordering::Relaxed);
            }
            self.in_head = false;
            self.head.clear();
        } else if self.head.len() > MAX_HEAD_BYTES {
            self.in_head = false;
            self.head.clear();
        }
    }
}

/// Reports whether `head` has both a length and a transfer coding.
fn has_two_lengths(head: &[u8]) -> bool {
    let (mut length, mut coding) = (false, false);
    for line in head.split(|b| *b == b'\n') {
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        let name = name.trim_ascii();
        length |= name.eq_ignore_ascii_case(b"content-length");
        coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    length && coding
}
