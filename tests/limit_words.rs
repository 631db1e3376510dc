//! Parsing of the limit in a server's answer, and ordering of several reports of it by age.

use petreldrum::{
    id::BoxName,
    limit::{Announcement, Freshness, Limit, share},
    unit::{Millis, Rate, Time},
};

fn read(fields: &[&str]) -> Announcement {
    Announcement::read(fields.iter().map(|field| field.as_bytes()))
}

fn sender() -> BoxName {
    "other".parse().expect("a name")
}

#[test]
fn numbers_are_read_and_nothing_else() {
    assert_eq!(read(&[]), Announcement::Absent);
    for (text, rate) in [
        ("1", 1.0),
        (" 3.9 ", 3.9),
        ("0", 0.0),
        ("-0", 0.0),
        ("1000000", 1e6),
        ("1e-05", 1e-5),
        ("4, 2.5", 2.5),
        ("4, x", 4.0),
    ] {
        assert_eq!(read(&[text]), Announcement::Rate(Rate(rate)), "{text:?}");
    }
    assert_eq!(
        read(&["5", "2"]),
        Announcement::Rate(Rate(2.0)),
        "the lowest holds"
    );
    for text in [
        "", "-1", "NaN", "inf", "1e309", "1 2", "a", "\u{661}", "1/s",
    ] {
        assert_eq!(read(&[text]), Announcement::Unreadable, "{text:?}");
    }
    assert_eq!(
        Announcement::read([&[0xff, 0x31][..]]),
        Announcement::Unreadable
    );
}

#[test]
fn any_bytes_give_a_rate_that_can_be_kept() {
    bolero::check!()
        .with_type::<Vec<Vec<u8>>>()
        .for_each(|fields| {
            let word = Announcement::read(fields.iter().map(Vec::as_slice));
            if let Some(rate) = word.rate() {
                assert!(rate.0.is_finite() && rate.0 >= 0.0);
                let parts = (0..9).map(|rank| share(rate, rank, 9).rate.0);
                assert!(parts.sum::<f64>() <= rate.0.max(0.1) * 1.000_001);
            }
        });
}

/// A server that sends an unreadable limit is used as if it sent none, and this is logged once.
#[test]
fn nonsense_counts_as_nothing() {
    let mut limit = Limit::default();
    assert!(limit.apply_announcement(Announcement::Unreadable, Time(10), Time(20)));
    assert!(!limit.apply_announcement(Announcement::Unreadable, Time(30), Time(40)));
    assert_eq!(limit.rate(), None);
    assert_eq!(limit.wait(0.0, Time(40)), Some(Millis(0)));
}

/// An answer that waited in a suspended box reports the state at the time its request was sent, so
/// it must not raise or lift a limit that was read at that time or later.
#[test]
fn an_answer_from_before_ends_no_limit() {
    let mut limit = Limit::default();
    assert!(limit.apply_announcement(Announcement::Rate(Rate(1.0)), Time(100), Time(200)));
    assert!(!limit.apply_announcement(Announcement::Absent, Time(150), Time(9000)));
    assert!(!limit.apply_announcement(Announcement::Rate(Rate(5.0)), Time(200), Time(9000)));
    assert_eq!(limit.rate(), Some(Rate(1.0)));
    assert!(limit.apply_announcement(Announcement::Rate(Rate(5.0)), Time(201), Time(300)));
    assert!(limit.apply_announcement(Announcement::Absent, Time(301), Time(400)));
    assert_eq!(limit.rate(), None);
}

#[test]
fn a_lower_limit_holds_from_its_reading() {
    let mut limit = Limit::default();
    assert!(limit.apply_announcement(Announcement::Rate(Rate(5.0)), Time(100), Time(200)));
    assert!(limit.apply_announcement(Announcement::Rate(Rate(1.0)), Time(100), Time(210)));
    assert_eq!(limit.rate(), Some(Rate(1.0)));
}

#[test]
fn older_word_of_others_is_known_for_what_it_is() {
    let mut limit = Limit::default();
    let rate = |rate| Some(Rate(rate));
    assert_eq!(
        limit.apply_report(None, Time(5), &sender()),
        Freshness::Same,
        "the end of an unknown limit"
    );
    assert_eq!(
        limit.apply_report(rate(1.0), Time(10), &sender()),
        Freshness::Newer
    );
    assert_eq!(
        limit.apply_report(rate(2.0), Time(9), &sender()),
        Freshness::Older
    );
    assert_eq!(
        limit.apply_report(rate(2.0), Time(10), &sender()),
        Freshness::Older,
        "of two at the same time, the lower holds"
    );
    assert_eq!(
        limit.apply_report(None, Time(11), &sender()),
        Freshness::Newer
    );
    assert_eq!(
        limit.apply_report(rate(1.0), Time(10), &sender()),
        Freshness::Older
    );
    assert_eq!(limit.rate(), None);
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        let worth = limit.apply_report(Some(Rate(odd)), Time(99), &sender());
        assert_eq!(worth, Freshness::Same, "{odd}");
    }
}

/// Reports reach boxes in any order; all boxes end with the same limit.
#[test]
fn order_of_arrival_does_not_matter() {
    bolero::check!()
        .with_type::<Vec<(Option<u8>, u8)>>()
        .for_each(|words| {
            let apply = |words: &mut dyn Iterator<Item = &(Option<u8>, u8)>| {
                let mut limit = Limit::default();
                // The server has named a limit before.
                limit.apply_report(Some(Rate(1.0)), Time(0), &sender());
                for (rate, at) in words {
                    let rate = rate.map(|rate| Rate(f64::from(rate)));
                    limit.apply_report(rate, Time(u64::from(*at)), &sender());
                }
                (limit.rate(), limit.effective_at())
            };
            let in_order = apply(&mut words.iter());
            let reversed = apply(&mut words.iter().rev());
            assert_eq!(in_order, reversed);
        });
}

/// A box recomputes its shares ten times a second. Between two such computations it kept using its
/// share of 20 requests a second of a server that had just lowered its limit to 2. One request too
/// many was sent (`i-0-0 takes 2/s`) in one of 921 random orders.
#[test]
fn a_lower_limit_lowers_the_share_at_once() {
    let mut limit = Limit::default();
    limit.apply_announcement(Announcement::Rate(Rate(20.0)), Time(0), Time(10));
    limit.set_share(share(Rate(20.0), 0, 1), Time(10));
    limit.apply_announcement(Announcement::Rate(Rate(2.0)), Time(0), Time(20));
    assert!(limit.share().0 <= 2.0, "{}", limit.share());
}
