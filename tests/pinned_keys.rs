//! An idempotency key is valid only at the box and incarnation that it names, until it expires.

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

const INCARNATION: Incarnation = Incarnation(7);
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
        incarnation: INCARNATION,
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
    let config = Arc::new(Config::parse("test", &envelope).expect("the configuration is valid"));
    let source = Source::Store;
    // Ticks up to `NOW`, so that the box does not detect a suspension.
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
enum Outcome {
    Runs,
    Passed,
    Refused(u16, Verdict),
}

fn outcome(effects: &[Effect]) -> Outcome {
    match effects {
        [Effect::Send(send)] => match send.target {
            Target::Backend { .. } => Outcome::Runs,
            Target::Pass { .. } => Outcome::Passed,
            Target::Relay { .. } => panic!("there is no other region"),
        },
        [Effect::Reply { reply, .. }] => Outcome::Refused(reply.status, reply.verdict),
        other => panic!("{other:?}"),
    }
}

#[test]
fn named_box_only() {
    let soon = NOW + Millis(1000);
    let may_have_run = Verdict::MayHaveRun;
    let cases = [
        (
            "this box",
            key(address(2), INCARNATION, soon),
            Hop::Direct,
            Outcome::Runs,
        ),
        (
            "passed here",
            key(address(2), INCARNATION, soon),
            Hop::Pass,
            Outcome::Runs,
        ),
        (
            "another box",
            key(address(9), INCARNATION, soon),
            Hop::Direct,
            Outcome::Passed,
        ),
        (
            "passed wrongly",
            key(address(9), INCARNATION, soon),
            Hop::Pass,
            Outcome::Refused(409, may_have_run),
        ),
        (
            "an earlier incarnation",
            key(address(2), Incarnation(6), soon),
            Hop::Direct,
            Outcome::Refused(409, may_have_run),
        ),
        (
            "a later incarnation",
            key(address(2), Incarnation(8), soon),
            Hop::Direct,
            Outcome::Refused(409, may_have_run),
        ),
        (
            "the past",
            key(address(2), INCARNATION, NOW),
            Hop::Direct,
            Outcome::Refused(409, may_have_run),
        ),
        (
            "too far ahead",
            key(address(2), INCARNATION, NOW + pin::PIN_LIFETIME + Millis(1)),
            Hop::Direct,
            Outcome::Refused(428, may_have_run),
        ),
        (
            "no key",
            Key::Absent,
            Hop::Direct,
            Outcome::Refused(428, Verdict::NotRun),
        ),
        (
            "no pin",
            Key::Bad(pin::Error::Malformed),
            Hop::Direct,
            Outcome::Refused(428, Verdict::NotRun),
        ),
        (
            "another secret",
            Key::Bad(pin::Error::WrongSecret),
            Hop::Direct,
            Outcome::Refused(409, may_have_run),
        ),
    ];
    for (name, key, hop, want) in cases {
        let effects = arrive(&mut started(), 1, key, hop);
        assert_eq!(outcome(&effects), want, "{name}");
    }
}

#[test]
fn refused_key_stays_void() {
    let mut state = started();
    let soon = NOW + Millis(1000);
    // The rate admits four at once.
    for request in 0..4 {
        let Key::Good(mut key) = key(address(2), INCARNATION, soon) else {
            unreachable!()
        };
        key.digest = pin::Digest::of(&format!("other-{request}"));
        assert_eq!(
            outcome(&arrive(&mut state, request, Key::Good(key), Hop::Direct)),
            Outcome::Runs
        );
    }
    let key = key(address(2), INCARNATION, soon);
    let over = arrive(&mut state, 5, key.clone(), Hop::Direct);
    assert_eq!(outcome(&over), Outcome::Refused(429, Verdict::NotRun));
    // An earlier transmission of the key arrives late, through another box.
    let late = arrive(&mut state, 6, key, Hop::Pass);
    assert_eq!(outcome(&late), Outcome::Refused(428, Verdict::NotRun));
}

#[test]
fn prefix_cannot_be_forged() {
    let (ours, theirs) = (secret("0123456789abcdef"), secret("fedcba9876543210"));
    let pin = Pin {
        peer: address(2),
        incarnation: INCARNATION,
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
            // Base64 has spare bits at its end, so a different text may decode to the same pin.
            assert!(
                Pin::read(&ours, &forged).is_ok_and(|p| p == pin)
                    || Pin::read(&ours, &forged).is_err()
            );
        });
    bolero::check!().with_type::<String>().for_each(|key| {
        assert!(Pin::read(&ours, key).is_err());
    });
}
