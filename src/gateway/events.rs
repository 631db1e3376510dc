//! Server-sent events: finds the end of each event and decides which bytes may be forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event; a longer one is forwarded as it arrives and cannot be resumed
/// until it ends.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Content of the current, unfinished line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Scans a stream of events that arrives in chunks of any size.
///
/// Lines end with LF, CR or CRLF, and an empty line ends an event.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    line: Line,
    /// Whether a field was read since the last empty line.
    in_event: bool,
    /// Whether the last byte was a CR.
    after_cr: bool,
    /// Whether any line so far ended with CRLF.
    crlf: bool,
    events: u64,
}

impl Scanner {
    /// Scans the next bytes and returns the position after the last empty line among them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, &byte) in bytes.iter().enumerate() {
            if std::mem::take(&mut self.after_cr) && byte == b'\n' {
                self.crlf = true;
                if !self.in_event {
                    end = Some(at + 1);
                }
                continue;
            }
            self.after_cr = byte == b'\r';
            if !matches!(byte, b'\r' | b'\n') {
                self.extend_line(byte);
            } else if self.end_line() {
                end = Some(at + 1);
            }
        }
        end
    }

    fn extend_line(&mut self, byte: u8) {
        if self.line == Line::Empty {
            self.line = if byte == b':' {
                Line::Comment
            } else {
                Line::Field
            };
        }
    }

    /// Ends the current line and returns whether it was empty.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        match line {
            Line::Empty => self.events += u64::from(std::mem::take(&mut self.in_event)),
            Line::Comment => {}
            Line::Field => self.in_event = true,
        }
        line == Line::Empty
    }

    /// Reports whether the stream is inside an event or a line. After a CR in a stream that uses
    /// CRLF, the LF is still expected.
    pub fn is_inside(&self) -> bool {
        let half_line_end = self.after_cr && self.crlf;
        self.in_event || self.line != Line::Empty || half_line_end
    }

    /// Reports whether a stream whose connection closes here is complete; a stream without any
    /// event is not.
    pub fn is_whole(&self) -> bool {
        self.events > 0 && !self.is_inside()
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }
}

/// Buffers a stream so that only complete events are forwarded, and a cut never leaves the caller
/// with part of one.
#[derive(Debug, Default)]
pub struct Events {
    scanner: Scanner,
    partial: BytesMut,
    last: Option<String>,
    /// Whether part of an event too long to buffer was forwarded, and the last id in that part.
    split: bool,
    split_id: Option<String>,
}

impl Events {
    /// Adds bytes of the stream, and returns the bytes up to the end of the last complete event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let end = self.scanner.push(&bytes);
        let whole = match end {
            Some(end) if self.partial.is_empty() && end == bytes.len() => bytes,
            end => {
                self.partial.extend_from_slice(&bytes);
                let after = bytes.len() - end.unwrap_or(0);
                self.take_partial(end.map(|_| self.partial.len() - after))
            }
        };
        if end.is_some() {
            self.split = false;
            let id = last_id(&whole).or(self.split_id.take());
            self.last = id.or(self.last.take());
        } else if !whole.is_empty() {
            self.split = true;
            self.split_id = last_id(&whole).or(self.split_id.take());
        }
        whole
    }

    /// Reports whether part of an event was forwarded whose remainder is still to come; no other
    /// server can supply that.
    pub fn is_split(&self) -> bool {
        self.split
    }

    /// Removes the buffered bytes before `end`, or the whole buffer if the event exceeds
    /// [`MAX_EVENT_BYTES`].
    fn take_partial(&mut self, end: Option<usize>) -> Bytes {
        let part = match end {
            Some(end) => self.partial.split_to(end),
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.split(),
            None => BytesMut::new(),
        };
        part.freeze()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the partial event that a cut left in the buffer.
    pub fn forget_partial(&mut self) {
        self.partial.clear();
        self.scanner = Scanner::default();
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// Returns the last event id in `bytes`.
fn last_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}
