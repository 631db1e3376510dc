//! Names of the response headers in which a backend server reports its own state.

use serde::{Deserialize, Serialize};

/// The header names of a backend server; a header without a name is not read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers {
    /// Marks a response to a request that was refused and did not run on the server.
    pub refusal: Option<String>,
    /// Carries the requests per second that the server accepts from all boxes together.
    pub limit: Option<String>,
    /// Carries how many requests per second the server may have to reject without falling over, while
    /// it is brittle.
    pub brittle: Option<String>,
    /// Reports whether the server is leaving.
    pub leaving: Option<String>,
}
