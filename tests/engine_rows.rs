//! Rows of an engine's answers that cannot be parsed, beside rows that can.

use std::{net::SocketAddr, sync::Arc};

use hyper::{Response, StatusCode};
use petreldrum::{
    gateway::dial::Pool,
    memory::{prompt::Part, report::Change},
    platform::engine,
};
use petreldrum_standin::http::{Body, Service, Whole, start, whole};

/// The documented fields of a row, between its start and its end.
const ODD_ROWS: [&[u8]; 14] = [
    br#"["","\ud800",5,"m"]"#,
    b"[\"\",\"\xff\",5,\"m\"]",
    br#"["","zz",5,"m"]"#,
    br#"["",7,5,"m"]"#,
    br#"["",null,5,"m"]"#,
    br#"["","7","5","m"]"#,
    br#"["","7",null,"m"]"#,
    br#"["","7",1e999,"m"]"#,
    br#"["","7"]"#,
    br#"["","7",5,"m",1]"#,
    b"[]",
    b"null",
    b"7",
    br#"{"id":"7","tokens":5}"#,
];

/// An engine with parts 1 and 2, and an odd row between them.
#[derive(Clone)]
struct Odd(&'static [u8]);

impl Odd {
    async fn start(row: &'static [u8]) -> SocketAddr {
        start(Self(row)).await.expect("the engine starts")
    }

    /// Returns the answer with list `field`, whose rows begin with `start`.
    fn answer(&self, field: &str, start: &str) -> Vec<u8> {
        let row = |id: u64| format!(r#"[{start}"","{id}",9,"m"]"#);
        // The rows of events have two fields more.
        let odd = match self.0.strip_prefix(b"[\"") {
            Some(rest) => [format!("[{start}\"").as_bytes(), rest].concat(),
            None => self.0.to_vec(),
        };
        let rows = [row(1).into_bytes(), odd, row(2).into_bytes()].join(&b',');
        let head = format!(r#"{{"epoch":1,"nextPageToken":2,"lost":false,"{field}":["#);
        [head.as_bytes(), &rows, b"]}"].concat()
    }
}

impl Service for Odd {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let content = match request.uri().path() {
            "/v1/kv-list" => Self::answer(self, "held", ""),
            _ => Self::answer(self, "events", r#"5,"+","#),
        };
        Some(whole(StatusCode::OK, content))
    }
}

/// Guards against engines whose caches stay unknown because of one row of their answers.
#[tokio::test]
async fn odd_rows_of_engines_hide_no_others() {
    let parts = [1, 2].map(|id| Part { id, tokens: 9 });
    let mut failed = Vec::new();
    for odd in ODD_ROWS {
        let address = Odd::start(odd).await;
        let pool = Arc::new(Pool::default());
        let case = String::from_utf8_lossy(odd);
        match engine::list_cached(&pool, address).await {
            Ok(listing) if listing.parts == parts => {}
            other => failed.push(format!("{case} in a list: {other:?}")),
        }
        let sound = Odd::start(b"[\"\",\"3\",9,\"m\"]").await;
        let listing = engine::list_cached(&pool, sound).await;
        let cursor = listing.expect("the engine answers").cursor;
        match engine::events(&pool, address, &cursor).await {
            Ok(page) if page.changes == parts.map(Change::Kept) => {}
            other => failed.push(format!("{case} in events: {other:?}")),
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
