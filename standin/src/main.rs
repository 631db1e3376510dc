//! Runs one stand-in, or the demo.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};
use petreldrum_standin::{
    app::App,
    collector::Collector,
    demo,
    engine::{Behaviour, Engine},
    http::{Service, serve},
    measure,
    platform::Platform,
    soak,
    store::Store,
};

/// Small stand-ins for the systems petreldrum meets.
#[derive(Debug, Parser)]
struct Command {
    /// Where a single stand-in listens.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// The key-value service.
    Store,
    /// The list of boxes and the client directory.
    Platform,
    /// A model engine.
    Engine {
        /// Requests it runs at once.
        #[arg(long, default_value_t = 8)]
        slots: usize,
    },
    /// An application service.
    App,
    /// A trace collector.
    Collector,
    /// Measure: decisions, state, control messages, the price of a hop, the policies.
    Measure {
        #[command(subcommand)]
        what: measure::What,
    },
    /// Boxes of the release binary under random faults, with their promises checked.
    Soak(Box<soak::Options>),
    /// A whole system in one process: 3 regions of 3 boxes, backend servers and the store.
    Demo,
}

async fn run(listen: SocketAddr, service: impl Service + Sync) -> eyre::Result<()> {
    let (address, task) = serve(listen, service).await?;
    println!("listening {address}");
    Ok(task.await?)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Command { listen, task } = Command::parse();
    match task {
        Task::Store => run(listen, Store::default()).await,
        Task::Platform => run(listen, Platform::default()).await,
        Task::Engine { slots } => run(listen, Engine::new(slots, Behaviour::default())).await,
        Task::App => run(listen, App::default()).await,
        Task::Collector => run(listen, Collector::default()).await,
        Task::Measure { what } => measure::run(what).await,
        Task::Soak(options) => soak::run(*options).await,
        Task::Demo => demo::run().await,
    }
}
