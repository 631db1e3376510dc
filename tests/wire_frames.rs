//! Frames between boxes: only signed ones are decoded, and only newer ones are admitted.

mod harness;

use bolero::check;
use harness::solo::contact;
use petreldrum::{
    id::Incarnation,
    member::Table,
    settings::Secret,
    unit::{Millis, Time},
    wire::{Body, Error, Frame, Marks},
};

fn secret(text: &str) -> Secret {
    text.parse().expect("a secret")
}

fn frame(incarnation: u64, seq: u64) -> Frame {
    Frame {
        from: "other".parse().expect("valid name"),
        incarnation: Incarnation(incarnation),
        seq,
        body: Body::Members(vec![contact("third", "perth", 30)]),
    }
}

#[test]
fn signature_decides() {
    let (own_secret, other_secret) = (secret("0123456789abcdef"), secret("fedcba9876543210"));
    let bytes = frame(1, 1).encode(&own_secret);
    assert_eq!(Frame::decode(&own_secret, &bytes), Ok(frame(1, 1)));
    assert_eq!(Frame::decode(&other_secret, &bytes), Err(Error::Unsigned));
    check!()
        .with_type::<(usize, u8)>()
        .for_each(|(at, change)| {
            let mut forged = bytes.clone();
            let at = at % forged.len();
            forged[at] ^= change;
            let decoded = Frame::decode(&own_secret, &forged);
            assert!(decoded == Err(Error::Unsigned) || (*change == 0 && decoded.is_ok()));
        });
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        assert!(Frame::decode(&own_secret, bytes).is_err());
    });
}

#[test]
fn newest_wins() {
    let mut table = Table::new(contact("me", "perth", 10), Incarnation(1));
    let at = Time(1000);
    assert!(table.admit(&frame(5, 3), at));
    assert!(!table.admit(&frame(5, 3), at), "same frame twice");
    assert!(!table.admit(&frame(5, 2), at), "older sequence number");
    assert!(table.admit(&frame(5, 4), at));
    assert!(table.admit(&frame(6, 1), at), "later incarnation");
    assert!(!table.admit(&frame(5, 9), at), "earlier incarnation");
    // After its clock was set back, a restarted box has a lower incarnation, which is admitted once
    // the earlier one has been silent.
    assert!(table.admit(&frame(4, 1), at + Millis(60_000)));
}

/// Evidence about parts of prompts stands at the end of a message, which may lack it.
#[test]
fn marks_without_evidence_about_parts_read() {
    let marks = Marks {
        spread: true,
        ..Marks::default()
    };
    let new = postcard::to_stdvec(&marks).expect("the message can be encoded");
    let old = &new[..new.len() - 2];
    assert_eq!(postcard::from_bytes(old), Ok(marks));
}
