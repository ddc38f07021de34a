//! Heads of HTTP messages.

use std::io::BufRead;

/// The head of an HTTP message, with its body if that has a length.
#[derive(Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the first line and the headers; `None` if the connection ends before.
    pub fn head(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Some(message);
            }
            match line.split_once(':') {
                Some((name, value)) if !message.first.is_empty() => {
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
                _ => message.first = line.to_owned(),
            }
        }
    }

    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::head(reader)?;
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}
