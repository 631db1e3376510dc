//! A list of faults at times, drawn from a seed; a part of it can be played alone.

use std::{collections::BTreeSet, fmt, str::FromStr};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};

use super::record::Ms;

/// Nothing happens before: the system has to settle first.
const CALM: Ms = 2000;
/// Time between two steps, on average.
const STEP: Ms = 1200;
/// How long most faults last.
const SPANS: std::ops::Range<Ms> = 400..4000;
/// Runs that a search for a shorter plan may take.
const TRIES: usize = 40;

/// How the store misbehaves for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It says nothing.
    Silent,
    /// It closes connections without an answer.
    Reset,
    /// It answers that it is busy.
    Busy,
    /// Its answers come late.
    Slow,
    /// It does what it is told, and some of its answers are lost.
    LostAnswers,
    /// It is silent, and the entries of servers lapse meanwhile.
    Lapse,
    /// It forgets its history.
    Forget,
}

/// What a backend server does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Illness {
    /// It reads requests and says nothing.
    Dark,
    /// It fails every second request, and its health check is good.
    Lying,
    /// It takes a long time.
    Slow,
    /// It refuses everything.
    Full,
    /// Its streams have neither a length nor chunks, and every second one ends inside an event.
    Unframed,
}

/// How a backend server goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It says so, serves on, and ends.
    Announced,
    /// Its entry vanishes; it serves on, and ends.
    Unannounced,
    /// It ends at once, and its entry lapses later.
    Crash,
    /// As a crash; a server of another service is given its address.
    AddressReused,
}

/// One fault; boxes, servers and regions are told by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A planned stop of a box, and the next start so long after its end.
    Terminate(usize, Ms),
    /// A kill of a box, and the next start so long afterwards.
    Kill(usize, Ms),
    /// A box stands still for so long.
    Freeze(usize, Ms),
    /// A box's ways to and from other boxes are cut for so long.
    Cut(usize, Ms),
    /// Answers of a box to other boxes lose bytes, and break soon after, for so long.
    Gaps(usize, Ms),
    /// A box's settings are written anew, with a signal or without one.
    Settings(usize, bool),
    /// The store misbehaves for so long.
    Store(Outage, Ms),
    /// A backend server goes, and another life starts so long afterwards.
    Depart(usize, Departure, Ms),
    /// A backend server gets things wrong for so long.
    Ill(usize, Illness, Ms),
    /// The operator writes another configuration.
    Configure,
    /// The operator evacuates a region's failure domain for so long.
    Evacuate(usize, Ms),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Terminate(target, back) => {
                write!(f, "SIGTERM box-{target}, back after {back} ms")
            }
            Self::Kill(target, back) => write!(f, "SIGKILL box-{target}, back after {back} ms"),
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
            Self::Depart(server, how, back) => {
                write!(f, "server {server} leaves: {how:?}, back after {back} ms")
            }
            Self::Ill(server, how, span) => write!(f, "server {server} {how:?} for {span} ms"),
            Self::Configure => write!(f, "configuration changes"),
            Self::Evacuate(region, span) => write!(f, "region {region} evacuated for {span} ms"),
        }
    }
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// By which the step is named.
    pub number: usize,
    /// When it begins.
    pub at: Ms,
    /// What happens.
    pub fault: Fault,
}

/// How much there is to break.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Boxes.
    pub boxes: usize,
    /// Backend servers.
    pub servers: usize,
    /// Regions.
    pub regions: usize,
}

/// What a plan prefers, so that planned work also stands without disturbance beside it.
#[derive(Clone, Copy, Debug)]
enum Theme {
    Planned,
    Boxes,
    Store,
    Servers,
    Mixed,
}

/// Draws the plan of a seed; later steps of a longer run do not change earlier ones.
pub fn draw(seed: u64, length: Ms, size: Size) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let themes = [
        Theme::Planned,
        Theme::Boxes,
        Theme::Store,
        Theme::Servers,
        Theme::Mixed,
    ];
    let theme = *themes.choose(&mut random).expect("there are themes");
    let mut steps = Vec::new();
    let mut at = CALM;
    while at < length {
        let number = steps.len() + 1;
        let fault = fault(&mut random, theme, size);
        steps.push(Step { number, at, fault });
        // Every third step begins together with the one before, or nearly so.
        let together = random.random_range(0..3) == 0;
        let pause = random.random_range(0..2 * STEP);
        at += if together { pause / 20 } else { pause };
    }
    steps
}

fn fault(random: &mut StdRng, theme: Theme, size: Size) -> Fault {
    let aspect = match theme {
        // Other faults, now and then, in each theme but the planned one.
        Theme::Boxes | Theme::Store | Theme::Servers if random.random_range(0..4) == 0 => {
            Theme::Mixed
        }
        theme => theme,
    };
    let aspect = match aspect {
        Theme::Mixed => {
            let all = [Theme::Planned, Theme::Boxes, Theme::Store, Theme::Servers];
            *all.choose(random).expect("there are themes")
        }
        aspect => aspect,
    };
    let target = random.random_range(0..size.boxes);
    let server = random.random_range(0..size.servers);
    let region = random.random_range(0..size.regions);
    let span = random.random_range(SPANS);
    let back = random.random_range(SPANS);
    let signal = random.random();
    match aspect {
        Theme::Planned | Theme::Mixed => match random.random_range(0..6) {
            0 | 1 => Fault::Terminate(target, back),
            2 => Fault::Settings(target, signal),
            3 => Fault::Configure,
            4 => Fault::Evacuate(region, 2 * span),
            _ => Fault::Depart(server, Departure::Announced, back),
        },
        Theme::Boxes => match random.random_range(0..8) {
            0 => Fault::Terminate(target, back),
            1 | 2 => Fault::Kill(target, back),
            3 => Fault::Freeze(target, span),
            4 | 5 => Fault::Cut(target, span),
            6 => Fault::Gaps(target, span),
            _ => Fault::Settings(target, signal),
        },
        Theme::Store => {
            use Outage::{Busy, Forget, Lapse, LostAnswers, Reset, Silent, Slow};
            let all = [Silent, Reset, Busy, Slow, LostAnswers, Lapse, Forget];
            let outage = *all.choose(random).expect("there are outages");
            match random.random_range(0..3) {
                0 => Fault::Configure,
                _ => Fault::Store(outage, span),
            }
        }
        Theme::Servers => {
            let ways = [
                Departure::Announced,
                Departure::Unannounced,
                Departure::Crash,
                Departure::AddressReused,
            ];
            use Illness::{Dark, Full, Lying, Slow, Unframed};
            let ills = [Dark, Lying, Slow, Full, Unframed];
            let way = *ways.choose(random).expect("there are ways");
            let ill = *ills.choose(random).expect("there are ills");
            match random.random_range(0..2) {
                0 => Fault::Depart(server, way, back),
                _ => Fault::Ill(server, ill, span),
            }
        }
    }
}

/// Numbers of steps, as in `3,5-7`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part(BTreeSet<usize>);

impl Part {
    /// The steps that it names.
    pub fn of(&self, steps: &[Step]) -> Vec<Step> {
        let named = steps.iter().filter(|s| self.0.contains(&s.number));
        named.copied().collect()
    }
}

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut numbers = BTreeSet::new();
        for piece in text.split(',') {
            let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
            let number = |text: &str| {
                let number = text.trim().parse::<usize>();
                number.map_err(|_| format!("no number of a step: {text}"))
            };
            numbers.extend(number(from)?..=number(to)?);
        }
        Ok(Self(numbers))
    }
}

/// Says which steps remain, as [`Part`] reads it.
pub fn numbers(steps: &[Step]) -> String {
    let numbers: Vec<String> = steps.iter().map(|s| s.number.to_string()).collect();
    numbers.join(",")
}

/// Cuts a failing plan down by bisection to a part that still fails.
pub async fn shrink<F>(steps: Vec<Step>, mut fails: impl FnMut(Vec<Step>) -> F) -> Vec<Step>
where
    F: Future<Output = bool>,
{
    let mut rest = steps;
    let mut pieces = 2;
    let mut tries = TRIES;
    while rest.len() > 1 && tries > 0 {
        let size = rest.len().div_ceil(pieces);
        let mut shorter = None;
        for start in (0..rest.len()).step_by(size) {
            let without: Vec<Step> = rest
                .iter()
                .enumerate()
                .filter(|(index, _)| !(start..start + size).contains(index))
                .map(|(_, step)| *step)
                .collect();
            tries = tries.saturating_sub(1);
            if fails(without.clone()).await {
                shorter = Some(without);
                break;
            }
        }
        match shorter {
            Some(shorter) => {
                rest = shorter;
                pieces = 2.max(pieces - 1);
            }
            None if size == 1 => break,
            None => pieces = (2 * pieces).min(rest.len()),
        }
    }
    rest
}
