//! The `petreldrum` binary; all functionality is in the library.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    petreldrum::cmd::Command::parse().run()
}
