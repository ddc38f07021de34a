//! Messages of HTTP/1.1, and clients.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The head and the body of a message of HTTP/1.1.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: a request's target or a response's status.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or_default()
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first = line.trim_end().to_owned();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let text = line.trim_end();
            if text.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = text.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a request with its body, which has a length.
    pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let Some(mut message) = Message::read_head(reader)? else { return Ok(None) };
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }
}

/// Reads one chunk of a body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Returns the status of a request without a body; `None` if there is no answer.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let head = Message::read_head(&mut BufReader::new(stream)).ok()??;
    Some(head.status())
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects within a second, as the pages say of clients.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Client { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sets the longest time without bytes.
    pub fn limit_gap(&self, gap: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(gap))
    }

    /// Sends a request and reads the head of the answer.
    pub fn send(&mut self, line: &str, headers: &str, body: &[u8]) -> io::Result<Message> {
        let length = match body.is_empty() {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!("{line} HTTP/1.1\r\nHost: a.example\r\n{headers}{length}\r\n");
        let bytes = [head.as_bytes(), body].concat();
        self.stream.write_all(&bytes)?;
        Message::read_head(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the body of an answer that has a length.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads the next chunk of an answer; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        read_chunk(&mut self.reader)
    }
}

/// Decodes percent-encoding.
pub fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        if *first == b'%' && rest.len() >= 2 {
            let digits = std::str::from_utf8(&rest[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            rest = &rest[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
