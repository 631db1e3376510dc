//! Streams of events: where each event ends, and which of them may be passed on.

use bytes::{Bytes, BytesMut};

/// Longest event that is gathered; a longer one passes as it comes and cannot be resumed.
const MAX_EVENT: usize = 256 << 10;

/// What stands on the line that has not ended yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Follows the bytes of a stream of events, in whatever pieces they come.
///
/// Lines end with LF, CR or CRLF, and an empty line ends an event.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    line: Line,
    /// Whether a field stands before this line since the last empty one.
    open: bool,
    /// Whether the last byte was a CR.
    after_cr: bool,
    /// Whether some line ended with CRLF.
    crlf: bool,
    events: u64,
}

impl Scanner {
    /// Takes the next bytes; returns where the last empty line among them ends.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, &byte) in bytes.iter().enumerate() {
            if std::mem::take(&mut self.after_cr) && byte == b'\n' {
                self.crlf = true;
                if !self.open {
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

    /// Ends the line; returns whether it was empty.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        match line {
            Line::Empty => self.events += u64::from(std::mem::take(&mut self.open)),
            Line::Comment => {}
            Line::Field => self.open = true,
        }
        line == Line::Empty
    }

    /// Whether the stream stands inside an event or a line.
    pub fn is_inside(&self) -> bool {
        let half_line_end = self.after_cr && self.crlf;
        self.open || self.line != Line::Empty || half_line_end
    }

    /// Whether a stream whose connection closes here has come to its end. One that brought no event
    /// has not.
    pub fn is_whole(&self) -> bool {
        self.events > 0 && !self.is_inside()
    }

    /// Events that have ended.
    pub fn events(&self) -> u64 {
        self.events
    }
}

/// Passes on whole events only, so that a cut never leaves half of one with the caller.
#[derive(Debug, Default)]
pub struct Events {
    scanner: Scanner,
    partial: BytesMut,
    last: Option<String>,
    /// Whether a part of an event was passed on, and the id that it told.
    split: bool,
    split_id: Option<String>,
}

impl Events {
    /// Takes bytes of the stream and returns those that end an event, with what came before.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let end = self.scanner.push(&bytes);
        let whole = match end {
            Some(end) if self.partial.is_empty() && end == bytes.len() => bytes,
            end => {
                self.partial.extend_from_slice(&bytes);
                let after = bytes.len() - end.unwrap_or(0);
                self.split_partial(end.map(|_| self.partial.len() - after))
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

    /// Whether a part of an event was passed on whose rest is still to come: no other server can bring
    /// that.
    pub fn is_split(&self) -> bool {
        self.split
    }

    /// Takes out what ends at `end`, or all of an event that grows too long.
    fn split_partial(&mut self, end: Option<usize>) -> Bytes {
        let part = match end {
            Some(end) => self.partial.split_to(end),
            None if self.partial.len() > MAX_EVENT => self.partial.split(),
            None => BytesMut::new(),
        };
        part.freeze()
    }

    /// What came after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets the half of an event that a cut left.
    pub fn forget_partial(&mut self) {
        self.partial.clear();
        self.scanner = Scanner::default();
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// The id that the last event of `bytes` tells.
fn last_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}
