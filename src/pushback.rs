//! Pauses that backend servers request with a refusal: how long this box is to send them nothing.
//!
//! Load pattern: a server refuses requests and states when to retry. A refusal alone keeps a box
//! away only briefly, since a full server has a free slot again after that; each further request
//! would then be refused as well.

use crate::unit::Millis;

/// Longest pause that is respected: a server that requests more is tried again after it.
const MAX_PUSHBACK: Millis = Millis(600_000);

/// The pause that an answer requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// No pause is requested.
    Absent,
    /// The server requests that this box send it nothing for this time.
    Pause(Millis),
    /// The header is not a time in seconds and is ignored.
    Unreadable,
}

impl Pushback {
    /// Reads the header of an answer. The header may be repeated; the longest time applies. Times
    /// are in seconds, fractions included; a date counts as unreadable, since clocks may differ.
    pub fn read<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut fields = fields.into_iter().peekable();
        if fields.peek().is_none() {
            return Self::Absent;
        }
        let longest = fields.filter_map(parse_seconds).max();
        longest.map_or(Self::Unreadable, Self::Pause)
    }
}

fn parse_seconds(field: &[u8]) -> Option<Millis> {
    let seconds: f64 = str::from_utf8(field).ok()?.trim().parse().ok()?;
    let readable = seconds.is_finite() && seconds >= 0.0;
    readable.then(|| Millis((seconds * 1000.0).ceil() as u64).min(MAX_PUSHBACK))
}
