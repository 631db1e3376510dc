//! A stream that is cut off continues at another place within the same answer, without a gap or a
//! repeat.

mod harness;

use bytes::Bytes;
use harness::cloud::Cloud;
use petreldrum::gateway::events::Events;
use petreldrum_standin::worker::EVENTS;

/// Returns the event ids of a stream and asserts that every event is whole.
fn ids(body: &[u8]) -> Vec<u32> {
    let text = String::from_utf8_lossy(body);
    let events = text.split_terminator("\n\n");
    let id = |event: &str| {
        let (id, data) = event.split_once('\n').expect("two lines");
        assert!(data.starts_with("data: i-"), "a whole event: {event:?}");
        id.trim_start_matches("id: ").parse().expect("a number")
    };
    events.map(id).collect()
}

#[tokio::test]
async fn goes_on_elsewhere() {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    let answer = cloud.boxes[0].send("/stream/x", "one", "break").await;
    assert!(answer.whole);
    assert_eq!(ids(&answer.body), (1..=EVENTS).collect::<Vec<_>>());
    let seen: Vec<_> = cloud.workers.values().flat_map(|w| w.seen("one")).collect();
    assert_eq!(seen.len(), 2, "two ran a part each");
    let after = seen.iter().filter_map(|s| s.headers.get("last-event-id"));
    assert_eq!(after.collect::<Vec<_>>(), ["5"]);
}

#[tokio::test]
async fn ends_where_nobody_goes_on() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let answer = cloud.boxes[0].send("/stream/x", "one", "break").await;
    assert!(!answer.whole, "a cut stream is reported as cut");
    assert_eq!(ids(&answer.body), [1, 2, 3, 4, 5]);
}

#[tokio::test]
async fn goes_on_behind_a_relay() {
    let cloud = Cloud::across(&["i-1", "i-2"]).await;
    let answer = cloud.boxes[0].send("/stream/x", "far", "break").await;
    // The box in the other region may use one run, so this box sends the request there again.
    assert!(answer.whole);
    assert_eq!(ids(&answer.body), (1..=EVENTS).collect::<Vec<_>>());
}

// A long event that was partly forwarded was counted as whole, and its remainder was lost.
#[test]
fn half_of_a_long_event_is_no_event() {
    let mut events = Events::default();
    events.push(Bytes::from("id: 1\ndata: a\n\n"));
    let part = events.push(Bytes::from(format!("id: 2\ndata: {}", "x".repeat(300_000))));
    assert!(part.len() > 300_000, "it is not buffered");
    assert_eq!((events.last_id(), events.is_split()), (Some("1"), true));
    events.push(Bytes::from("x\n\nid: 3\n"));
    assert_eq!((events.last_id(), events.is_split()), (Some("2"), false));
}

#[test]
fn any_pieces_make_whole_events() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(cuts, seed)| {
            let text: Vec<u8> = (1..40)
                .flat_map(|n| {
                    let pad = "x".repeat(usize::from(seed.get(n).copied().unwrap_or(3)));
                    format!("id: {n}\ndata: {pad}\n\n").into_bytes()
                })
                .collect();
            let mut events = Events::default();
            let (mut rest, mut forwarded) = (&text[..], Vec::new());
            for cut in cuts {
                let (now, later) = rest.split_at(usize::from(*cut).min(rest.len()));
                forwarded.extend(events.push(Bytes::copy_from_slice(now)));
                rest = later;
                assert!(forwarded.is_empty() || forwarded.ends_with(b"\n\n"));
                let whole = forwarded.windows(2).filter(|w| w == b"\n\n").count();
                let last = events
                    .last_id()
                    .map_or(0, |id| id.parse().expect("a number"));
                assert_eq!(whole, last, "the last whole event is known");
            }
            forwarded.extend(events.push(Bytes::copy_from_slice(rest)));
            assert_eq!(forwarded, text);
        });
}
