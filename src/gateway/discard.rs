//! Reads the rest of refused request bodies. Closing a connection while its peer still writes resets
//! it, and the response would be lost.

use std::{sync::Arc, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
};
use tokio::{sync::Semaphore, time::timeout};

use crate::platform;

/// Limits on the bytes of one body that are read, and on the time for that.
const MAX_BYTES: usize = 16 << 20;
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bodies that are read at once, over all listeners. Beyond it the connection is
/// closed, and its client may not receive the response.
const MAX_BODIES: usize = 64;

/// Reads and drops what clients still send after they were refused.
#[derive(Clone, Debug)]
pub(crate) struct Discard(Arc<Semaphore>);

impl Default for Discard {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BODIES)))
    }
}

impl Discard {
    /// Reads the rest of `body` in the background; nothing of it is kept. The connection is closed after
    /// the response: where the next request would begin depends on what the client still sends.
    pub(crate) fn rest(&self, body: Incoming, response: &mut HeaderMap) {
        if body.is_end_stream() {
            return;
        }
        platform::head::close(response);
        let Ok(permit) = self.0.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let mut rest = Limited::new(body, MAX_BYTES);
            let read = async { while let Some(Ok(_)) = rest.frame().await {} };
            let _ = timeout(TIMEOUT, read).await;
            drop(permit);
        });
    }
}
