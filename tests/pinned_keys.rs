//! A key runs only at the box, in the life and in the time that it names.

use std::{net::SocketAddr, sync::Arc};

use petreldrum::{
    config::{Config, Envelope, KeyHash, Version},
    id::{self, Incarnation},
    pin::{self, Pin},
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::{Effect, Target},
        event::{Arrival, Credential, Event, Hop, Key, Source},
    },
    settings::Secret,
    unit::{Millis, Time},
    verdict::Verdict,
    wire::Contact,
};

const LIFE: Incarnation = Incarnation(7);
const NOW: Time = Time(100_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn secret(text: &str) -> Secret {
    text.parse().expect("a secret")
}

fn started() -> State<Balanced> {
    let name = |n: &str| n.to_owned();
    let contact = Contact {
        name: name("box").parse().expect("a name"),
        region: name("perth").parse().expect("a name"),
        domain: name("a").parse().expect("a name"),
        public: address(1),
        peer: address(2),
        gossip: address(3),
    };
    let identity = Identity {
        contact,
        incarnation: LIFE,
        seeds: vec![],
        retry: Default::default(),
        registry: false,
        tolerance: Default::default(),
        exposure: Default::default(),
        first_start: false,
    };
    let mut state = State::new(identity, Balanced);
    let text = format!(
        "[region perth]\n[caller c]\nkey_sha256={}\nrate=2/s\n\
         [route book]\nprefix=/book\nkind=application\nrepeatable=false\n\
         [backend app]\naddress=127.0.0.1:4\nregion=perth\nfailure_domain=a\nserves=book\n\
         [selector all]\n",
        KeyHash::of(b"k")
    );
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text,
    };
    let config = Arc::new(Config::parse("test", &envelope).expect("checks"));
    let source = Source::Store;
    // Ticks up to the moment, so that the box did not stand still.
    for time in (0..=NOW.0).step_by(1000) {
        state.step(Time(time), Event::Tick);
    }
    state.step(NOW, Event::Offered { config, source });
    state
}

fn key(peer: SocketAddr, incarnation: Incarnation, expiry: Time) -> Key {
    let pin = Pin {
        peer,
        incarnation,
        expiry,
    };
    Key::Good(pin::Key {
        pin,
        digest: pin::Digest::of("key"),
        content: 1,
    })
}

fn arrive(state: &mut State<Balanced>, request: u64, key: Key, hop: Hop) -> Vec<Effect> {
    let arrival = Arrival {
        content: Default::default(),
        tag: None,
        host: None,
        prompt: None,
        draw: 0,
        runs: None,
        request: id::Request(request),
        credential: Credential::Key(KeyHash::of(b"k")),
        path: "/book".to_owned(),
        model: None,
        prefix: 0,
        key,
        left: None,
        hop,
    };
    state.step(NOW, Event::Arrived(arrival))
}

#[derive(Debug, PartialEq)]
enum Seen {
    Runs,
    Passed,
    Refused(u16, Verdict),
}

fn seen(effects: &[Effect]) -> Seen {
    match effects {
        [Effect::Send(send)] => match send.target {
            Target::Backend { .. } => Seen::Runs,
            Target::Pass { .. } => Seen::Passed,
            Target::Relay { .. } => panic!("there is no other region"),
        },
        [Effect::Reply { reply, .. }] => Seen::Refused(reply.status, reply.verdict),
        other => panic!("{other:?}"),
    }
}

#[test]
fn named_box_only() {
    let soon = NOW + Millis(1000);
    let may = Verdict::MayHaveRun;
    let cases = [
        (
            "this box",
            key(address(2), LIFE, soon),
            Hop::Direct,
            Seen::Runs,
        ),
        (
            "passed here",
            key(address(2), LIFE, soon),
            Hop::Pass,
            Seen::Runs,
        ),
        (
            "another box",
            key(address(9), LIFE, soon),
            Hop::Direct,
            Seen::Passed,
        ),
        (
            "passed wrongly",
            key(address(9), LIFE, soon),
            Hop::Pass,
            Seen::Refused(409, may),
        ),
        (
            "an older life",
            key(address(2), Incarnation(6), soon),
            Hop::Direct,
            Seen::Refused(409, may),
        ),
        (
            "a later life",
            key(address(2), Incarnation(8), soon),
            Hop::Direct,
            Seen::Refused(409, may),
        ),
        (
            "the past",
            key(address(2), LIFE, NOW),
            Hop::Direct,
            Seen::Refused(409, may),
        ),
        (
            "too far ahead",
            key(address(2), LIFE, NOW + pin::PIN_LIFETIME + Millis(1)),
            Hop::Direct,
            Seen::Refused(428, may),
        ),
        (
            "no key",
            Key::Absent,
            Hop::Direct,
            Seen::Refused(428, Verdict::NotRun),
        ),
        (
            "no pin",
            Key::Bad(pin::Error::Malformed),
            Hop::Direct,
            Seen::Refused(428, Verdict::NotRun),
        ),
        (
            "another secret",
            Key::Bad(pin::Error::WrongSecret),
            Hop::Direct,
            Seen::Refused(409, may),
        ),
    ];
    for (name, key, hop, want) in cases {
        let effects = arrive(&mut started(), 1, key, hop);
        assert_eq!(seen(&effects), want, "{name}");
    }
}

#[test]
fn refused_key_stays_void() {
    let mut state = started();
    let soon = NOW + Millis(1000);
    // The rate lets four through at once.
    for request in 0..4 {
        let Key::Good(mut key) = key(address(2), LIFE, soon) else {
            unreachable!()
        };
        key.digest = pin::Digest::of(&format!("other-{request}"));
        assert_eq!(
            seen(&arrive(&mut state, request, Key::Good(key), Hop::Direct)),
            Seen::Runs
        );
    }
    let key = key(address(2), LIFE, soon);
    let over = arrive(&mut state, 5, key.clone(), Hop::Direct);
    assert_eq!(seen(&over), Seen::Refused(429, Verdict::NotRun));
    // An older send of it comes late, by another box.
    let late = arrive(&mut state, 6, key, Hop::Pass);
    assert_eq!(seen(&late), Seen::Refused(428, Verdict::NotRun));
}

#[test]
fn prefix_cannot_be_forged() {
    let (ours, theirs) = (secret("0123456789abcdef"), secret("fedcba9876543210"));
    let pin = Pin {
        peer: address(2),
        incarnation: LIFE,
        expiry: NOW,
    };
    let prefix = pin.prefix(&ours);
    assert_eq!(Pin::read(&ours, &format!("{prefix}booking-1")), Ok(pin));
    assert_eq!(Pin::read(&theirs, &prefix), Err(pin::Error::WrongSecret));
    bolero::check!()
        .with_type::<(u8, u8)>()
        .for_each(|(at, with)| {
            let mut bytes = prefix.clone().into_bytes();
            let at = usize::from(*at) % (bytes.len() - 1);
            bytes[at] = with % 128;
            let forged = String::from_utf8_lossy(&bytes).into_owned();
            // Base64 has spare bits at its end: another text may read as the same pin.
            assert!(
                Pin::read(&ours, &forged).is_ok_and(|p| p == pin)
                    || Pin::read(&ours, &forged).is_err()
            );
        });
    bolero::check!().with_type::<String>().for_each(|key| {
        assert!(Pin::read(&ours, key).is_err());
    });
}
