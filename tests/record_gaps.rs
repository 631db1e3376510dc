//! Checked records of a body: whatever part is lost, the bytes read are a prefix of those written.

use bytes::Bytes;
use petreldrum::gateway::records::{Reader, Writer};

/// Reads `bytes` in pieces of these sizes up to the first gap, and reports whether the end was
/// reached.
fn read(bytes: &[u8], sizes: &[u8]) -> (Vec<u8>, bool) {
    let mut reader = Reader::default();
    let (mut rest, mut all) = (bytes, Vec::new());
    let sizes = sizes.iter().map(|size| usize::from(*size) + 1);
    for size in sizes.chain([bytes.len()]) {
        let (now, later) = rest.split_at(size.min(rest.len()));
        match reader.read(now) {
            Ok(part) => all.extend_from_slice(&part),
            Err(_) => return (all, false),
        }
        rest = later;
    }
    (all, reader.is_ended())
}

fn write(pieces: &[Vec<u8>]) -> (Vec<u8>, Vec<u8>) {
    let mut writer = Writer::default();
    let mut out: Vec<Bytes> = pieces.iter().map(|piece| writer.write(piece)).collect();
    out.push(writer.end());
    (out.concat(), pieces.concat())
}

#[test]
fn any_pieces_bring_all() {
    bolero::check!()
        .with_type::<(Vec<Vec<u8>>, Vec<u8>)>()
        .for_each(|(pieces, sizes)| {
            let (records, all) = write(pieces);
            assert_eq!(read(&records, sizes), (all, true));
        });
}

#[test]
fn any_loss_leaves_the_beginning() {
    bolero::check!()
        .with_type::<(Vec<Vec<u8>>, Vec<u8>, u16, u16)>()
        .for_each(|(pieces, sizes, from, size)| {
            let (mut records, all) = write(pieces);
            let from = usize::from(*from) % records.len();
            let to = (from + 1 + usize::from(*size)).min(records.len());
            records.drain(from..to);
            let (got, ended) = read(&records, sizes);
            assert!(all.starts_with(&got));
            assert!(!ended, "{} of {} bytes lost", to - from, all.len());
        });
}

#[test]
fn long_bodies_pass() {
    let (records, all) = write(&[vec![7; 300_000], vec![8; 10]]);
    assert_eq!(read(&records, &[255; 2000]), (all, true));
}
