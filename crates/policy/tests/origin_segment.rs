//! Tests of the encoding of streams.

use policy::origin::Row;
use policy::origin::Segment;
use policy::origin::stream_id;

#[test]
fn segments_are_read_as_they_were_written() {
    let row = Row { service: "model".to_owned(), version: String::new(), streams: vec![u32::MAX] };
    let segment = Segment { rows: vec![row] };
    let text = serde_json::to_string(&segment).expect("a text");
    assert_eq!(text, r#"{"rows":[{"service":"model","version":"","streams":[4294967295]}]}"#);
    assert_eq!(serde_json::from_str::<Segment>(&text).expect("a segment"), segment);
    assert_ne!(stream_id("r1"), stream_id("r2"));
}
