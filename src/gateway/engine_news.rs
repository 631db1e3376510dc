//! Follows the cache events of the engines assigned to this box: one task per engine, with one call
//! at a time.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    task::AbortHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    gateway::{core::Core, dial::Pool},
    id::{self, Incarnation},
    memory::report::Report,
    platform::{call::Error, engine},
    reducer::event::Event,
};

/// Shortest time between the starts of two calls for events: a busy engine always has new ones.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between the starts of two lists: an engine interrupts its work to make one.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Age after which the list is read again, to correct what events did not report.
const LIST_MAX_AGE: Duration = Duration::from_secs(20);
/// Wait after a failed call: the first, and the longest; it doubles with each failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Why the list of cached parts is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelistReason {
    /// Events are missing, or the engine has restarted.
    Gap,
    /// The list is older than [`LIST_MAX_AGE`].
    Age,
}

/// An exponential backoff.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(BACKOFF.0)
    }

    async fn wait(&mut self) {
        sleep(self.0).await;
        self.0 = BACKOFF.1.min(self.0 * 2);
    }
}

/// Follows one engine for as long as it is polled, and passes its list, its events and failed calls
/// to `report`.
pub async fn follow(pool: &Arc<Pool>, address: SocketAddr, report: impl Fn(Result<Report, Error>)) {
    let mut backoff = Backoff::new();
    loop {
        let started = Instant::now();
        match engine::list_cached(pool, address).await {
            Ok(listing) => {
                backoff = Backoff::new();
                report(Ok(Report::All(listing.parts)));
                if poll_events(pool, address, listing.cursor, &report).await == RelistReason::Gap {
                    report(Ok(Report::Gap));
                }
                sleep_until(started + LIST_INTERVAL).await;
            }
            Err(error) => {
                report(Err(error));
                backoff.wait().await;
            }
        }
    }
}

/// Polls events until a new list is needed.
async fn poll_events(
    pool: &Arc<Pool>,
    address: SocketAddr,
    mut cursor: engine::Cursor,
    report: &impl Fn(Result<Report, Error>),
) -> RelistReason {
    let listed_at = Instant::now();
    let mut backoff = Backoff::new();
    while listed_at.elapsed() < LIST_MAX_AGE {
        let started = Instant::now();
        match engine::events(pool, address, &cursor).await {
            Ok(page) if page.gap => return RelistReason::Gap,
            Ok(page) => {
                backoff = Backoff::new();
                cursor = page.cursor;
                report(Ok(Report::Changes(page.changes)));
                sleep_until(started + CALL_INTERVAL).await;
            }
            Err(error) => {
                report(Err(error));
                backoff.wait().await;
            }
        }
    }
    RelistReason::Age
}

impl Core {
    /// Starts to follow an engine, in place of an earlier task for it.
    pub(super) fn follow_engine(
        &mut self,
        backend: id::Backend,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
    ) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        log::info!("engine: backend={backend} address={address} state=followed");
        let (pool, metrics) = (self.parts.pool.clone(), self.parts.metrics.clone());
        let name = backend.clone();
        let task = tokio::spawn(async move {
            let report = |news: Result<Report, Error>| {
                let kind = news.as_ref().map_or("failed", Report::kind);
                metrics.engine_news.with_label_values(&[kind]).inc();
                let news = match news {
                    Ok(news) => news,
                    Err(error) => {
                        return log::warn!("engine: backend={backend} call failed: {error}");
                    }
                };
                match &news {
                    Report::All(parts) => {
                        log::info!("engine: backend={backend} parts={}", parts.len());
                    }
                    Report::Gap => log::warn!("engine: backend={backend} events were missed"),
                    Report::Changes(_) => {}
                }
                handle.tell(Event::EngineReport {
                    backend: backend.clone(),
                    incarnation,
                    news,
                });
            };
            follow(&pool, address, report).await;
        });
        if let Some(old) = self.followers.insert(name, task.abort_handle()) {
            old.abort();
        }
    }

    /// Stops following an engine.
    pub(super) fn unfollow_engine(&mut self, backend: &id::Backend) {
        if let Some(task) = self.followers.remove(backend) {
            task.abort();
            log::info!("engine: backend={backend} state=left");
        }
    }
}

/// The tasks that follow engines, by backend server.
pub(super) type Followers = std::collections::HashMap<id::Backend, AbortHandle>;
