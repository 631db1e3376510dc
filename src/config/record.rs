//! The record in the store for the gateway's own interface: the configuration and the operators'
//! roll-out orders.

use serde::{Deserialize, Serialize};

use crate::{config::Version, fleet::Rollouts};

/// A configuration as stored (JSON) and as sent between boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version number of the configuration.
    pub version: Version,
    /// A random id of the write, by which a writer recognises its own write.
    pub write: String,
    /// The author of the change.
    pub author: String,
    /// The configuration text: INI, or JSON where the platform supplies the configuration.
    pub text: String,
}

/// A configuration together with the roll-outs, under one version number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The configuration.
    #[serde(flatten)]
    pub envelope: Envelope,
    /// The version that last changed the text; `None` if that is the version of the record.
    #[serde(default)]
    pub edited: Option<Version>,
    /// The roll-out orders, and the progress that the boxes recorded for each.
    #[serde(default)]
    pub rollouts: Rollouts,
}

impl Record {
    /// Returns the version that last changed the text.
    pub fn edited(&self) -> Version {
        self.edited.unwrap_or(self.envelope.version)
    }

    /// Reports whether the current text is the text of version `base`, so that a change based on
    /// `base` overwrites no other change.
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

/// A record as sent between boxes. The compact encoding has no field names, so it cannot represent
/// the flattened envelope of [`Record`].
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
