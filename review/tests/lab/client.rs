//! A client.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::http;
use super::http::Head;

/// Time for which a new connection is waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection of a client.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: String,
}

impl Client {
    /// Connects to a gateway; reads wait for at most `timeout`.
    pub fn connect(address: SocketAddr, timeout: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(Client { reader: BufReader::new(stream) })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Reads the head of an answer.
    pub fn head(&mut self) -> Option<(u16, Head)> {
        let head = http::read_head(&mut self.reader)?;
        Some((head.second().parse().ok()?, head))
    }

    /// Reads an answer whole; `None` if it breaks off or doesn't come in time.
    pub fn answer(&mut self) -> Option<Answer> {
        let (status, head) = self.head()?;
        let body = http::read_body(&mut self.reader, &head)?;
        Some(Answer { status, head, body: String::from_utf8_lossy(&body).into_owned() })
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, request: &str) -> Option<Answer> {
        if !self.send(request.as_bytes()) {
            return None;
        }
        self.answer()
    }
}

/// Sends a request over a connection of its own and reads its answer.
pub fn ask(address: SocketAddr, request: &str, timeout: Duration) -> Option<Answer> {
    Client::connect(address, timeout)?.exchange(request)
}
