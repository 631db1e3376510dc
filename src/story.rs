//! A request's story out of the boxes' logs: every line that bears its id, in order of time.
//!
//! Logs may be large, come with a prefix before each line, and hold lines that are cut or mixed;
//! those are counted and left out.

use std::io::{self, BufRead};

/// Longest line that is looked at; the rest of a longer one is skipped, and it counts as bad.
const MAX_LINE: usize = 16 << 10;

/// One line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was written, as the box's clock told.
    pub time: String,
    /// The log that it stands in.
    pub log: String,
    /// What stands before the time: a collector's prefix, often the box's name.
    pub prefix: String,
    /// What it tells.
    pub text: String,
}

/// What was found in the logs so far.
#[derive(Clone, Debug, Default)]
pub struct Story {
    lines: Vec<Line>,
    bad: u64,
}

impl Story {
    /// Reads a log and keeps the lines of `id`.
    pub fn read(&mut self, log: &str, input: &mut impl BufRead, id: &str) -> io::Result<()> {
        let wanted = format!("request: id={id} ");
        // A clock that is set back does not change the order in which a box wrote.
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

    /// The lines in order of time; those of one log stay in their own order.
    pub fn into_lines(mut self) -> Vec<Line> {
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        self.lines
    }

    /// Lines that bear the id and do not read.
    pub fn bad(&self) -> u64 {
        self.bad
    }
}

/// Reads up to the next end of a line; false at the end of the log.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<bool> {
    line.clear();
    let mut some = false;
    loop {
        let buffer = input.fill_buf()?;
        if buffer.is_empty() {
            return Ok(some);
        }
        some = true;
        let end = buffer.iter().position(|b| *b == b'\n');
        let taken = end.map_or(buffer.len(), |at| at + 1);
        let room = MAX_LINE.saturating_sub(line.len());
        line.extend_from_slice(&buffer[..taken.min(room)]);
        input.consume(taken);
        if end.is_some() {
            return Ok(true);
        }
    }
}

/// The line as text, where it holds `wanted`.
fn find<'a>(line: &'a [u8], wanted: &str) -> Option<&'a str> {
    let found = line.windows(wanted.len()).any(|w| w == wanted.as_bytes());
    let text = found.then(|| str::from_utf8(line).unwrap_or_default());
    text.map(|text| text.trim_end())
}

/// What stands before the time, the time, and what follows; none where a line is cut or mixed.
fn split(text: &str) -> Option<(&str, &str, &str)> {
    let level = text.find(" [")?;
    let start = text[..level].rfind(' ').map_or(0, |at| at + 1);
    let time = &text[start..level];
    let whole = time.len() > 19 && time.ends_with('Z') && time.as_bytes()[10] == b'T';
    let rest = &text[level..];
    let alone = rest.matches("request: id=").count() == 1;
    (whole && alone).then_some((&text[..start], time, rest))
}

/// The time with nine digits behind the point, so that texts compare as times do.
fn sortable(time: &str) -> String {
    let time = time.trim_end_matches('Z');
    let (seconds, fraction) = time.split_once('.').unwrap_or((time, ""));
    format!("{seconds}.{fraction:0<9}Z")
}
