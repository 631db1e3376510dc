//! The headers by which a backend server's answers speak of the server itself.

use serde::{Deserialize, Serialize};

/// What each of them is called; one that has no name is not read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers {
    /// An answer with this header means that the request did not run there.
    pub refusal: Option<String>,
    /// How many requests a second the server takes from all boxes.
    pub limit: Option<String>,
    /// Whether the server is leaving.
    pub leaving: Option<String>,
}
