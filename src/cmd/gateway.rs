//! `petreldrum gateway`: runs a box.

use std::{path::PathBuf, process::ExitCode};

use eyre::WrapErr;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    gateway::{Gateway, lines::Lines},
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
        .build()
        .wrap_err("cannot start the runtime")?;
    let served = runtime.block_on(serve(settings));
    lines.flush_all();
    served?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("cannot watch for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("cannot watch for SIGINT")?;
    let gateway = Gateway::start(settings).await?;
    println!("{}", gateway.bound());
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
