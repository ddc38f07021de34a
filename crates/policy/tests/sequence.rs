//! Frames that are late, duplicated, missing, or of another request or account are rejected.

use bytes::Bytes;
use policy::sequence::Error;
use policy::sequence::Sequence;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::Frame;
use wire::Load;
use wire::Stamp;
use wire::frame::Head;
use wire::frame::Payload;
use wire::frame::Report;
use wire::frame::Usage;

fn frames() -> Vec<Frame> {
    let stamp = Stamp { vm: "engine-1".into(), incarnation: 1, revision: 1 };
    let payloads = [
        Payload::Accepted(Report { stamp, load: Load::default() }),
        Payload::Head(Head { status: 200, content_type: None, replayed: false, handle: None }),
        Payload::Data(Bytes::from_static(b"one")),
        Payload::Data(Bytes::from_static(b"two")),
        Payload::End(Usage::default()),
    ];
    let frame = |(index, payload)| Frame {
        request: 7,
        attempt: 1,
        owner: 9,
        sequence: index as u64,
        payload,
    };
    payloads.into_iter().enumerate().map(frame).collect()
}

fn sequence() -> Sequence {
    Sequence::new(7, 1, 9)
}

/// Returns whether the frames are accepted one by one and make up a complete answer.
fn is_complete(frames: &[Frame]) -> bool {
    let mut sequence = sequence();
    let accepted = frames.iter().take_while(|frame| sequence.check(frame).is_ok()).count();
    sequence.is_ended() && accepted == frames.len()
}

fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(4);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn only_all_frames_in_order_make_a_complete_answer(
        picks in prop::collection::vec(0usize..5, 0..8),
    ) {
        let frames = frames();
        let picked: Vec<Frame> = picks.iter().map(|index| frames[*index].clone()).collect();
        prop_assert_eq!(is_complete(&picked), picks == [0, 1, 2, 3, 4]);
    }
}

#[test]
fn frames_of_other_attempts_and_accounts_are_rejected() {
    let first = frames().remove(0);
    let check = |frame: Frame| sequence().check(&frame);
    assert_eq!(check(first.clone()), Ok(()));
    assert_eq!(check(Frame { request: 8, ..first.clone() }), Err(Error::Attempt));
    assert_eq!(check(Frame { attempt: 0, ..first.clone() }), Err(Error::Attempt));
    assert_eq!(check(Frame { owner: 1, ..first.clone() }), Err(Error::Owner));
    assert_eq!(check(Frame { sequence: 1, ..first.clone() }), Err(Error::Gap));
    let early = Frame { sequence: 0, ..frames().remove(2) };
    assert_eq!(check(early), Err(Error::Order));
}

#[test]
fn pieces_are_counted_over_the_attempts_of_an_answer() {
    let mut sequence = Sequence::after(7, 1, 9, Some(4));
    assert_eq!(sequence.last_piece(), Some(4));
    for frame in frames() {
        sequence.check(&frame).expect("in order");
    }
    let chunks = frames().iter().filter(|frame| matches!(frame.payload, Payload::Data(_))).count();
    assert_eq!(sequence.last_piece(), Some(4 + chunks as u64));
    assert_eq!(Sequence::new(7, 1, 9).last_piece(), None);
}
