//! Judging a release by its answers, compared with the answers of the releases that served before.

use petreldrum::{
    fleet::Revision,
    rollout::{Baseline, Count, Evaluator, Exposure, Permits, Pool, Verdict, evidence},
    unit::{Millis, Time},
    wire::{NameHash, Trial},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

fn count(bad: u32, answers: u32) -> Count {
    Count { answers, bad }
}

fn trial(route: u32, old: Count, new: Count, seen: u64, failing: u64) -> Trial {
    Trial {
        service: NameHash(1),
        order: Revision::first(5),
        route: NameHash(route),
        age: Millis(1000),
        old,
        new,
        seen,
        failing,
    }
}

/// Simulates a roll-out. `old` and `new` are the number of answers every 200 ms and the share of
/// bad ones. Returns the last verdict and the number of bad answers of the new release.
fn simulate(seed: u64, old: (u32, f64), new: (u32, f64)) -> (Verdict, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut judge = Evaluator::default();
    let mut row = trial(1, count(0, 0), count(0, 0), 0b1111, 0);
    let mut verdict = Verdict::Open;
    for look in 1..=60 {
        for (side, (answers, share)) in [(&mut row.old, old), (&mut row.new, new)] {
            for _ in 0..answers {
                side.add(rng.random_bool(share));
            }
        }
        row.failing = if row.new.bad > 2 {
            0b1111
        } else {
            u64::from(row.new.bad)
        };
        verdict = judge.evaluate(Pool::gather([&row]), Time(look * 200));
        if matches!(verdict, Verdict::Bad(_)) {
            break;
        }
    }
    (verdict, row.new.bad)
}

#[test]
fn good_releases_pass() {
    let mut wrong = 0;
    for seed in 0..400 {
        // A share of 0.14 models errors that callers cause and that occur on every release.
        let share = [0.0, 0.02, 0.14][seed as usize % 3];
        let (verdict, _) = simulate(seed, (40, share), (4, share));
        wrong += usize::from(!matches!(verdict, Verdict::Good(_)));
    }
    assert!(wrong <= 2, "{wrong} of 400 good releases did not pass");
}

#[test]
fn bad_releases_are_found_by_their_fiftieth_bad_answer() {
    for seed in 0..200 {
        for (old, new) in [(0.0, 1.0), (0.02, 0.3), (0.14, 0.5), (0.0, 0.1)] {
            let (verdict, bad) = simulate(seed, (40, old), (8, new));
            assert!(
                matches!(verdict, Verdict::Bad(_)) && bad <= 50,
                "seed {seed}, {new} bad beside {old}: {verdict:?} after {bad}"
            );
        }
    }
}

#[test]
fn one_server_that_fails_convicts_no_release() {
    let mut judge = Evaluator::default();
    let row = trial(1, count(2, 500), count(20, 60), 0b1111_1111, 0b1);
    let verdict = judge.evaluate(Pool::gather([&row]), Time(200));
    assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
    let row = trial(1, count(2, 500), count(20, 60), 0b1111_1111, 0b111);
    let verdict = judge.evaluate(Pool::gather([&row]), Time(400));
    assert!(matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

#[test]
fn one_bad_route_is_seen_beside_many_good_ones() {
    let mut rows: Vec<Trial> = (0..20)
        .map(|route| trial(route, count(20, 1000), count(2, 100), 0b11, 0b11))
        .collect();
    let good = Evaluator::default().evaluate(Pool::gather(&rows), Time(200));
    assert!(matches!(good, Verdict::Good(_)), "{good:?}");
    rows.push(trial(99, count(0, 50), count(8, 10), 0b11, 0b11));
    let bad = Evaluator::default().evaluate(Pool::gather(&rows), Time(200));
    assert!(matches!(bad, Verdict::Bad(_)), "{bad:?}");
}

#[test]
fn what_turns_bad_late_is_seen_by_what_came_lately() {
    let mut judge = Evaluator::default();
    let mut row = trial(1, count(5, 2000), count(1, 2000), 0b11, 0b11);
    for look in 1..=30 {
        judge.evaluate(Pool::gather([&row]), Time(look * 200));
    }
    row.old = count(5, 2300);
    row.new = count(16, 2030);
    assert!(
        evidence(row.old, row.new) < 6.0,
        "the totals alone are no evidence"
    );
    let verdict = judge.evaluate(Pool::gather([&row]), Time(6200));
    assert!(matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

#[test]
fn nothing_is_said_without_a_control_group() {
    assert_eq!(evidence(count(0, 5), count(10, 10)), 0.0);
    assert_eq!(evidence(count(0, 500), count(0, 0)), 0.0);
    let row = trial(1, count(0, 500), count(0, 10), 0b11, 0);
    let verdict = Evaluator::default().evaluate(Pool::gather([&row]), Time(200));
    assert_eq!(verdict, Verdict::Open, "ten answers are not enough");
}

#[test]
fn counts_that_shrink_are_no_evidence() {
    // When a box dies, its counts are lost from the sum.
    let mut judge = Evaluator::default();
    let row = trial(1, count(0, 500), count(0, 100), 0b11, 0b11);
    judge.evaluate(Pool::gather([&row]), Time(200));
    let shrunk = trial(1, count(0, 300), count(0, 60), 0b11, 0b11);
    let verdict = judge.evaluate(Pool::gather([&shrunk]), Time(400));
    assert!(matches!(verdict, Verdict::Good(_)), "{verdict:?}");
}

#[test]
fn boxes_send_their_share_whatever_their_number() {
    let exposure = Exposure::default();
    for boxes in [1_u64, 3, 72, 300, 2000] {
        let mut rng = StdRng::seed_from_u64(boxes);
        let (mut all, mut new) = (0_u64, 0_u64);
        let mut permits: Vec<Permits> = (0..boxes).map(|_| Permits::new(rng.random())).collect();
        for request in 0..3000 {
            let permits = &mut permits[rng.random_range(0..boxes) as usize];
            // The new servers take no requests at first.
            let goes_to_new = permits.admit(&exposure) && request > 200;
            permits.spend(goes_to_new, &exposure);
            all += 1;
            new += u64::from(goes_to_new);
            let allowed = exposure.share * all as f64 + exposure.slack;
            assert!(new as f64 <= allowed, "{boxes} boxes: {new} of {all}");
        }
        assert!(new > 140, "{boxes} boxes: {new} of {all}");
    }
}

#[test]
fn a_time_is_slow_beside_what_is_typical() {
    let mut typical = Baseline::default();
    assert_eq!(typical.bound(1.0), None);
    for _ in 0..50 {
        typical.learn(Millis(100));
    }
    let bound = typical.bound(1.0).expect("a typical time is known");
    assert!(bound > Millis(200) && bound < Millis(400), "{bound}");
    let more = typical.bound(2.0).expect("a typical time is known");
    assert!(more > Millis(400), "{more}");
}
