//! Measurements quoted in the documentation; each prints a table.

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

/// The measurement to run.
#[derive(Debug, Subcommand)]
pub enum What {
    /// Strategies for enforcing a customer's allotment across many boxes, with the same arrivals.
    Allotments,
    /// Reducer decisions per second, and configuration size and validation time, by fleet size.
    Decisions,
    /// Memory per worker, customer, peer and idempotency key.
    State,
    /// Messages, bytes and processor time of the control plane, by fleet size.
    Control,
    /// Compliance with and utilisation of a backend server's limit that boxes share.
    Limits,
    /// Control traffic when all boxes of a fleet start at once, by fleet size.
    Start {
        /// Number of boxes; may be repeated. Defaults to several sizes.
        #[arg(long)]
        boxes: Vec<usize>,
    },
    /// Roll-outs: exposure of the new release, time to stop a bad one, and wrong verdicts.
    Rollout {
        /// Number of runs per row.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Number of boxes; may be repeated. Defaults to several sizes.
        #[arg(long)]
        boxes: Vec<usize>,
    },
    /// Latency of a hop: requests sent directly to the server, through one box, through two.
    Hop,
    /// Comparison of the policies under peaks, lost capacity, a cut link and cold caches.
    Policies {
        /// Duration of each of the five phases, in seconds.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
    },
}

/// Runs a measurement and prints its table.
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
