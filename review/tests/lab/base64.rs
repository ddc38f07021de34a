//! Standard base64 with padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(group.get(index).copied().unwrap_or_default());
        }
        for index in 0..4 {
            let is_padding = index > group.len();
            let sextet = (word >> (18 - 6 * index)) & 63;
            text.push(if is_padding { '=' } else { char::from(ALPHABET[sextet as usize]) });
        }
    }
    text
}
