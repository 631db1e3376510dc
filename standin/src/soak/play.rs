//! Executes one run: boxes, backend servers, callers, and the steps of a plan at their times.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eyre::bail;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{
    PlantedFault, REGIONS,
    caller::Caller,
    check::{self, Breach},
    fleet::{Fleet, TERMINATION_GRACE},
    operator::Operator,
    plan::{Departure, Fault, Outage, Step},
    record::{Kind, Ms, Part, Record, Recorder},
    server::{Server, ServerOptions},
};
use crate::http;

/// Backend servers of the main service in each region, which also has one of the other service.
const SERVERS_PER_REGION: usize = 2;
/// How long a server keeps serving after it announced its departure: the drain time and 2 s more.
const DRAIN_TIME: Duration = Duration::from_millis(check::DRAIN_MS + 2000);
/// How long the entry of a crashed server stays in the store.
const CRASHED_ENTRY_TTL: Duration = Duration::from_millis(900);
/// Time from a server's end until its address may be given to another server.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// How long a server is cold that starts during the run.
const COLD_MS: Ms = 4000;
/// Grace period of a planned stop under [`PlantedFault::ShortGrace`].
const SHORT_GRACE: Duration = Duration::from_millis(50);
/// A stream that began this recently, of at least 400 ms, outlasts [`SHORT_GRACE`].
const FRESH_STREAM_MS: Ms = 100;
/// Longest wait for a stream through a box, and the interval of its checks.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);
const STREAM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Reported breaches of one rule; further ones add no information.
const MAX_REPORTED_PER_RULE: usize = 5;
/// Time between two drops of bytes.
const LOSS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of the checks of the rules.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the number of backend servers in a run; the steps of a plan refer to them by number.
pub const fn server_count() -> usize {
    REGIONS.len() * (SERVERS_PER_REGION + 1)
}

/// Parameters of one run.
#[derive(Clone)]
pub struct RunConfig {
    /// Gateway executable.
    pub program: PathBuf,
    /// Directory of settings and logs.
    pub folder: PathBuf,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of callers in each region.
    pub callers: usize,
    /// Seed of the callers' random choices.
    pub seed: u64,
    /// Minimum duration of traffic.
    pub length: Ms,
    /// Deliberate faults of the stand-ins.
    pub planted_faults: Vec<PlantedFault>,
}

struct Run {
    recorder: Recorder,
    operator: Operator,
    fleet: Fleet,
    server_slots: Vec<Mutex<Server>>,
    planted_faults: Vec<PlantedFault>,
    servers_started: Mutex<u64>,
}

/// Runs the steps; returns the record and the breaches of rules.
pub async fn run_steps(config: &RunConfig, steps: &[Step]) -> eyre::Result<(Record, Vec<Breach>)> {
    let run = Arc::new(Run::start(config).await?);
    let stop = Arc::new(AtomicBool::new(false));
    let endpoints = Arc::new(run.fleet.endpoints());
    let mut callers = JoinSet::new();
    for number in 0..config.callers * REGIONS.len() {
        let caller = Caller::new(&run.recorder, endpoints.clone(), config.seed, number);
        callers.spawn(caller.run(stop.clone()));
    }
    let begin = run.recorder.now();
    let mut tasks = JoinSet::new();
    for step in steps.iter().copied() {
        let run = run.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(step.at)).await;
            println!(
                "{:6} ms  {:3}  {}",
                run.recorder.now(),
                step.number,
                step.fault
            );
            run.inject(step.fault).await
        });
    }
    let mut breaches = Vec::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        while let Some(done) = tasks.try_join_next() {
            done??;
        }
        for number in 0..config.boxes {
            run.fleet.reap(number);
        }
        let now = run.recorder.now();
        if tasks.is_empty() && now > begin + config.length {
            let calm = run.recorder.record().calm;
            run.recorder.record().calm = calm.or(Some(now));
        }
        let record = run.recorder.record().clone();
        for breach in check::breaches(&record, now) {
            let same_rule = breaches.iter().filter(|b: &&Breach| b.rule == breach.rule);
            if same_rule.count() < MAX_REPORTED_PER_RULE && !breaches.contains(&breach) {
                println!("{now:6} ms  BROKEN {breach}");
                breaches.push(breach);
            }
        }
        if record
            .calm
            .is_some_and(|calm| check::is_over(&record, calm, now))
        {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let record = run.recorder.record().clone();
    Ok((record, breaches))
}

impl Run {
    async fn start(config: &RunConfig) -> eyre::Result<Self> {
        let recorder = Recorder::default();
        let operator = Operator::new(&recorder, &config.planted_faults);
        operator.write_next_version();
        let store = http::start(operator.store.clone()).await?;
        let mut server_slots = Vec::new();
        let servers_started = Mutex::new(0);
        for number in 0..server_count() {
            let (region, other) = (
                number % REGIONS.len(),
                number / REGIONS.len() == SERVERS_PER_REGION,
            );
            let options = server_options(&servers_started, region, other, &config.planted_faults);
            let server = Server::start(&recorder, ServerOptions { cold: 0, ..options }).await?;
            operator.register(&server, false);
            server_slots.push(Mutex::new(server));
        }
        let (program, folder): (&Path, &Path) = (&config.program, &config.folder);
        let fleet = Fleet::start(&recorder, program, folder, store, config.boxes).await?;
        Ok(Self {
            recorder,
            operator,
            fleet,
            server_slots,
            planted_faults: config.planted_faults.clone(),
            servers_started,
        })
    }

    fn server(&self, number: usize) -> Server {
        let server = self.server_slots[number].lock();
        server.expect("the lock is never poisoned").clone()
    }

    async fn inject(&self, fault: Fault) -> eyre::Result<()> {
        match fault {
            Fault::Terminate(target, restart_delay) => {
                let short = self.planted_faults.contains(&PlantedFault::ShortGrace);
                if short {
                    self.wait_for_stream(target).await?;
                }
                let trouble = self.recorder.begin(Part::PlannedStop(target));
                let grace = if short {
                    SHORT_GRACE
                } else {
                    TERMINATION_GRACE
                };
                self.fleet.terminate(target, grace).await?;
                self.restart_after(target, restart_delay, trouble).await
            }
            Fault::Kill(target, restart_delay) => {
                let trouble = self.recorder.begin(Part::Box(target));
                self.fleet.kill(target).await?;
                self.restart_after(target, restart_delay, trouble).await
            }
            Fault::Freeze(target, span) => {
                let trouble = self.recorder.begin(Part::Frozen(target));
                self.fleet.signal(target, "STOP")?;
                sleep(Duration::from_millis(span)).await;
                self.fleet.signal(target, "CONT")?;
                self.recorder.end(trouble);
                Ok(())
            }
            Fault::Cut(target, span) => {
                let trouble = self.recorder.begin(Part::Cut(target));
                self.fleet.cut(target, true);
                sleep(Duration::from_millis(span)).await;
                self.fleet.cut(target, false);
                self.recorder.end(trouble);
                Ok(())
            }
            Fault::Gaps(target, span) => {
                let trouble = self.recorder.begin(Part::Cut(target));
                self.drop_bytes(target, span).await;
                self.recorder.end(trouble);
                Ok(())
            }
            Fault::Settings(target, signal) => {
                let trouble = self.recorder.begin(Part::Settings(target));
                self.fleet.write_settings(target)?;
                if signal {
                    self.fleet.signal(target, "HUP")?;
                }
                self.recorder.end(trouble);
                Ok(())
            }
            Fault::Store(outage, span) => {
                self.run_outage(outage, span).await;
                Ok(())
            }
            Fault::Depart(server, how, restart_delay) => {
                self.depart(server, how, restart_delay).await
            }
            Fault::Malfunction(number, how, span) => {
                let server = self.server(number);
                let trouble = self.recorder.begin(server.part());
                server.set_malfunction(Some(how));
                sleep(Duration::from_millis(span)).await;
                server.set_malfunction(None);
                self.recorder.end(trouble);
                Ok(())
            }
            Fault::Configure => {
                self.operator.store.wait_until_writable().await;
                self.operator.write_next_version();
                Ok(())
            }
            Fault::Evacuate(region, span) => {
                self.operator.store.wait_until_writable().await;
                let number = self.operator.evacuate(region);
                sleep(Duration::from_millis(span)).await;
                self.operator.store.wait_until_writable().await;
                self.operator.end_evacuation(number);
                Ok(())
            }
        }
    }

    /// Waits until a box passes on a stream that has just begun: a short grace period breaks the
    /// platform's promise only if it cuts an answer.
    async fn wait_for_stream(&self, target: usize) -> eyre::Result<()> {
        let begin = Instant::now();
        while !self.has_fresh_stream(target) {
            if begin.elapsed() > STREAM_TIMEOUT {
                let limit = STREAM_TIMEOUT.as_secs();
                bail!("box-{target} passed on no stream within {limit} s");
            }
            sleep(STREAM_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn has_fresh_stream(&self, target: usize) -> bool {
        let now = self.recorder.now();
        let record = self.recorder.record();
        let through_target = |id: &str| {
            let mut attempts = record.attempts.iter().rev();
            let attempt = attempts.find(|a| a.id == id);
            attempt.is_some_and(|a| a.kind == Kind::Stream && a.entry == target && a.end.is_none())
        };
        record.arrivals.iter().rev().any(|arrival| {
            let fresh = arrival.status == 200 && arrival.at + FRESH_STREAM_MS > now;
            fresh && through_target(&arrival.id)
        })
    }

    /// Drops bytes of a box's answers repeatedly, at varying offsets and in varying numbers, so
    /// that both heads and bodies are hit.
    async fn drop_bytes(&self, target: usize, span: Ms) {
        let end = Instant::now() + Duration::from_millis(span);
        for turn in (1..).take_while(|_| Instant::now() < end) {
            self.fleet
                .drop_bytes(target, turn * 61 % 1500, turn * 29 % 300 + 1);
            sleep(LOSS_INTERVAL).await;
        }
        self.fleet.drop_bytes(target, 0, 0);
    }

    async fn restart_after(
        &self,
        target: usize,
        restart_delay: Ms,
        trouble: usize,
    ) -> eyre::Result<()> {
        sleep(Duration::from_millis(restart_delay)).await;
        self.fleet.restart(target).await?;
        self.recorder.end(trouble);
        Ok(())
    }

    async fn run_outage(&self, outage: Outage, span: Ms) {
        let trouble = self.recorder.begin(Part::Store);
        self.operator.store.begin_outage(outage);
        let registered: Vec<Server> = (0..self.server_slots.len())
            .map(|n| self.server(n))
            .collect();
        if outage == Outage::Lapse {
            for server in &registered {
                self.operator.unregister(server, true);
            }
        }
        sleep(Duration::from_millis(span)).await;
        self.operator.store.end_outage();
        if outage == Outage::Lapse {
            for server in &registered {
                let life = self.recorder.record().lives[server.life].clone();
                if life.leaves.is_none() && life.end.is_none() {
                    self.operator.register(server, false);
                }
            }
        }
        self.recorder.end(trouble);
    }

    async fn depart(&self, number: usize, how: Departure, restart_delay: Ms) -> eyre::Result<()> {
        let server = self.server(number);
        if self.recorder.record().lives[server.life].leaves.is_some() {
            // Another step has already made it leave.
            return Ok(());
        }
        match how {
            Departure::Announced => {
                self.operator.store.wait_until_writable().await;
                self.operator.register(&server, true);
                server.drain();
                sleep(DRAIN_TIME).await;
                server.finish().await;
                self.operator.unregister(&server, false);
            }
            Departure::Unannounced => {
                self.operator.unregister(&server, false);
                sleep(DRAIN_TIME).await;
                server.finish().await;
            }
            Departure::Crash | Departure::AddressReused => {
                let trouble = self.recorder.begin(server.part());
                server.crash();
                sleep(CRASHED_ENTRY_TTL).await;
                self.operator.unregister(&server, false);
                self.recorder.end(trouble);
            }
        }
        if how == Departure::AddressReused {
            sleep(ADDRESS_REUSE_DELAY.saturating_sub(CRASHED_ENTRY_TTL)).await;
            self.reuse_address(server.address, server.region, !server.other, restart_delay)
                .await?;
        } else {
            sleep(Duration::from_millis(restart_delay)).await;
        }
        let options = server_options(
            &self.servers_started,
            server.region,
            server.other,
            &self.planted_faults,
        );
        self.operator.store.wait_until_writable().await;
        let successor = Server::start(&self.recorder, options).await?;
        self.operator.register(&successor, false);
        *self.server_slots[number]
            .lock()
            .expect("the lock is never poisoned") = successor;
        Ok(())
    }

    /// Runs a server of the other service on a used address for a while; it then leaves as planned.
    async fn reuse_address(
        &self,
        address: SocketAddr,
        region: usize,
        other: bool,
        span: Ms,
    ) -> eyre::Result<()> {
        let options = server_options(&self.servers_started, region, other, &self.planted_faults);
        let address = Some(address);
        let Ok(temporary) =
            Server::start(&self.recorder, ServerOptions { address, ..options }).await
        else {
            println!("an address could not be reused: it is in use");
            return Ok(());
        };
        self.operator.register(&temporary, false);
        sleep(Duration::from_millis(span)).await;
        self.operator.register(&temporary, true);
        temporary.drain();
        sleep(DRAIN_TIME).await;
        temporary.finish().await;
        self.operator.unregister(&temporary, false);
        Ok(())
    }
}

fn server_options(
    servers_started: &Mutex<u64>,
    region: usize,
    other: bool,
    planted_faults: &[PlantedFault],
) -> ServerOptions {
    let mut servers_started = servers_started.lock().expect("the lock is never poisoned");
    *servers_started += 1;
    ServerOptions {
        name: format!("i-{servers_started}"),
        region,
        other,
        cold: COLD_MS,
        address: None,
        planted_faults: planted_faults.to_vec(),
    }
}
