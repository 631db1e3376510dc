//! State shared by all tasks of one box, and simple queries on it.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::sync::watch;

use crate::{
    config::Version,
    fleet::Revision,
    gateway::{
        bodies::Bodies,
        body::Body,
        clock::{BootInstant, Clock},
        connections::Budget,
        core::{Current, Handle},
        dial::Pool,
        discard::Discard,
        head,
        liveness::Liveness,
        metrics::Metrics,
        pack,
        replay::Replay,
        store::Store,
        trace::Tracer,
    },
    id,
    pin::{self, Pin},
    reducer::{Identity, effect::Reply, event::Credential},
    settings::Settings,
    unit::Millis,
    verdict::Verdict,
    wire::Phase,
};

/// Retry delay that is sent to callers of a box that has no configuration yet.
const UNREADY_RETRY_AFTER: Millis = Millis(1000);

/// The state that all tasks of one box share.
pub(crate) struct Shell {
    pub(super) settings: Arc<Settings>,
    pub(super) identity: Identity,
    pub(super) clock: Clock,
    pub(super) core: Handle,
    pub(super) pool: Arc<Pool>,
    pub(super) signs: Arc<Liveness>,
    pub(super) store: Store,
    pub(super) replay: Arc<Replay>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) tracer: Tracer,
    pub(super) current: watch::Receiver<Option<Current>>,
    pub(super) bodies: Bodies,
    /// The connections that clients may open.
    pub(super) budget: Budget,
    /// Reads what clients still send after they were refused.
    pub(super) discard: Discard,
    pub(super) requests: AtomicU64,
    pub(super) stop: watch::Sender<bool>,
    /// Recently packed lists of backend servers, complete or limited to the changes after a
    /// revision.
    pub(super) roster_cache: Mutex<RosterCache>,
}

/// How long a packed list is served from the cache.
///
/// Boxes that start together request the list together, and packing 10,002 servers takes some
/// tenths of a second on an eighth of a core. A hub also receives requests for the same changes
/// from all boxes of its failure domain that missed them. A box that receives an outdated list
/// fetches the changes made since.
const ROSTER_CACHE_TTL: Duration = Duration::from_secs(1);

/// Packed lists with the time of packing, by the revision after which they list changes; the key is
/// `None` for the complete list.
type RosterCache = BTreeMap<Option<Revision>, (BootInstant, Bytes)>;

impl Shell {
    /// Returns the registered backend servers that this box knows, or the changes after `since`, in
    /// the encoding that other boxes fetch.
    pub(super) async fn packed_roster(
        &self,
        since: Option<Revision>,
    ) -> eyre::Result<Option<Bytes>> {
        if let Some((at, packed)) = self.lock_roster_cache().get(&since)
            && at.elapsed() < ROSTER_CACHE_TTL
        {
            return Ok(Some(packed.clone()));
        }
        let Some(roster) = self.core.roster(since).await else {
            return Ok(None);
        };
        let packed = pack::pack(&roster)?;
        let mut cache = self.lock_roster_cache();
        cache.retain(|_, (at, _)| at.elapsed() < ROSTER_CACHE_TTL);
        cache.insert(since, (BootInstant::now(), packed.clone()));
        Ok(Some(packed))
    }

    fn lock_roster_cache(&self) -> MutexGuard<'_, RosterCache> {
        // Entries are inserted whole, so the map is consistent even if a task panicked with the
        // lock.
        self.roster_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn next_request(&self) -> id::Request {
        id::Request(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn is_cluster_secret(&self, secret: &[u8]) -> bool {
        self.settings.cluster_secret.as_bytes().ct_eq(secret).into()
    }

    pub(super) fn is_admin(&self, token: &[u8]) -> bool {
        self.settings.admin_token.as_bytes().ct_eq(token).into()
    }

    /// Rejects unknown callers before their body is read. The reducer repeats the check.
    pub(super) fn check_credential(&self, credential: &Credential) -> Result<(), Reply> {
        let current = self.current.borrow();
        let Some(current) = current.as_ref() else {
            let reply = Reply::new(503, Verdict::NotRun, "this box is not ready");
            return Err(reply.with_retry_after(UNREADY_RETRY_AFTER));
        };
        match credential {
            Credential::Key(hash) if current.config.customer(hash).is_some() => Ok(()),
            // Some routes may allow anonymous requests; the reducer checks the route.
            _ if current.config.anonymous.is_some() => Ok(()),
            _ => Err(Reply::new(401, Verdict::NotRun, "the API key is unknown")),
        }
    }

    /// Reports whether the active configuration gives customers API keys.
    pub(super) fn has_keys(&self) -> bool {
        let current = self.current.borrow();
        current.as_ref().is_some_and(|c| c.config.has_api_keys())
    }

    /// Creates a pin that names this box and expires after the default lifetime.
    pub(super) fn new_pin(&self) -> Pin {
        Pin {
            peer: self.identity.contact.peer,
            incarnation: self.identity.incarnation,
            expiry: self.clock.now() + pin::PIN_LIFETIME,
        }
    }

    pub(super) async fn readiness(&self) -> Response<Body> {
        let phase = self.core.phase().await;
        let ready = phase == Some(Phase::Ready);
        let code = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let current = self.current.borrow().clone();
        let version = current.map_or(Version(0), |c| c.config.version);
        let content = serde_json::json!({ "ready": ready, "version": version });
        head::json_response(code, &content)
    }

    pub(super) fn stop(&self) {
        self.stop.send_replace(true);
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }
}
