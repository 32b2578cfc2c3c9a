//! Tests of the frame codec.

use super::*;
use crate::process::dissemination::anti_entropy::UpdateValue;

#[test]
fn long_messages_are_compressed_and_torn_frames_are_refused() {
    let updates = |n: usize| {
        let update = |i| Update {
            key: format!("d/i-{i}"),
            version: i as u64,
            value: UpdateValue::DrainInstance { id: format!("i-{i}") },
        };
        PeerMessage::Updates((0..n).map(update).collect())
    };
    for n in [0, 3, 400] {
        let bytes = encode(&updates(n));
        assert_eq!(decode(&bytes).ok(), Some(updates(n)));
        assert!(bytes.len() < 4000, "{} bytes", bytes.len());
        for cut in [0, 1, bytes.len() / 2, bytes.len() - 1] {
            assert_eq!(decode(&bytes[..cut]).ok(), None, "{n} updates cut at {cut}");
        }
    }
    assert_eq!(decode(&[7, 0, 0]).ok(), None);
}

#[test]
fn decode_errors_tell_the_cause() {
    assert!(matches!(decode(&[]), Err(DecodeError::Empty)));
    assert!(matches!(decode(&[7, 0, 0]), Err(DecodeError::UnknownKind(7))));
    let mut frame = encode(&PeerMessage::Detach);
    frame.push(0);
    assert!(matches!(decode(&frame), Err(DecodeError::TrailingBytes(1))));
    frame.truncate(1);
    assert!(matches!(decode(&frame), Err(DecodeError::Malformed(_))));
}
