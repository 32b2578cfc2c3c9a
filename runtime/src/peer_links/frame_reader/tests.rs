use super::*;
use crate::peer_links::encode_frame;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 7);

fn link_bytes(messages: &[PeerMessage]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&PEER.octets());
    messages.iter().for_each(|message| bytes.extend_from_slice(&encode_frame(message)));
    bytes
}

fn messages() -> Vec<PeerMessage> {
    vec![PeerMessage::Detach, PeerMessage::LeaderRedirect { leader: PEER }, PeerMessage::Detach]
}

#[test]
fn frames_are_decoded_however_the_bytes_are_split() {
    let bytes = link_bytes(&messages());
    for chunk_size in 1..=bytes.len() {
        let mut reader = FrameReader::default();
        let mut received = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            reader.feed(chunk, |from, message| received.push((from, message))).unwrap();
        }
        let expected: Vec<_> = messages().into_iter().map(|message| (PEER, message)).collect();
        assert_eq!(received, expected, "chunks of {chunk_size} bytes");
        assert!(reader.buffer.is_empty());
    }
}

#[test]
fn a_link_without_the_magic_bytes_is_refused() {
    let mut bytes = link_bytes(&messages());
    bytes[0] ^= 1;
    let result = FrameReader::default().feed(&bytes, |_, _| panic!("no message may be delivered"));
    assert!(matches!(result, Err(LinkError::BadMagic)));
}

#[test]
fn a_frame_over_the_limit_is_refused_before_its_bytes_arrive() {
    let mut bytes = link_bytes(&[]);
    bytes.extend_from_slice(&(FRAME_MAX as u32 + 1).to_be_bytes());
    let result = FrameReader::default().feed(&bytes, |_, _| panic!("no message may be delivered"));
    assert!(matches!(result, Err(LinkError::FrameTooLong { length }) if length == FRAME_MAX + 1));
}

#[test]
fn messages_before_an_undecodable_frame_are_delivered() {
    let mut bytes = link_bytes(&[PeerMessage::Detach]);
    bytes.extend_from_slice(&[0, 0, 0, 1, 0xff]);
    let mut received = Vec::new();
    let result = FrameReader::default().feed(&bytes, |_, message| received.push(message));
    assert!(matches!(result, Err(LinkError::UndecodableFrame { length: 1 })));
    assert_eq!(received, [PeerMessage::Detach]);
}
