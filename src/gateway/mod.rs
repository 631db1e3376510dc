//! The gateway process on a box: the sockets, clocks and tasks around the reducer.
//!
//! | module | responsibility |
//! |---|---|
//! | `shell` | state shared by all tasks of one box |
//! | `core` | the actor that owns the reducer and applies its effects |
//! | `exchange`, `bodies`, `read`, `attempt`, `resume` | handling of one request and its response |
//! | `stream`, `delimiter`, [`events`], [`records`], [`checksum`] | response streams |
//! | `serve`, `framing`, `dial`, `socket`, `body`, `head`, `discard`, `connections` | HTTP to callers, backend servers and boxes |
//! | `gossip`, `pull` | messages between boxes over nng's protocol |
//! | `store`, `follow`, `list` | the platform, through the gateway's own interface |
//! | [`sync`], `directory` | the platform, through the users' interface |
//! | `rows` | lists in the answers of other systems |
//! | `liveness` | liveness of backend servers, observed on response streams |
//! | [`admin`], [`order`] | the admin API, and roll-outs that operators start and stop |
//! | `worst_customers` | the customers with the worst service on this box |
//! | `repeats` | usage of the retry budgets |
//! | `report`, [`lines`] | request logging and metrics, and the non-blocking log writer |
//! | `metrics`, `trace`, `clock`, `replay`, [`pack`] | supporting modules |

pub mod admin;
mod ask;
mod attempt;
mod bodies;
mod body;
mod carry;
pub mod checksum;
pub mod clock;
mod connections;
mod core;
mod delimiter;
pub mod dial;
mod directory;
mod discard;
pub mod engine_news;
pub mod events;
mod exchange;
mod follow;
mod framing;
mod gossip;
mod head;
pub mod lines;
mod list;
mod liveness;
mod metrics;
pub mod order;
mod outbound;
pub mod pack;
mod pull;
mod read;
pub mod records;
mod repeats;
mod replay;
mod report;
mod resume;
pub(crate) mod rows;
mod serve;
mod shell;
mod socket;
mod store;
mod store_writes;
mod stream;
pub mod sync;
mod trace;
mod worst_customers;

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU64},
    time::Duration,
};

use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    reducer::{Grace, Identity, TICK, effect::Follow, event::Event},
    settings::{Interface, Settings},
    wire::Contact,
};

use self::{
    bodies::Bodies,
    clock::Clock,
    connections::{Budget, Clients},
    core::{Handle, Parts},
    dial::Pool,
    liveness::Liveness,
    metrics::Metrics,
    replay::Replay,
    shell::Shell,
    store::Store,
    trace::Tracer,
};

pub use self::head::{DEADLINE_MS, IDEMPOTENCY_KEY, KEY_PREFIX, REGION, VERDICT};

/// Interval at which a stopping box checks whether any requests are still in flight.
const STOP_POLL: Duration = Duration::from_millis(50);

/// The addresses that a box listens on. A port of 0 in the settings is replaced here by the port
/// that the kernel assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The listener for callers.
    pub public: SocketAddr,
    /// The HTTP listener for other boxes.
    pub peer: SocketAddr,
    /// The nng listener for other boxes.
    pub gossip: SocketAddr,
    /// The listener of the admin API.
    pub admin: SocketAddr,
    /// The listener for the platform's readiness checks.
    pub ready: Option<SocketAddr>,
    /// The listener on which callers look up boxes.
    pub directory: Option<SocketAddr>,
    /// The listener for metrics collectors.
    pub metrics: Option<SocketAddr>,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            public,
            peer,
            gossip,
            admin,
            ready,
            directory,
            metrics,
        } = self;
        write!(
            f,
            "public={public} peer={peer} gossip={gossip} admin={admin}"
        )?;
        let optional = [
            ("ready", ready),
            ("directory", directory),
            ("metrics", metrics),
        ];
        for (name, address) in optional {
            if let Some(address) = address {
                write!(f, " {name}={address}")?;
            }
        }
        Ok(())
    }
}

/// Triggers the graceful shutdown of a box.
#[derive(Clone, Debug)]
pub struct Stopper(watch::Sender<bool>);

impl Stopper {
    /// Starts the shutdown; further calls have no effect.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

/// Applies reloaded settings to a running box.
#[derive(Clone)]
pub struct Reloader {
    core: Handle,
    current: Settings,
}

impl Reloader {
    /// Applies the settings that can change at run time; all others take effect after a restart.
    pub fn reload(&mut self, settings: Settings) {
        if settings == self.current {
            return log::info!("settings: reloaded, unchanged.");
        }
        let Settings {
            seeds, retry, size, ..
        } = settings.clone();
        self.current.seeds.clone_from(&seeds);
        self.current.retry = retry;
        if size != self.current.size {
            log::info!("settings: size {size}, previously {}.", self.current.size);
            self.core.tell(Event::WeightChanged(size.weight()));
        }
        self.current.size = size;
        log::info!("settings: reloaded, seeds={} retry={retry:?}.", seeds.len());
        if settings != self.current {
            log::warn!("settings: other changes take effect after a restart.");
        }
        self.current = settings;
        self.core.tell(Event::Reloaded { seeds, retry });
    }

    /// Reports whether `settings` differ from those applied last.
    pub fn differs(&self, settings: &Settings) -> bool {
        self.current != *settings
    }
}

/// A running box.
pub struct Gateway {
    shell: Arc<Shell>,
    listeners: Vec<JoinHandle<()>>,
    closing: watch::Sender<bool>,
    /// The listener for other boxes, which closes last.
    peer_listener: JoinHandle<()>,
    closing_peer: watch::Sender<bool>,
    bound: Bound,
}

impl Gateway {
    /// Starts a box. All listeners are bound when this returns.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new()?);
        let tracer = Tracer::new(&settings.name, settings.trace)?;
        let public = serve::bind(settings.public, "callers").await?;
        let peer = serve::bind(settings.peer, "boxes").await?;
        let admin = serve::bind(settings.admin, "operators").await?;
        let gossip = serve::bind(settings.gossip, "messages").await?;
        let optional = directory::bind(&settings).await?;
        let bound = Bound {
            public: public.local_addr()?,
            peer: peer.local_addr()?,
            gossip: gossip.local_addr()?,
            admin: admin.local_addr()?,
            ready: optional.ready_address(),
            directory: optional.directory_address(),
            metrics: optional.metrics_address(),
        };
        let identity = identity(&settings, &bound);
        let pool = Arc::new(Pool::default());
        let replay = Arc::new(Replay::default());
        let (watch_store, watch_store_rx) = watch::channel(false);
        let (boxes, boxes_rx) = watch::channel(1);
        let (follow, follow_rx) = watch::channel(Follow::default());
        let (watch_closely, watch_closely_rx) = watch::channel(false);
        let recheck_store = Arc::new(Notify::new());
        let (current, current_rx) = watch::channel(None);
        let secret = settings.cluster_secret.clone();
        let store = Store::new(
            settings.stores.clone(),
            &settings.store_key,
            pool.clone(),
            metrics.clone(),
        );
        let core = Handle::start(Parts {
            clock,
            links: gossip::Links::new(secret.clone(), metrics.clone()),
            pool: pool.clone(),
            settings: settings.clone(),
            replay: replay.clone(),
            metrics: metrics.clone(),
            store: store.clone(),
            watch_store,
            boxes,
            follow,
            watch_closely,
            recheck_store: recheck_store.clone(),
            current,
            identity: identity.clone(),
            policy: settings.policy,
        })
        .await;
        log::info!("settings: size {}.", settings.size);
        core.tell(Event::WeightChanged(settings.size.weight()));
        let budget = Budget::new(settings.descriptors, settings.size.memory, metrics.clone());
        let senders = budget.listener(Clients::Senders);
        gossip::listen(gossip, senders, secret, core.clone(), metrics.clone());
        match settings.interface {
            Interface::Own => start_store_follower(&settings, &store, &core, &watch_store_rx),
            Interface::Platform => {
                let duty = sync::Role {
                    boxes: boxes_rx,
                    follow: follow_rx,
                    closely: watch_closely_rx,
                    recheck: recheck_store,
                };
                sync::start(&pool, &core, &settings, &metrics, duty);
            }
        }
        if let Some(address) = settings.list {
            tokio::spawn(list::run(
                address,
                pool.clone(),
                core.clone(),
                watch_store_rx,
            ));
        }
        let signs = Arc::<Liveness>::default();
        tokio::spawn(tick(core.clone(), signs.clone()));
        let shell = Arc::new(Shell {
            bodies: Bodies::new(settings.body_memory),
            discard: Default::default(),
            budget,
            settings,
            identity,
            clock,
            core,
            pool,
            signs,
            store,
            replay,
            metrics,
            tracer,
            current: current_rx,
            requests: AtomicU64::new(1),
            stop: watch::Sender::new(false),
            roster_cache: Mutex::default(),
        });
        log::info!(
            "box: {} is up in {}.",
            shell.settings.name,
            shell.settings.region
        );
        log::info!("box: listening on {bound}.");
        let closing = watch::Sender::new(false);
        let closing_peer = watch::Sender::new(false);
        let peer_listener = listen_to_boxes(&shell, peer, &closing_peer);
        let mut listeners = listeners(&shell, public, admin, &closing);
        listeners.extend(directory::serve(&shell, optional, &closing));
        Ok(Self {
            shell,
            listeners,
            closing,
            peer_listener,
            closing_peer,
            bound,
        })
    }

    /// Returns the addresses that the box listens on.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Returns a handle that applies reloaded settings to this box.
    pub fn reloader(&self) -> Reloader {
        Reloader {
            core: self.shell.core.clone(),
            current: Settings::clone(&self.shell.settings),
        }
    }

    /// Returns a handle that triggers the graceful shutdown of this box.
    pub fn stopper(&self) -> Stopper {
        Stopper(self.shell.stop.clone())
    }

    /// Runs until a requested graceful shutdown is complete.
    ///
    /// Returns an error if the reducer has failed. No request can be routed without it, so the
    /// process should exit.
    pub async fn run(self) -> eyre::Result<()> {
        let mut stop_requested = self.shell.stop.subscribe();
        tokio::select! {
            _ = stop_requested.wait_for(|stop| *stop) => {}
            () = self.shell.core.stopped() => eyre::bail!("the reducer failed; see the log"),
        }
        log::info!("box: stopping; new callers are redirected to other boxes.");
        let linger = self.shell.settings.linger;
        let grace = self.shell.settings.grace;
        let grace = grace.map(|length| Grace { linger, length });
        self.shell.core.tell(Event::Stop(grace));
        sleep(linger.duration()).await;
        log::info!("box: closing the listeners; requests in flight continue.");
        self.closing.send_replace(true);
        for listener in self.listeners {
            if let Err(error) = listener.await {
                log::error!("box: listener task failed: {error}.");
            }
        }
        // Requests that continue after their caller disconnected have no open connection here, so
        // the listeners did not wait for them.
        while self
            .shell
            .core
            .status()
            .await
            .is_some_and(|s| s.requests > 0)
        {
            sleep(STOP_POLL).await;
        }
        // The other boxes may lack what only this one knows.
        self.closing_peer.send_replace(true);
        if let Err(error) = self.peer_listener.await {
            log::error!("box: listener task failed: {error}.");
        }
        let tracer = self.shell.tracer.clone();
        let _ = tokio::task::spawn_blocking(move || tracer.shutdown()).await;
        log::info!("box: stopped.");
        Ok(())
    }
}

/// Starts following the store through the gateway's own interface.
fn start_store_follower(
    settings: &Arc<Settings>,
    store: &Store,
    core: &Handle,
    watch_store: &watch::Receiver<bool>,
) {
    let (store, core) = (store.clone(), core.clone());
    tokio::spawn(follow::run(
        store,
        core,
        settings.clone(),
        watch_store.clone(),
    ));
}

fn identity(settings: &Settings, bound: &Bound) -> Identity {
    let advertised = settings.advertise;
    Identity {
        contact: Contact {
            name: settings.name.clone(),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            public: advertised.public.unwrap_or(bound.public),
            peer: advertised.peer.unwrap_or(bound.peer),
            gossip: advertised.gossip.unwrap_or(bound.gossip),
        },
        incarnation: clock::incarnation(),
        seeds: settings.seeds.clone(),
        retry: settings.retry,
        registry: settings.interface == Interface::Platform,
        tolerance: settings.tolerance,
        exposure: settings.exposure,
        first_start: settings.first_start,
    }
}

/// Serves the other boxes until `closing` is set.
fn listen_to_boxes(
    shell: &Arc<Shell>,
    peer: tokio::net::TcpListener,
    closing: &watch::Sender<bool>,
) -> JoinHandle<()> {
    let shared = shell.clone();
    let boxes = move |request| exchange::serve(shared.clone(), request, exchange::Ingress::Peer);
    tokio::spawn(serve::run(
        peer,
        shell.settings.max_head.0 as usize,
        shell.budget.listener(Clients::Boxes),
        closing.subscribe(),
        boxes,
    ))
}

/// Serves callers and operators until `closing` is set.
fn listeners(
    shell: &Arc<Shell>,
    public: tokio::net::TcpListener,
    admin: tokio::net::TcpListener,
    closing: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let max_head = shell.settings.max_head.0 as usize;
    let callers = {
        let shell = shell.clone();
        move |request| exchange::serve(shell.clone(), request, exchange::Ingress::Public)
    };
    let operators = {
        let shell = shell.clone();
        move |request| admin::serve(shell.clone(), request)
    };
    vec![
        tokio::spawn(serve::run(
            public,
            max_head,
            shell.budget.listener(Clients::Callers),
            closing.subscribe(),
            callers,
        )),
        tokio::spawn(serve::run(
            admin,
            max_head,
            shell.budget.listener(Clients::Operators),
            closing.subscribe(),
            operators,
        )),
    ]
}

async fn tick(core: Handle, signs: Arc<Liveness>) {
    let mut ticks = interval(TICK.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let alive = signs.drain();
        if !alive.is_empty() {
            core.tell(Event::StreamsActive(alive));
        }
        core.tell(Event::Tick);
    }
}
