//! Encoding and decoding of frames.

use super::*;
use rstest::rstest;

fn round_trip(codec: &FrameCodec, message: &[u8]) -> (usize, Vec<u8>) {
    let frame = codec.encode(message);
    let header = frame[..HEADER_BYTES].try_into().unwrap();
    let header = FrameHeader::parse(&header).unwrap();
    assert_eq!(header.length, frame.len() - HEADER_BYTES);
    let body = frame[HEADER_BYTES..].to_vec();
    (frame.len(), codec.decode(header, body).unwrap())
}

#[rstest]
#[case::empty(0)]
#[case::short(100)]
#[case::below_compression_threshold(MIN_COMPRESSED_BYTES - 1)]
#[case::long(300_000)]
fn messages_round_trip(#[case] length: usize) {
    let codec = FrameCodec::new().unwrap();
    let letters = (0..length).map(|index| b'a' + (index * index % 26) as u8);
    let message: Vec<u8> = letters.collect();
    assert_eq!(round_trip(&codec, &message).1, message);
}

#[test]
fn text_is_compressed_and_random_bytes_are_not() {
    let codec = FrameCodec::new().unwrap();
    let mut state = 1_u64;
    let mut random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) as u8
    };
    let letters: Vec<u8> = (0..20_000).map(|_| b'a' + random() % 26).collect();
    let (bytes, message) = round_trip(&codec, &letters);
    assert_eq!(message, letters);
    assert!(bytes < letters.len() * 7 / 10, "{bytes}");
    let random_bytes: Vec<u8> = (0..20_000).map(|_| random()).collect();
    assert_eq!(
        round_trip(&codec, &random_bytes),
        (random_bytes.len() + HEADER_BYTES, random_bytes)
    );
    let (plain, wire) = codec.sent_bytes();
    assert!(plain == 40_000 && wire < plain);
}

/// Guards against allocating memory for an excessive length in a header or a compressed body.
#[test]
fn invalid_frames_are_rejected() {
    let codec = FrameCodec::new().unwrap();
    let parse = FrameHeader::parse;
    assert!(parse(&[0xff, 0xff, 0xff, 0xff, PLAIN]).is_err());
    let unknown = parse(&[0, 0, 0, 1, 9]).unwrap();
    assert!(codec.decode(unknown, vec![0]).is_err());
    let broken = parse(&[0, 0, 0, 4, COMPRESSED]).unwrap();
    assert!(codec.decode(broken, b"none".to_vec()).is_err());
    let bomb = zstd::bulk::compress(&vec![0; MAX_MESSAGE_BYTES + 1], ZSTD_LEVEL).unwrap();
    let header = FrameHeader {
        length: bomb.len(),
        kind: COMPRESSED,
    };
    assert!(codec.decode(header, bomb).is_err());
}
