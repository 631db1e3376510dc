//! The `petreldrum` binary; everything it does is in the library.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    petreldrum::cmd::Command::parse().run()
}
