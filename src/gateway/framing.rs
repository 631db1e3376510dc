//! Notices requests whose length is told in two ways.
//!
//! The HTTP library takes a request with both a length and chunks, and goes by the chunks. Another
//! reader on the way may have gone by the length and so see another request behind it; such a
//! request has to be refused.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Largest head that is looked at; the HTTP library refuses longer ones.
const MAX_HEAD: usize = 64 << 10;
const END: &[u8] = b"\r\n\r\n";

/// What the bytes of one connection were seen to hold; shared by its reader and its service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flags(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    ambiguous: AtomicBool,
    answered: AtomicBool,
}

impl Flags {
    /// Whether the request in hand tells its length twice.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.0.ambiguous.load(Ordering::Relaxed)
    }

    /// Notes that the request in hand was read whole: what comes next is a head.
    pub(crate) fn answered(&self) {
        self.0.answered.store(true, Ordering::Relaxed);
    }
}

/// Follows the heads on one connection.
#[derive(Debug)]
pub(crate) struct Scanner {
    flags: Flags,
    head: Vec<u8>,
    in_head: bool,
}

impl Scanner {
    /// A scanner of a fresh connection.
    pub(crate) fn new(flags: Flags) -> Self {
        Self {
            flags,
            head: Vec::new(),
            in_head: true,
        }
    }

    /// Takes the bytes that were read.
    pub(crate) fn read(&mut self, bytes: &[u8]) {
        if self.flags.0.answered.swap(false, Ordering::Relaxed) {
            self.in_head = true;
            self.head.clear();
        }
        if !self.in_head || bytes.is_empty() {
            return;
        }
        let from = self.head.len().saturating_sub(END.len());
        self.head.extend_from_slice(bytes);
        let end = self.head[from..].windows(END.len()).position(|w| w == END);
        if let Some(end) = end {
            let head = &self.head[..from + end];
            if tells_twice(head) {
                self.flags.0.ambiguous.store(true, Ordering::Relaxed);
            }
            self.in_head = false;
            self.head.clear();
        } else if self.head.len() > MAX_HEAD {
            self.in_head = false;
            self.head.clear();
        }
    }
}

/// Whether `head` names both a length and a transfer coding.
fn tells_twice(head: &[u8]) -> bool {
    let (mut length, mut coding) = (false, false);
    for line in head.split(|b| *b == b'\n') {
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        let name = name.trim_ascii();
        length |= name.eq_ignore_ascii_case(b"content-length");
        coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    length && coding
}
