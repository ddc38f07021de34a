//! A client that sends raw bytes and returns the raw response.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The client stops reading if nothing arrives for this time.
const QUIET_TIMEOUT: Duration = Duration::from_millis(400);

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
                    if !bytes.is_empty() && last.elapsed() > QUIET_TIMEOUT {
                        break "";
                    }
                    if last.elapsed() > 10 * QUIET_TIMEOUT {
                        break "(silent)\n";
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
