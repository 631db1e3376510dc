//! Generates a schedule of faults from a seed; selected steps of it can be run alone.

use std::{collections::BTreeSet, fmt, str::FromStr};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};

use super::record::Ms;

/// Time before the first fault, in which the system settles.
const SETTLE_MS: Ms = 2000;
/// Mean time between two steps that do not begin together.
const MEAN_STEP_INTERVAL_MS: Ms = 1200;
/// Range of the duration of most faults.
const FAULT_DURATIONS_MS: std::ops::Range<Ms> = 400..4000;
/// Runs that a search for a shorter plan may take; the pass in progress may exceed it.
const MAX_SHRINK_RUNS: usize = 40;

/// A temporary fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It does not answer.
    Silent,
    /// It closes connections without an answer.
    Reset,
    /// It answers that it is busy.
    Busy,
    /// Its answers come late.
    Slow,
    /// It executes calls, but some of its answers are lost.
    LostAnswers,
    /// It does not answer, and the entries of backend servers expire meanwhile.
    Lapse,
    /// It loses its history of changes.
    Forget,
}

/// A temporary fault of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malfunction {
    /// It reads requests and does not answer.
    Dark,
    /// It fails every second request, while its health check succeeds.
    Lying,
    /// It takes 600 ms longer for each request.
    Slow,
    /// It refuses all requests.
    Full,
    /// Its streams have neither a length nor chunked framing, and every second one ends inside an
    /// event.
    Unframed,
}

/// How a backend server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It registers as draining, serves for the drain time, and ends.
    Announced,
    /// Its entry is removed; it serves for the drain time, and ends.
    Unannounced,
    /// It ends at once, and its entry expires later.
    Crash,
    /// It crashes, and a server of another service gets its address.
    AddressReused,
}

/// One fault; boxes, backend servers and regions are given by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A planned stop of a box, and the time from its end to its restart.
    Terminate(usize, Ms),
    /// A kill of a box, and the time from its end to its restart.
    Kill(usize, Ms),
    /// A box is suspended for this duration.
    Freeze(usize, Ms),
    /// The links to a box are cut for this duration.
    Cut(usize, Ms),
    /// Answers of a box to other boxes lose bytes and break soon after, for this duration.
    Gaps(usize, Ms),
    /// A box's settings are rewritten; whether it gets SIGHUP.
    Settings(usize, bool),
    /// The store has an outage for this duration.
    Store(Outage, Ms),
    /// A backend server leaves, and the time from its end to the start of its successor.
    Depart(usize, Departure, Ms),
    /// A backend server malfunctions for this duration.
    Malfunction(usize, Malfunction, Ms),
    /// The operator writes the next configuration version.
    Configure,
    /// The operator evacuates a region's failure domain for this duration.
    Evacuate(usize, Ms),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Terminate(target, restart_delay) => {
                write!(f, "SIGTERM box-{target}, back after {restart_delay} ms")
            }
            Self::Kill(target, restart_delay) => {
                write!(f, "SIGKILL box-{target}, back after {restart_delay} ms")
            }
            Self::Freeze(target, span) => write!(f, "SIGSTOP box-{target} for {span} ms"),
            Self::Cut(target, span) => write!(f, "links to box-{target} cut for {span} ms"),
            Self::Gaps(target, span) => {
                write!(f, "answers of box-{target} lose bytes for {span} ms")
            }
            Self::Settings(target, signal) => {
                let how = if *signal { "SIGHUP" } else { "no signal" };
                write!(f, "settings of box-{target} written, {how}")
            }
            Self::Store(outage, span) => write!(f, "store {outage:?} for {span} ms"),
            Self::Depart(server, how, restart_delay) => {
                write!(
                    f,
                    "server {server} leaves: {how:?}, back after {restart_delay} ms"
                )
            }
            Self::Malfunction(server, how, span) => {
                write!(f, "server {server} {how:?} for {span} ms")
            }
            Self::Configure => write!(f, "configuration changes"),
            Self::Evacuate(region, span) => write!(f, "region {region} evacuated for {span} ms"),
        }
    }
}

/// A fault scheduled at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number that selects the step.
    pub number: usize,
    /// When it begins, in milliseconds after the callers start.
    pub at: Ms,
    /// The fault that is injected.
    pub fault: Fault,
}

/// Size of the system that faults are drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of regions.
    pub regions: usize,
}

/// The kind of fault that a plan prefers. A theme of planned work alone also tests it without
/// concurrent unplanned faults.
#[derive(Clone, Copy, Debug)]
enum Theme {
    Planned,
    Boxes,
    Store,
    Servers,
    Mixed,
}

/// Draws the plan of a seed; the plan of a longer run begins with that of a shorter one.
pub fn generate(seed: u64, length: Ms, size: Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let themes = [
        Theme::Planned,
        Theme::Boxes,
        Theme::Store,
        Theme::Servers,
        Theme::Mixed,
    ];
    let theme = *themes
        .choose(&mut rng)
        .expect("the list of themes is not empty");
    let mut steps = Vec::new();
    let mut at = SETTLE_MS;
    while at < length {
        let number = steps.len() + 1;
        let fault = draw_fault(&mut rng, theme, size);
        steps.push(Step { number, at, fault });
        // On average every third step begins together with the previous one, or shortly after it.
        let together = rng.random_range(0..3) == 0;
        let pause = rng.random_range(0..2 * MEAN_STEP_INTERVAL_MS);
        at += if together { pause / 20 } else { pause };
    }
    steps
}

fn draw_fault(rng: &mut StdRng, theme: Theme, size: Size) -> Fault {
    let aspect = match theme {
        // One fault in four is of any kind, except in the planned theme.
        Theme::Boxes | Theme::Store | Theme::Servers if rng.random_range(0..4) == 0 => Theme::Mixed,
        theme => theme,
    };
    let aspect = match aspect {
        Theme::Mixed => {
            let all = [Theme::Planned, Theme::Boxes, Theme::Store, Theme::Servers];
            *all.choose(rng).expect("the list of themes is not empty")
        }
        aspect => aspect,
    };
    let target = rng.random_range(0..size.boxes);
    let server = rng.random_range(0..size.servers);
    let region = rng.random_range(0..size.regions);
    let span = rng.random_range(FAULT_DURATIONS_MS);
    let restart_delay = rng.random_range(FAULT_DURATIONS_MS);
    let signal = rng.random();
    match aspect {
        Theme::Planned | Theme::Mixed => match rng.random_range(0..6) {
            0 | 1 => Fault::Terminate(target, restart_delay),
            2 => Fault::Settings(target, signal),
            3 => Fault::Configure,
            4 => Fault::Evacuate(region, 2 * span),
            _ => Fault::Depart(server, Departure::Announced, restart_delay),
        },
        Theme::Boxes => match rng.random_range(0..8) {
            0 => Fault::Terminate(target, restart_delay),
            1 | 2 => Fault::Kill(target, restart_delay),
            3 => Fault::Freeze(target, span),
            4 | 5 => Fault::Cut(target, span),
            6 => Fault::Gaps(target, span),
            _ => Fault::Settings(target, signal),
        },
        Theme::Store => {
            use Outage::{Busy, Forget, Lapse, LostAnswers, Reset, Silent, Slow};
            let all = [Silent, Reset, Busy, Slow, LostAnswers, Lapse, Forget];
            let outage = *all.choose(rng).expect("the list of outages is not empty");
            match rng.random_range(0..3) {
                0 => Fault::Configure,
                _ => Fault::Store(outage, span),
            }
        }
        Theme::Servers => {
            let departures = [
                Departure::Announced,
                Departure::Unannounced,
                Departure::Crash,
                Departure::AddressReused,
            ];
            use Malfunction::{Dark, Full, Lying, Slow, Unframed};
            let malfunctions = [Dark, Lying, Slow, Full, Unframed];
            let departure = *departures
                .choose(rng)
                .expect("the list of departures is not empty");
            let malfunction = *malfunctions
                .choose(rng)
                .expect("the list of malfunctions is not empty");
            match rng.random_range(0..2) {
                0 => Fault::Depart(server, departure, restart_delay),
                _ => Fault::Malfunction(server, malfunction, span),
            }
        }
    }
}

/// Numbers of the selected steps, parsed from the form `3,5-7`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection(BTreeSet<usize>);

impl Selection {
    /// Returns the selected steps.
    pub fn select(&self, steps: &[Step]) -> Vec<Step> {
        let named = steps.iter().filter(|s| self.0.contains(&s.number));
        named.copied().collect()
    }
}

impl FromStr for Selection {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut numbers = BTreeSet::new();
        for piece in text.split(',') {
            let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
            let number = |text: &str| {
                let number = text.trim().parse::<usize>();
                number.map_err(|_| format!("not a step number: {text}"))
            };
            numbers.extend(number(from)?..=number(to)?);
        }
        Ok(Self(numbers))
    }
}

/// Formats the numbers of steps in the form that [`Selection`] parses.
pub fn format_selection(steps: &[Step]) -> String {
    let numbers: Vec<String> = steps.iter().map(|s| s.number.to_string()).collect();
    numbers.join(",")
}

/// Shrinks a failing plan to a smaller one that still fails, by leaving out ever smaller chunks.
pub async fn shrink<F>(steps: Vec<Step>, mut fails: impl FnMut(Vec<Step>) -> F) -> Vec<Step>
where
    F: Future<Output = bool>,
{
    let mut remaining = steps;
    let mut chunks = 2;
    let mut runs_left = MAX_SHRINK_RUNS;
    while remaining.len() > 1 && runs_left > 0 {
        let size = remaining.len().div_ceil(chunks);
        let mut shorter = None;
        for start in (0..remaining.len()).step_by(size) {
            let without: Vec<Step> = remaining
                .iter()
                .enumerate()
                .filter(|(index, _)| !(start..start + size).contains(index))
                .map(|(_, step)| *step)
                .collect();
            runs_left = runs_left.saturating_sub(1);
            if fails(without.clone()).await {
                shorter = Some(without);
                break;
            }
        }
        match shorter {
            Some(shorter) => {
                remaining = shorter;
                chunks = 2.max(chunks - 1);
            }
            None if size == 1 => break,
            None => chunks = (2 * chunks).min(remaining.len()),
        }
    }
    remaining
}
