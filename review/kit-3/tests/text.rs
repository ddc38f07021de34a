//! Encodings of text.

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        if *first == b'%' && others.len() >= 2 {
            let code = std::str::from_utf8(&others[..2]).ok();
            bytes.push(code.and_then(|it| u8::from_str_radix(it, 16).ok()).unwrap_or(b'?'));
            rest = &others[2..];
        } else {
            bytes.push(*first);
            rest = others;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
