//! Clients that read streams and take them up again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::Client;
use crate::script::Record;

/// Longest gap of a stream before its client leaves: eight times the pause of 300 ms.
const GAP: Duration = Duration::from_millis(2_400);

/// A stream as its client sees it.
#[derive(Default)]
pub struct Stream {
    pub last: u64,
    pub versions: Vec<String>,
    pub is_whole: bool,
    /// Whether its client has taken it up again.
    pub is_taken_up: bool,
}

/// Name and address of a gateway.
pub type Node = (String, SocketAddr);

/// Starts a client that begins a stream at one gateway and takes it up at another.
pub fn follow(
    record: &Record,
    id: String,
    (first, second): (Node, Node),
    stream: &Arc<Mutex<Stream>>,
) -> JoinHandle<()> {
    let (record, stream) = (record.clone(), stream.clone());
    thread::spawn(move || {
        let headers = format!("X-Request-Id: {id}\r\n{}", model(&id));
        attempt(&record, &first, &id, &headers, &stream);
        let last = stream.lock().unwrap().last;
        if stream.lock().unwrap().is_whole || last == 0 {
            return;
        }
        stream.lock().unwrap().is_taken_up = true;
        let again = format!("{id}-again");
        let headers = format!(
            "X-Request-Id: {again}\r\nResumes: {id}\r\nLast-Event-Id: {last}\r\n{}",
            model(&id)
        );
        let status = attempt(&record, &second, &again, &headers, &stream);
        if status == 503 {
            // The refusal says to come back after a second.
            thread::sleep(Duration::from_millis(1_050));
            let headers = headers.replace(&again, &format!("{id}-once-more"));
            attempt(&record, &second, &format!("{id}-once-more"), &headers, &stream);
        }
    })
}

fn model(id: &str) -> String {
    let own: u32 = id.bytes().map(u32::from).sum();
    format!(
        "X-Model: m\r\nX-Token-Count: 300,400\r\nX-Prefix-Hash: 5c1e07a2:200,{:x}:100\r\n\
        X-Deadline-Ms: 18000\r\n",
        own + 1000
    )
}

/// Sends a client attempt and reads its events.
fn attempt(
    record: &Record,
    (name, address): &Node,
    id: &str,
    headers: &str,
    stream: &Mutex<Stream>,
) -> u16 {
    record.add(format!("client: {id} is sent to {name}"));
    let outcome = read(*address, headers, id, stream);
    let last = stream.lock().unwrap().last;
    record.add(format!("client: {id} at {name} ended with {outcome:?}, last event {last}"));
    outcome.unwrap_or(0)
}

fn read(
    address: SocketAddr,
    headers: &str,
    body: &str,
    stream: &Mutex<Stream>,
) -> std::io::Result<u16> {
    let mut client = Client::connect(address)?;
    client.limit_gap(GAP)?;
    let head = client.send("POST /outline/a", headers, body.as_bytes())?;
    if head.status() != 200 {
        return Ok(head.status());
    }
    let mut rest = String::new();
    loop {
        let chunk = client.chunk()?;
        if chunk.is_empty() {
            stream.lock().unwrap().is_whole = true;
            return Ok(200);
        }
        rest.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, after)) = rest.split_once("\n\n") {
            let mut stream = stream.lock().unwrap();
            for line in event.lines() {
                if let Some(number) = line.strip_prefix("id: ") {
                    stream.last = number.parse().unwrap_or(stream.last);
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    stream.versions.push(data.split(' ').next().unwrap_or("").to_owned());
                }
            }
            rest = after.to_owned();
        }
    }
}

/// Returns how many streams hold events of two versions, and how many are whole; records each.
pub fn count(record: &Record, streams: &[Arc<Mutex<Stream>>]) -> (usize, usize) {
    let (mut mixed, mut whole) = (0, 0);
    for (number, stream) in streams.iter().enumerate() {
        let stream = stream.lock().unwrap();
        let mut versions = stream.versions.clone();
        versions.dedup();
        mixed += usize::from(versions.len() > 1);
        whole += usize::from(stream.is_whole);
        let (last, is_whole) = (stream.last, stream.is_whole);
        record.add(format!(
            "stream s{number}: versions {versions:?}, last event {last}, whole {is_whole}"
        ));
    }
    (mixed, whole)
}
