//! The long-running process on a box: sockets, clocks and tasks around the reducer.
//!
//! | module | job |
//! |---|---|
//! | `shell` | what all tasks of one box share |
//! | `core` | the actor that owns the reducer and carries out its effects |
//! | `exchange`, `read`, `attempt`, `resume` | one request and its answer |
//! | `stream`, `delimiter`, [`events`], [`records`], [`checksum`] | an answer on its way, and where it ends |
//! | `serve`, `framing`, `dial`, `body`, `head` | HTTP to callers, backend servers and boxes |
//! | `gossip` | nng between boxes |
//! | `store`, `follow`, `list` | the platform, by our own interface |
//! | [`sync`], `directory` | the users' platform |
//! | `signs` | what streams tell of backend servers |
//! | [`admin`], [`order`] | the operators' interface, and their orders for roll-outs |
//! | `worst` | which customers are served worst here |
//! | `repeats` | how the retry budgets are used |
//! | `report`, [`lines`] | what the log and the metrics tell, and the log's way out |
//! | `metrics`, `trace`, `clock`, `replay`, [`pack`] | what these need |

pub mod admin;
mod ask;
mod attempt;
mod body;
mod carry;
pub mod checksum;
pub mod clock;
mod core;
mod delimiter;
pub(crate) mod dial;
mod directory;
pub mod engine_news;
mod errand;
pub mod events;
mod exchange;
mod follow;
mod framing;
mod gossip;
mod head;
mod keep;
pub mod lines;
mod list;
mod metrics;
pub mod order;
pub mod pack;
mod read;
pub mod records;
mod repeats;
mod replay;
mod report;
mod resume;
mod serve;
mod shell;
mod signs;
mod store;
mod stream;
pub mod sync;
mod trace;
mod worst;

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU64},
    time::Duration,
};

use tokio::{
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    reducer::{Identity, TICK, effect::Follow, event::Event},
    settings::{Interface, Settings},
    wire::Contact,
};

use self::{
    clock::Clock,
    core::{Handle, Parts},
    dial::Pool,
    metrics::Metrics,
    replay::Replay,
    shell::Shell,
    signs::Signs,
    store::Store,
    trace::Tracer,
};

pub use self::head::{IDEMPOTENCY_KEY, KEY_PREFIX, LEFT, REGION, VERDICT};

/// How often a box that stops looks whether its work is done.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Where a box listens; a port of 0 in the settings was chosen by the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub public: SocketAddr,
    /// For other boxes, HTTP.
    pub peer: SocketAddr,
    /// For other boxes, nng.
    pub gossip: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For the platform's readiness checks.
    pub ready: Option<SocketAddr>,
    /// For look-ups of boxes.
    pub directory: Option<SocketAddr>,
    /// For collectors of metrics.
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
        let more = [
            ("ready", ready),
            ("directory", directory),
            ("metrics", metrics),
        ];
        for (name, address) in more {
            if let Some(address) = address {
                write!(f, " {name}={address}")?;
            }
        }
        Ok(())
    }
}

/// Begins the planned stop of a box.
#[derive(Clone, Debug)]
pub struct Stopper(watch::Sender<bool>);

impl Stopper {
    /// Begins it; a second call changes nothing.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

/// Takes over settings that were read again.
#[derive(Clone)]
pub struct Reloader {
    core: Handle,
    current: Settings,
}

impl Reloader {
    /// Takes over what may change while a box runs; the rest waits for a restart.
    pub fn reload(&mut self, settings: Settings) {
        if settings == self.current {
            return log::info!("settings: read again, unchanged.");
        }
        let Settings {
            seeds, retry, size, ..
        } = settings.clone();
        self.current.seeds.clone_from(&seeds);
        self.current.retry = retry;
        if size != self.current.size {
            log::info!("settings: size {size}, before {}.", self.current.size);
            self.core.tell(Event::Sized(size.weight()));
        }
        self.current.size = size;
        log::info!(
            "settings: read again, seeds={} retry={retry:?}.",
            seeds.len()
        );
        if settings != self.current {
            log::warn!("settings: other changes wait for a restart.");
        }
        self.current = settings;
        self.core.tell(Event::Reloaded { seeds, retry });
    }

    /// Whether `settings` differ from those last taken over.
    pub fn is_news(&self, settings: &Settings) -> bool {
        self.current != *settings
    }
}

/// A box that runs.
pub struct Gateway {
    shell: Arc<Shell>,
    listeners: Vec<JoinHandle<()>>,
    closing: watch::Sender<bool>,
    bound: Bound,
}

impl Gateway {
    /// Starts a box; every listener is bound before this returns.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new()?);
        let tracer = Tracer::new(&settings.name, settings.trace)?;
        let public = serve::bind(settings.public, "callers").await?;
        let peer = serve::bind(settings.peer, "boxes").await?;
        let admin = serve::bind(settings.admin, "operators").await?;
        let gossip = gossip::bind(settings.gossip).await?;
        let more = directory::bind(&settings).await?;
        let bound = Bound {
            public: public.local_addr()?,
            peer: peer.local_addr()?,
            gossip: gossip.address,
            admin: admin.local_addr()?,
            ready: more.ready_address(),
            directory: more.directory_address(),
            metrics: more.metrics_address(),
        };
        let identity = identity(&settings, &bound);
        let pool = Arc::new(Pool::default());
        let replay = Arc::new(Replay::default());
        let (duty, duty_seen) = watch::channel(false);
        let (boxes, boxes_seen) = watch::channel(1);
        let (follow, follow_seen) = watch::channel(Follow::default());
        let (current, current_seen) = watch::channel(None);
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
            duty,
            boxes,
            follow,
            current,
            identity: identity.clone(),
            policy: settings.policy,
        })
        .await;
        log::info!("settings: size {}.", settings.size);
        core.tell(Event::Sized(settings.size.weight()));
        gossip::listen(gossip, secret, core.clone(), metrics.clone());
        match settings.interface {
            Interface::Own => follow_own(&settings, &store, &core, &duty_seen),
            Interface::Platform => {
                let duty = sync::Duty {
                    boxes: boxes_seen,
                    follow: follow_seen,
                };
                sync::start(&pool, &core, &settings, &metrics, duty);
            }
        }
        if let Some(address) = settings.list {
            tokio::spawn(list::run(address, pool.clone(), core.clone(), duty_seen));
        }
        let signs = Arc::<Signs>::default();
        tokio::spawn(tick(core.clone(), signs.clone()));
        let pieces = settings.body_memory.0.div_ceil(read::PIECE);
        let shell = Arc::new(Shell {
            bodies: Arc::new(Semaphore::new(pieces as usize)),
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
            current: current_seen,
            requests: AtomicU64::new(1),
            stop: watch::Sender::new(false),
            rosters: Mutex::default(),
        });
        log::info!(
            "box: {} is up in {}.",
            shell.settings.name,
            shell.settings.region
        );
        log::info!("box: listens on {bound}.");
        let closing = watch::Sender::new(false);
        let mut listeners = listeners(&shell, public, peer, admin, &closing);
        listeners.extend(directory::serve(&shell, more, &closing));
        Ok(Self {
            shell,
            listeners,
            closing,
            bound,
        })
    }

    /// Where the box listens.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// A way to bring settings that were read again.
    pub fn reloader(&self) -> Reloader {
        Reloader {
            core: self.shell.core.clone(),
            current: Settings::clone(&self.shell.settings),
        }
    }

    /// A way to begin the planned stop from elsewhere.
    pub fn stopper(&self) -> Stopper {
        Stopper(self.shell.stop.clone())
    }

    /// Runs until a planned stop was asked for and has ended; an error means that the reducer broke,
    /// and that the process should end, since it can decide nothing any more.
    pub async fn run(self) -> eyre::Result<()> {
        let mut asked = self.shell.stop.subscribe();
        tokio::select! {
            _ = asked.wait_for(|stop| *stop) => {}
            () = self.shell.core.stopped() => eyre::bail!("the reducer broke; see the log"),
        }
        log::info!("box: stopping; new callers are sent elsewhere.");
        self.shell.core.tell(Event::Stop);
        sleep(self.shell.settings.linger.duration()).await;
        log::info!("box: the listeners close; requests in flight go on.");
        self.closing.send_replace(true);
        for listener in self.listeners {
            if let Err(error) = listener.await {
                log::error!("box: a listener broke: {error}.");
            }
        }
        // Requests that go on without their caller have no connection here.
        while self
            .shell
            .core
            .status()
            .await
            .is_some_and(|s| s.requests > 0)
        {
            sleep(STOP_POLL).await;
        }
        let tracer = self.shell.tracer.clone();
        let _ = tokio::task::spawn_blocking(move || tracer.shutdown()).await;
        log::info!("box: stopped.");
        Ok(())
    }
}

/// Follows the store of our own interface.
fn follow_own(
    settings: &Arc<Settings>,
    store: &Store,
    core: &Handle,
    duty: &watch::Receiver<bool>,
) {
    let (store, core) = (store.clone(), core.clone());
    tokio::spawn(follow::run(store, core, settings.clone(), duty.clone()));
}

fn identity(settings: &Settings, bound: &Bound) -> Identity {
    let told = settings.advertise;
    Identity {
        contact: Contact {
            name: settings.name.clone(),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            public: told.public.unwrap_or(bound.public),
            peer: told.peer.unwrap_or(bound.peer),
            gossip: told.gossip.unwrap_or(bound.gossip),
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

fn listeners(
    shell: &Arc<Shell>,
    public: tokio::net::TcpListener,
    peer: tokio::net::TcpListener,
    admin: tokio::net::TcpListener,
    closing: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let max_head = shell.settings.max_head.0 as usize;
    let metrics = shell.metrics.clone();
    let seen = || closing.subscribe();
    let exchange = |door| {
        let shell = shell.clone();
        move |request| exchange::serve(shell.clone(), request, door)
    };
    let operators = {
        let shell = shell.clone();
        move |request| admin::serve(shell.clone(), request)
    };
    use exchange::Door::{Peer, Public};
    vec![
        tokio::spawn(serve::run(
            public,
            max_head,
            metrics.clone(),
            seen(),
            exchange(Public),
        )),
        tokio::spawn(serve::run(
            peer,
            max_head,
            metrics.clone(),
            seen(),
            exchange(Peer),
        )),
        tokio::spawn(serve::run(admin, max_head, metrics, seen(), operators)),
    ]
}

async fn tick(core: Handle, signs: Arc<Signs>) {
    let mut ticks = interval(TICK.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let heard = signs.take();
        if !heard.is_empty() {
            core.tell(Event::Alive(heard));
        }
        core.tell(Event::Tick);
    }
}
