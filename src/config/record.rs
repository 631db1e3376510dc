//! What the store holds under the key of our own interface: the configuration, and the operators' orders for
//! roll-outs beside it.

use serde::{Deserialize, Serialize};

use crate::{config::Version, fleet::Rollouts};

/// A configuration as it stands in the store (JSON) and as boxes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The number of this configuration.
    pub version: Version,
    /// A random mark of the write, by which a writer knows its own.
    pub write: String,
    /// Who changed it.
    pub author: String,
    /// The INI text.
    pub text: String,
}

/// A configuration with the roll-outs that stand beside it, all under one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The configuration.
    #[serde(flatten)]
    pub envelope: Envelope,
    /// The version in which the text changed last; none where that is the version of the record.
    #[serde(default)]
    pub edited: Option<Version>,
    /// The orders, and what the boxes wrote of them.
    #[serde(default)]
    pub rollouts: Rollouts,
}

impl Record {
    /// The version in which the text changed last.
    pub fn edited(&self) -> Version {
        self.edited.unwrap_or(self.envelope.version)
    }

    /// Whether a change that is based on `base` knows the text that stands.
    pub fn is_known(&self, base: Version) -> bool {
        (self.edited()..=self.envelope.version).contains(&base)
    }
}

impl From<Envelope> for Record {
    fn from(envelope: Envelope) -> Self {
        let rollouts = Rollouts::new();
        Self {
            envelope,
            edited: None,
            rollouts,
        }
    }
}

/// As boxes pass it on: the compact form has no keys, so nothing may be flattened.
pub type Parcel = (Envelope, Option<Version>, Rollouts);

impl From<Parcel> for Record {
    fn from((envelope, edited, rollouts): Parcel) -> Self {
        Self {
            envelope,
            edited,
            rollouts,
        }
    }
}

impl From<Record> for Parcel {
    fn from(record: Record) -> Self {
        (record.envelope, record.edited, record.rollouts)
    }
}
