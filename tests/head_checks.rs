//! The checksum over the head of an answer between boxes detects any lost or changed field.

use hyper::{Response, header::HeaderName};
use petreldrum::gateway::checksum::Checksum;

fn response(fields: &[(&str, &str)]) -> Response<String> {
    let mut response = Response::new("whole".to_owned());
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("valid name");
        response
            .headers_mut()
            .append(name, value.parse().expect("valid header value"));
    }
    response
}

const FIELDS: [(&str, &str); 4] = [
    ("response-signature", "abc"),
    ("content-type", "text/plain"),
    ("set-cookie", "a"),
    ("set-cookie", "b"),
];

#[test]
fn checksum_holds_for_an_unchanged_head() {
    let mut sent = response(&FIELDS);
    Checksum::add(&mut sent);
    assert!(Checksum::matches(&sent));
    assert_eq!(sent.headers()["content-length"], "5");
    // The HTTP library adds these fields.
    for name in ["date", "connection"] {
        sent.headers_mut()
            .insert(name, "x".parse().expect("valid header value"));
    }
    assert!(Checksum::matches(&sent));
}

#[test]
fn checksum_detects_lost_and_changed_fields() {
    let mut sent = response(&FIELDS);
    Checksum::add(&mut sent);
    let names: Vec<HeaderName> = sent.headers().keys().cloned().collect();
    for name in names {
        let copy = || {
            let mut copy = Response::new(());
            *copy.headers_mut() = sent.headers().clone();
            copy
        };
        let mut lost = copy();
        lost.headers_mut().remove(&name);
        assert!(!Checksum::matches(&lost), "without {name}");
        let mut changed = copy();
        changed
            .headers_mut()
            .insert(&name, "1".parse().expect("valid header value"));
        assert!(!Checksum::matches(&changed), "another {name}");
    }
    *sent.status_mut() = hyper::StatusCode::ACCEPTED;
    assert!(!Checksum::matches(&sent));
}
