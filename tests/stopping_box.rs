//! A stopping box refuses relayed requests and announces that it stops; look-ups name only boxes
//! that may take the request.

mod harness;

use harness::solo::{BASE, Solo, caller, contact, replies, sends, server};
use petreldrum::{
    id,
    reducer::{
        effect::{Effect, Target},
        event::{Arrival, Cause, Credential, Event, Hop, Key},
    },
    unit::Millis,
    verdict::Verdict,
    wire::Body,
};

fn relayed(request: u64) -> Event {
    Event::Arrived(Arrival {
        content: Default::default(),
        tag: None,
        request: id::Request(request),
        credential: Credential::Verified("a".parse().expect("valid name")),
        host: None,
        path: "/read/x".to_owned(),
        model: None,
        prefix: 0,
        prompt: None,
        draw: 0,
        runs: None,
        key: Key::Absent,
        left: Some(Millis(1000)),
        hop: Hop::Relay("bunbury".parse().expect("valid name")),
    })
}

/// Request that a caller sends directly, for host `h`.
fn direct(request: u64, path: &str) -> Event {
    let mut event = relayed(request);
    if let Event::Arrived(arrival) = &mut event {
        arrival.hop = Hop::Direct;
        arrival.host = Some("h".to_owned());
        arrival.path = path.to_owned();
    }
    event
}

fn text(more: &str) -> String {
    let parts = [
        caller("a", ""),
        server("near", "perth", 4),
        server("far", "bunbury", 4),
    ];
    BASE.to_owned() + &parts.concat() + "[selector all]\n" + more
}

#[test]
fn refuses_relays() {
    let mut solo = Solo::new(&text(""));
    assert_eq!(sends(&solo.step(relayed(900))).len(), 1);
    solo.step(Event::Stop(None));
    let effects = solo.step(relayed(901));
    assert!(sends(&effects).is_empty());
    assert_eq!(replies(&effects)[0].verdict, Verdict::NotRun);
    assert_eq!(
        sends(&solo.arrive("a", None)).len(),
        1,
        "requests of callers are still served"
    );
}

#[test]
fn tells_other_regions() {
    let mut solo = Solo::new(&text(""));
    solo.digest(4, 0);
    let effects = solo.step(Event::Stop(None));
    let doors = effects.iter().find_map(|e| match e {
        Effect::Gossip { frame, .. } => match &frame.body {
            Body::Digest(digest) => Some(digest.endpoints.len()),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(doors, Some(0), "the box still lists itself as a door");
}

#[test]
fn another_door_after_a_stop() {
    let only_far = text("").replace("[backend near]", "[backend near]\nleaving=true");
    let mut solo = Solo::new(&only_far);
    solo.doors(4, &["far", "further"]);
    let first = sends(&solo.arrive("a", None)).remove(0);
    let again = solo.failed(&first, Verdict::NotRun, Cause::Leaving);
    let second = sends(&again).remove(0);
    assert_ne!(first.target, second.target);
    assert!(matches!(second.target, Target::Relay { .. }));
}

fn resolved(solo: &mut Solo, region: &str, host: &str) -> Vec<String> {
    let effects = solo.step(Event::Resolve {
        request: id::Request(950),
        region: region.parse().expect("valid name"),
        host: Some(host.to_owned()),
    });
    let boxes = effects.into_iter().find_map(|e| match e {
        Effect::Boxes { boxes, .. } => Some(boxes),
        _ => None,
    });
    let boxes = boxes.expect("the look-up is answered");
    boxes.iter().map(|b| b.contact.name.to_string()).collect()
}

#[test]
fn look_ups_stay_where_bodies_may_go() {
    let route = "[region geraldton]\n[route home]\nprefix=/home\nkind=application\n\
                 repeatable=true\nhost=h\nregions=bunbury\n";
    let mut solo = Solo::new(&text(route));
    solo.digest(4, 0);
    let early = resolved(&mut solo, "bunbury-2", "h");
    assert!(
        early.is_empty(),
        "a box that has just started names no other box"
    );
    solo.pass(1000);
    solo.digest(4, 0);
    assert_eq!(resolved(&mut solo, "perth", "h"), ["box"], "its own region");
    assert_eq!(resolved(&mut solo, "bunbury", "h"), ["far"]);
    assert_eq!(resolved(&mut solo, "geraldton", "h"), ["far"], "a home");
    assert_eq!(resolved(&mut solo, "geraldton", "other").len(), 2);
    // The answers are the contacts that the harness makes.
    assert_eq!(contact("far", "bunbury", 20).name.as_str(), "far");
}

#[test]
fn planned_stops_lead_nobody_astray() {
    let route = "[route home]\nprefix=/home\nkind=application\nrepeatable=true\nhost=h\n\
                 regions=bunbury\n[route any]\nprefix=/any\nkind=application\nrepeatable=true\nhost=free\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(1000);
    // Every box of Bunbury, the home region of the host's requests, is stopped on purpose.
    solo.doors(4, &[]);
    assert!(
        resolved(&mut solo, "bunbury", "h").is_empty(),
        "its boxes still serve callers that know them"
    );
    assert_eq!(resolved(&mut solo, "bunbury", "free"), ["box"]);
    solo.pass(30_000);
    let later = resolved(&mut solo, "bunbury", "h");
    assert_eq!(
        later,
        ["box"],
        "a region that does not come back is taken as gone"
    );
}

// A box that starts after all boxes of another region have stopped gets no message about it from
// them, only from other regions.
#[test]
fn a_box_that_just_started_leads_nobody_astray() {
    let route = "[region geraldton]\n[route home]\nprefix=/home\nkind=application\n\
                 repeatable=true\nhost=h\nregions=geraldton\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(1000);
    solo.digest_without(&["geraldton"], 4000);
    assert!(resolved(&mut solo, "geraldton", "h").is_empty());
    assert_eq!(resolved(&mut solo, "geraldton", "other").len(), 2);
    solo.pass(21_000);
    solo.digest(4, 0);
    let later = resolved(&mut solo, "geraldton", "h");
    assert_eq!(
        later.len(),
        2,
        "a region that does not come back is taken as gone"
    );
    // Reports that boxes repeat to each other do not prolong the absence.
    solo.digest_without(&["geraldton"], 24_000);
    assert_eq!(resolved(&mut solo, "geraldton", "h").len(), 2);
}

#[test]
fn the_last_box_to_stop_names_no_region_that_is_no_home() {
    let route = "[route home]\nprefix=/home\nkind=application\nrepeatable=true\nhost=h\n\
                 regions=perth\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(1000);
    solo.digest(4, 0);
    assert_eq!(resolved(&mut solo, "perth", "h"), ["box"]);
    solo.step(Event::Stop(None));
    assert!(resolved(&mut solo, "perth", "h").is_empty());
}

#[test]
fn routes_that_nobody_uses_keep_nobody_from_a_home() {
    let route = "[route home]\nprefix=/home\nkind=application\nrepeatable=true\nhost=h\n\
                 regions=bunbury\n[route idle]\nprefix=/idle\nkind=application\n\
                 repeatable=true\nhost=h\nregions=perth\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(1000);
    solo.step(direct(960, "/home/x"));
    solo.digest(4, 0);
    solo.step(Event::Stop(None));
    assert_eq!(resolved(&mut solo, "perth", "h"), ["far"], "a home");
}

// A box that had just started knew a host by one route only, and named boxes outside the home
// regions to callers of its other routes.
#[test]
fn a_box_that_saw_few_requests_goes_by_what_others_saw() {
    let route = "[region geraldton]\n[route home]\nprefix=/home\nkind=application\nrepeatable=true\nhost=h\n\
                 regions=geraldton\n[route any]\nprefix=/any\nkind=application\nrepeatable=true\nhost=h\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(3000);
    solo.step(direct(970, "/any/x"));
    solo.digest_used(&["geraldton"], &["home", "any"]);
    assert!(resolved(&mut solo, "geraldton", "h").is_empty());
    // A route that was not used for more than a minute no longer restricts the answer.
    solo.pass(61_000);
    solo.digest_used(&["geraldton"], &["any"]);
    assert_eq!(resolved(&mut solo, "geraldton", "h").len(), 2);
}

// A restarted box sent digests for its region before it was ready, and other boxes took the region
// as back.
#[test]
fn a_region_that_starts_again_is_not_back_before_it_takes_work() {
    let route = "[route home]\nprefix=/home\nkind=application\nrepeatable=true\nhost=h\n\
                 regions=bunbury\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(1000);
    solo.doors(4, &[]);
    solo.pass(1000);
    solo.digest_unready();
    assert!(resolved(&mut solo, "bunbury", "h").is_empty());
    solo.digest(4, 0);
    assert_eq!(resolved(&mut solo, "bunbury", "h"), ["far"]);
}

// The same, for a box that started after the region had stopped and knows of the stop from others.
#[test]
fn a_region_that_starts_again_is_not_back_for_a_new_box() {
    let route = "[region geraldton]\n[route home]\nprefix=/home\nkind=application\nrepeatable=true\nhost=h\n\
                 regions=bunbury\n";
    let mut solo = Solo::new(&text(route));
    solo.pass(3000);
    solo.digest_unready();
    solo.absence_told("geraldton", "bunbury", 2000);
    assert!(resolved(&mut solo, "bunbury", "h").is_empty());
}
