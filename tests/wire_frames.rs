//! Messages between boxes: only signed ones are read, and only newer ones are taken.

mod harness;

use bolero::check;
use harness::solo::contact;
use petreldrum::{
    id::Incarnation,
    member::Table,
    settings::Secret,
    unit::{Millis, Time},
    wire::{Body, Error, Frame},
};

fn secret(text: &str) -> Secret {
    text.parse().expect("a secret")
}

fn frame(incarnation: u64, seq: u64) -> Frame {
    Frame {
        from: "other".parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        seq,
        body: Body::Members(vec![contact("third", "perth", 30)]),
    }
}

#[test]
fn signature_decides() {
    let (ours, theirs) = (secret("0123456789abcdef"), secret("fedcba9876543210"));
    let bytes = frame(1, 1).encode(&ours);
    assert_eq!(Frame::decode(&ours, &bytes), Ok(frame(1, 1)));
    assert_eq!(Frame::decode(&theirs, &bytes), Err(Error::Unsigned));
    check!()
        .with_type::<(usize, u8)>()
        .for_each(|(at, change)| {
            let mut forged = bytes.clone();
            let at = at % forged.len();
            forged[at] ^= change;
            let read = Frame::decode(&ours, &forged);
            assert!(read == Err(Error::Unsigned) || (*change == 0 && read.is_ok()));
        });
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        assert!(Frame::decode(&ours, bytes).is_err());
    });
}

#[test]
fn newest_wins() {
    let mut table = Table::new(contact("me", "perth", 10), Incarnation(1));
    let at = Time(1000);
    assert!(table.admit(&frame(5, 3), at));
    assert!(!table.admit(&frame(5, 3), at), "twice");
    assert!(!table.admit(&frame(5, 2), at), "older");
    assert!(table.admit(&frame(5, 4), at));
    assert!(table.admit(&frame(6, 1), at), "a later life");
    assert!(!table.admit(&frame(5, 9), at), "an earlier life");
    // A clock set back gives a later life a lower number: taken once the other is silent.
    assert!(table.admit(&frame(4, 1), at + Millis(60_000)));
}
