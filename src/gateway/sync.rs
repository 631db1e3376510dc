//! Follows the platform's store: the operator's configuration, the registered backend servers,
//! roll-out orders and the failure domains under evacuation.
//!
//! Runs while the reducer asks for it: a stale read of the whole store, then one watch over all
//! keys, which the store holds open until something changes. In large regions only hubs follow the
//! store; they forward the changes to the other boxes.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use crate::{
    config::Backend,
    fleet::{self, Change as FleetChange, Era, Revision, Rollouts},
    gateway::{clock::BootInstant, core::Handle, dial::Pool, follow, metrics::Metrics},
    id::{Domain, Service},
    platform::{
        call::Error,
        record::{self, Key},
        rollout,
        store::{Change, Client, Freshness, Item, Listing},
    },
    reducer::{
        effect::Follow,
        event::{Event, Source},
    },
    rollout::Entry,
    settings::Settings,
    unit::Millis,
};

/// The prefix of all followed keys: one read and one watch cover the whole store.
const ROOT_PREFIX: &str = "";
/// How long the store holds a watch open when nothing changes. A shorter time costs more calls.
/// When the store stops answering, the pending watch fails: this time and the backoff let the box
/// detect the store's return and read the changes within 5 s of it, which is when the bounds on
/// update delay begin to count.
const WATCH_HOLD: Duration = Duration::from_secs(3);
/// The same at a hub. It is shorter because other boxes follow the store themselves soon after a
/// hub's last update gets old.
const HUB_WATCH_HOLD: Duration = Duration::from_secs(1);
/// The same at the box of a small region that notices first when the store falls silent, and tells
/// the others, whose watches are longer.
const CLOSE_WATCH_HOLD: Duration = Duration::from_secs(1);
/// Time beyond the watch time after which a call counts as overdue: two round trips to the store's
/// region, and a slow store. The call itself goes on.
const OVERDUE_MARGIN: Duration = Duration::from_millis(400);
/// How long a hub collects changes before the next watch. A server's notice of its end must reach
/// all boxes within 3 s, and a dozen hubs call the store 48 times a second at most.
const HUB_GATHER_DELAY: Duration = Duration::from_millis(250);
/// The watch time after a failed call: a store that is still unreachable must not delay the next
/// call.
const RETRY_WATCH_HOLD: Duration = Duration::from_millis(1);
/// Shortest time from the start of a watch that reported nothing new to the next one, whatever time
/// the store held it.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(400);
/// How long a list without its end is kept before it is read again: changes arrive by the watch
/// meanwhile, and the reads are priced.
const PARTIAL_LIST_MAX_AGE: Duration = Duration::from_secs(10);
/// Wait after the first of consecutive failures, and the longest wait, each varied by up to half.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(400));

/// The state of the task that follows the store.
struct Follower {
    client: Client,
    core: Handle,
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    /// The revision from which the watch continues; `None` until everything was read.
    revision: Option<Revision>,
    evacuated: BTreeSet<Domain>,
    rollouts: Rollouts,
    /// The store's era as of the last read of the list.
    era: Option<Era>,
    /// When the list was last read, if its end was missing.
    partial_since: Option<BootInstant>,
    /// When the store last failed or recovered: entries deleted soon after that are in doubt.
    last_outage: Option<BootInstant>,
    failures: u32,
    /// Whether the next watch is to return at once.
    recheck: bool,
    control: Role,
}

/// The reducer's instructions on how to follow the store.
pub(crate) struct Role {
    /// The number of boxes in the fleet, as far as this box knows.
    pub(crate) boxes: watch::Receiver<usize>,
    /// Whether to follow the store, and for whom.
    pub(crate) follow: watch::Receiver<Follow>,
    /// Whether watches are kept short.
    pub(crate) closely: watch::Receiver<bool>,
    /// Set to ask the store at once whether it still answers.
    pub(crate) recheck: Arc<Notify>,
}

/// Starts the task that follows the store for as long as the process runs.
pub(crate) fn start(
    pool: &Arc<Pool>,
    core: &Handle,
    settings: &Arc<Settings>,
    metrics: &Arc<Metrics>,
    duty: Role,
) {
    let Some(&address) = settings.stores.first() else {
        return log::error!("store: no address configured");
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
        partial_since: None,
        last_outage: None,
        failures: 0,
        recheck: false,
        control: duty,
    };
    tokio::spawn(run(follower));
}

async fn run(mut follower: Follower) {
    let mut follow = follower.control.follow.clone();
    let mut freshness = Freshness::Stale;
    while follow.wait_for(|f| *f != Follow::Forwarded).await.is_ok() {
        tokio::select! {
            () = follower.step(&mut freshness) => {}
            _ = follow.wait_for(|f| *f == Follow::Forwarded) => {
                // Hubs report the changes until this box follows the store again.
                follower.revision = None;
                freshness = Freshness::Stale;
            }
        }
    }
}

impl Follower {
    /// Makes one call to the store and handles its result.
    async fn step(&mut self, freshness: &mut Freshness) {
        let step = match self.revision {
            None => self.read(*freshness).await,
            // A stale read may be older than the changes that the watch has reported.
            Some(_) if self.is_list_due() => self.read(Freshness::Linearizable).await,
            Some(revision) => self.watch(revision).await,
        };
        match step {
            Ok(()) => self.on_success(),
            Err(error @ (Error::HistoryLost | Error::Restored)) => {
                log::warn!("store: {error}; reading everything again.");
                self.revision = None;
                // A stale read may be older than the history that the store still has.
                *freshness = Freshness::Linearizable;
            }
            Err(error) => self.on_failure(&error).await,
        }
    }

    async fn read(&mut self, freshness: Freshness) -> Result<(), Error> {
        let started = BootInstant::now();
        let read = self.client.range(ROOT_PREFIX, freshness);
        let read = report_overdue(&self.core, Duration::ZERO, read).await;
        self.count_call("read", &read);
        let Listing {
            items,
            revision,
            complete,
        } = read?;
        self.partial_since = (!complete).then(BootInstant::now);
        let seconds = started.elapsed().as_secs_f64();
        self.metrics.store_seconds.observe(seconds);
        let previous = self.era.replace(revision.era);
        if previous.is_some_and(|previous| previous != revision.era) {
            self.last_outage = Some(BootInstant::now());
        }
        self.apply_snapshot(items, revision, complete);
        self.report_synced(revision);
        Ok(())
    }

    /// Reports whether a list without its end is to be read again.
    fn is_list_due(&self) -> bool {
        let age = self.partial_since.map(BootInstant::elapsed);
        age.is_some_and(|age| age >= PARTIAL_LIST_MAX_AGE)
    }

    async fn watch(&mut self, revision: Revision) -> Result<(), Error> {
        let follow = *self.control.follow.borrow();
        let hub = follow == Follow::Hub;
        let closely = *self.control.closely.borrow();
        let hold = match follow {
            _ if self.failures > 0 || self.recheck => RETRY_WATCH_HOLD,
            Follow::Hub => HUB_WATCH_HOLD,
            Follow::Direct | Follow::Forwarded if closely => CLOSE_WATCH_HOLD,
            Follow::Direct | Follow::Forwarded => WATCH_HOLD,
        };
        self.recheck = false;
        let recheck = self.control.recheck.clone();
        let started = BootInstant::now();
        let watch = self.client.watch(ROOT_PREFIX, revision, hold);
        let watched = tokio::select! {
            watched = report_overdue(&self.core, hold, watch) => watched,
            () = recheck.notified(), if hold > RETRY_WATCH_HOLD => {
                self.recheck = true;
                return Ok(());
            }
        };
        self.count_call("watch", &watched);
        let (changes, as_of) = watched?;
        let changed = !changes.is_empty();
        for change in changes {
            self.apply_change(change);
        }
        self.report_synced(as_of.max(revision));
        if as_of <= revision && hold > RETRY_WATCH_HOLD {
            sleep(MIN_WATCH_INTERVAL.saturating_sub(started.elapsed())).await;
        } else if changed {
            let boxes = *self.control.boxes.borrow();
            let delay = fleet::batch_delay(boxes).duration();
            sleep(if hub {
                HUB_GATHER_DELAY.min(delay)
            } else {
                delay
            })
            .await;
        }
        Ok(())
    }

    /// Records `revision` as the point up to which all changes were sent to the core, and reports
    /// it there.
    fn report_synced(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.core.tell(Event::Synced(revision));
    }

    fn count_call<T>(&self, call: &str, result: &Result<T, Error>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(Error::NoAnswer) => "silent",
            Err(Error::Refused { .. }) => "refused",
            Err(Error::HistoryLost) => "history-lost",
            Err(Error::Restored) => "restored",
            Err(Error::Unreadable(_)) => "unreadable",
        };
        self.metrics.store.with_label_values(&[call, outcome]).inc();
    }

    /// Applies the result of a read of the list. Unless it is complete, what it does not name stays as
    /// it is.
    fn apply_snapshot(&mut self, items: Vec<Item>, revision: Revision, complete: bool) {
        let mut backends = Vec::new();
        let mut config = None;
        if complete {
            self.evacuated.clear();
            self.rollouts.clear();
        }
        for item in items {
            match Key::parse(&item.key) {
                Some(Key::Config) => config = Some(item.value),
                Some(Key::Evacuation(domain)) => {
                    self.evacuated.insert(domain);
                }
                Some(Key::Server(name)) => backends.extend(self.parse_backend(&name, &item.value)),
                Some(Key::Held(content)) => self.core.tell(Event::HeldBack(content)),
                Some(Key::Rollout(service)) => self.update_order(service, Some(&item)),
                Some(Key::RolloutStatus(service)) => self.update_status(service, Some(&item)),
                None => {}
            }
        }
        if let Some(value) = config {
            self.offer_config(value);
        }
        self.send_evacuated(revision);
        // The reducer must know a roll-out order before the servers that were started for it.
        self.send_rollouts(revision);
        let (servers, evacuations) = (backends.len(), self.evacuated.len());
        if !complete {
            log::error!(
                "store: its pages do not lead to the end of the list: {servers} backend servers, \
                 {evacuations} evacuations, at {revision}."
            );
            return self.core.tell(Event::PartialFleet { backends, revision });
        }
        log::info!(
            "store: read everything: {servers} backend servers, {evacuations} evacuations, at \
             {revision}."
        );
        let change = FleetChange::List {
            backends,
            grace: self.remaining_doubt(),
        };
        self.core.tell(Event::Fleet { change, revision });
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Put { item, revision } => match Key::parse(&item.key) {
                Some(Key::Config) => self.offer_config(item.value),
                Some(Key::Evacuation(domain)) => self.set_evacuated(domain, true, revision),
                Some(Key::Server(name)) => {
                    let change = self.server_change(name, &item.value);
                    self.core.tell(Event::Fleet { change, revision });
                }
                Some(Key::Held(content)) => self.core.tell(Event::HeldBack(content)),
                Some(Key::Rollout(service)) => {
                    self.update_order(service, Some(&item));
                    self.send_rollouts(revision);
                }
                Some(Key::RolloutStatus(service)) => {
                    self.update_status(service, Some(&item));
                    self.send_rollouts(revision);
                }
                None => {}
            },
            Change::Deleted { key, revision } => match Key::parse(&key) {
                Some(Key::Evacuation(domain)) => self.set_evacuated(domain, false, revision),
                Some(Key::Server(name)) => {
                    let doubt = self.remaining_doubt();
                    log::info!(
                        "store: entry of backend server {name} was deleted; in doubt for {doubt}."
                    );
                    let change = FleetChange::Removed { name, grace: doubt };
                    self.core.tell(Event::Fleet { change, revision });
                }
                Some(Key::Config) => {
                    log::error!("store: the operator's configuration was deleted; ignored.")
                }
                Some(Key::Rollout(service)) => {
                    self.update_order(service, None);
                    self.send_rollouts(revision);
                }
                Some(Key::RolloutStatus(service)) => {
                    self.update_status(service, None);
                    self.send_rollouts(revision);
                }
                // Boxes notify each other of cleared contents; other entries expire by themselves.
                Some(Key::Held(_)) | None => {}
            },
        }
    }

    /// Converts a written server entry into a change; an unreadable entry counts as a removed
    /// server.
    fn server_change(&self, name: crate::id::Backend, value: &[u8]) -> FleetChange {
        match self.parse_backend(&name, value) {
            Some(backend) => {
                let state = if backend.leaving { "leaving" } else { "in use" };
                log::info!("store: backend server {name}: {state}.");
                FleetChange::Put(backend)
            }
            None => {
                let doubt = Millis(0);
                FleetChange::Removed { name, grace: doubt }
            }
        }
    }

    fn parse_backend(&self, name: &crate::id::Backend, value: &[u8]) -> Option<Backend> {
        match record::parse_server(name, value, &self.settings.places) {
            Ok(backend) => Some(backend),
            Err(error) => {
                log::warn!("store: {error:#}");
                None
            }
        }
    }

    fn offer_config(&self, value: Vec<u8>) {
        match record::envelope(value) {
            Ok(envelope) => follow::offer(&self.core, &self.settings, envelope, Source::Watch),
            Err(error) => log::error!("store: {error:#}"),
        }
    }

    fn set_evacuated(&mut self, domain: Domain, on: bool, revision: Revision) {
        log::info!("store: failure domain {domain} is evacuated: {on}.");
        if on {
            self.evacuated.insert(domain);
        } else {
            self.evacuated.remove(&domain);
        }
        self.send_evacuated(revision);
    }

    fn send_evacuated(&self, revision: Revision) {
        let domains = self.evacuated.clone();
        self.core.tell(Event::Evacuated { domains, revision });
    }

    /// Records a service's roll-out order; a deleted or unreadable one counts as none.
    fn update_order(&mut self, service: Service, item: Option<&Item>) {
        let order = item.and_then(|item| read_rollout(&service, item, rollout::parse_order));
        self.update_rollout(service, |entry| entry.order = order);
    }

    /// Records the roll-out status that the boxes wrote; a deleted or unreadable one counts as
    /// none.
    fn update_status(&mut self, service: Service, item: Option<&Item>) {
        let written = item.and_then(|item| read_rollout(&service, item, rollout::parse_status));
        self.update_rollout(service, |entry| entry.written = written);
    }

    fn update_rollout(&mut self, service: Service, change: impl FnOnce(&mut Entry)) {
        let mut entry = self.rollouts.remove(&service).unwrap_or_default();
        change(&mut entry);
        if entry.order.is_some() || entry.written.is_some() {
            self.rollouts.insert(service, entry);
        }
    }

    fn send_rollouts(&self, revision: Revision) {
        let rollouts = self.rollouts.clone();
        self.core.tell(Event::Rollouts { rollouts, revision });
    }

    /// Returns for how long a server whose entry is deleted now stays in doubt: until
    /// [`fleet::OUTAGE_GRACE`] after the store last failed or recovered, since live servers register again
    /// in that time.
    fn remaining_doubt(&self) -> Millis {
        let elapsed = self.last_outage.map(|at| at.elapsed());
        let left = elapsed.map(|e| fleet::OUTAGE_GRACE.duration().saturating_sub(e));
        Millis(left.unwrap_or_default().as_millis() as u64)
    }

    fn on_success(&mut self) {
        if self.failures > 0 {
            log::info!(
                "store: reachable again after {} failed calls.",
                self.failures
            );
            self.failures = 0;
            self.metrics.store_failures.set(0);
            self.last_outage = Some(BootInstant::now());
        }
    }

    async fn on_failure(&mut self, error: &Error) {
        if self.failures == 0 {
            log::warn!("store: call failed, retrying: {error}.");
        }
        self.failures += 1;
        self.core.tell(Event::StoreSilent);
        self.metrics.store_failures.set(i64::from(self.failures));
        self.last_outage = Some(BootInstant::now());
        let doublings = self.failures.saturating_sub(1).min(8);
        let wait = (BACKOFF.0 * (1 << doublings)).min(BACKOFF.1);
        sleep(wait.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Waits for a call to the store, and reports to `core` if it takes [`OVERDUE_MARGIN`] longer than
/// `hold`.
async fn report_overdue<T>(core: &Handle, hold: Duration, call: impl Future<Output = T>) -> T {
    tokio::pin!(call);
    match timeout(hold + OVERDUE_MARGIN, &mut call).await {
        Ok(result) => result,
        Err(_) => {
            core.tell(Event::StoreSilent);
            call.await
        }
    }
}

/// Parses an item of a service's roll-out; logs an error and returns `None` if it is unreadable.
fn read_rollout<T>(
    service: &Service,
    item: &Item,
    read: fn(&[u8], Revision) -> eyre::Result<T>,
) -> Option<T> {
    read(&item.value, item.revision)
        .inspect_err(|error| log::error!("rollout: service={service} {error:#}"))
        .ok()
}
