//! Clients, and what they got.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::http::Message;
use crate::lab::Lab;
use crate::record::Record;

/// Pause of a client before it connects again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What a client got of a stream, over all its tries.
#[derive(Debug, Default)]
pub struct Got {
    /// Version of each event, in their order, with its id.
    pub events: Vec<(u64, String)>,
    pub is_whole: bool,
    pub statuses: Vec<String>,
}

/// Connects to a gateway, or to the next one that runs, as the platform forwards channels.
fn connect(gateways: &[SocketAddr], first: usize) -> Option<TcpStream> {
    let mut order = (0..gateways.len()).map(|index| gateways[(first + index) % gateways.len()]);
    order.find_map(|gateway| TcpStream::connect(gateway).ok())
}

/// One try: sends a request and reads the stream to its end.
fn try_stream(stream: Option<TcpStream>, id: &str, resumes: Option<(&str, u64)>, got: &mut Got) {
    let Some(mut stream) = stream else {
        got.statuses.push("no connection".to_owned());
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
    let taken_up = resumes
        .map(|(first, event)| format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n"))
        .unwrap_or_default();
    let request = format!(
        "POST /s/go HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 130,200\r\nX-Prefix-Hash: 5c1e07a2:100,{:x}:30\r\nX-Deadline-Ms: 8000\r\n{taken_up}Content-Length: 2\r\n\r\nhi",
        id.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)))
    );
    if stream.write_all(request.as_bytes()).is_err() {
        got.statuses.push("not sent".to_owned());
        return;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = Message::head(&mut reader) else {
        got.statuses.push("closed".to_owned());
        return;
    };
    let status = head.first.split(' ').nth(1).unwrap_or("").to_owned();
    got.statuses.push(status.clone());
    if status != "200" {
        return;
    }
    // Events are whole in what the gateway passes on, so its lines can be taken from any chunk.
    let mut event = 0;
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let line = line.trim_end();
        if let Some(number) = line.strip_prefix("id: ") {
            event = number.parse().unwrap_or(0);
        } else if let Some(data) = line.strip_prefix("data: ") {
            got.events.push((event, data.split(' ').next().unwrap_or("").to_owned()));
        } else if line == "0" {
            got.is_whole = true;
            return;
        }
    }
}

/// Sends streams at a rate until it is told to stop, and counts those that hold events of two
/// versions.
pub struct Traffic {
    pub stop: Arc<AtomicBool>,
    pub sender: thread::JoinHandle<Vec<thread::JoinHandle<(String, Got)>>>,
}

impl Traffic {
    pub fn start(lab: &Lab, per_s: u64) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopping, gateways, record) =
            (Arc::clone(&stop), lab.clients(), Arc::clone(&lab.record));
        let sender = thread::spawn(move || {
            let mut running = Vec::new();
            let mut number = 0usize;
            while !stopping.load(Ordering::SeqCst) {
                number += 1;
                let (gateways, record) = (gateways.clone(), Arc::clone(&record));
                running.push(thread::spawn(move || {
                    let first = format!("r{number:05}");
                    let mut got = Got::default();
                    let stream = connect(&gateways, number);
                    record.add(&format!("client sends {first}"));
                    try_stream(stream, &first, None, &mut got);
                    if !got.is_whole && !got.events.is_empty() {
                        // A client takes a stream up once, some round trips later.
                        sleep(RETRY_PAUSE);
                        let (event, _) = got.events[got.events.len() - 1];
                        let stream = connect(&gateways, number + 1);
                        let again = format!("{first}b");
                        record.add(&format!(
                            "client takes {first} up as {again} after event {event}"
                        ));
                        try_stream(stream, &again, Some((&first, event)), &mut got);
                    }
                    (first, got)
                }));
                sleep(Duration::from_millis(1_000 / per_s));
            }
            running
        });
        Traffic { stop, sender }
    }

    /// Returns the number of streams, of whole ones and of those of two versions.
    pub fn finish(self, record: &Record) -> (usize, usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let (mut all, mut whole, mut mixed) = (0, 0, 0);
        for client in self.sender.join().unwrap() {
            let (id, got) = client.join().unwrap();
            let mut runs: Vec<(String, u64, u64)> = Vec::new();
            for (event, version) in &got.events {
                match runs.last_mut() {
                    Some((last, _, to)) if last == version => *to = *event,
                    _ => runs.push((version.clone(), *event, *event)),
                }
            }
            let is_mixed = runs.len() > 1;
            let text: Vec<String> = runs
                .iter()
                .map(|(version, from, to)| format!("{version}: {from} to {to}"))
                .collect();
            let kind = if is_mixed { "  TWO VERSIONS" } else { "" };
            record.add(&format!(
                "client got {id}: status {}, whole {}, events of {}{kind}",
                got.statuses.join(" then "),
                got.is_whole,
                text.join(", ")
            ));
            all += 1;
            whole += usize::from(got.is_whole);
            mixed += usize::from(is_mixed);
        }
        (all, whole, mixed)
    }
}
