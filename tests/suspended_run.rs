//! A box process whose machine was suspended for a minute: it raises an alarm, refuses requests
//! until it is up to date, and then serves by the configuration that was written meanwhile.
//!
//! The boot-time clock that the box uses advances while a machine is suspended, and the runtime's
//! clock does not. The test stops one process, and a preloaded library advances only the boot-time
//! clock. By the monotonic clock, the same box would see a pause of half a second and take requests
//! at once, by the configuration of a minute ago.

mod harness;

use std::{fs, path::PathBuf, process::Command, time::Duration};

use harness::{cloud::Cloud, eventually};
use nix::sys::signal::Signal;
use tempfile::TempDir;
use tokio::time::sleep;

const SUSPENSION_MS: i64 = 60_000;

/// Builds the library that advances the clock.
fn library(folder: &TempDir) -> PathBuf {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/harness/suspend.c");
    let library = folder.path().join("suspend.so");
    let mut compiler = Command::new("cc");
    compiler
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&library);
    let built = compiler.arg(source).status().expect("a C compiler");
    assert!(built.success(), "the library builds");
    library
}

#[tokio::test]
async fn a_suspended_box_takes_nothing_for_new() {
    let folder = TempDir::new().expect("a temporary directory");
    let file = folder.path().join("suspended");
    fs::write(&file, 0_i64.to_ne_bytes()).expect("the file is written");
    let library = library(&folder);
    let mut cloud = Cloud::serving(&["w-1", "w-2"]).await;
    let environment = [("LD_PRELOAD", &library), ("SUSPENDED_MS", &file)];
    cloud.add_box_with("atl", &environment).await;
    cloud.settled().await;
    let suspended = &cloud.boxes[1];
    let answer = suspended.send("/safe/x", "before", "").await;
    assert!(answer.status.is_success());

    suspended.signal(Signal::SIGSTOP);
    cloud.configure(2);
    sleep(Duration::from_millis(500)).await;
    fs::write(&file, SUSPENSION_MS.to_ne_bytes()).expect("the file is written");
    suspended.signal(Signal::SIGCONT);

    let answer = suspended.send("/safe/x", "waking", "").await;
    assert_eq!(answer.status.as_u16(), 503, "the box is not up to date yet");
    eventually("the box is ready again", || suspended.is_ready()).await;
    let answer = suspended.send("/v2/x", "after", "").await;
    assert!(answer.status.is_success(), "{}", answer.status);
    assert_eq!(cloud.runs("waking"), 0);
    let log = suspended.log.text();
    let alarm = "core: alarm: the process stood still for 6";
    assert!(log.contains(alarm), "{log}");
}
