//! What all tasks of one box share, and the small questions that they ask of it.

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
use tokio::sync::{Semaphore, watch};

use crate::{
    config::Version,
    fleet::Revision,
    gateway::{
        body::Body,
        clock::{Clock, Moment},
        core::{Current, Handle},
        dial::Pool,
        head,
        metrics::Metrics,
        pack,
        replay::Replay,
        signs::Signs,
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

/// When to come back to a box that has no configuration yet.
const READY_SOON: Millis = Millis(1000);

/// What all tasks of one box share.
pub(crate) struct Shell {
    pub(super) settings: Arc<Settings>,
    pub(super) identity: Identity,
    pub(super) clock: Clock,
    pub(super) core: Handle,
    pub(super) pool: Arc<Pool>,
    pub(super) signs: Arc<Signs>,
    pub(super) store: Store,
    pub(super) replay: Arc<Replay>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) tracer: Tracer,
    pub(super) current: watch::Receiver<Option<Current>>,
    pub(super) bodies: Arc<Semaphore>,
    pub(super) requests: AtomicU64,
    pub(super) stop: watch::Sender<bool>,
    /// Lists of backend servers, and of what changed after a revision, as they were packed lately, and when.
    pub(super) rosters: Mutex<Rosters>,
}

/// How long a packed list is given out: boxes that start together ask for it together, and packing 10,002
/// servers takes a box of an eighth of a core some tenths of a second. A hub is asked for the same changes by
/// all boxes of its failure domain that missed them. Who takes an older list fetches what changed since.
const PACKED_FOR: Duration = Duration::from_secs(1);

/// Packed lists by the revision after which they tell what changed; none for all servers.
type Rosters = BTreeMap<Option<Revision>, (Moment, Bytes)>;

impl Shell {
    /// What this box knows of registered backend servers, or what changed of it after `since`, as other boxes
    /// fetch it.
    pub(super) async fn packed_roster(
        &self,
        since: Option<Revision>,
    ) -> eyre::Result<Option<Bytes>> {
        if let Some((at, packed)) = self.lock_rosters().get(&since)
            && at.elapsed() < PACKED_FOR
        {
            return Ok(Some(packed.clone()));
        }
        let Some(roster) = self.core.roster(since).await else {
            return Ok(None);
        };
        let packed = pack::pack(&roster)?;
        let mut rosters = self.lock_rosters();
        rosters.retain(|_, (at, _)| at.elapsed() < PACKED_FOR);
        rosters.insert(since, (Moment::now(), packed.clone()));
        Ok(Some(packed))
    }

    fn lock_rosters(&self) -> MutexGuard<'_, Rosters> {
        // A packed list is whole whatever a panicking task did.
        self.rosters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn next_request(&self) -> id::Request {
        id::Request(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn is_secret(&self, secret: &[u8]) -> bool {
        self.settings.cluster_secret.as_bytes().ct_eq(secret).into()
    }

    pub(super) fn is_admin(&self, token: &[u8]) -> bool {
        self.settings.admin_token.as_bytes().ct_eq(token).into()
    }

    /// Refuses a stranger before its body is read; the reducer decides again.
    pub(super) fn known(&self, credential: &Credential) -> Result<(), Reply> {
        let current = self.current.borrow();
        let Some(current) = current.as_ref() else {
            let reply = Reply::new(503, Verdict::NotRun, "this box is not ready");
            return Err(reply.after(READY_SOON));
        };
        match credential {
            Credential::Key(hash) if current.config.customer(hash).is_some() => Ok(()),
            // Some route needs none; the reducer looks at the route.
            _ if current.config.anonymous.is_some() => Ok(()),
            _ => Err(Reply::new(401, Verdict::NotRun, "the API key is unknown")),
        }
    }

    /// Whether customers have API keys, by the configuration in force.
    pub(super) fn has_keys(&self) -> bool {
        let current = self.current.borrow();
        current.as_ref().is_some_and(|c| c.config.has_keys())
    }

    /// A fresh pin that names this box.
    pub(super) fn own_pin(&self) -> Pin {
        Pin {
            peer: self.identity.contact.peer,
            incarnation: self.identity.incarnation,
            expiry: self.clock.now() + pin::LIFE,
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
        head::json_answer(code, &content)
    }

    pub(super) fn stop(&self) {
        self.stop.send_replace(true);
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }
}
