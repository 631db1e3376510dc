//! Randomized soak test: runs boxes as real processes, injects faults from outside and checks the
//! platform's rules while it runs.
//!
//! | module | what it does |
//! |---|---|
//! | [`plan`] | draws a schedule of faults from a seed, selects steps and shrinks a failing plan |
//! | `fleet` | starts, signals and stops the boxes as processes |
//! | `server` | backend servers; each start has a record of its own |
//! | `operator` | the store and its writers: the operator and the backend servers |
//! | `caller` | callers, within the client behaviour that the users' pages allow |
//! | [`record`] | the record of everything observed |
//! | [`check`] | checks the rules against the record alone |
//! | `play` | executes one run |

mod caller;
pub mod check;
mod fleet;
mod operator;
pub mod plan;
mod play;
pub mod record;
mod server;

use std::{
    collections::BTreeMap,
    env, fs,
    path::{Path, PathBuf},
    process,
};

use clap::{Args, ValueEnum};
use eyre::{WrapErr, bail};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use check::{Breach, Rule};
use plan::{Selection, Size, Step};
use play::{RunConfig, run_steps};
use record::{Outcome, Record};

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];
/// Region numbers in which requests of kind `home` may be served.
const HOME_REGIONS: [usize; 2] = [0, 1];
const HOST: &str = "soak.example";
/// Upper bound on boxes in a run, which keeps it to some tens of processes.
const MAX_BOXES: usize = 30;

fn domain(region: usize) -> String {
    format!("{}-a", REGIONS[region])
}

/// A deliberate fault of the stand-ins, which verifies that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum PlantedFault {
    /// Servers run requests twice that may run at most once.
    Twice,
    /// Servers run a request and answer that they have not.
    FalseRefusal,
    /// Servers answer with the answer to another request.
    ForeignAnswer,
    /// Servers omit one event of each stream.
    SkippedEvent,
    /// Departures are recorded, but not written to the store.
    UnwrittenLeave,
    /// Evacuations are recorded, but not written to the store.
    UnwrittenEvacuation,
    /// Configuration versions after the first are recorded, but not written to the store.
    UnwrittenVersion,
    /// Boxes are stopped while they pass a stream on, and killed if they still run 50 ms after
    /// SIGTERM.
    ShortGrace,
    /// Cold servers register as warm.
    HiddenCold,
    /// All servers register in the first region.
    WrongRegion,
}

/// Options of a soak run.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Seed of the plan and of the callers' requests.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds during which faults begin; a run takes about 10 to 25 s longer.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Number of boxes, assigned to three regions in turn.
    #[arg(long, default_value_t = 6)]
    pub boxes: usize,
    /// Number of callers in each region.
    #[arg(long, default_value_t = 6)]
    pub callers: usize,
    /// Interface of the boxes; `own` is not implemented yet.
    #[arg(long, value_enum, default_value_t = Interface::Platform)]
    pub interface: Interface,
    /// Prints the plan without running it.
    #[arg(long)]
    pub plan: bool,
    /// Runs only these steps, as in `3,5-7`.
    #[arg(long)]
    pub only: Option<Selection>,
    /// Shrinks a failing plan to a smaller one that still fails.
    #[arg(long)]
    pub shrink: bool,
    /// Gateway executable, built by `cargo build --release --locked`; default: `petreldrum` beside
    /// this program.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Deliberate faults of the stand-ins, to verify that the checks detect them.
    #[arg(long, value_enum)]
    pub plant: Vec<PlantedFault>,
}

/// The interface that the boxes offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Interface {
    /// The interface of the users' platform.
    Platform,
    /// petreldrum's own interface.
    Own,
}

impl Options {
    /// Returns the steps to run: the whole plan, or those selected by `--only`.
    pub fn steps(&self) -> Vec<Step> {
        let size = Size {
            boxes: self.boxes,
            servers: play::server_count(),
            regions: REGIONS.len(),
        };
        let steps = plan::generate(self.seed, self.seconds * 1000, size);
        match &self.only {
            Some(selection) => selection.select(&steps),
            None => steps,
        }
    }

    fn run_config(&self, folder: &Path) -> eyre::Result<RunConfig> {
        let default_program = env::current_exe()?.with_file_name("petreldrum");
        let program = self.program.clone().unwrap_or(default_program);
        if !program.exists() {
            bail!(
                "{} does not exist; build it with: cargo build --release --locked",
                program.display()
            );
        }
        Ok(RunConfig {
            program,
            folder: folder.to_owned(),
            boxes: self.boxes,
            callers: self.callers,
            seed: self.seed,
            length: self.seconds * 1000,
            planted_faults: self.plant.clone(),
        })
    }

    /// Runs the steps and keeps the logs if a rule was broken.
    pub async fn run_steps(&self, steps: &[Step]) -> eyre::Result<(Record, Vec<Breach>)> {
        if self.interface == Interface::Own {
            bail!("the soak of petreldrum's own interface is not implemented yet");
        }
        if !(REGIONS.len()..=MAX_BOXES).contains(&self.boxes) {
            bail!("--boxes must be between {} and {MAX_BOXES}", REGIONS.len());
        }
        let name = format!("petreldrum-soak-{}-{}", process::id(), self.seed);
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder).wrap_err("cannot create a directory for logs")?;
        let (record, breaches) = run_steps(&self.run_config(&folder)?, steps)
            .await
            .wrap_err_with(|| format!("logs are in {}", folder.display()))?;
        if breaches.is_empty() {
            fs::remove_dir_all(&folder)?;
        } else {
            fs::write(folder.join("record.txt"), format!("{record:#?}"))?;
            println!("logs are in {}", folder.display());
        }
        Ok((record, breaches))
    }
}

/// Runs the soak until it ends or is interrupted; returns an error if a rule was broken.
pub async fn run(options: Options) -> eyre::Result<()> {
    // Returning drops the fleet, which kills the boxes, also after an interruption.
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        done = run_to_end(&options) => done,
        _ = tokio::signal::ctrl_c() => bail!("interrupted"),
        _ = terminated.recv() => bail!("terminated"),
    }
}

async fn run_to_end(options: &Options) -> eyre::Result<()> {
    let steps = options.steps();
    if options.plan {
        for step in &steps {
            println!("{:3}  at {:6} ms  {}", step.number, step.at, step.fault);
        }
        return Ok(());
    }
    let (record, breaches) = options.run_steps(&steps).await?;
    println!("{}", report(options, &steps, &record, &breaches));
    if breaches.is_empty() {
        return Ok(());
    }
    if options.shrink {
        let rule = breaches[0].rule;
        let rest = plan::shrink(steps, |part| fails(options, part, rule)).await;
        println!(
            "smallest part found: --only {}",
            plan::format_selection(&rest)
        );
    }
    bail!(
        "{} rule breaches with seed {}",
        breaches.len(),
        options.seed
    );
}

/// Reports whether some steps of a plan break the same rule; steps that cannot be run count as
/// passing.
async fn fails(options: &Options, steps: Vec<Step>, rule: Rule) -> bool {
    println!("trying {}", plan::format_selection(&steps));
    match options.run_steps(&steps).await {
        Ok((_, breaches)) => breaches.iter().any(|b| b.rule == rule),
        Err(error) => {
            println!("these steps could not be run: {error:#}");
            false
        }
    }
}

/// Counts attempts by the way they ended.
fn count_ends(record: &Record) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for attempt in &record.attempts {
        let name = match &attempt.end {
            None => "none".to_owned(),
            Some((_, Outcome::Answer(answer))) if answer.whole => answer.status.to_string(),
            Some((_, Outcome::Answer(answer))) => format!("{} cut", answer.status),
            Some((_, other)) => format!("{other:?}").to_lowercase(),
        };
        *ends.entry(name).or_default() += 1;
    }
    ends
}

fn report(options: &Options, steps: &[Step], record: &Record, breaches: &[Breach]) -> String {
    let lines: Vec<String> = breaches.iter().map(ToString::to_string).collect();
    let served = record.attempts.iter().filter(|a| check::is_served(a));
    json!({
        "seed": options.seed,
        "seconds": options.seconds,
        "boxes": options.boxes,
        "steps": steps.len(),
        "attempts": record.attempts.len(),
        "served": served.count(),
        "ends": count_ends(record),
        "arrivals": record.arrivals.len(),
        "look_ups": record.look_ups.len(),
        "broken": lines,
    })
    .to_string()
}
