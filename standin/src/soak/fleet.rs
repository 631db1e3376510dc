//! Boxes as processes of the real program, controlled only by settings files, signals and faults of
//! the links between them.

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
    record::{Part, Recorder},
};
use crate::{http::call, link::Link};

/// How long the platform waits after SIGTERM before it kills a process.
pub const TERMINATION_GRACE: Duration = Duration::from_secs(8);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections of the previous process may hold a port briefly, so a start is retried.
const MAX_START_ATTEMPTS: usize = 10;

const LISTENERS: [&str; 7] = [
    "public",
    "peer",
    "gossip",
    "admin",
    "ready",
    "directory",
    "metrics",
];

/// Listeners that other boxes reach over a separate link.
const LINKED: [&str; 2] = ["peer", "gossip"];
/// One-way delay of a link.
const LINK_DELAY: Duration = Duration::from_millis(3);

/// A port reserved for a box across restarts, so that no other process gets it while the box is
/// down.
struct Port {
    address: SocketAddr,
    /// Bound but never listening, so that the box can listen on the address.
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

struct BoxProcess {
    child: Child,
    /// Whether this program has requested its end.
    stop_requested: bool,
    /// Whether it may still exit because a port is in use.
    starting: bool,
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // Both have no effect if the process has ended and was waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Machine {
    region: usize,
    ports: BTreeMap<&'static str, Port>,
    /// Links over which other boxes reach it, by listener.
    links: BTreeMap<&'static str, Link>,
    running: Mutex<Option<BoxProcess>>,
    /// Number of the recorded trouble while the box has no process.
    downtime: Mutex<Option<usize>>,
}

/// All boxes; dropping it kills their processes.
pub struct Fleet {
    recorder: Recorder,
    program: PathBuf,
    folder: PathBuf,
    store: SocketAddr,
    machines: Vec<Machine>,
}

impl Fleet {
    /// Starts `count` boxes, assigned to the regions in turn, and waits until they are ready.
    pub async fn start(
        recorder: &Recorder,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        count: usize,
    ) -> eyre::Result<Self> {
        let mut fleet = Self {
            recorder: recorder.clone(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            store,
            machines: Vec::new(),
        };
        for number in 0..count {
            fleet.add_box(number).await?;
        }
        // The seeds of each box are all other boxes, as on a platform that knows all machines.
        for number in 0..count {
            fleet.write_settings(number)?;
            fleet.restart(number).await?;
        }
        let begin = Instant::now();
        for number in 0..count {
            while !fleet.is_ready(number).await {
                if begin.elapsed() > START_TIMEOUT {
                    bail!(
                        "box-{number} is not ready after {} s",
                        START_TIMEOUT.as_secs()
                    );
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        let regions = fleet.machines.iter().map(|m| m.region).collect();
        recorder.record().box_regions = regions;
        Ok(fleet)
    }

    async fn add_box(&mut self, number: usize) -> eyre::Result<()> {
        let port = |name| Ok((name, Port::reserve()?));
        let ports: eyre::Result<BTreeMap<_, _>> = LISTENERS.into_iter().map(port).collect();
        let ports = ports?;
        let mut links = BTreeMap::new();
        for name in LINKED {
            let link = Link::start(LINK_DELAY).await?;
            link.point(ports[name].address);
            links.insert(name, link);
        }
        self.machines.push(Machine {
            region: number % REGIONS.len(),
            ports,
            links,
            running: Mutex::default(),
            downtime: Mutex::default(),
        });
        Ok(())
    }

    fn running(&self, number: usize) -> std::sync::MutexGuard<'_, Option<BoxProcess>> {
        let running = self.machines[number].running.lock();
        running.expect("the lock is never poisoned")
    }

    fn log_path(&self, number: usize) -> PathBuf {
        self.folder.join(format!("box-{number}.log"))
    }

    fn settings_path(&self, number: usize) -> PathBuf {
        self.folder.join(format!("box-{number}.ini"))
    }

    /// Writes the settings file of a box, with all other boxes as its seeds.
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
        fs::write(self.settings_path(number), text).wrap_err("cannot write the settings of a box")
    }

    fn spawn(&self, number: usize) -> eyre::Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(number))?;
        Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(self.settings_path(number))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))
    }

    /// Returns the addresses and the region of each box.
    pub fn endpoints(&self) -> Vec<Endpoints> {
        let endpoint = |machine: &Machine| Endpoints {
            public: machine.ports["public"].address,
            directory: machine.ports["directory"].address,
            region: machine.region,
        };
        self.machines.iter().map(endpoint).collect()
    }

    async fn is_ready(&self, number: usize) -> bool {
        let address = self.machines[number].ports["ready"].address;
        let answer = timeout(
            PROBE_TIMEOUT,
            call(address, Method::GET, "/v1/ready", &[], ""),
        )
        .await;
        matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
    }

    /// Sends a signal to the process of a box, if there is one.
    pub fn signal(&self, number: usize, name: &str) -> eyre::Result<()> {
        let running = self.running(number);
        let Some(running) = running.as_ref() else {
            return Ok(());
        };
        // No one reaps the child while the lock is held, so the process id is still valid.
        let id = running.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(eyre!("cannot send signal {name} to box-{number}")),
        }
    }

    /// Cuts the links to a box, or restores them.
    pub fn cut(&self, number: usize, cut: bool) {
        let links = self.machines[number].links.values();
        links.for_each(|link| link.cut(cut));
    }

    /// Drops `size` bytes of a box's answers to other boxes, after the next `skip` bytes.
    pub fn drop_bytes(&self, number: usize, skip: usize, size: usize) {
        let links = self.machines[number].links.values();
        links.for_each(|link| link.lose(skip, size));
    }

    /// Marks the end of a box's process as requested.
    fn mark_stop_requested(&self, number: usize) {
        if let Some(running) = self.running(number).as_mut() {
            running.stop_requested = true;
        }
    }

    /// Reaps the process of a box if it has ended, and records an end that was not requested.
    /// Reports whether the box has no process.
    pub fn reap(&self, number: usize) -> bool {
        let mut running = self.running(number);
        let Some(process) = running.as_mut() else {
            return true;
        };
        let Ok(Some(status)) = process.child.try_wait() else {
            return false;
        };
        if !process.stop_requested && !process.starting {
            let now = self.recorder.now();
            let end = (number, now, status.to_string());
            self.recorder.record().own_ends.push(end);
        }
        *running = None;
        let mut downtime = self.machines[number]
            .downtime
            .lock()
            .expect("the lock is never poisoned");
        downtime.get_or_insert_with(|| self.recorder.begin(Part::Gone(number)));
        true
    }

    /// Stops a box with SIGTERM, and kills it if it still runs after the grace period.
    pub async fn terminate(&self, number: usize, grace: Duration) -> eyre::Result<()> {
        self.mark_stop_requested(number);
        self.signal(number, "TERM")?;
        let begin = Instant::now();
        while !self.reap(number) {
            if begin.elapsed() > grace {
                return self.kill(number).await;
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Kills a box with SIGKILL and waits for its end.
    pub async fn kill(&self, number: usize) -> eyre::Result<()> {
        self.mark_stop_requested(number);
        self.signal(number, "KILL")?;
        while !self.reap(number) {
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Starts a box unless it is running.
    pub async fn restart(&self, number: usize) -> eyre::Result<()> {
        for _ in 0..MAX_START_ATTEMPTS {
            if !self.reap(number) {
                return Ok(());
            }
            {
                let mut running = self.running(number);
                if running.is_some() {
                    // Another step has started it concurrently.
                    return Ok(());
                }
                *running = Some(BoxProcess {
                    child: self.spawn(number)?,
                    stop_requested: false,
                    starting: true,
                });
            }
            // The process exits at once if a port is still in use.
            sleep(10 * POLL_INTERVAL).await;
            if !self.reap(number) {
                if let Some(running) = self.running(number).as_mut() {
                    running.starting = false;
                }
                let downtime = self.machines[number]
                    .downtime
                    .lock()
                    .expect("the lock is never poisoned")
                    .take();
                if let Some(trouble) = downtime {
                    self.recorder.end(trouble);
                }
                return Ok(());
            }
        }
        Err(eyre!(
            "box-{number} does not start; see {}",
            self.log_path(number).display()
        ))
    }
}

/// Addresses and region of a box.
#[derive(Clone, Copy, Debug)]
pub struct Endpoints {
    /// Listener for callers.
    pub public: SocketAddr,
    /// Listener for look-ups.
    pub directory: SocketAddr,
    /// Number of its region.
    pub region: usize,
}
