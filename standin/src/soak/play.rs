//! One run: boxes, servers, callers, and the steps of a plan at their times.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{
    Plant, REGIONS,
    caller::Caller,
    check::{self, Breach},
    fleet::{Fleet, GRACE},
    operator::Operator,
    plan::{Departure, Fault, Outage, Step},
    record::{Book, Ms, Part, Record},
    server::{Birth, Server},
};
use crate::http;

/// Servers of the main service in each region; one of the other service stands beside them.
const SERVERS: usize = 2;
/// How long a server serves after it has said that it leaves, and a while.
const DRAIN: Duration = Duration::from_millis(check::DRAIN_MS + 2000);
/// How long the entry of a crashed server stays.
const LAPSE: Duration = Duration::from_millis(900);
/// How soon after an end an address may be given to another server.
const REUSE: Duration = Duration::from_secs(2);
/// How long a server that starts later is cold.
const COLD: Ms = 4000;
/// What a planted fault leaves a box of its planned stop.
const SHORT: Duration = Duration::from_millis(50);
/// Breaches of one rule that are told; more of them say no more.
const TOLD: usize = 5;
/// Time between two losses of bytes.
const LOSS_PAUSE: Duration = Duration::from_millis(150);
/// How often the promises are checked.
const LOOK: Duration = Duration::from_secs(1);

/// Backend servers of a run; the steps of a plan name them by number.
pub const fn servers() -> usize {
    REGIONS.len() * (SERVERS + 1)
}

/// What one run is made of.
#[derive(Clone)]
pub struct Setting {
    /// The program of the boxes.
    pub program: PathBuf,
    /// Where settings and logs are.
    pub folder: PathBuf,
    /// Boxes.
    pub boxes: usize,
    /// Callers in each region.
    pub callers: usize,
    /// Of callers.
    pub seed: u64,
    /// The shortest time that traffic lasts.
    pub length: Ms,
    /// What the stand-ins do wrong on purpose.
    pub plants: Vec<Plant>,
}

struct World {
    book: Book,
    operator: Operator,
    fleet: Fleet,
    places: Vec<Mutex<Server>>,
    plants: Vec<Plant>,
    lives: Mutex<u64>,
}

/// Plays the steps; what was seen, and the promises that were broken.
pub async fn play(setting: &Setting, steps: &[Step]) -> eyre::Result<(Record, Vec<Breach>)> {
    let world = Arc::new(World::start(setting).await?);
    let stop = Arc::new(AtomicBool::new(false));
    let doors = Arc::new(world.fleet.doors());
    let mut callers = JoinSet::new();
    for number in 0..setting.callers * REGIONS.len() {
        let caller = Caller::new(&world.book, doors.clone(), setting.seed, number);
        callers.spawn(caller.run(stop.clone()));
    }
    let begin = world.book.now();
    let mut tasks = JoinSet::new();
    for step in steps.iter().copied() {
        let world = world.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(step.at)).await;
            println!(
                "{:6} ms  {:3}  {}",
                world.book.now(),
                step.number,
                step.fault
            );
            world.perform(step.fault).await
        });
    }
    let mut breaches = Vec::new();
    loop {
        sleep(LOOK).await;
        while let Some(done) = tasks.try_join_next() {
            done??;
        }
        for number in 0..setting.boxes {
            world.fleet.look(number);
        }
        let now = world.book.now();
        if tasks.is_empty() && now > begin + setting.length {
            let calm = world.book.record().calm;
            world.book.record().calm = calm.or(Some(now));
        }
        let record = world.book.record().clone();
        for breach in check::all(&record, now) {
            let like = breaches.iter().filter(|b: &&Breach| b.rule == breach.rule);
            if like.count() < TOLD && !breaches.contains(&breach) {
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
    let record = world.book.record().clone();
    Ok((record, breaches))
}

impl World {
    async fn start(setting: &Setting) -> eyre::Result<Self> {
        let book = Book::default();
        let operator = Operator::new(&book, &setting.plants);
        operator.configure();
        let store = http::start(operator.store.clone()).await?;
        let mut places = Vec::new();
        let lives = Mutex::new(0);
        for number in 0..servers() {
            let (region, other) = (number % REGIONS.len(), number / REGIONS.len() == SERVERS);
            let birth = birth(&lives, region, other, &setting.plants);
            let server = Server::start(&book, Birth { cold: 0, ..birth }).await?;
            operator.register(&server, false);
            places.push(Mutex::new(server));
        }
        let (program, folder): (&Path, &Path) = (&setting.program, &setting.folder);
        let fleet = Fleet::start(&book, program, folder, store, setting.boxes).await?;
        Ok(Self {
            book,
            operator,
            fleet,
            places,
            plants: setting.plants.clone(),
            lives,
        })
    }

    fn server(&self, number: usize) -> Server {
        let place = self.places[number].lock();
        place.expect("the lock is never poisoned").clone()
    }

    async fn perform(&self, fault: Fault) -> eyre::Result<()> {
        match fault {
            Fault::Terminate(target, back) => {
                let trouble = self.book.begin(Part::PlannedStop(target));
                let short = self.plants.contains(&Plant::ShortGrace);
                let grace = if short { SHORT } else { GRACE };
                self.fleet.terminate(target, grace).await?;
                self.bring_back(target, back, trouble).await
            }
            Fault::Kill(target, back) => {
                let trouble = self.book.begin(Part::Box(target));
                self.fleet.kill(target).await?;
                self.bring_back(target, back, trouble).await
            }
            Fault::Freeze(target, span) => {
                let trouble = self.book.begin(Part::Frozen(target));
                self.fleet.signal(target, "STOP")?;
                sleep(Duration::from_millis(span)).await;
                self.fleet.signal(target, "CONT")?;
                self.book.end(trouble);
                Ok(())
            }
            Fault::Cut(target, span) => {
                let trouble = self.book.begin(Part::Cut(target));
                self.fleet.cut(target, true);
                sleep(Duration::from_millis(span)).await;
                self.fleet.cut(target, false);
                self.book.end(trouble);
                Ok(())
            }
            Fault::Gaps(target, span) => {
                let trouble = self.book.begin(Part::Cut(target));
                self.lose(target, span).await;
                self.book.end(trouble);
                Ok(())
            }
            Fault::Settings(target, signal) => {
                let trouble = self.book.begin(Part::Settings(target));
                self.fleet.write_settings(target)?;
                if signal {
                    self.fleet.signal(target, "HUP")?;
                }
                self.book.end(trouble);
                Ok(())
            }
            Fault::Store(outage, span) => {
                self.disturb_store(outage, span).await;
                Ok(())
            }
            Fault::Depart(server, how, back) => self.depart(server, how, back).await,
            Fault::Ill(number, how, span) => {
                let server = self.server(number);
                let trouble = self.book.begin(server.part());
                server.fall_ill(Some(how));
                sleep(Duration::from_millis(span)).await;
                server.fall_ill(None);
                self.book.end(trouble);
                Ok(())
            }
            Fault::Configure => {
                self.operator.store.takes().await;
                self.operator.configure();
                Ok(())
            }
            Fault::Evacuate(region, span) => {
                self.operator.store.takes().await;
                let number = self.operator.evacuate(region);
                sleep(Duration::from_millis(span)).await;
                self.operator.store.takes().await;
                self.operator.take_back(number);
                Ok(())
            }
        }
    }

    /// Loses bytes of a box's answers again and again, a few or many, in heads and in bodies.
    async fn lose(&self, target: usize, span: Ms) {
        let end = Instant::now() + Duration::from_millis(span);
        for turn in (1..).take_while(|_| Instant::now() < end) {
            self.fleet
                .lose(target, turn * 61 % 1500, turn * 29 % 300 + 1);
            sleep(LOSS_PAUSE).await;
        }
        self.fleet.lose(target, 0, 0);
    }

    async fn bring_back(&self, target: usize, back: Ms, trouble: usize) -> eyre::Result<()> {
        sleep(Duration::from_millis(back)).await;
        self.fleet.restart(target).await?;
        self.book.end(trouble);
        Ok(())
    }

    async fn disturb_store(&self, outage: Outage, span: Ms) {
        let trouble = self.book.begin(Part::Store);
        self.operator.store.disturb(outage);
        let living: Vec<Server> = (0..self.places.len()).map(|n| self.server(n)).collect();
        if outage == Outage::Lapse {
            for server in &living {
                self.operator.unregister(server, true);
            }
        }
        sleep(Duration::from_millis(span)).await;
        self.operator.store.mend();
        if outage == Outage::Lapse {
            for server in &living {
                let life = self.book.record().lives[server.life].clone();
                if life.leaves.is_none() && life.end.is_none() {
                    self.operator.register(server, false);
                }
            }
        }
        self.book.end(trouble);
    }

    async fn depart(&self, number: usize, how: Departure, back: Ms) -> eyre::Result<()> {
        let server = self.server(number);
        if self.book.record().lives[server.life].leaves.is_some() {
            // Another step has taken it away.
            return Ok(());
        }
        match how {
            Departure::Announced => {
                self.operator.store.takes().await;
                self.operator.register(&server, true);
                server.drain();
                sleep(DRAIN).await;
                server.finish().await;
                self.operator.unregister(&server, false);
            }
            Departure::Unannounced => {
                self.operator.unregister(&server, false);
                sleep(DRAIN).await;
                server.finish().await;
            }
            Departure::Crash | Departure::AddressReused => {
                let trouble = self.book.begin(server.part());
                server.crash();
                sleep(LAPSE).await;
                self.operator.unregister(&server, false);
                self.book.end(trouble);
            }
        }
        if how == Departure::AddressReused {
            sleep(REUSE.saturating_sub(LAPSE)).await;
            self.reuse(server.address, server.region, !server.other, back)
                .await?;
        } else {
            sleep(Duration::from_millis(back)).await;
        }
        let birth = birth(&self.lives, server.region, server.other, &self.plants);
        self.operator.store.takes().await;
        let next = Server::start(&self.book, birth).await?;
        self.operator.register(&next, false);
        *self.places[number]
            .lock()
            .expect("the lock is never poisoned") = next;
        Ok(())
    }

    /// A server of the other service takes an address for a while, and leaves as planned.
    async fn reuse(
        &self,
        address: SocketAddr,
        region: usize,
        other: bool,
        span: Ms,
    ) -> eyre::Result<()> {
        let birth = birth(&self.lives, region, other, &self.plants);
        let address = Some(address);
        let Ok(guest) = Server::start(&self.book, Birth { address, ..birth }).await else {
            println!("an address could not be used again: it is taken");
            return Ok(());
        };
        self.operator.register(&guest, false);
        sleep(Duration::from_millis(span)).await;
        self.operator.register(&guest, true);
        guest.drain();
        sleep(DRAIN).await;
        guest.finish().await;
        self.operator.unregister(&guest, false);
        Ok(())
    }
}

fn birth(lives: &Mutex<u64>, region: usize, other: bool, plants: &[Plant]) -> Birth {
    let mut lives = lives.lock().expect("the lock is never poisoned");
    *lives += 1;
    Birth {
        name: format!("i-{lives}"),
        region,
        other,
        cold: COLD,
        address: None,
        plants: plants.to_vec(),
    }
}
