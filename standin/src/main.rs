//! Command line of the stand-ins: runs one stand-in, the demo, a measurement or the soak test.

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

/// Stand-ins for the external systems that petreldrum talks to.
#[derive(Debug, Parser)]
struct Command {
    /// Address on which a single stand-in listens.
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
        /// Number of requests that run concurrently.
        #[arg(long, default_value_t = 8)]
        slots: usize,
    },
    /// An application service.
    App,
    /// A trace collector.
    Collector,
    /// Measurements: decisions, state, control messages, the latency of a hop, the policies.
    Measure {
        #[command(subcommand)]
        what: measure::What,
    },
    /// Soak test: boxes of the release binary under random faults, with their guarantees checked.
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
