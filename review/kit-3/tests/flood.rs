//! Streams without end, whose clients read slowly.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::lab::Lab;
use crate::lab::Machine;
use crate::lab::free_address;

/// The smallest machine of the site `pintstone-quiz-grown`.
const MACHINE: Machine = Machine { cores: 0.063, descriptors: 2_870, memory_mb: 112 };

/// Clients at the same time. The settings allow 1,435 connections.
const CLIENTS: usize = 700;

/// What a client reads at once, and the pause after that: it reads 8 KB a second.
const READ_BYTES: usize = 2_048;
const READ_PAUSE: Duration = Duration::from_millis(250);

/// Pause between the arrivals of two clients.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(1);

/// How long clients read.
const TIME: Duration = Duration::from_secs(6);

/// Events of a stream that ends, and the pause before each.
const EVENTS: u64 = 64;
const GAP: Duration = Duration::from_millis(50);

/// Runs the case. Returns whether the process took more memory than its machine has.
pub fn run(folder: &Path, record: &str) -> Result<bool, String> {
    fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let mut lab = Lab::start(folder, EVENTS, GAP);
    lab.machine = MACHINE;
    let engine = Engine::start("i-0", free_address(), "v1", &lab);
    engine.is_endless.store(lab.is_troubled, Ordering::SeqCst);
    engine.keep_reporting();
    lab.start_gateways(&["z1"])?;
    lab.record.add(&format!("the gateway has taken {} bytes", lab.gateways[0].peak_bytes()));
    let begun = Arc::new(AtomicUsize::new(0));
    let gateway = lab.gateways[0].clients;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let begun = Arc::clone(&begun);
            sleep(ARRIVAL_PAUSE);
            thread::spawn(move || read_slowly(gateway, number, &begun))
        })
        .collect();
    let start = Instant::now();
    while start.elapsed() < TIME {
        sleep(Duration::from_millis(500));
        let (peak, begun) = (lab.gateways[0].peak_bytes(), begun.load(Ordering::SeqCst));
        lab.record.add(&format!("{begun} streams have begun, the gateway has taken {peak} bytes"));
    }
    let read: usize = clients.into_iter().map(|client| client.join().unwrap_or_default()).sum();
    engine.is_endless.store(false, Ordering::SeqCst);
    let (peak, limit) = (lab.gateways[0].peak_bytes(), MACHINE.memory_mb * 1024 * 1024);
    let is_broken = peak > limit;
    let text = format!(
        "{} of {CLIENTS} streams began, clients read {read} bytes; the gateway took up to {peak} bytes, its machine has {limit}: {}",
        begun.load(Ordering::SeqCst),
        if is_broken { "memory over the limit" } else { "within the limit" }
    );
    lab.record.add(&text);
    println!("{text}");
    fs::write(record, &*lab.record.lines.lock().unwrap()).map_err(|error| error.to_string())?;
    Ok(is_broken)
}

/// Sends a request and reads its stream slowly. Returns the number of bytes that were read.
fn read_slowly(gateway: SocketAddr, number: usize, begun: &AtomicUsize) -> usize {
    let Ok(mut stream) = TcpStream::connect(gateway) else { return 0 };
    let _ = stream.set_read_timeout(Some(TIME));
    let request = format!(
        "POST /s/go HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: f{number:05}\r\nX-Model: m\r\nX-Token-Count: 130,200\r\nX-Prefix-Hash: {number:x}:100\r\nX-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nhi"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let (start, mut read) = (Instant::now(), 0);
    let mut buffer = [0; READ_BYTES];
    while start.elapsed() < TIME {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return read,
            Ok(bytes) => {
                if read == 0 && buffer.starts_with(b"HTTP/1.1 200") {
                    begun.fetch_add(1, Ordering::SeqCst);
                }
                read += bytes;
            }
        }
        sleep(READ_PAUSE);
    }
    read
}
