//! Lists in the answers of other systems, parsed row by row.

use std::{fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, SeqAccess, Visitor},
};
use serde_json::value::RawValue;

/// Longest error text that is logged of a row, in characters.
const MAX_ERROR_CHARS: usize = 200;

/// Describes why a row cannot be parsed. The whole error may quote the row.
pub(crate) fn brief(error: &serde_json::Error) -> String {
    error.to_string().chars().take(MAX_ERROR_CHARS).collect()
}

/// The rows of a list that could be parsed. A row of another form is left out, so that it does not
/// hide the others.
pub(crate) struct Rows<T> {
    /// The rows, in order.
    pub(crate) rows: Vec<T>,
    /// How many rows were left out.
    unreadable: usize,
    /// Why the first of them was.
    first_error: Option<serde_json::Error>,
}

impl<T> Rows<T> {
    /// Reports whether the list had no rows at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.unreadable == 0
    }

    /// Describes the rows that were left out, if there are any.
    pub(crate) fn unreadable(&self) -> Option<String> {
        let error = brief(self.first_error.as_ref()?);
        let count = self.unreadable;
        Some(format!("{count} rows cannot be parsed, the first: {error}"))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Rows<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(List(PhantomData))
    }
}

struct List<T>(PhantomData<T>);

impl<'de, T: DeserializeOwned> Visitor<'de> for List<T> {
    type Value = Rows<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Rows<T>, A::Error> {
        let mut rows = Rows {
            rows: Vec::new(),
            unreadable: 0,
            first_error: None,
        };
        while let Some(row) = list.next_element::<&RawValue>()? {
            match serde_json::from_str(row.get()) {
                Ok(row) => rows.rows.push(row),
                Err(error) => {
                    rows.unreadable += 1;
                    rows.first_error.get_or_insert(error);
                }
            }
        }
        Ok(rows)
    }
}
