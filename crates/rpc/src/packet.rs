//! The message of a beat call and its compact encoding.
//!
//! In JSON, a beat with a few members would take most of the bytes that a process
//! may spend on control calls; postcard in base64 takes a fraction of that.

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use policy::gossip::Suspect;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::Beat;

/// The message of a beat call, in either direction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The beat, with descriptions of members.
    pub beat: Beat,
    /// Hash of all descriptions that the sender knows; the receiver compares it with its own.
    pub view: u32,
    /// Members that the sender suspects, on its own evidence or a peer's report.
    pub suspects: Vec<Suspect>,
}

/// Encodes a value as postcard in base64, and counts it as sent.
pub(crate) fn encode(value: &impl Serialize) -> String {
    let text = BASE64_STANDARD_NO_PAD.encode(postcard::to_stdvec(value).unwrap_or_default());
    record("out", &text);
    text
}

/// Decodes a value from postcard in base64, and counts it as received.
///
/// Returns `None` if the text is no such value.
pub(crate) fn decode<T: DeserializeOwned>(text: &str) -> Option<T> {
    record("in", text);
    let bytes = BASE64_STANDARD_NO_PAD.decode(text).ok()?;
    postcard::from_bytes(&bytes).ok()
}

/// Records a message that is sent or received as JSON.
pub(crate) fn record_json(direction: &'static str, value: &impl Serialize) {
    record(direction, &serde_json::to_string(value).unwrap_or_default());
}

/// Counts a message and its bytes, without envelopes, so that operators see what
/// control calls cost.
fn record(direction: &'static str, text: &str) {
    metrics::counter!("lycheeknot_control_messages_total", "direction" => direction).increment(1);
    metrics::counter!("lycheeknot_control_bytes_total", "direction" => direction)
        .increment(text.len() as u64);
}

/// Returns the size of an encoded packet in bytes, without envelopes.
pub fn encoded_bytes(packet: &Packet) -> usize {
    encode(packet).len()
}
