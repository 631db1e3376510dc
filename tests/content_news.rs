//! What ended servers in one region is held back in all, at every box that others can reach.
//!
//! Callers come again at any box. With the word in one message alone, a box that missed it would let the
//! content through until it had seen three servers end by itself.

mod harness;

use std::sync::Arc;

use harness::{
    crowd::Crowd,
    solo::{BASE, arrival, caller, sends, server},
};
use petreldrum::{
    config::{Config, Envelope, Version},
    content::Content,
    id,
    reducer::{
        effect::{Effect, Send},
        event::{Cause, Event},
    },
    verdict::Verdict,
};

/// Boxes, in three regions of two failure domains each: each region has hubs.
const BOXES: usize = 60;
/// The shortest bound on news, in ms.
const BOUND: u64 = 5000;
const DEADLY: u64 = 9;
const NOBODY: [usize; 0] = [];

fn config() -> Arc<Config> {
    let regions = ["perth", "bunbury", "geraldton"];
    let servers = regions.iter().enumerate().flat_map(|(region, name)| {
        let ids = ["a", "b", "c", "d"];
        ids.map(|id| server(&format!("s{region}{id}"), name, 50))
    });
    let text = BASE.to_owned()
        + "[region geraldton]\nhop=40ms\n"
        + &caller("a", "").replace("home=perth\n", "")
        + &servers.collect::<String>()
        + "[selector all]\n";
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text,
    };
    Arc::new(Config::parse("test", &envelope).expect("checks"))
}

struct Scene {
    crowd: Crowd,
    requests: u64,
}

impl Scene {
    fn new() -> Self {
        let mut crowd = Crowd::in_three_regions(BOXES, config());
        crowd.pass(20_000);
        Self { crowd, requests: 0 }
    }

    /// A request of this content comes to a box; where it went.
    fn ask(&mut self, number: usize, content: u64) -> Option<Send> {
        self.requests += 1;
        let mut event = arrival(self.requests, "a", None);
        if let Event::Arrived(arrival) = &mut event {
            arrival.content = Content(content);
        }
        sends(&self.crowd.step(number, event)).pop()
    }

    /// The deadly content comes to a box and ends the server that it is sent to.
    fn end_server(&mut self, number: usize) {
        let send = self.ask(number, DEADLY).expect("it is sent");
        let broken = Event::Failed {
            request: send.request,
            attempt: send.attempt,
            verdict: Verdict::MayHaveRun,
            cause: Cause::Broken,
        };
        let effects = self.crowd.step(number, broken);
        let knocked: Vec<id::Backend> = effects
            .into_iter()
            .filter_map(|e| match e {
                Effect::Probe { backend, .. } => Some(backend),
                _ => None,
            })
            .collect();
        assert_eq!(knocked.len(), 1);
        for backend in knocked {
            let closed = true;
            self.crowd.step(number, Event::Probed { backend, closed });
        }
    }

    /// Three servers end, each in another region and at another box, a second apart.
    fn convict(&mut self) {
        for number in [0, 1, 2] {
            self.end_server(number);
            self.crowd.pass(1000);
        }
    }

    /// The boxes that would send the content on.
    fn open(&mut self) -> Vec<usize> {
        let boxes = 0..BOXES;
        let there: Vec<usize> = boxes.filter(|n| self.crowd.boxes[*n].is_some()).collect();
        there
            .into_iter()
            .filter(|n| self.ask(*n, DEADLY).is_some())
            .collect()
    }

    /// Cuts some boxes from all others.
    fn cut_off(&mut self, some: &[usize]) {
        for one in some {
            for other in (0..BOXES).filter(|other| !some.contains(other)) {
                self.crowd.cut.extend([(*one, other), (other, *one)]);
            }
        }
    }
}

#[test]
fn ends_that_boxes_saw_apart_add_up_everywhere() {
    let mut scene = Scene::new();
    scene.convict();
    assert_eq!(scene.open(), NOBODY, "a second after the third end");
    assert!(scene.ask(5, 8).is_some(), "another content goes on");
}

#[test]
fn who_was_cut_off_hears_of_it() {
    let mut scene = Scene::new();
    scene.cut_off(&[10, 11, 12, 13]);
    scene.convict();
    scene.crowd.pass(10_000);
    scene.crowd.cut.clear();
    scene.crowd.pass(BOUND);
    assert_eq!(scene.open(), NOBODY);
}

#[test]
fn a_region_that_was_cut_off_hears_of_it() {
    let mut scene = Scene::new();
    let region: Vec<usize> = (0..BOXES).filter(|n| n % 3 == 1).collect();
    scene.cut_off(&region);
    for number in [0, 2, 3] {
        scene.end_server(number);
        scene.crowd.pass(1000);
    }
    scene.crowd.pass(10_000);
    scene.crowd.cut.clear();
    scene.crowd.pass(BOUND);
    assert_eq!(scene.open(), NOBODY);
}

#[test]
fn who_starts_or_wakes_hears_of_it() {
    let mut scene = Scene::new();
    scene.crowd.frozen = vec![20, 21, 22];
    scene.convict();
    scene.crowd.frozen.clear();
    for number in [30, 31, 32] {
        scene.crowd.launch(number);
    }
    scene.crowd.pass(BOUND);
    assert_eq!(scene.open(), NOBODY);
}

#[test]
fn it_holds_where_many_boxes_end_at_that_moment() {
    let mut scene = Scene::new();
    for number in [0, 1] {
        scene.end_server(number);
        scene.crowd.pass(1000);
    }
    scene.end_server(2);
    // A third of all boxes, hubs among them, with what they were about to pass on.
    for number in (0..BOXES).filter(|n| n / 3 % 3 == 1) {
        scene.crowd.boxes[number] = None;
    }
    scene.crowd.pass(BOUND);
    assert_eq!(scene.open(), NOBODY);
}

#[test]
fn it_holds_where_the_word_itself_is_lost() {
    let mut scene = Scene::new();
    for number in [0, 1] {
        scene.end_server(number);
        scene.crowd.pass(1000);
    }
    scene.end_server(2);
    // One box alone knows it now.
    scene.crowd.mail.clear();
    scene.crowd.pass(BOUND);
    assert_eq!(scene.open(), NOBODY);
}

#[test]
fn what_was_cleared_is_open_everywhere_and_stays_so() {
    let mut scene = Scene::new();
    scene.convict();
    let fingerprint =
        petreldrum::content::Fingerprint::new(&"a".parse().expect("a name"), Content(DEADLY));
    scene.crowd.step(7, Event::Pardoned(fingerprint));
    scene.crowd.pass(1000);
    assert_eq!(scene.open().len(), BOXES);
    scene.crowd.pass(BOUND);
    assert_eq!(scene.open().len(), BOXES, "nobody brings it back");
}
