//! The log lines of a request are collected from the logs of several boxes, whatever else these
//! contain.

use petreldrum::story::{Line, Story};

const ID: &str = "9c41d07be2a35f68";

fn read(logs: &[(&str, &str)]) -> (Vec<Line>, u64) {
    let mut story = Story::default();
    for (name, content) in logs {
        let mut input = content.as_bytes();
        story
            .read(name, &mut input, ID)
            .expect("the log is readable");
    }
    let bad = story.bad();
    (story.into_lines(), bad)
}

fn line(second: &str, what: &str) -> String {
    format!("2026-01-10T07:19:{second}Z [INFO] request: id={ID} box_id=r1 {what}\n")
}

#[test]
fn boxes_are_joined_in_time() {
    let near = line("17.1", "sent attempt=1") + &line("17.25", "ended attempt=1");
    let far = line("17.18", "sent attempt=7") + "2026-01-10T07:19:17.2Z [INFO] box: up.\n";
    let (lines, bad) = read(&[("near", &near), ("far", &far)]);
    let sources: Vec<_> = lines.iter().map(|l| l.log.as_str()).collect();
    assert_eq!(sources, ["near", "far", "near"]);
    assert!(lines[1].text.ends_with("sent attempt=7"));
    assert_eq!(bad, 0);
}

#[test]
fn other_ids_are_left_out() {
    let other = line("17.1", "sent").replace(ID, "9c41d07be2a35f6");
    let longer = line("17.1", "sent").replace(ID, &format!("{ID}0"));
    assert!(read(&[("a", &(other + &longer))]).0.is_empty());
}

#[test]
fn a_clock_set_back_keeps_the_order() {
    let log = line("17.9", "sent attempt=1") + &line("15.1", "ended attempt=1");
    let (lines, _) = read(&[("a", &log)]);
    assert!(lines[0].text.ends_with("sent attempt=1"));
    assert_eq!(lines[1].time, lines[0].time);
}

#[test]
fn prefixes_stay_and_bad_lines_are_counted() {
    let good = "   1.9597 edge-a-1 ".to_owned() + &line("17.1", "sent");
    let mixed = line("17.2", "sent").trim_end().to_owned() + &line("17.3", "ended");
    let cut = format!("19:17.4Z [INFO] request: id={ID} sent\n");
    let (lines, bad) = read(&[("a", &(good + &mixed + &cut))]);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].prefix, "1.9597 edge-a-1");
    assert_eq!(bad, 2);
}

#[test]
fn any_bytes_are_read() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut story = Story::default();
        let mut log = bytes.to_vec();
        log.extend_from_slice(b"\n");
        log.extend_from_slice(line("17.1", "sent").as_bytes());
        story
            .read("a", &mut log.as_slice(), ID)
            .expect("the log is readable");
        assert!(!story.into_lines().is_empty());
    });
}

#[test]
fn long_lines_do_not_fill_memory() {
    let long = "x".repeat(1 << 20) + "\n";
    let log = long + &line("17.1", "sent");
    assert_eq!(read(&[("a", &log)]).0.len(), 1);
}
