//! `petreldrum gateway`: runs the gateway on a box.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use eyre::WrapErr;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

use crate::{
    gateway::{Gateway, Reloader, lines::Lines},
    settings::Settings,
};

/// Run the gateway until SIGTERM or SIGINT; both start a planned stop that completes the requests
/// in flight.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Settings file of the box (INI).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    #[arg(long)]
    check: bool,
}

/// Starts logging to standard output and returns the writer, so that it can be flushed.
fn start_log(level: log::LevelFilter) -> eyre::Result<Lines> {
    let lines = Lines::start(std::io::stdout()).wrap_err("cannot start the log")?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .add_filter_allow_str("petreldrum")
        .build();
    // Fails only if this process already has a logger, which is harmless.
    let _ = WriteLogger::init(level, config, lines.clone());
    Ok(lines)
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let settings = Settings::load(&args.settings)?;
    if args.check {
        println!("{}: good", args.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    let lines = start_log(settings.log)?;
    // Boxes have little CPU: a single thread avoids the cost of passing work between threads.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_keep_alive(BLOCKING_THREAD_KEEP_ALIVE)
        .build()
        .wrap_err("cannot start the runtime")?;
    let result = runtime.block_on(serve(settings, args.settings));
    lines.flush_all();
    result?;
    Ok(ExitCode::SUCCESS)
}

/// Limit on threads for blocking calls, such as the shutdown of the tracer. Connecting to other
/// boxes has a limit of its own.
const MAX_BLOCKING_THREADS: usize = 8;
/// Time after which an idle thread for blocking calls ends.
const BLOCKING_THREAD_KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Interval at which the settings file is checked for changes without SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reloads the settings on SIGHUP, and at each poll interval if they have changed.
async fn watch_settings(path: PathBuf, mut reloader: Reloader, mut sighup: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = sighup.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        match Settings::load(&path) {
            Ok(settings) if signalled || reloader.differs(&settings) => reloader.reload(settings),
            Ok(_) => {}
            Err(error) => {
                log::error!("settings: reload failed, current ones stay in use: {error:#}")
            }
        }
    }
}

async fn serve(settings: Settings, path: PathBuf) -> eyre::Result<()> {
    let mut sigterm =
        signal(SignalKind::terminate()).wrap_err("cannot install the SIGTERM handler")?;
    let mut sigint =
        signal(SignalKind::interrupt()).wrap_err("cannot install the SIGINT handler")?;
    let sighup = signal(SignalKind::hangup()).wrap_err("cannot install the SIGHUP handler")?;
    let gateway = Gateway::start(settings).await?;
    println!("{}", gateway.bound());
    tokio::spawn(watch_settings(path, gateway.reloader(), sighup));
    let stopper = gateway.stopper();
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
        stopper.stop();
    });
    gateway.run().await
}
