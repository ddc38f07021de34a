//! Decoding of frames from streams that are cut at any position, and of foreign bytes.

use bytes::Bytes;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::prop_assert_eq;
use wire::Frame;
use wire::codec;
use wire::frame::Payload;

proptest! {
    #[test]
    fn a_frame_is_decoded_from_chunks_of_any_size(
        request in any::<u128>(),
        sequence in any::<u64>(),
        data in proptest::collection::vec(any::<u8>(), 0..200),
        chunk_size in 1usize..50,
    ) {
        let payload = Payload::Data(Bytes::from(data));
        let frame = Frame { request, attempt: 1, owner: 7, sequence, payload };
        let bytes = codec::encode_frame(&frame);
        let mut reader = codec::Reader::default();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            reader.push(chunk);
            while let Some(frame) = reader.next_frame()? {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, vec![frame]);
    }

    #[test]
    fn foreign_bytes_give_an_error_or_need_more_bytes(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut reader = codec::Reader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }
}

#[test]
fn an_oversized_frame_is_an_error() {
    let mut reader = codec::Reader::default();
    reader.push(&[0xff; 16]);
    assert_eq!(reader.next_frame(), Err(codec::Error::Oversized));
}
