//! Follows the engines whose news of their memory this box is to hear: each by a task with one call at a time.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    task::AbortHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    gateway::{core::Core, dial::Pool},
    id::{self, Incarnation},
    memory::news::News,
    platform::{call::Error, engine},
    reducer::event::Event,
};

/// Shortest time between the beginnings of two calls: a busy engine has something to tell at any time.
const PACE: Duration = Duration::from_millis(500);
/// Shortest time between two lists: an engine interrupts its work for one.
const LIST_PACE: Duration = Duration::from_secs(2);
/// After this long a new list makes good what events did not tell.
const LIST_AGAIN: Duration = Duration::from_secs(20);
/// How long a call that failed is not repeated: the first time, and at most.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Why a list is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Events are missing, or the engine started again.
    Gap,
    /// It is time.
    Age,
}

/// A pause after a failure, longer after each.
struct Pause(Duration);

impl Pause {
    fn new() -> Self {
        Self(BACK_OFF.0)
    }

    async fn wait(&mut self) {
        sleep(self.0).await;
        self.0 = BACK_OFF.1.min(self.0 * 2);
    }
}

/// Hears one engine for as long as it is polled, and passes its news to `tell`.
pub async fn follow(pool: &Arc<Pool>, address: SocketAddr, tell: impl Fn(Result<News, Error>)) {
    let mut pause = Pause::new();
    loop {
        let began = Instant::now();
        match engine::listed(pool, address).await {
            Ok(listed) => {
                pause = Pause::new();
                tell(Ok(News::All(listed.parts)));
                if listen(pool, address, listed.cursor, &tell).await == Reason::Gap {
                    tell(Ok(News::Gap));
                }
                sleep_until(began + LIST_PACE).await;
            }
            Err(error) => {
                tell(Err(error));
                pause.wait().await;
            }
        }
    }
}

/// Hears events until a new list is needed.
async fn listen(
    pool: &Arc<Pool>,
    address: SocketAddr,
    mut cursor: engine::Cursor,
    tell: &impl Fn(Result<News, Error>),
) -> Reason {
    let listed = Instant::now();
    let mut pause = Pause::new();
    while listed.elapsed() < LIST_AGAIN {
        let began = Instant::now();
        match engine::events(pool, address, &cursor).await {
            Ok(page) if page.gap => return Reason::Gap,
            Ok(page) => {
                pause = Pause::new();
                cursor = page.cursor;
                tell(Ok(News::Changes(page.changes)));
                sleep_until(began + PACE).await;
            }
            Err(error) => {
                tell(Err(error));
                pause.wait().await;
            }
        }
    }
    Reason::Age
}

impl Core {
    /// Begins to hear an engine.
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
            let tell = |news: Result<News, Error>| {
                let kind = news.as_ref().map_or("failed", News::kind);
                metrics.engine_news.with_label_values(&[kind]).inc();
                let news = match news {
                    Ok(news) => news,
                    Err(error) => return log::warn!("engine: backend={backend} unheard: {error}"),
                };
                match &news {
                    News::All(parts) => {
                        log::info!("engine: backend={backend} parts={}", parts.len());
                    }
                    News::Gap => log::warn!("engine: backend={backend} events were missed"),
                    News::Changes(_) => {}
                }
                handle.tell(Event::EngineNews {
                    backend: backend.clone(),
                    incarnation,
                    news,
                });
            };
            follow(&pool, address, tell).await;
        });
        if let Some(old) = self.followers.insert(name, task.abort_handle()) {
            old.abort();
        }
    }

    /// Hears an engine no longer.
    pub(super) fn unfollow_engine(&mut self, backend: &id::Backend) {
        if let Some(task) = self.followers.remove(backend) {
            task.abort();
            log::info!("engine: backend={backend} state=left");
        }
    }
}

/// The tasks that hear engines.
pub(super) type Followers = std::collections::HashMap<id::Backend, AbortHandle>;
