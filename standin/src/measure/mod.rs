//! The figures that the documentation gives; each part prints its table.

mod allotments;
mod control;
mod decisions;
mod fleet;
mod hop;
mod limits;
mod policies;
mod rollout;
mod start;

use clap::Subcommand;

/// What to measure.
#[derive(Debug, Subcommand)]
pub enum What {
    /// Ways to hold a customer's allotment over many boxes, on the same arrivals.
    Allotments,
    /// Reducer decisions a second, and the configuration's size and checking time, by workers.
    Decisions,
    /// Bytes of state for each worker, caller, peer and remembered key.
    State,
    /// Messages, bytes and processor time for control, by fleet size.
    Control,
    /// How boxes that share a backend server's limit hold it, and how much of it they use.
    Limits,
    /// What boxes tell and ask when all of a fleet start together, by size.
    Start {
        /// Boxes; several sizes where nothing is said.
        #[arg(long)]
        boxes: Vec<usize>,
    },
    /// How far a release is exposed that is rolled out, how soon a bad one is stopped, and wrong verdicts.
    Rollout {
        /// Runs of each row.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Boxes; several sizes where nothing is said.
        #[arg(long)]
        boxes: Vec<usize>,
    },
    /// The price of a hop: a request straight to the backend server, through one box, through two.
    Hop,
    /// The policies against each other, under peaks, lost capacity, a cut link and cold caches.
    Policies {
        /// Seconds that each of the five phases lasts.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
    },
}

/// Measures and prints.
pub async fn run(what: What) -> eyre::Result<()> {
    match what {
        What::Allotments => allotments::run(),
        What::Decisions => decisions::run(),
        What::State => decisions::state(),
        What::Control => control::run(),
        What::Limits => {
            limits::run();
            Ok(())
        }
        What::Start { boxes } => {
            start::run(&boxes);
            Ok(())
        }
        What::Rollout { seeds, boxes } => {
            rollout::run(seeds, &boxes);
            Ok(())
        }
        What::Hop => hop::run().await,
        What::Policies { seconds } => policies::run(seconds).await,
    }
}
