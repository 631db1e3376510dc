//! Extracts one request from the logs of several boxes: every line with its id, sorted by time.
//!
//! Logs may be large, have a prefix before each line, and contain lines that are truncated or
//! interleaved; such lines are counted and left out.

use std::io::{self, BufRead};

/// Maximum length of a line in bytes. The rest of a longer one is skipped, and it counts as bad.
const MAX_LINE_BYTES: usize = 16 << 10;

/// One log line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was written, by the clock of the box.
    pub time: String,
    /// The log that contains it.
    pub log: String,
    /// The text before the time: a collector's prefix, often the name of the box.
    pub prefix: String,
    /// The text after the time.
    pub text: String,
}

/// The lines found in the logs so far.
#[derive(Clone, Debug, Default)]
pub struct Story {
    lines: Vec<Line>,
    bad: u64,
}

impl Story {
    /// Reads a log and keeps the lines of the request `id`.
    pub fn read(&mut self, log: &str, input: &mut impl BufRead, id: &str) -> io::Result<()> {
        let wanted = format!("request: id={id} ");
        // The order in which a box wrote its lines is kept even if its clock was set back.
        let mut last = String::new();
        let mut bytes = Vec::new();
        while read_line(input, &mut bytes)? {
            let Some(text) = find(&bytes, &wanted) else {
                continue;
            };
            let Some((prefix, time, rest)) = split(text) else {
                self.bad += 1;
                continue;
            };
            let time = sortable(time).max(last.clone());
            last.clone_from(&time);
            self.lines.push(Line {
                time,
                log: log.to_owned(),
                prefix: prefix.trim().to_owned(),
                text: rest.trim().to_owned(),
            });
        }
        Ok(())
    }

    /// Returns the lines sorted by time; lines of one log stay in their own order.
    pub fn into_lines(mut self) -> Vec<Line> {
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        self.lines
    }

    /// Returns the number of lines with the id that could not be parsed.
    pub fn bad(&self) -> u64 {
        self.bad
    }
}

/// Reads up to the next line end; returns false at the end of the log.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<bool> {
    line.clear();
    let mut any = false;
    loop {
        let buffer = input.fill_buf()?;
        if buffer.is_empty() {
            return Ok(any);
        }
        any = true;
        let end = buffer.iter().position(|b| *b == b'\n');
        let consumed = end.map_or(buffer.len(), |at| at + 1);
        let remaining = MAX_LINE_BYTES.saturating_sub(line.len());
        line.extend_from_slice(&buffer[..consumed.min(remaining)]);
        input.consume(consumed);
        if end.is_some() {
            return Ok(true);
        }
    }
}

/// Returns the line as text if it contains `wanted`.
fn find<'a>(line: &'a [u8], wanted: &str) -> Option<&'a str> {
    let found = line.windows(wanted.len()).any(|w| w == wanted.as_bytes());
    let text = found.then(|| str::from_utf8(line).unwrap_or_default());
    text.map(|text| text.trim_end())
}

/// Splits a line into the text before the time, the time, and the rest; `None` if the line is
/// truncated or interleaved with another.
fn split(text: &str) -> Option<(&str, &str, &str)> {
    let level = text.find(" [")?;
    let start = text[..level].rfind(' ').map_or(0, |at| at + 1);
    let time = &text[start..level];
    let valid_time = time.len() > 19 && time.ends_with('Z') && time.as_bytes()[10] == b'T';
    let rest = &text[level..];
    let has_one_id = rest.matches("request: id=").count() == 1;
    (valid_time && has_one_id).then_some((&text[..start], time, rest))
}

/// Returns the time with nine fractional digits, so that the text order is the order of time.
fn sortable(time: &str) -> String {
    let time = time.trim_end_matches('Z');
    let (seconds, fraction) = time.split_once('.').unwrap_or((time, ""));
    format!("{seconds}.{fraction:0<9}Z")
}
