//! The scanner knows its position in an event stream wherever the stream is cut and however it is
//! split.

use petreldrum::gateway::events::Scanner;

/// Parts of streams: fields, comments and empty lines; a stream uses one kind of line end.
const LINES: [&str; 6] = ["id: 7", "data: x", "data", ": note", "", ""];
const LINE_ENDS: [&str; 3] = ["\n", "\r", "\r\n"];

fn text(line_indices: &[u8], line_end: &str) -> String {
    let line = |index: &u8| LINES[usize::from(*index) % LINES.len()].to_owned() + line_end;
    line_indices.iter().map(line).collect()
}

/// Computes the expected answer from the whole text.
fn is_whole(text: &str, line_end: &str) -> bool {
    let Some(lines) = text.strip_suffix(line_end) else {
        return false;
    };
    let lines: Vec<&str> = lines.split(line_end).collect();
    let is_field = |line: &str| !line.is_empty() && !line.starts_with(':');
    let last_field = lines.iter().rposition(|line| is_field(line));
    let last_empty = lines.iter().rposition(|line| line.is_empty());
    last_field.is_some() && last_field < last_empty
}

#[test]
fn any_cut_and_any_split() {
    bolero::check!()
        .with_type::<(Vec<u8>, u8, u16, Vec<u8>)>()
        .for_each(|(line_indices, kind, cut, pieces)| {
            let line_end = LINE_ENDS[usize::from(*kind) % LINE_ENDS.len()];
            let all = text(line_indices, line_end);
            let cut = usize::from(*cut) % (all.len() + 1);
            let stream = &all[..cut];
            // Until a CRLF has been seen, a single CR counts as the end of a line.
            let seen = stream.contains("\r\n");
            let line_end = if line_end == "\r\n" && !seen {
                "\r"
            } else {
                line_end
            };
            let mut scanner = Scanner::default();
            let mut rest = stream.as_bytes();
            for piece in pieces {
                let (now, later) = rest.split_at(usize::from(*piece).min(rest.len()));
                scanner.push(now);
                rest = later;
            }
            scanner.push(rest);
            assert_eq!(scanner.is_whole(), is_whole(stream, line_end), "{stream:?}");
        });
}

#[test]
fn push_returns_the_end_of_the_last_event() {
    let mut scanner = Scanner::default();
    assert_eq!(scanner.push(b"id: 1\ndata: a\n\nid"), Some(15));
    assert_eq!(scanner.push(b": 2\ndata: b\n"), None);
    assert_eq!(scanner.push(b"\n"), Some(1));
    assert_eq!((scanner.events(), scanner.is_inside()), (2, false));
}
