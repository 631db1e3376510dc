//! Estimates that a box keeps per backend server, and how old observations decay.

use petreldrum::{
    server::Server,
    unit::{Millis, Time},
};

/// Records one request whose first token takes `took` ms.
fn record_answer(server: &mut Server, took: u64, at: Time) {
    let expected = server.first_token(0, at);
    server.start(0, at);
    server.begin(Millis(took), expected, 0, at);
    server.end(Some(Millis(took)));
}

#[test]
fn slowness_is_learned_and_fades() {
    let mut server = Server::default();
    let fresh = server.first_token(0, Time(0));
    for _ in 0..30 {
        record_answer(&mut server, 900, Time(0));
    }
    let slow = server.first_token(0, Time(0));
    assert!(slow > Millis(600), "slowness was not learned: {slow}");
    let later = server.first_token(0, Time(9000));
    assert!(
        later < fresh + Millis(40),
        "slowness did not decay: {later}"
    );
}

#[test]
fn failures_fade() {
    let mut server = Server::default();
    server.record_failure(Time(0));
    server.record_failure(Time(0));
    assert!(server.failing(Time(0)) > 0.3);
    assert!(server.failing(Time(9000)) < 0.01);
    let mut errors = Server::default();
    errors.record_error(Time(0));
    assert!(errors.failing(Time(0)) < 0.1, "one error weighs too much");
}

#[test]
fn prompts_queue_up() {
    let mut server = Server::default();
    let empty = server.first_token(0, Time(0));
    server.add_pending_prompt(45_000, Time(0));
    let busy = server.first_token(0, Time(0));
    assert!(
        busy >= empty + Millis(900),
        "expected about a second of prompt processing: {busy}"
    );
    assert!(server.first_token(0, Time(500)) < busy);
    assert_eq!(server.first_token(0, Time(60_000)), empty);
}

#[test]
fn speed_follows_long_prompts() {
    let mut server = Server::default();
    let before = server.reading(10_000);
    for round in 0..30 {
        let at = Time(round * 10_000);
        let expected = server.first_token(10_000, at);
        server.start(10_000, at);
        server.begin(Millis(2000), expected, 10_000, at);
        server.end(None);
    }
    let after = server.reading(10_000);
    assert!(after > before * 2.0, "{before} to {after}");
}
