//! A box's estimate of the prompt parts that engines have cached.

use petreldrum::{
    memory::cache::{Cache, LONG},
    memory::prompt::{Part, Prompt},
    unit::Time,
    wire::NameHash,
};

const SHARED: Part = Part {
    id: 7,
    tokens: 13_000,
};
const MEMORY: u64 = 300_000;

fn prompt() -> Prompt {
    let own = Part { id: 8, tokens: 700 };
    let short = Part { id: 9, tokens: 50 };
    Prompt {
        tokens: 13_750,
        output: 100,
        parts: vec![short, SHARED, own],
    }
}

#[test]
fn held_parts_are_not_read() {
    let (engine, other_engine) = (NameHash(1), NameHash(2));
    let mut cache = Cache::default();
    let unread = |cache: &Cache, at| cache.unread(&prompt(), at, Some(MEMORY), Time(0));
    assert_eq!(
        unread(&cache, engine),
        13_700,
        "a short part is not followed"
    );
    cache.note(engine, Some(SHARED), 13_750, Time(0));
    assert_eq!(unread(&cache, engine), 700);
    assert_eq!(unread(&cache, other_engine), 13_700);
}

#[test]
fn unused_parts_give_way() {
    let engine = NameHash(1);
    let mut cache = Cache::default();
    cache.note(engine, Some(SHARED), 13_750, Time(0));
    cache.note(engine, None, 200_000, Time(10));
    assert!(!cache.holds(engine, SHARED.id, Some(MEMORY), Time(20)));
    assert!(cache.holds(engine, SHARED.id, None, Time(20)));
    assert!(
        !cache.holds(engine, SHARED.id, None, Time(60_000)),
        "too old"
    );
}

#[test]
fn engines_that_left_are_forgotten() {
    let engine = NameHash(1);
    let mut cache = Cache::default();
    cache.note(engine, Some(SHARED), LONG, Time(0));
    cache.retain(|short| short != engine);
    assert!(!cache.holds(engine, SHARED.id, None, Time(1)));
}

#[test]
fn memory_is_bounded() {
    let mut cache = Cache::default();
    for id in 0..20_000 {
        let part = Part { id, tokens: LONG };
        cache.note(NameHash(1), Some(part), 1, Time(id));
    }
    let held = (0..20_000).filter(|id| cache.holds(NameHash(1), *id, None, Time(20_000)));
    assert!(held.count() <= 8192);
}
