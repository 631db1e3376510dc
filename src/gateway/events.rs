//! Streams of events: where each event ends.

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

    /// Events that have ended.
    pub fn events(&self) -> u64 {
        self.events
    }
}
