//! Follows the platform's store: the operator's configuration, the registered backend servers and
//! the failure domains under evacuation.
//!
//! Where the reducer says so: a stale read of everything, then one watch over all of it, which the
//! store holds until something changes. In large regions hubs follow it for the other boxes.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};

use crate::{
    config::Backend,
    fleet::{self, Change as FleetChange, Era, Revision, Rollouts},
    gateway::{clock::Moment, core::Handle, dial::Pool, follow, metrics::Metrics},
    id::{Domain, Service},
    platform::{
        call::Error,
        record::{self, Name},
        rollout,
        store::{Change, Client, Freshness, Item},
    },
    reducer::{
        effect::Follow,
        event::{Event, Source},
    },
    rollout::Entry,
    settings::Settings,
    unit::Millis,
};

/// The prefix of everything that is followed: the whole store, by one reading and one watch.
const ALL: &str = "";
/// How long the store holds a watch without news. A shorter time costs calls. A store that falls
/// silent takes the watch with it: the box notices, and has the news, within 5 s of the store's
/// return, which is when the bounds on news begin to count.
const HOLD: Duration = Duration::from_secs(3);
/// The same at a hub: others follow the store themselves soon after its word gets old.
const HUB_HOLD: Duration = Duration::from_secs(1);
/// How long a hub lets changes gather: a server's notice of its end must be everywhere within 3 s, and
/// a dozen hubs ask the store 48 times a second at most.
const HUB_GATHER: Duration = Duration::from_millis(250);
/// The same after a failed call: a store that is still away must not hold up the next call.
const PROBE_HOLD: Duration = Duration::from_millis(1);
/// Wait after the first failure in a row, and the longest; each is spread by half.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(400));

/// The follower's own state.
struct Follower {
    client: Client,
    core: Handle,
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    /// Where the watch goes on; none before everything was read.
    revision: Option<Revision>,
    evacuated: BTreeSet<Domain>,
    rollouts: Rollouts,
    /// The era of the last reading.
    era: Option<Era>,
    /// When the store last failed, or came back: what vanishes soon after is in doubt.
    disturbed: Option<Moment>,
    failures: u32,
    duty: Duty,
}

/// What the reducer says of how the store is followed.
pub(crate) struct Duty {
    /// Boxes of the fleet, as far as this one knows.
    pub(crate) boxes: watch::Receiver<usize>,
    /// The way.
    pub(crate) follow: watch::Receiver<Follow>,
}

/// Follows the store for as long as the process runs.
pub(crate) fn start(
    pool: &Arc<Pool>,
    core: &Handle,
    settings: &Arc<Settings>,
    metrics: &Arc<Metrics>,
    duty: Duty,
) {
    let Some(&address) = settings.stores.first() else {
        return log::error!("store: no address");
    };
    let follower = Follower {
        client: Client::new(address, pool.clone()),
        core: core.clone(),
        settings: settings.clone(),
        metrics: metrics.clone(),
        revision: None,
        evacuated: BTreeSet::new(),
        rollouts: Rollouts::new(),
        era: None,
        disturbed: None,
        failures: 0,
        duty,
    };
    tokio::spawn(run(follower));
}

async fn run(mut follower: Follower) {
    let mut follow = follower.duty.follow.clone();
    let mut freshness = Freshness::Stale;
    while follow.wait_for(|f| *f != Follow::Rest).await.is_ok() {
        tokio::select! {
            () = follower.step(&mut freshness) => {}
            _ = follow.wait_for(|f| *f == Follow::Rest) => {
                // What happens until it follows the store again is told by hubs.
                follower.revision = None;
                freshness = Freshness::Stale;
            }
        }
    }
}

impl Follower {
    /// One call, and what comes of it.
    async fn step(&mut self, freshness: &mut Freshness) {
        let step = match self.revision {
            None => self.read(*freshness).await,
            Some(revision) => self.watch(revision).await,
        };
        match step {
            Ok(()) => self.recovered(),
            Err(error @ (Error::HistoryLost | Error::Restored)) => {
                log::warn!("store: {error}; reading everything again.");
                self.revision = None;
                // A stale read may be older than the history.
                *freshness = Freshness::Linearizable;
            }
            Err(error) => self.failed(&error).await,
        }
    }

    async fn read(&mut self, freshness: Freshness) -> Result<(), Error> {
        let asked = Moment::now();
        let read = self.client.range(ALL, freshness).await;
        self.count("read", &read);
        let (items, revision) = read?;
        let took = asked.elapsed().as_secs_f64();
        self.metrics.store_seconds.observe(took);
        let before = self.era.replace(revision.era);
        if before.is_some_and(|before| before != revision.era) {
            self.disturbed = Some(Moment::now());
        }
        self.take_all(items, revision);
        self.reached(revision);
        Ok(())
    }

    async fn watch(&mut self, revision: Revision) -> Result<(), Error> {
        let hub = *self.duty.follow.borrow() == Follow::Hub;
        let hold = match hub {
            _ if self.failures > 0 => PROBE_HOLD,
            true => HUB_HOLD,
            false => HOLD,
        };
        let watched = self.client.watch(ALL, revision, hold).await;
        self.count("watch", &watched);
        let (changes, as_of) = watched?;
        let some = !changes.is_empty();
        for change in changes {
            self.take(change);
        }
        self.reached(as_of.max(revision));
        if some {
            let boxes = *self.duty.boxes.borrow();
            let alone = fleet::gathering(boxes).duration();
            sleep(if hub { HUB_GATHER.min(alone) } else { alone }).await;
        }
        Ok(())
    }

    /// Notes that everything up to `revision` is told.
    fn reached(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.core.tell(Event::Synced(revision));
    }

    fn count<T>(&self, call: &str, result: &Result<T, Error>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(Error::Silent) => "silent",
            Err(Error::Refused { .. }) => "refused",
            Err(Error::HistoryLost) => "history-lost",
            Err(Error::Restored) => "restored",
            Err(Error::Unreadable(_)) => "unreadable",
        };
        self.metrics.store.with_label_values(&[call, outcome]).inc();
    }

    /// Takes over a full reading.
    fn take_all(&mut self, items: Vec<Item>, revision: Revision) {
        let mut backends = Vec::new();
        let mut evacuated = BTreeSet::new();
        let mut config = None;
        self.rollouts.clear();
        for item in items {
            match Name::parse(&item.key) {
                Some(Name::Config) => config = Some(item.value),
                Some(Name::Evacuation(domain)) => {
                    evacuated.insert(domain);
                }
                Some(Name::Server(name)) => backends.extend(self.backend(&name, &item.value)),
                Some(Name::Held(content)) => self.core.tell(Event::Kept(content)),
                Some(Name::Rollout(service)) => self.note_order(service, Some(&item)),
                Some(Name::RolloutStatus(service)) => self.note_status(service, Some(&item)),
                None => {}
            }
        }
        if let Some(value) = config {
            self.configure(value);
        }
        self.evacuated = evacuated;
        self.tell_evacuated(revision);
        // Servers that were started for an order come after it.
        self.tell_rollouts(revision);
        let doubt = self.doubt();
        log::info!(
            "store: read everything: {} backend servers, {} evacuations, at {revision}.",
            backends.len(),
            self.evacuated.len()
        );
        let change = FleetChange::List { backends, doubt };
        self.core.tell(Event::Fleet { change, revision });
    }

    fn take(&mut self, change: Change) {
        match change {
            Change::Put { item, revision } => match Name::parse(&item.key) {
                Some(Name::Config) => self.configure(item.value),
                Some(Name::Evacuation(domain)) => self.evacuate(domain, true, revision),
                Some(Name::Server(name)) => {
                    let change = self.entry(name, &item.value);
                    self.core.tell(Event::Fleet { change, revision });
                }
                Some(Name::Held(content)) => self.core.tell(Event::Kept(content)),
                Some(Name::Rollout(service)) => {
                    self.note_order(service, Some(&item));
                    self.tell_rollouts(revision);
                }
                Some(Name::RolloutStatus(service)) => {
                    self.note_status(service, Some(&item));
                    self.tell_rollouts(revision);
                }
                None => {}
            },
            Change::Deleted { key, revision } => match Name::parse(&key) {
                Some(Name::Evacuation(domain)) => self.evacuate(domain, false, revision),
                Some(Name::Server(name)) => {
                    let doubt = self.doubt();
                    log::info!("store: backend server {name} vanished, in doubt for {doubt}.");
                    let change = FleetChange::Gone { name, doubt };
                    self.core.tell(Event::Fleet { change, revision });
                }
                Some(Name::Config) => log::error!("store: the configuration was deleted."),
                Some(Name::Rollout(service)) => {
                    self.note_order(service, None);
                    self.tell_rollouts(revision);
                }
                Some(Name::RolloutStatus(service)) => {
                    self.note_status(service, None);
                    self.tell_rollouts(revision);
                }
                // The boxes tell each other what is cleared; the rest runs out by itself.
                Some(Name::Held(_)) | None => {}
            },
        }
    }

    /// What an entry that was written says: one that does not read names no server to use.
    fn entry(&self, name: crate::id::Backend, value: &[u8]) -> FleetChange {
        match self.backend(&name, value) {
            Some(backend) => {
                let state = if backend.leaving { "leaving" } else { "in use" };
                log::info!("store: backend server {name}: {state}.");
                FleetChange::Put(backend)
            }
            None => {
                let doubt = Millis(0);
                FleetChange::Gone { name, doubt }
            }
        }
    }

    fn backend(&self, name: &crate::id::Backend, value: &[u8]) -> Option<Backend> {
        match record::server(name, value, &self.settings.places) {
            Ok(backend) => Some(backend),
            Err(error) => {
                log::warn!("store: {error:#}");
                None
            }
        }
    }

    fn configure(&self, value: Vec<u8>) {
        match record::envelope(value) {
            Ok(envelope) => follow::offer(&self.core, &self.settings, envelope, Source::News),
            Err(error) => log::error!("store: {error:#}"),
        }
    }

    fn evacuate(&mut self, domain: Domain, on: bool, revision: Revision) {
        log::info!("store: failure domain {domain} is evacuated: {on}.");
        if on {
            self.evacuated.insert(domain);
        } else {
            self.evacuated.remove(&domain);
        }
        self.tell_evacuated(revision);
    }

    fn tell_evacuated(&self, revision: Revision) {
        let domains = self.evacuated.clone();
        self.core.tell(Event::Evacuated { domains, revision });
    }

    /// Takes an order for a roll-out, or that there is none; one that does not read is none.
    fn note_order(&mut self, service: Service, item: Option<&Item>) {
        let order = item.and_then(|item| read_rollout(&service, item, rollout::order));
        self.note_rollout(service, |entry| entry.order = order);
    }

    /// Takes what was written of a roll-out.
    fn note_status(&mut self, service: Service, item: Option<&Item>) {
        let written = item.and_then(|item| read_rollout(&service, item, rollout::written));
        self.note_rollout(service, |entry| entry.written = written);
    }

    fn note_rollout(&mut self, service: Service, change: impl FnOnce(&mut Entry)) {
        let mut entry = self.rollouts.remove(&service).unwrap_or_default();
        change(&mut entry);
        if entry.order.is_some() || entry.written.is_some() {
            self.rollouts.insert(service, entry);
        }
    }

    fn tell_rollouts(&self, revision: Revision) {
        let rollouts = self.rollouts.clone();
        self.core.tell(Event::Rollouts { rollouts, revision });
    }

    /// How long what vanishes now may be back: until a while after the store came back.
    fn doubt(&self) -> Millis {
        let elapsed = self.disturbed.map(|at| at.elapsed());
        let left = elapsed.map(|e| fleet::DOUBT.duration().saturating_sub(e));
        Millis(left.unwrap_or_default().as_millis() as u64)
    }

    fn recovered(&mut self) {
        if self.failures > 0 {
            log::info!("store: back after {} failed calls.", self.failures);
            self.failures = 0;
            self.metrics.store_failures.set(0);
            self.disturbed = Some(Moment::now());
        }
    }

    async fn failed(&mut self, error: &Error) {
        if self.failures == 0 {
            log::warn!("store: lost: {error}.");
        }
        self.failures += 1;
        self.metrics.store_failures.set(i64::from(self.failures));
        self.disturbed = Some(Moment::now());
        let doublings = self.failures.saturating_sub(1).min(8);
        let wait = (BACKOFF.0 * (1 << doublings)).min(BACKOFF.1);
        sleep(wait.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// What an item says of a service's roll-out; nothing, and a line in the log, where it does not read.
fn read_rollout<T>(
    service: &Service,
    item: &Item,
    read: fn(&[u8], Revision) -> eyre::Result<T>,
) -> Option<T> {
    read(&item.value, item.revision)
        .inspect_err(|error| log::error!("rollout: service={service} {error:#}"))
        .ok()
}
