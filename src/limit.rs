//! How many requests a second a backend server says that it takes, from all boxes together.

use crate::unit::Rate;

/// What one answer of a backend server says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// Nothing: it takes what its slots allow.
    Silent,
    /// It takes no more than this.
    Most(Rate),
    /// Something that is no such number: it counts as nothing.
    Unreadable,
}

impl Word {
    /// Reads the header of an answer, which may stand there several times or hold a list: the least
    /// number holds. Numbers are finite and not negative; anything else is left aside.
    pub fn read<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut fields = fields.into_iter().peekable();
        if fields.peek().is_none() {
            return Self::Silent;
        }
        let numbers = fields.flat_map(|field| field.split(|byte| *byte == b','));
        let least = numbers.filter_map(number).reduce(f64::min);
        least.map_or(Self::Unreadable, |least| Self::Most(Rate(least)))
    }

    /// The limit that it names.
    pub fn rate(self) -> Option<Rate> {
        match self {
            Self::Most(rate) => Some(rate),
            Self::Silent | Self::Unreadable => None,
        }
    }
}

fn number(text: &[u8]) -> Option<f64> {
    let number: f64 = str::from_utf8(text).ok()?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number.abs())
}
