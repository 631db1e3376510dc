//! `petreldrum gateway`: runs a box.

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

/// Run a box until SIGTERM or SIGINT; both begin a planned stop that cuts nothing off.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// The box's settings (INI).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit: 0 if they are good, 2 if not.
    #[arg(long)]
    check: bool,
}

/// Starts logging to standard output.
fn start_log(level: log::LevelFilter) -> eyre::Result<Lines> {
    let lines = Lines::start(std::io::stdout()).wrap_err("cannot start the log")?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .add_filter_allow_str("petreldrum")
        .build();
    // A second logger in one process is not an error.
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
    // Boxes are small: one thread spares the hand-over between threads.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .thread_keep_alive(BLOCKING_IDLE)
        .build()
        .wrap_err("cannot start the runtime")?;
    let served = runtime.block_on(serve(settings, args.settings));
    lines.flush_all();
    served?;
    Ok(ExitCode::SUCCESS)
}

/// Threads for calls that block: dials between boxes, which are bounded themselves, and the trace's end.
const BLOCKING_THREADS: usize = 8;
/// How long such a thread is kept without work.
const BLOCKING_IDLE: Duration = Duration::from_secs(1);

/// How often the settings are looked at without a signal.
const RECHECK: Duration = Duration::from_secs(5);

/// Reads the settings again on SIGHUP, and now and then without one.
async fn follow_settings(path: PathBuf, mut reloader: Reloader, mut hangup: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(RECHECK) => false,
        };
        match Settings::load(&path) {
            Ok(settings) if signalled || reloader.is_news(&settings) => reloader.reload(settings),
            Ok(_) => {}
            Err(error) => log::error!("settings: kept as they are: {error:#}"),
        }
    }
}

async fn serve(settings: Settings, path: PathBuf) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("cannot watch for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("cannot watch for SIGINT")?;
    let hangup = signal(SignalKind::hangup()).wrap_err("cannot watch for SIGHUP")?;
    let gateway = Gateway::start(settings).await?;
    println!("{}", gateway.bound());
    tokio::spawn(follow_settings(path, gateway.reloader(), hangup));
    let stopper = gateway.stopper();
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stopper.stop();
    });
    gateway.run().await
}
