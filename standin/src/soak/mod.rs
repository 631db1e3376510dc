//! A randomized soak: boxes as real processes, faults from outside, promises checked while it runs.
//!
//! | module | what it does |
//! |---|---|
//! | [`plan`] | faults at times, from a seed; parts of them, and the search for a smaller one that fails |
//! | `fleet` | the boxes, as processes |
//! | `server` | backend servers, each life of them with its record |
//! | `operator` | the store, and who writes to it |
//! | `caller` | callers, as the users' pages let them behave |
//! | [`record`] | what all of them saw |
//! | [`check`] | the promises, over the record alone |
//! | `play` | one run |

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
use plan::{Part, Size, Step};
use play::{Setting, play};
use record::{Outcome, Record};

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];
/// The regions that requests of kind `home` may be served in, by number.
const HOMES: [usize; 2] = [0, 1];
const HOST: &str = "soak.example";
/// The most boxes of a run: some tens of processes.
const BOXES: usize = 30;

fn domain(region: usize) -> String {
    format!("{}-a", REGIONS[region])
}

/// What the stand-ins do wrong on purpose, so that the checks are seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Plant {
    /// Servers run once what may run once, twice.
    Twice,
    /// Servers run a request and say that they have not.
    FalseRefusal,
    /// Servers answer with the answer to another request.
    ForeignAnswer,
    /// Servers skip an event of each stream.
    SkippedEvent,
    /// Departures are noted, and not written to the store.
    UnwrittenLeave,
    /// Evacuations are noted, and not written.
    UnwrittenEvacuation,
    /// Later versions of the configuration are noted, and not written.
    UnwrittenVersion,
    /// Boxes are killed soon after they were told to stop.
    ShortGrace,
    /// Cold servers do not say so.
    HiddenCold,
    /// All servers say that they stand in the first region.
    WrongRegion,
}

/// How to run it.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Draws the plan and what callers send.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds over which faults begin; a run takes some 10 to 25 s longer.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Boxes, in three regions in turn.
    #[arg(long, default_value_t = 6)]
    pub boxes: usize,
    /// Callers in each region.
    #[arg(long, default_value_t = 6)]
    pub callers: usize,
    /// The way of speaking; `own` is not built yet.
    #[arg(long, value_enum, default_value_t = Interface::Platform)]
    pub interface: Interface,
    /// Prints the plan and plays nothing.
    #[arg(long)]
    pub plan: bool,
    /// Plays these steps alone, as in `3,5-7`.
    #[arg(long)]
    pub only: Option<Part>,
    /// Cuts a failing plan down to a part that still fails.
    #[arg(long)]
    pub shrink: bool,
    /// The program of the boxes, built by `cargo build --release --locked`; else the one beside this program.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Faults of the stand-ins themselves, to see the checks find them.
    #[arg(long, value_enum)]
    pub plant: Vec<Plant>,
}

/// A way of speaking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Interface {
    /// That of the users' platform.
    Platform,
    /// Our own.
    Own,
}

impl Options {
    /// The plan, or the part of it that is to be played.
    pub fn steps(&self) -> Vec<Step> {
        let size = Size {
            boxes: self.boxes,
            servers: play::servers(),
            regions: REGIONS.len(),
        };
        let steps = plan::draw(self.seed, self.seconds * 1000, size);
        match &self.only {
            Some(part) => part.of(&steps),
            None => steps,
        }
    }

    fn setting(&self, folder: &Path) -> eyre::Result<Setting> {
        let beside = env::current_exe()?.with_file_name("petreldrum");
        let program = self.program.clone().unwrap_or(beside);
        if !program.exists() {
            bail!(
                "no {}; build it by: cargo build --release --locked",
                program.display()
            );
        }
        Ok(Setting {
            program,
            folder: folder.to_owned(),
            boxes: self.boxes,
            callers: self.callers,
            seed: self.seed,
            length: self.seconds * 1000,
            plants: self.plant.clone(),
        })
    }

    /// Plays steps; logs are kept where a promise was broken.
    pub async fn play(&self, steps: &[Step]) -> eyre::Result<(Record, Vec<Breach>)> {
        if self.interface == Interface::Own {
            bail!("the soak of our own interface is not built yet");
        }
        if !(REGIONS.len()..=BOXES).contains(&self.boxes) {
            bail!("--boxes is between {} and {BOXES}", REGIONS.len());
        }
        let name = format!("petreldrum-soak-{}-{}", process::id(), self.seed);
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder).wrap_err("cannot make a folder for logs")?;
        let (record, breaches) = play(&self.setting(&folder)?, steps)
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

/// Runs the soak until it is over or interrupted; an error where a promise was broken.
pub async fn run(options: Options) -> eyre::Result<()> {
    // Boxes end with what holds them, also after an interruption.
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        done = whole_run(&options) => done,
        _ = tokio::signal::ctrl_c() => bail!("interrupted"),
        _ = terminated.recv() => bail!("terminated"),
    }
}

async fn whole_run(options: &Options) -> eyre::Result<()> {
    let steps = options.steps();
    if options.plan {
        for step in &steps {
            println!("{:3}  at {:6} ms  {}", step.number, step.at, step.fault);
        }
        return Ok(());
    }
    let (record, breaches) = options.play(&steps).await?;
    println!("{}", report(options, &steps, &record, &breaches));
    if breaches.is_empty() {
        return Ok(());
    }
    if options.shrink {
        let rule = breaches[0].rule;
        let rest = plan::shrink(steps, |part| fails(options, part, rule)).await;
        println!("smallest part found: --only {}", plan::numbers(&rest));
    }
    bail!(
        "{} promises were broken with seed {}",
        breaches.len(),
        options.seed
    );
}

/// Whether a part of a plan breaks the same rule; a part that cannot be played does not.
async fn fails(options: &Options, part: Vec<Step>, rule: Rule) -> bool {
    println!("trying {}", plan::numbers(&part));
    match options.play(&part).await {
        Ok((_, breaches)) => breaches.iter().any(|b| b.rule == rule),
        Err(error) => {
            println!("this part could not be played: {error:#}");
            false
        }
    }
}

/// How often attempts ended in which way.
fn ends(record: &Record) -> BTreeMap<String, usize> {
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
        "ends": ends(record),
        "arrivals": record.arrivals.len(),
        "look_ups": record.look_ups.len(),
        "broken": lines,
    })
    .to_string()
}
