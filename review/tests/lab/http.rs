//! Messages of HTTP/1.1.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// The head of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the second word of the first line: a target or a status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunk; `None` if the body breaks off. The last chunk is empty.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a body whole; `None` if it breaks off.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").contains("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    body.resize(head.get("content-length").parse().unwrap_or(0), 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}
