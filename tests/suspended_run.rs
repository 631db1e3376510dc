//! A box process whose machine was suspended for a minute: it says so, takes no work before it has heard the
//! news, and then serves by the configuration that came meanwhile.
//!
//! The clock that it counts by goes on while a machine is suspended, and the runtime's does not. Here one
//! process is stopped, and the first clock alone is put on by a library that stands before the system's.
//! Counted by the steady clock, the same box sees a pause of half a second and takes requests at once, by the
//! configuration of a minute ago.

mod harness;

use std::{fs, path::PathBuf, process::Command, time::Duration};

use harness::{cloud::Cloud, eventually};
use nix::sys::signal::Signal;
use tempfile::TempDir;
use tokio::time::sleep;

const SUSPENDED: i64 = 60_000;

/// Builds the library that puts the clock on.
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
    let folder = TempDir::new().expect("a folder");
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
    fs::write(&file, SUSPENDED.to_ne_bytes()).expect("the file is written");
    suspended.signal(Signal::SIGCONT);

    let answer = suspended.send("/safe/x", "waking", "").await;
    assert_eq!(answer.status.as_u16(), 503, "it has not heard the news");
    eventually("it takes work again", || suspended.is_ready()).await;
    let answer = suspended.send("/v2/x", "after", "").await;
    assert!(answer.status.is_success(), "{}", answer.status);
    assert_eq!(cloud.runs("waking"), 0);
    let log = suspended.log.text();
    let alarm = "core: alarm: the process stood still for 6";
    assert!(log.contains(alarm), "{log}");
}
