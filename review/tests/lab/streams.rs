//! A client of streams, which takes a stream up again when its channel breaks or falls silent.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::client::Client;
use super::http;
use super::record::Record;

/// Longest time without an event before a client abandons a channel.
pub const MAX_GAP: Duration = Duration::from_millis(2_400);

/// Most client attempts: the first one and one retry.
const MAX_TRIES: usize = 2;

/// What became of a stream.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The texts of the events, in their order.
    pub events: Vec<String>,
    /// Whether the stream came to its end.
    pub is_whole: bool,
    /// Whether the client tried to take it up again.
    pub was_taken_up: bool,
    /// Whether an event came after that.
    pub went_on: bool,
    /// Status of each client attempt; 0 if there was none.
    pub statuses: Vec<u16>,
}

/// A stream that a client asks for.
pub struct Ask<'a> {
    pub name: String,
    /// Host and path.
    pub target: (&'a str, &'a str),
    pub deadline: Duration,
    /// The gateways of the client attempts, one after the other; the last one is kept to.
    pub gateways: &'a [SocketAddr],
}

impl Ask<'_> {
    /// Asks until the stream is whole, or time or tries are over.
    pub fn run(&self, record: &Record) -> Outcome {
        let start = Instant::now();
        let mut outcome = Outcome::default();
        let mut last: Option<u64> = None;
        let mut first_id = String::new();
        for number in 0..MAX_TRIES {
            let left = self.deadline.saturating_sub(start.elapsed());
            if left < Duration::from_millis(50) {
                break;
            }
            let id = format!("{}-{number}", self.name);
            let gateway = self.gateways[number.min(self.gateways.len() - 1)];
            let resume = last.map_or(String::new(), |last| {
                outcome.was_taken_up = true;
                format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n")
            });
            let (host, path) = self.target;
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
                 X-Token-Count: 829,288\r\nX-Prefix-Hash: 5c1e07a2:119,91bd3f06:580,{number:x}:130\
                 \r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer first-key\r\n{resume}\
                 Content-Length: 2\r\n\r\nhi",
                left.as_millis()
            );
            record.line(&format!("client sends {id} to {gateway}, last event {last:?}"));
            let mut retry_after = Duration::ZERO;
            let status = self.try_once(gateway, &request, left, &mut |answer| match answer {
                Part::Refusal(delay) => retry_after = delay,
                Part::Event(number, text) => {
                    if last.is_none() {
                        first_id.clone_from(&id);
                    }
                    outcome.went_on |= outcome.was_taken_up;
                    last = Some(number);
                    outcome.events.push(text);
                }
                Part::End => outcome.is_whole = true,
            });
            outcome.statuses.push(status);
            record.line(&format!("client's {id}: status {status}, last event {last:?}"));
            if outcome.is_whole {
                break;
            }
            let left = self.deadline.saturating_sub(start.elapsed());
            std::thread::sleep(retry_after.min(left / 3));
        }
        outcome
    }

    /// Makes one client attempt; returns its status.
    fn try_once(
        &self,
        gateway: SocketAddr,
        request: &str,
        left: Duration,
        take: &mut dyn FnMut(Part),
    ) -> u16 {
        let Some(mut client) = Client::connect(gateway, MAX_GAP.min(left)) else { return 0 };
        if !client.send(request.as_bytes()) {
            return 0;
        }
        let Some((status, head)) = client.head() else { return 0 };
        if status != 200 {
            let seconds = head.get("retry-after").parse().unwrap_or(0.0);
            take(Part::Refusal(Duration::from_secs_f64(seconds)));
            return status;
        }
        let mut text = String::new();
        loop {
            let Some(chunk) = http::read_chunk(&mut client.reader) else { return status };
            if chunk.is_empty() {
                take(Part::End);
                return status;
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = text.split_once("\n\n") {
                let number = event.split(['\n', ' ']).nth(1).and_then(|id| id.parse().ok());
                take(Part::Event(number.unwrap_or(0), event.replace('\n', " ")));
                text = rest.to_owned();
            }
        }
    }
}

/// A part of an answer.
enum Part {
    Refusal(Duration),
    Event(u64, String),
    End,
}
