//! Clients that nobody controls send chunked bodies in very small chunks.

use std::fs;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::http::Client;
use crate::script::Script;

/// Bodies that are sent at once, each on a connection of its own.
const BODIES: usize = 1_500;

/// Chunks of each body, of one byte each; the last chunk, which ends the body, never comes.
const CHUNKS: usize = 100_000;

/// `limits.memory_mb` of the settings, in the larger of the two readings.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Time for which bodies are sent, and for which their connections stay open after that.
const SENDING: Duration = Duration::from_secs(20);

pub fn run(folder: &str) {
    let script = Script::new(folder);
    let config = r#"{"version":3,"routes":[{"name":"bookings","hostname":"a.example","prefix":"/booking/","type":"mutating","timeout_ms":5000,"goal_ms":300,"priority":0,"service":"registry","attempts":1,"public":true}],"services":[{"name":"registry","health_path":"/healthz","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    script.store.put("op/config", config);
    let sort = Sort {
        service: "registry",
        version: "1",
        zone: "z1",
        slots: 6,
        work: Duration::from_millis(60),
        events: 0,
        pause: Duration::ZERO,
    };
    let engines: Vec<Arc<Engine>> = (1..=3)
        .map(|number| Engine::start(&format!("i-{number}"), &sort, &script.record))
        .collect();
    engines.iter().for_each(|engine| engine.announce(&script.store, "ready"));
    let gateways = script.gateways(&[("g1", "z1")]);
    script.limit_time(&gateways);
    let (address, pid) = (gateways[0].clients, gateways[0].child.id());
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let ordinary = {
        let (stop, record) = (stop.clone(), script.record.clone());
        let (served, failed) = (served.clone(), failed.clone());
        thread::spawn(move || {
            for turn in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let answer = ask(address, turn);
                match answer {
                    Ok(200) => served.fetch_add(1, Ordering::SeqCst),
                    _ => failed.fetch_add(1, Ordering::SeqCst),
                };
                record.add(format!("ordinary client: o{turn} answered with {answer:?}"));
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    let before = resident(pid);
    script.record.add(format!("g1 takes {before} bytes of memory"));
    let mut most = before;
    if script.trouble {
        let Some(taken) = flood(&script, address, pid) else {
            drop(gateways);
            script.give_up("too few connections can be opened".to_owned());
        };
        most = most.max(taken);
    } else {
        thread::sleep(SENDING);
    }
    let has_ended = !matches!(gateways.iter().next().map(|it| resident(it.child.id())), Some(1..));
    stop.store(true, Ordering::SeqCst);
    let _ = ordinary.join();
    drop(gateways);
    let (served, failed) = (served.load(Ordering::SeqCst), failed.load(Ordering::SeqCst));
    let text = format!(
        "g1 took up to {most} bytes of memory, {MEMORY_BYTES} are those of its machine; ended: \
        {has_ended}; ordinary requests: {served} served, {failed} not"
    );
    println!("{text}");
    script.record.add(text);
    if served == 0 {
        script.give_up("no ordinary request was served".to_owned());
    }
    script.finish(if most > MEMORY_BYTES || has_ended { 1 } else { 0 })
}

/// Sends a request on a new connection.
fn ask(address: SocketAddr, turn: u64) -> std::io::Result<u16> {
    let mut client = Client::connect(address)?;
    client.limit_gap(Duration::from_millis(1_500))?;
    let headers = format!("X-Request-Id: o{turn}\r\nX-Deadline-Ms: 1500\r\n");
    let head = client.send("POST /booking/a", &headers, b"x")?;
    client.body(&head)?;
    Ok(head.status())
}

/// Sends the bodies, and returns the most memory that the process took; `None` if too few connections
/// can be opened.
fn flood(script: &Script, address: SocketAddr, pid: u32) -> Option<u64> {
    let chunks = "1\r\nx\r\n".repeat(CHUNKS).into_bytes();
    let mut open: Vec<(TcpStream, usize)> = Vec::new();
    for number in 0..BODIES {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            continue;
        };
        let head = format!(
            "POST /booking/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: f{number}\r\n\
            X-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_ok() && stream.set_nonblocking(true).is_ok() {
            open.push((stream, 0));
        }
    }
    script.record.add(format!("{} bodies begin", open.len()));
    if open.len() * 10 < BODIES * 9 {
        return None;
    }
    let begin = Instant::now();
    let mut most = 0;
    while begin.elapsed() < SENDING {
        for (stream, sent) in &mut open {
            while *sent < chunks.len() {
                let end = chunks.len().min(*sent + 65_536);
                match stream.write(&chunks[*sent..end]) {
                    Ok(bytes) => *sent += bytes,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => *sent = chunks.len(),
                }
            }
        }
        most = most.max(resident(pid));
        thread::sleep(Duration::from_millis(20));
    }
    let sent: usize = open.iter().map(|(_, sent)| *sent).sum();
    script.record.add(format!("{sent} bytes of chunked bodies were sent, none of which is whole"));
    Some(most)
}

/// Returns the resident memory of a process in bytes; 0 if it has ended.
fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
