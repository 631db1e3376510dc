//! How long a backend server asks the box that it turned away to send it nothing.
//!
//! Load pattern: a server turns requests away with a time to come back. A refusal alone keeps a box away for a
//! moment, since a slot of a full server is free again after that; then each request is a new refusal.

use crate::unit::Millis;

/// Longest time that is heeded: a server that names more is asked again after it.
const MOST: Millis = Millis(600_000);

/// What an answer says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Nothing.
    Silent,
    /// The server wants nothing from this box for so long.
    Span(Millis),
    /// Something that is no time in seconds: it counts as nothing.
    Unreadable,
}

impl Word {
    /// Reads the header of an answer, which may stand there several times: the longest time holds. Times are
    /// seconds, fractions included; a date counts as unreadable, since clocks may differ.
    pub fn read<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut fields = fields.into_iter().peekable();
        if fields.peek().is_none() {
            return Self::Silent;
        }
        let longest = fields.filter_map(span).max();
        longest.map_or(Self::Unreadable, Self::Span)
    }
}

fn span(field: &[u8]) -> Option<Millis> {
    let seconds: f64 = str::from_utf8(field).ok()?.trim().parse().ok()?;
    let readable = seconds.is_finite() && seconds >= 0.0;
    readable.then(|| Millis((seconds * 1000.0).ceil() as u64).min(MOST))
}
