//! Reads INI text and collects every fault, each with its file, section and key.

use std::{collections::BTreeSet, fmt, str::FromStr};

use ::ini::{Ini, ParseOption, Properties};
use similar::TextDiff;

/// Minimum similarity of a misspelt key to the key that is suggested.
const MIN_SIMILARITY: f32 = 0.7;

/// One fault in a text, and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The name of the file or other source.
    pub file: String,
    /// The section; empty for the text as a whole.
    pub section: String,
    /// The key; empty for the section as a whole.
    pub key: String,
    /// A short description of the fault.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

/// All faults of one text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// A parsed text that collects faults while it is read.
pub struct Reader {
    file: String,
    ini: Ini,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses `text`; `file` is the name used in faults.
    pub fn new(file: &str, text: &str) -> Result<Self, Faults> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let fault = |problem: String| {
            Faults(vec![Fault {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                problem,
            }])
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|e| fault(e.to_string()))?;
        let mut reader = Self {
            file: file.to_owned(),
            ini,
            faults: Vec::new(),
        };
        reader.reject_keys_outside_sections();
        reader.reject_repeated_sections(text);
        Ok(reader)
    }

    fn reject_keys_outside_sections(&mut self) {
        let keys: Vec<String> = self
            .ini
            .general_section()
            .iter()
            .map(|(key, _)| key.to_owned())
            .collect();
        for key in keys {
            self.fault("", &key, "appears before the first section");
        }
    }

    /// The library silently merges sections of the same name, so their titles are read here.
    fn reject_repeated_sections(&mut self, text: &str) {
        let mut seen = BTreeSet::new();
        let titles = text.lines().filter_map(|line| {
            let (title, _) = line.trim().strip_prefix('[')?.split_once(']')?;
            Some(title.trim().to_owned())
        });
        let repeated: Vec<String> = titles.filter(|title| !seen.insert(title.clone())).collect();
        for section in repeated {
            self.fault(&section, "", "stands twice");
        }
    }

    /// Records a fault.
    pub fn fault(&mut self, section: &str, key: &str, problem: impl fmt::Display) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.to_string(),
        });
    }

    /// Returns the names of the sections, in the order of the text.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Reads one section; a missing one reads as empty.
    pub fn section(&mut self, name: &str) -> Section<'_> {
        let found = self.ini.section(Some(name)).cloned();
        Section {
            reader: self,
            name: name.to_owned(),
            properties: found.unwrap_or_default(),
            known: BTreeSet::new(),
        }
    }

    /// Returns `value`, or the faults if there are any.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(Faults(self.faults)),
        }
    }
}

/// A section being read; [`Section::end`] rejects the keys that were not read.
pub struct Section<'a> {
    reader: &'a mut Reader,
    name: String,
    properties: Properties,
    known: BTreeSet<String>,
}

impl Section<'_> {
    /// Records a fault of this section.
    pub fn fault(&mut self, key: &str, problem: impl fmt::Display) {
        let name = self.name.clone();
        self.reader.fault(&name, key, problem);
    }

    fn raw(&mut self, key: &str) -> Option<String> {
        self.known.insert(key.to_owned());
        let values: Vec<String> = self.properties.get_all(key).map(str::to_owned).collect();
        if values.len() > 1 {
            self.fault(key, "stands twice");
        }
        values.into_iter().next().map(|v| v.trim().to_owned())
    }

    /// Reads an optional key; an unreadable value is a fault and reads as absent.
    pub fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.raw(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(key, format_args!("{text:?}: {error}"));
                None
            }
        }
    }

    /// Reads a required key.
    pub fn required<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if self.properties.get(key).is_none() {
            self.known.insert(key.to_owned());
            self.fault(key, "is missing");
            return None;
        }
        self.optional(key)
    }

    /// Reads a key with a default.
    pub fn or<T>(&mut self, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Reads a comma-separated list; an absent key is an empty list.
    pub fn list<T>(&mut self, key: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.raw(key).unwrap_or_default();
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.fault(key, format_args!("{part:?}: {error}")),
            }
        }
        values
    }

    /// Rejects every key that was not read.
    pub fn end(mut self) {
        let unread: Vec<String> = self
            .properties
            .iter()
            .map(|(key, _)| key.to_owned())
            .filter(|key| !self.known.contains(key))
            .collect();
        for key in unread {
            let problem = match self.most_similar(&key) {
                Some(known) => format!("is not a key of this section; did you mean {known:?}?"),
                None => "is not a key of this section".to_owned(),
            };
            self.fault(&key, problem);
        }
    }

    /// Returns the key of this section that is most similar to `key`, if one is similar enough.
    fn most_similar(&self, key: &str) -> Option<&str> {
        let ratios = self.known.iter().map(|known| {
            let ratio = TextDiff::from_chars(key, known.as_str()).ratio();
            (ratio, known.as_str())
        });
        let best = ratios.max_by(|a, b| a.0.total_cmp(&b.0));
        best.filter(|(ratio, _)| *ratio >= MIN_SIMILARITY)
            .map(|(_, known)| known)
    }
}
