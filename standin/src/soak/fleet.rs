//! Boxes as processes of the real program, which get signals and nothing else from here.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use eyre::{WrapErr, bail, eyre};
use hyper::Method;
use tokio::{
    net::TcpSocket,
    time::{sleep, timeout},
};

use super::{
    REGIONS, domain,
    record::{Book, Part},
};
use crate::{http::call, link::Link};

/// How long the platform leaves a process after SIGTERM.
pub const GRACE: Duration = Duration::from_secs(8);
const START: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
const ANSWER: Duration = Duration::from_secs(1);
/// Connections of the process before may hold a port for a moment.
const STARTS: usize = 10;

const LISTENERS: [&str; 7] = [
    "public",
    "peer",
    "gossip",
    "admin",
    "ready",
    "directory",
    "metrics",
];

/// Listeners that other boxes reach over a link each.
const LINKED: [&str; 2] = ["peer", "gossip"];
/// How long a byte takes over a link.
const DELAY: Duration = Duration::from_millis(3);

/// A port of a box, which keeps it over its starts: nobody else is given it while the box is down.
struct Port {
    address: SocketAddr,
    /// Bound and never listening, so that the box may listen there.
    _holder: TcpSocket,
}

impl Port {
    fn reserve() -> eyre::Result<Self> {
        let holder = TcpSocket::new_v4()?;
        holder.set_reuseaddr(true)?;
        holder.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self {
            address: holder.local_addr()?,
            _holder: holder,
        })
    }
}

struct Running {
    child: Child,
    /// Whether it was told to end.
    told: bool,
    /// Whether it may still find its ports taken.
    starting: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        // Both do nothing where it has ended and was waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Machine {
    region: usize,
    ports: BTreeMap<&'static str, Port>,
    /// By which other boxes reach it.
    links: BTreeMap<&'static str, Link>,
    running: Mutex<Option<Running>>,
    /// The number of its trouble of having no process.
    gone: Mutex<Option<usize>>,
}

/// All boxes; their processes end with it.
pub struct Fleet {
    book: Book,
    program: PathBuf,
    folder: PathBuf,
    store: SocketAddr,
    machines: Vec<Machine>,
}

impl Fleet {
    /// Starts `count` boxes, in each region in turn, and waits until they take work.
    pub async fn start(
        book: &Book,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        count: usize,
    ) -> eyre::Result<Self> {
        let mut fleet = Self {
            book: book.clone(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            store,
            machines: Vec::new(),
        };
        for number in 0..count {
            fleet.add(number).await?;
        }
        // Each is told of all others, as a platform does that knows all machines.
        for number in 0..count {
            fleet.write_settings(number)?;
            fleet.restart(number).await?;
        }
        let begin = Instant::now();
        for number in 0..count {
            while !fleet.is_ready(number).await {
                if begin.elapsed() > START {
                    bail!("box-{number} is not ready after {} s", START.as_secs());
                }
                sleep(POLL).await;
            }
        }
        let regions = fleet.machines.iter().map(|m| m.region).collect();
        book.record().box_regions = regions;
        Ok(fleet)
    }

    async fn add(&mut self, number: usize) -> eyre::Result<()> {
        let port = |name| Ok((name, Port::reserve()?));
        let ports: eyre::Result<BTreeMap<_, _>> = LISTENERS.into_iter().map(port).collect();
        let ports = ports?;
        let mut links = BTreeMap::new();
        for name in LINKED {
            let link = Link::start(DELAY).await?;
            link.point(ports[name].address);
            links.insert(name, link);
        }
        self.machines.push(Machine {
            region: number % REGIONS.len(),
            ports,
            links,
            running: Mutex::default(),
            gone: Mutex::default(),
        });
        Ok(())
    }

    fn running(&self, number: usize) -> std::sync::MutexGuard<'_, Option<Running>> {
        let running = self.machines[number].running.lock();
        running.expect("the lock is never poisoned")
    }

    fn log(&self, number: usize) -> PathBuf {
        self.folder.join(format!("box-{number}.log"))
    }

    fn settings(&self, number: usize) -> PathBuf {
        self.folder.join(format!("box-{number}.ini"))
    }

    /// Writes the settings of a box anew, with the others as its seeds.
    pub fn write_settings(&self, number: usize) -> eyre::Result<()> {
        let machine = &self.machines[number];
        let listens: String = machine
            .ports
            .iter()
            .map(|(name, port)| format!("{name} = {}\n", port.address))
            .collect();
        let advertised: String = machine
            .links
            .iter()
            .map(|(name, link)| format!("{name} = {}\n", link.address))
            .collect();
        let others = self.machines.iter().enumerate();
        let seeds: Vec<String> = others
            .filter(|(other, _)| *other != number)
            .map(|(_, machine)| machine.links["gossip"].address.to_string())
            .collect();
        let domains: Vec<String> = (0..REGIONS.len())
            .map(|region| format!("{}/{}", domain(region), REGIONS[region]))
            .collect();
        let region = machine.region;
        let text = format!(
            "[box]\nname = box-{number}\nregion = {}\nfailure_domain = {}\ninterface = platform\n\
             log = info\n[listen]\n{listens}admin_token = soak-admin-token-0001\n\
             [advertise]\n{advertised}[peers]\nsecret = soak-cluster-secret-0001\nseeds = {}\n\
             [platform]\nstore = {}\ndomains = {}\nhop = 10ms\nbeat = 300ms\n\
             [limits]\nlinger = 3s\nretry_ratio = 0.2\nretry_slack = 58\n",
            REGIONS[region],
            domain(region),
            seeds.join(", "),
            self.store,
            domains.join(", "),
        );
        fs::write(self.settings(number), text).wrap_err("cannot write settings")
    }

    fn spawn(&self, number: usize) -> eyre::Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(number))?;
        Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(self.settings(number))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))
    }

    /// Where callers and look-ups of a box go, and its region.
    pub fn doors(&self) -> Vec<Door> {
        let door = |machine: &Machine| Door {
            public: machine.ports["public"].address,
            directory: machine.ports["directory"].address,
            region: machine.region,
        };
        self.machines.iter().map(door).collect()
    }

    async fn is_ready(&self, number: usize) -> bool {
        let address = self.machines[number].ports["ready"].address;
        let answer = timeout(ANSWER, call(address, Method::GET, "/v1/ready", &[], "")).await;
        matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
    }

    /// Sends a signal to the process of a box, if there is one.
    pub fn signal(&self, number: usize, name: &str) -> eyre::Result<()> {
        let running = self.running(number);
        let Some(running) = running.as_ref() else {
            return Ok(());
        };
        // The child is not waited for while the lock is held, so the id is still its own.
        let id = running.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(eyre!("box-{number} cannot be sent {name}")),
        }
    }

    /// Cuts the links to a box, or mends them.
    pub fn cut(&self, number: usize, cut: bool) {
        let links = self.machines[number].links.values();
        links.for_each(|link| link.cut(cut));
    }

    /// Loses `size` bytes of a box's answers to other boxes, after the next `skip` ones.
    pub fn lose(&self, number: usize, skip: usize, size: usize) {
        let links = self.machines[number].links.values();
        links.for_each(|link| link.lose(skip, size));
    }

    /// Notes that a box is to end, whoever ends it.
    fn tell(&self, number: usize) {
        if let Some(running) = self.running(number).as_mut() {
            running.told = true;
        }
    }

    /// Looks whether a box has ended; notes ends that nobody asked for.
    pub fn look(&self, number: usize) -> bool {
        let mut running = self.running(number);
        let Some(process) = running.as_mut() else {
            return true;
        };
        let Ok(Some(status)) = process.child.try_wait() else {
            return false;
        };
        if !process.told && !process.starting {
            let now = self.book.now();
            let end = (number, now, status.to_string());
            self.book.record().own_ends.push(end);
        }
        *running = None;
        let mut gone = self.machines[number]
            .gone
            .lock()
            .expect("the lock is never poisoned");
        gone.get_or_insert_with(|| self.book.begin(Part::Gone(number)));
        true
    }

    /// Stops a box as planned, and kills it after the time that it is left.
    pub async fn terminate(&self, number: usize, grace: Duration) -> eyre::Result<()> {
        self.tell(number);
        self.signal(number, "TERM")?;
        let begin = Instant::now();
        while !self.look(number) {
            if begin.elapsed() > grace {
                return self.kill(number).await;
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Kills a box.
    pub async fn kill(&self, number: usize) -> eyre::Result<()> {
        self.tell(number);
        self.signal(number, "KILL")?;
        while !self.look(number) {
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Starts a box again unless it runs.
    pub async fn restart(&self, number: usize) -> eyre::Result<()> {
        for _ in 0..STARTS {
            if !self.look(number) {
                return Ok(());
            }
            {
                let mut running = self.running(number);
                if running.is_some() {
                    // Another step has just started it.
                    return Ok(());
                }
                *running = Some(Running {
                    child: self.spawn(number)?,
                    told: false,
                    starting: true,
                });
            }
            // It ends at once where a port is still taken.
            sleep(10 * POLL).await;
            if !self.look(number) {
                if let Some(running) = self.running(number).as_mut() {
                    running.starting = false;
                }
                let gone = self.machines[number]
                    .gone
                    .lock()
                    .expect("the lock is never poisoned")
                    .take();
                if let Some(trouble) = gone {
                    self.book.end(trouble);
                }
                return Ok(());
            }
        }
        Err(eyre!(
            "box-{number} does not start, see {}",
            self.log(number).display()
        ))
    }
}

/// Where a box is met.
#[derive(Clone, Copy, Debug)]
pub struct Door {
    /// For callers.
    pub public: SocketAddr,
    /// For look-ups.
    pub directory: SocketAddr,
    /// Its region.
    pub region: usize,
}
