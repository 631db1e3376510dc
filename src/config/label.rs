//! Labels and the matchers that select by them.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// What operators hang on a caller, route, model or backend server: `team=ward, pool=new`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// The value of `key`, where it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}

impl FromStr for Labels {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let mut labels = BTreeMap::new();
        for part in parts(text) {
            let (key, value) = part
                .split_once('=')
                .ok_or(format!("{part:?} is not KEY=VALUE"))?;
            let old = labels.insert(word(key)?, word(value)?);
            if old.is_some() {
                return Err(format!("{key:?} stands twice"));
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

/// Terms that must all hold: `pool=new, tier!=test`; an empty one matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher(Vec<Term>);

impl Matcher {
    /// Whether every term holds for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        let holds = |term: &Term| (labels.get(&term.key) == Some(&term.value)) == term.equal;
        self.0.iter().all(holds)
    }

    /// Whether there is no term.
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
                key: word(key)?,
                value: word(value)?,
                equal,
            })
        };
        parts(text).map(term).collect::<Result<_, _>>().map(Self)
    }
}

fn parts(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|p| !p.is_empty())
}

fn word(text: &str) -> Result<String, String> {
    let text = text.trim();
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    if text.is_empty() || !text.chars().all(plain) {
        return Err(format!("{text:?} is not a plain word"));
    }
    Ok(text.to_owned())
}
