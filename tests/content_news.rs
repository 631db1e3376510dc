//! A content that crashed backend servers in one region is quarantined in all regions, at every box
//! that others can reach.
//!
//! Callers may retry at any box. If a single message carried the update, a box that missed it would
//! forward the content until it had seen three backend servers crash itself.

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

/// Boxes in three regions of two failure domains each; each region has hubs.
const BOXES: usize = 60;
/// The shortest bound on the time for an update to reach all boxes, in ms.
const UPDATE_BOUND_MS: u64 = 5000;
const DEADLY: u64 = 9;
const NO_BOXES: [usize; 0] = [];

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
    Arc::new(Config::parse("test", &envelope).expect("configuration is valid"))
}

struct Fixture {
    crowd: Crowd,
    requests: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut crowd = Crowd::in_three_regions(BOXES, config());
        crowd.pass(20_000);
        Self { crowd, requests: 0 }
    }

    /// Sends a request with this content to a box; returns where it was forwarded.
    fn request(&mut self, number: usize, content: u64) -> Option<Send> {
        self.requests += 1;
        let mut event = arrival(self.requests, "a", None);
        if let Event::Arrived(arrival) = &mut event {
            arrival.content = Content(content);
        }
        sends(&self.crowd.step(number, event)).pop()
    }

    /// Sends the deadly content to a box and crashes the backend server that it is forwarded to.
    fn crash_server(&mut self, number: usize) {
        let send = self.request(number, DEADLY).expect("request is forwarded");
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

    /// Crashes three backend servers, each in another region and through another box, a second
    /// apart.
    fn crash_three_servers(&mut self) {
        for number in [0, 1, 2] {
            self.crash_server(number);
            self.crowd.pass(1000);
        }
    }

    /// Returns the boxes that would forward the content.
    fn forwarding_boxes(&mut self) -> Vec<usize> {
        let boxes = 0..BOXES;
        let running: Vec<usize> = boxes.filter(|n| self.crowd.boxes[*n].is_some()).collect();
        running
            .into_iter()
            .filter(|n| self.request(*n, DEADLY).is_some())
            .collect()
    }

    /// Partitions some boxes from all others.
    fn partition(&mut self, some: &[usize]) {
        for one in some {
            for other in (0..BOXES).filter(|other| !some.contains(other)) {
                self.crowd.cut.extend([(*one, other), (other, *one)]);
            }
        }
    }
}

#[test]
fn crashes_seen_by_different_boxes_add_up() {
    let mut fixture = Fixture::new();
    fixture.crash_three_servers();
    assert_eq!(
        fixture.forwarding_boxes(),
        NO_BOXES,
        "a second after the third end"
    );
    assert!(
        fixture.request(5, 8).is_some(),
        "another content is forwarded"
    );
}

#[test]
fn partitioned_boxes_learn_of_it() {
    let mut fixture = Fixture::new();
    fixture.partition(&[10, 11, 12, 13]);
    fixture.crash_three_servers();
    fixture.crowd.pass(10_000);
    fixture.crowd.cut.clear();
    fixture.crowd.pass(UPDATE_BOUND_MS);
    assert_eq!(fixture.forwarding_boxes(), NO_BOXES);
}

#[test]
fn partitioned_region_learns_of_it() {
    let mut fixture = Fixture::new();
    let region: Vec<usize> = (0..BOXES).filter(|n| n % 3 == 1).collect();
    fixture.partition(&region);
    for number in [0, 2, 3] {
        fixture.crash_server(number);
        fixture.crowd.pass(1000);
    }
    fixture.crowd.pass(10_000);
    fixture.crowd.cut.clear();
    fixture.crowd.pass(UPDATE_BOUND_MS);
    assert_eq!(fixture.forwarding_boxes(), NO_BOXES);
}

#[test]
fn started_and_resumed_boxes_learn_of_it() {
    let mut fixture = Fixture::new();
    fixture.crowd.frozen = vec![20, 21, 22];
    fixture.crash_three_servers();
    fixture.crowd.frozen.clear();
    for number in [30, 31, 32] {
        fixture.crowd.launch(number);
    }
    fixture.crowd.pass(UPDATE_BOUND_MS);
    assert_eq!(fixture.forwarding_boxes(), NO_BOXES);
}

#[test]
fn quarantine_survives_the_end_of_many_boxes() {
    let mut fixture = Fixture::new();
    for number in [0, 1] {
        fixture.crash_server(number);
        fixture.crowd.pass(1000);
    }
    fixture.crash_server(2);
    // A third of all boxes end, hubs among them, with the updates they were about to forward.
    for number in (0..BOXES).filter(|n| n / 3 % 3 == 1) {
        fixture.crowd.boxes[number] = None;
    }
    fixture.crowd.pass(UPDATE_BOUND_MS);
    assert_eq!(fixture.forwarding_boxes(), NO_BOXES);
}

#[test]
fn quarantine_survives_lost_messages() {
    let mut fixture = Fixture::new();
    for number in [0, 1] {
        fixture.crash_server(number);
        fixture.crowd.pass(1000);
    }
    fixture.crash_server(2);
    // Only one box knows of the third crash now.
    fixture.crowd.mail.clear();
    fixture.crowd.pass(UPDATE_BOUND_MS);
    assert_eq!(fixture.forwarding_boxes(), NO_BOXES);
}

#[test]
fn cleared_content_is_served_everywhere_and_stays_cleared() {
    let mut fixture = Fixture::new();
    fixture.crash_three_servers();
    let fingerprint =
        petreldrum::content::Fingerprint::new(&"a".parse().expect("valid name"), Content(DEADLY));
    fixture.crowd.step(7, Event::Pardoned(fingerprint));
    fixture.crowd.pass(1000);
    assert_eq!(fixture.forwarding_boxes().len(), BOXES);
    fixture.crowd.pass(UPDATE_BOUND_MS);
    assert_eq!(
        fixture.forwarding_boxes().len(),
        BOXES,
        "no box restores the quarantine"
    );
}
