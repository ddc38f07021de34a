//! Messages between processes of two releases, as they occur during an upgrade.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;
use wire::Frame;
use wire::Stamp;
use wire::codec;
use wire::frame::Payload;

/// Number of frames that are encoded and decoded for the figures of
/// `docs/decisions/wire.md`.
const FRAMES: u64 = 200_000;
/// Size in bytes of a chunk with one token.
const CHUNK_BYTES: usize = 180;

/// A cancel of a later release, with an additional field and another order.
#[derive(Serialize)]
struct LaterCancel {
    reason: &'static str,
    stamp: Stamp,
    attempt: u32,
    request: u128,
}

/// The head of an answer of an earlier release, without the field `handle`.
#[derive(Serialize)]
struct EarlierHead {
    status: u16,
    content_type: Option<String>,
    replayed: bool,
}

#[derive(Serialize)]
enum EarlierPayload {
    Head(EarlierHead),
}

fn stamp() -> Stamp {
    Stamp { vm: "e1".to_owned(), incarnation: 1, revision: 7 }
}

fn data(sequence: u64) -> Frame {
    let payload = Payload::Data(Bytes::from(vec![b'x'; CHUNK_BYTES]));
    Frame { request: u128::MAX, attempt: 0, owner: u64::MAX, sequence, payload }
}

#[test]
fn fields_that_a_later_release_adds_are_ignored() {
    let later = LaterCancel { reason: "left", stamp: stamp(), attempt: 1, request: 5 };
    let bytes = rmp_serde::to_vec_named(&later).expect("the message can be encoded");
    let cancel = codec::decode_cancel(&bytes).expect("the message can be decoded");
    assert_eq!((cancel.stamp, cancel.request, cancel.attempt), (stamp(), 5, 1));
}

#[test]
fn fields_that_an_earlier_release_lacks_get_their_defaults() {
    let head = EarlierHead { status: 200, content_type: None, replayed: true };
    let frame = (5u128, 1u32, 7u64, 1u64, EarlierPayload::Head(head));
    let body = rmp_serde::to_vec_named(&frame).expect("the message can be encoded");
    let mut reader = codec::Reader::default();
    reader.push(&u32::try_from(body.len()).expect("the length fits 32 bits").to_be_bytes());
    reader.push(&body);
    let frame =
        reader.next_frame().expect("the message can be decoded").expect("the frame is complete");
    let Payload::Head(head) = frame.payload else { panic!("another payload") };
    assert!(head.replayed && head.handle.is_none());
}

/// Prints time and size of a frame with one token; run with `--release` for figures.
#[test]
fn cost_of_a_frame() {
    let start = Instant::now();
    let mut bytes = 0;
    for sequence in 0..FRAMES {
        let encoded = codec::encode_frame(&data(sequence));
        bytes += encoded.len();
        let mut reader = codec::Reader::default();
        reader.push(&encoded);
        black_box(reader.next_frame().expect("the message can be decoded"));
    }
    print_cost("with names", start, bytes);
    let start = Instant::now();
    let mut bytes = 0;
    for sequence in 0..FRAMES {
        let encoded = postcard::to_stdvec(&data(sequence)).expect("the message can be encoded");
        bytes += encoded.len();
        black_box(postcard::from_bytes::<Frame>(&encoded).expect("the message can be decoded"));
    }
    print_cost("postcard without a length", start, bytes);
}

fn print_cost(name: &str, start: Instant, bytes: usize) {
    let time = start.elapsed().as_nanos() as f64 / FRAMES as f64;
    println!("{name}: {time:.0} ns, {} bytes a frame of {CHUNK_BYTES}", bytes as u64 / FRAMES);
}
