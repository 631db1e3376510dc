//! Exercises the command line as an operator does: change a selector, inspect the result, revert
//! it.

mod harness;

use std::{fs, process::Output};

use harness::{Standin, TOKEN, World, backend, preamble};
use tokio::process::Command;

async fn petreldrum(args: &[&str]) -> (i32, String, String) {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_petreldrum"))
        .args(args)
        .output()
        .await
        .expect("program starts");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (
        output.status.code().unwrap_or(-1),
        text(output.stdout),
        text(output.stderr),
    )
}

#[tokio::test]
async fn move_a_route() {
    let world = World::start(&["perth"], 2).await;
    let (scripts, app) = (Standin::start("app").await, Standin::start("app").await);
    let text = preamble(&["perth"], "perth")
        + &backend(
            "scripts",
            scripts.address,
            "perth",
            "booking",
            "labels = via=scripts",
        )
        + &backend(
            "app",
            app.address,
            "perth",
            "booking",
            "labels = via=gateway",
        )
        + "[selector booking]\nroutes = kind=booking\nbackends = via=scripts\n";
    let dir = tempfile::tempdir().expect("temporary directory is created");
    let path = dir.path().join("config.ini");
    let file = path.to_str().expect("path is UTF-8");
    let admin = world.get("perth-1").admin.to_string();
    let at = ["--admin", &admin, "--token", TOKEN];
    let run = |args: &[&'static str], rest: &[&str]| {
        let all: Vec<String> = args
            .iter()
            .chain(&at)
            .chain(rest)
            .map(|s| s.to_string())
            .collect();
        async move {
            let all: Vec<&str> = all.iter().map(String::as_str).collect();
            petreldrum(&all).await
        }
    };
    fs::write(&path, &text).expect("file is written");
    assert_eq!(petreldrum(&["config", "check", file]).await.0, 0);
    let put = ["--author", "ann", "--base", "v0", file];
    assert_eq!(run(&["config", "put"], &put).await.0, 0);
    world.in_force(1).await;
    let perth = world.get("perth-1");
    let key = perth.key("old").await;
    perth.book(&key, "old").await;
    assert_eq!((scripts.runs("old").await, app.runs("old").await), (1, 0));

    let (code, text_in_force, version) = run(&["config", "get"], &[]).await;
    assert_eq!(
        (code, text_in_force, version.trim()),
        (0, text.clone(), "v1 by ann")
    );
    fs::write(
        &path,
        text.replace("backends = via=scripts", "backends = via=gateway"),
    )
    .expect("file is written");
    let (code, output, _) = run(&["config", "diff"], &[file]).await;
    assert_eq!(code, 1);
    assert!(
        output.contains("-backends = via=scripts") && output.contains("+backends = via=gateway")
    );
    let put = ["--author", "bob", "--base", "v1", file];
    assert_eq!(run(&["config", "put"], &put).await.0, 0);
    let (code, _, errors) = run(&["config", "put"], &put).await;
    assert_eq!(code, 1);
    assert!(errors.contains("v2 by bob stands"), "{errors}");
    world.in_force(2).await;
    let (code, output, _) = run(&["explain"], &["--caller", "ward", "--path", "/booking/x"]).await;
    assert_eq!(code, 0);
    assert!(
        output.contains("\"selector\": \"booking\"") && output.contains("\"backend\": \"app\"")
    );
    let key = perth.key("new").await;
    perth.book(&key, "new").await;
    assert_eq!((scripts.runs("new").await, app.runs("new").await), (0, 1));
    let (code, output, _) = run(&["status"], &[]).await;
    assert_eq!(code, 0);
    assert!(
        output.contains("configuration v2") && output.contains("backend app"),
        "{output}"
    );
    let (code, output, _) = run(&["status"], &["--json"]).await;
    assert_eq!(code, 0);
    assert!(serde_json::from_str::<serde_json::Value>(&output).is_ok());

    fs::write(&path, &text).expect("file is written");
    let put = ["--author", "bob", "--base", "v2", file];
    assert_eq!(run(&["config", "put"], &put).await.0, 0);
    world.in_force(3).await;
    let key = perth.key("back").await;
    perth.book(&key, "back").await;
    assert_eq!((scripts.runs("back").await, app.runs("back").await), (1, 0));

    let wrong = ["status", "--admin", &admin, "--token", "wrong"];
    assert_eq!(petreldrum(&wrong).await.0, 1);
}

#[tokio::test]
async fn faults_exit_2() {
    let dir = tempfile::tempdir().expect("temporary directory is created");
    let path = dir.path().join("bad.ini");
    let file = path.to_str().expect("path is UTF-8");
    fs::write(
        &path,
        "[box]\nname = a b\n[limits]\nmax_body = huge\n[odd]\n",
    )
    .expect("file is written");
    let (code, out, errors) = petreldrum(&["gateway", "--settings", file]).await;
    assert_eq!((code, out.as_str()), (2, ""));
    for part in [
        "[box] name",
        "[box] region: is missing",
        "[limits] max_body",
        "[odd]",
    ] {
        assert!(errors.contains(part), "{part} in:\n{errors}");
    }
    assert!(errors.contains(file));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/box.ini");
    assert_eq!(
        petreldrum(&["gateway", "--check", "--settings", example])
            .await
            .0,
        0
    );
    assert_eq!(petreldrum(&["config", "check", file]).await.0, 2);
    let (code, script, _) = petreldrum(&["completions", "bash"]).await;
    assert!(code == 0 && script.contains("petreldrum"));
}
