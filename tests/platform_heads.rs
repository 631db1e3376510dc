//! Headers on the platform: parsing of prompts, and what an answer's headers say about its request.

use hyper::{HeaderMap, StatusCode, header::HeaderName};
use petreldrum::{
    platform::head::{self, Outcome},
    unit::Millis,
    verdict::Verdict,
};

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().expect("a header name");
        headers.append(name, value.parse().expect("a header value"));
    }
    headers
}

fn judge(status: u16, answer: &[(&str, &str)]) -> Outcome {
    let sent = headers(&[("request-id", "one")]);
    let status = StatusCode::from_u16(status).expect("a status");
    head::classify_answer(&sent, status, &headers(answer))
}

const ECHO: (&str, &str) = ("request-id", "one");
const SIGNED: (&str, &str) = ("response-signature", "s");

#[test]
fn prompts_are_read() {
    let head = headers(&[
        ("token-usage", "1460,80"),
        ("prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("deadline-ms", "900"),
    ]);
    let prompt = head::prompt(&head).expect("the prompt parses");
    assert_eq!((prompt.tokens, prompt.output), (1460, 80));
    assert_eq!(prompt.shared_parts().len(), 2);
    assert_eq!(prompt.longest().map(|p| p.id), Some(0x5c1e_07a2));
    assert_eq!(head::time_left(&head), Some(Millis(900)));
    assert_eq!(head::prompt(&headers(&[("token-usage", "x")])), None);
}

#[test]
fn callers_set_nothing_of_ours() {
    let names = [
        "kv-hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "target-instance",
    ];
    let pairs: Vec<(&str, &str)> = names.iter().map(|name| (*name, "x")).collect();
    let mut head = headers(&pairs);
    head.append("model", "m".parse().expect("a value"));
    head::remove_system_headers(&mut head);
    assert_eq!(head.len(), 1);
}

#[test]
fn answers_of_the_request() {
    assert_eq!(judge(200, &[ECHO, SIGNED]), Outcome::Answer);
    assert_eq!(judge(404, &[ECHO, SIGNED]), Outcome::Answer);
    assert_eq!(judge(500, &[ECHO, SIGNED]), Outcome::Error);
    assert_eq!(judge(200, &[ECHO]), Outcome::Unusable, "it is unsigned");
    let other = ("request-id", "two");
    assert_eq!(judge(200, &[other, SIGNED]), Outcome::Unusable);
    assert_eq!(
        judge(503, &[other, ("not-executed", "1")]),
        Outcome::Unusable
    );
}

#[test]
fn only_proof_says_not_run() {
    let refused = ("not-executed", "1");
    assert_eq!(judge(503, &[ECHO, refused]), Outcome::Full);
    assert_eq!(judge(421, &[("served-by", "i-2")]), Outcome::Replaced);
    for status in [408, 429, 503] {
        let outcome = judge(status, &[ECHO, SIGNED]);
        assert_eq!(outcome, Outcome::Unusable, "{status} without proof");
        assert_eq!(outcome.verdict(), Verdict::MayHaveRun);
    }
}

#[test]
fn idle_times() {
    let idle_time = |value| head::keep_alive(&headers(&[("keep-alive", value)]));
    let seconds = |n| Some(std::time::Duration::from_secs(n));
    assert_eq!(idle_time("timeout=4, max=10"), seconds(4));
    assert_eq!(idle_time("max=10, timeout=0"), seconds(0));
    assert_eq!(idle_time("max=10"), None);
}
