//! Caps of brittle backend servers as other boxes report them.

use petreldrum::{
    cap::{Cap, Level},
    unit::{Millis, Time},
};

/// Guards against a box that ends in the search for a server's slots, because a box with an earlier
/// configuration reported a cap beyond the slots that it knows.
#[test]
fn cap_beyond_the_known_slots_is_lowered() {
    let usual = Millis(100);
    let mut now = Time(10_000);
    let mut cap = Cap::new(4, false, 8, usual.0 as f64, now);
    cap.set_share(0, 1, 0);
    let told = Level {
        limit: 6,
        version: 1,
        settled: false,
    };
    assert!(cap.apply_report(told, Millis(0), now));
    // Answers take as long as with more requests in flight, which ends the search.
    for _ in 0..2 {
        now = now + Millis(2000);
        for _ in 0..8 {
            cap.record_answer(now, usual);
        }
        cap.set_share(0, 1, 0);
        cap.record_use(cap.share(), true);
        cap.adjust(1, now + Millis(2000));
        now = now + Millis(2000);
    }
    assert!(cap.level().limit <= 4, "{:?}", cap.level());
}
