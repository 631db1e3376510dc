//! Texts that engines name are sent back to them unchanged, or not used.

use std::sync::Arc;

use petreldrum::{
    gateway::dial::Pool,
    memory::transfer::{Handle, Origin},
    platform::engine,
};
use petreldrum_standin::{http::start, memory::Memory, worker::Worker};

/// Characters that a query or a path must not hold, or that end it.
const ODD: [&str; 12] = [
    " ",
    "&",
    "#",
    "?",
    "+",
    "%",
    "%41",
    "/",
    "\"",
    "\\",
    "\u{e4}",
    "{[ &#?/]}",
];

/// Guards against tokens that name another page of events, or with which no call can be made.
#[tokio::test]
async fn odd_tokens_continue_events() {
    let mut failed = Vec::new();
    for odd in ODD {
        let memory = Memory::default();
        memory.begin_tokens_with(&format!("t{odd}"));
        memory.keep(1, 10);
        let address = start(memory.clone()).await.expect("the engine starts");
        let pool = Arc::new(Pool::default());
        let listing = engine::list_cached(&pool, address).await;
        let cursor = listing.expect("the engine answers").cursor;
        memory.keep(2, 20);
        match engine::events(&pool, address, &cursor).await {
            Ok(page) if !page.gap && page.changes.len() == 1 => {}
            other => failed.push(format!("{odd:?}: {other:?}")),
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against copies that are not freed, or in whose place another one is.
#[tokio::test]
async fn copies_with_odd_handles_are_freed() {
    let mut failed = Vec::new();
    for odd in ODD {
        let worker = Worker::start("i-1").await.expect("the engine starts");
        let handle = format!("h{odd}1");
        let origin = Origin {
            address: worker.address,
            handle: Handle(handle.clone()),
        };
        let pool = Arc::new(Pool::default());
        let freed = engine::free_copy(&pool, &origin).await;
        if freed.is_err() || worker.runs.freed() != [handle] {
            failed.push(format!("{odd:?}: {freed:?}, {:?}", worker.runs.freed()));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
