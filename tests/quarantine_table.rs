//! The table of contents that crash servers: what quarantines a content, what clears it, and what
//! is evicted.
//!
//! A batch of 62 requests breaks with one server, and one of them caused the crash. The table must
//! identify it after three servers, forget the others, and stay within its bound.

use petreldrum::{
    content::{Content, Fingerprint},
    quarantine::{HOLD, Held, MAX_EACH, MAX_MARKS, MAX_TOLD, Quarantine, Step, Strike, weight},
    unit::{Millis, Time},
    wire::NameHash,
};

const NOW: Time = Time(10_000);

fn content(customer: u32, number: u64) -> Fingerprint {
    Fingerprint {
        owner: NameHash(customer),
        content: Content(number),
    }
}

fn strike(content: Fingerprint, life: u32) -> Strike {
    Strike {
        content,
        life: NameHash(life),
        weight: weight(None),
    }
}

#[test]
fn three_servers_are_the_proof() {
    let mut table = Quarantine::default();
    let crashing = content(1, 1);
    for life in 1..=2 {
        table.record_crash(strike(crashing, life), NOW);
        assert_eq!(table.held(&crashing, NOW), None);
    }
    let step = table.record_crash(strike(crashing, 3), NOW);
    assert!(matches!(step, Some(Step::Held { ends: 3, .. })));
    assert_eq!(table.held(&crashing, NOW), Some(HOLD));
    assert_eq!(table.held(&content(1, 2), NOW), None, "another content");
    assert_eq!(table.held(&content(2, 1), NOW), None, "another customer");
}

#[test]
fn one_end_that_two_boxes_tell_counts_once() {
    let mut table = Quarantine::default();
    let crashing = content(1, 1);
    table.record_crash(strike(crashing, 1), NOW);
    table.record_crash(strike(crashing, 2), NOW);
    let late = NOW + Millis(4000);
    assert_eq!(table.record_crash(strike(crashing, 2), late), None);
    assert_eq!(table.held(&crashing, late), None);
    // A server that reports no incarnation may crash again.
    let again = NOW + Millis(6000);
    assert!(table.record_crash(strike(crashing, 2), again).is_some());
    assert!(table.held(&crashing, again).is_some());
}

#[test]
fn a_whole_answer_speaks_for_its_content() {
    let mut table = Quarantine::default();
    let popular = content(1, 1);
    table.record_crash(strike(popular, 1), NOW);
    table.record_crash(strike(popular, 2), NOW);
    assert!(table.clear(popular, NOW).is_some());
    // All servers crash at once while many callers request this content.
    for life in 3..20 {
        assert_eq!(table.record_crash(strike(popular, life), NOW), None);
    }
    let held = Held {
        content: popular,
        left: HOLD,
    };
    assert_eq!(
        table.apply_report(held, NOW),
        None,
        "not on a report from another box either"
    );
    let later = NOW + Millis(31_000);
    assert!(table.record_crash(strike(popular, 20), later).is_some());
}

#[test]
fn long_answers_are_hardly_suspected() {
    let mut table = Quarantine::default();
    let long = content(1, 1);
    for life in 1..=12 {
        assert_eq!(table.held(&long, NOW), None, "after {life} ends");
        let old = Strike {
            weight: weight(Some(Millis(900))),
            ..strike(long, life)
        };
        table.record_crash(old, NOW);
    }
    assert!(
        table.held(&long, NOW).is_some(),
        "one that ends servers late"
    );
}

#[test]
fn a_hold_lapses_and_one_more_end_renews_it() {
    let mut table = Quarantine::default();
    let crashing = content(1, 1);
    for life in 1..=3 {
        table.record_crash(strike(crashing, life), NOW);
    }
    let over = NOW + HOLD;
    table.sweep(over);
    assert_eq!(table.held(&crashing, over), None, "the hold expires");
    table.record_crash(strike(crashing, 4), over);
    assert_eq!(table.held(&crashing, over), Some(HOLD));
    // Entries expire.
    table.sweep(over + HOLD);
    table.sweep(over + HOLD + HOLD);
    table.record_crash(strike(crashing, 5), over + HOLD + HOLD);
    assert_eq!(table.held(&crashing, over + HOLD + HOLD), None);
}

#[test]
fn no_customer_crowds_out_another() {
    let mut table = Quarantine::default();
    let crashing = content(1, 1);
    for life in 1..=3 {
        table.record_crash(strike(crashing, life), NOW);
    }
    for number in 0..3000 {
        for life in 1..=3 {
            table.record_crash(strike(content(2, number), life), NOW + Millis(number));
        }
    }
    let later = NOW + Millis(3000);
    assert!(table.held(&crashing, later).is_some());
    assert_eq!(table.all_held(later).len(), MAX_EACH + 1);
    let advertised = table.to_report(later);
    assert_eq!(advertised.len(), MAX_TOLD, "messages stay small");
    assert!(advertised.iter().any(|held| held.content == crashing));
    // Many customers together must not exceed the bound either.
    for customer in 10..3000 {
        table.record_crash(strike(content(customer, 1), 1), later);
        for life in 1..=3 {
            table.record_crash(strike(content(customer, 2), life), later);
        }
    }
    assert!(table.all_held(later).len() <= MAX_MARKS);
}

#[test]
fn innocent_marks_do_not_crowd_out_the_guilty_one() {
    let mut table = Quarantine::default();
    let crashing = content(1, 0);
    let mut now = NOW;
    for life in 1..=3 {
        // The concurrent contents differ each time, and exceed the table's capacity.
        table.record_crash(strike(crashing, life), now);
        for number in 1..=400 {
            let concurrent = content(1, u64::from(life) * 1000 + number);
            table.record_crash(strike(concurrent, life), now + Millis(1));
        }
        now = now + Millis(1000);
    }
    assert!(table.held(&crashing, now).is_some());
}

#[test]
fn strikes_add_up_in_any_order() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8)>, Vec<usize>)>()
        .for_each(|(strikes, order)| {
            let all: Vec<Strike> = strikes
                .iter()
                .map(|(number, life)| {
                    strike(content(1, u64::from(number % 4)), u32::from(life % 5))
                })
                .collect();
            let mut shuffled = all.clone();
            for (from, to) in order.iter().enumerate().take(all.len()) {
                shuffled.swap(from, to % all.len());
            }
            // A second report of the same crash changes nothing.
            shuffled.extend(all.iter().rev());
            let [mut one, mut other] = [Quarantine::default(), Quarantine::default()];
            for strike in all {
                one.record_crash(strike, NOW);
            }
            for strike in shuffled {
                other.record_crash(strike, NOW);
            }
            let sorted = |table: &Quarantine| {
                let mut held = table.all_held(NOW);
                held.sort_by_key(|held| held.content);
                held
            };
            assert_eq!(sorted(&one), sorted(&other));
        });
}
