//! Labels, and matchers that select by label.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Key-value pairs that operators attach to a customer, route, model or backend server, such as
/// `team=ward, pool=new`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// Returns the value of `key`, if it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}

impl FromStr for Labels {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let mut labels = BTreeMap::new();
        for part in split_list(text) {
            let (key, value) = part
                .split_once('=')
                .ok_or(format!("{part:?} is not KEY=VALUE"))?;
            let previous = labels.insert(parse_token(key)?, parse_token(value)?);
            if previous.is_some() {
                return Err(format!("duplicate key {key:?}"));
            }
        }
        Ok(Self(labels))
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pairs: Vec<String> = self.0.iter().map(|(k, v)| format!("{k}={v}")).collect();
        f.write_str(&pairs.join(", "))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Term {
    key: String,
    value: String,
    equal: bool,
}

/// A conjunction of terms such as `pool=new, tier!=test`; an empty matcher matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher(Vec<Term>);

impl Matcher {
    /// Reports whether every term holds for `labels`. A term `key!=value` also holds if `key` is
    /// not set.
    pub fn matches(&self, labels: &Labels) -> bool {
        let holds = |term: &Term| (labels.get(&term.key) == Some(&term.value)) == term.equal;
        self.0.iter().all(holds)
    }

    /// Reports whether the matcher has no terms.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromStr for Matcher {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let term = |part: &str| {
            let (key, value, equal) = match part.split_once("!=") {
                Some((key, value)) => (key, value, false),
                None => {
                    let (key, value) = part
                        .split_once('=')
                        .ok_or(format!("{part:?} is not KEY=VALUE or KEY!=VALUE"))?;
                    (key, value, true)
                }
            };
            Ok(Term {
                key: parse_token(key)?,
                value: parse_token(value)?,
                equal,
            })
        };
        split_list(text)
            .map(term)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|p| !p.is_empty())
}

/// Trims a label key or value and checks its characters.
fn parse_token(text: &str) -> Result<String, String> {
    let text = text.trim();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    if text.is_empty() || !text.chars().all(is_allowed) {
        return Err(format!(
            "{text:?} must consist of ASCII letters, digits, '.', '_', '-' and '/'"
        ));
    }
    Ok(text.to_owned())
}
