//! A client that sends raw bytes and returns the raw response.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The client stops reading if nothing arrives for this time after a whole response.
const QUIET_TIMEOUT: Duration = Duration::from_millis(400);

/// The same while a response is not complete, and before the first byte.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time to wait for the first byte of a response.
const MAX_QUIET: Duration = Duration::from_secs(10);

/// One connection to the gateway.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects to the gateway.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a gateway");
        stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
        Client { stream }
    }

    /// Sends bytes without waiting for a response.
    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).expect("a connection");
    }

    /// Reads until the connection is closed or stays quiet, and returns what arrived.
    ///
    /// The `Date` header is left out and the other headers are sorted, so that the text is the
    /// same in every run. The last line tells how the reading ended, except after a response
    /// on a connection that stays open.
    pub fn read(&mut self) -> String {
        let mut bytes = Vec::new();
        let mut last = Instant::now();
        let mut buffer = [0; 4096];
        let end = loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break "(closed)\n",
                Ok(count) => {
                    bytes.extend_from_slice(&buffer[..count]);
                    last = Instant::now();
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    if last.elapsed() > RESPONSE_TIMEOUT {
                        break if bytes.is_empty() { "(silent)\n" } else { "" };
                    }
                    if last.elapsed() > QUIET_TIMEOUT && is_complete(&bytes) {
                        break "";
                    }
                }
                Err(_) => break "(reset)\n",
            }
        };
        let text = String::from_utf8_lossy(&bytes).replace("\r\n", "\n");
        let lines = text.split_inclusive('\n').filter(|line| !line.starts_with("date: "));
        let text: String = lines.collect();
        let text = sort_headers(&text);
        let newline = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
        format!("{text}{newline}{end}")
    }

    /// Reads the first line of a response. Fails after [`MAX_QUIET`] without one.
    pub fn read_line(&mut self) -> String {
        let start = Instant::now();
        let mut bytes = Vec::new();
        while !bytes.contains(&b'\n') {
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => panic!("the connection was closed"),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    assert!(start.elapsed() < MAX_QUIET, "no response");
                }
                Err(error) => panic!("{error}"),
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        text.lines().next().unwrap_or_default().to_owned()
    }

    /// Sends a request and returns the response, as [`Client::read`] does.
    pub fn exchange(&mut self, request: &str) -> String {
        self.send(request);
        self.read()
    }
}

/// Whether these bytes are whole responses, one at least.
fn is_complete(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        match response_len(rest) {
            Some(len) if len <= rest.len() => rest = &rest[len..],
            _ => return false,
        }
    }
    !bytes.is_empty()
}

/// Returns the length of the response at the beginning of these bytes; `None` if its end hasn't arrived
/// or is that of the connection.
fn response_len(bytes: &[u8]) -> Option<usize> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = response.parse(bytes) else { return None };
    match response.code? {
        // The final response follows.
        100..200 => return Some(head + response_len(&bytes[head..])?),
        204 | 304 => return Some(head),
        _ => {}
    }
    let value = |name: &str| {
        let mut found = response.headers.iter().filter(|it| it.name.eq_ignore_ascii_case(name));
        found.next().map(|header| String::from_utf8_lossy(header.value))
    };
    if let Some(length) = value("content-length") {
        return Some(head + length.parse::<usize>().ok()?);
    }
    value("transfer-encoding")?;
    let mut end = head;
    loop {
        let chunk = httparse::parse_chunk_size(bytes.get(end..)?);
        let Ok(httparse::Status::Complete((line, size))) = chunk else { return None };
        end += line + usize::try_from(size).ok()? + "\r\n".len();
        if size == 0 {
            return Some(end);
        }
    }
}

/// Sorts the headers of a message, whose order differs from run to run.
pub fn sort_headers(text: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    let (head, body) = text.split_once("\n\n").unwrap_or((text, ""));
    let mut lines: Vec<&str> = head.lines().collect();
    if let Some(headers) = lines.get_mut(1..) {
        headers.sort_unstable();
    }
    format!("{}\n\n{body}", lines.join("\n"))
}
