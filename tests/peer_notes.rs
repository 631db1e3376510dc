//! The log reports each change of a region between reachable and unreachable exactly once.

mod harness;

use harness::solo::{BASE, Solo, caller};
use petreldrum::reducer::effect::{Effect, Note};

fn notes(effects: &[Effect]) -> Vec<Note> {
    let note = |e: &Effect| match e {
        Effect::Noted(note) => Some(note.clone()),
        _ => None,
    };
    effects.iter().filter_map(note).collect()
}

#[test]
fn regions_come_and_go_once() {
    let mut solo = Solo::new(&(BASE.to_owned() + &caller("a", "") + "[selector all]\n"));
    let region = "bunbury".parse().expect("a name");
    solo.digest(4, 0);
    assert_eq!(notes(&solo.pass(1000)), [Note::RegionReachable(region)]);
    let region = "bunbury".parse().expect("a name");
    assert_eq!(notes(&solo.pass(10_000)), [Note::RegionSilent(region)]);
    let region = "bunbury".parse().expect("a name");
    solo.digest(4, 0);
    assert_eq!(notes(&solo.pass(1000)), [Note::RegionReachable(region)]);
}
