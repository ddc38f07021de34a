//! A gateway that the store turns away begins streams at a new version, and is killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::http::Client;
use crate::script::Record;
use crate::script::Script;

/// Streams that begin at the gateway that is killed, and those that began before at others.
const CLIENTS: usize = 18;
const EARLIER: usize = 8;
const EVENTS: u64 = 40;

/// Longest gap of a stream before its client leaves: eight times the pause of 300 ms.
const GAP: Duration = Duration::from_millis(2_400);

/// A stream as its client sees it.
#[derive(Default)]
struct Stream {
    last: u64,
    versions: Vec<String>,
    is_whole: bool,
}

pub fn run(folder: &str) {
    let script = Script::new(folder);
    let config = r#"{"version":3,"routes":[{"name":"outlines","hostname":"a.example","prefix":"/outline/","type":"stream","resumable":true,"sticky":true,"gap_aim_ms":300,"timeout_ms":20000,"goal_ms":400,"priority":0,"service":"model","attempts":2,"public":true}],"services":[{"name":"model","health_path":"/healthz","max_conns":370,"engine":{"slots":4,"kv_capacity":444000}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    script.store.put("op/config", config);
    let sort = Sort {
        service: "model",
        version: "1",
        zone: "z1",
        slots: EARLIER as u32,
        work: Duration::from_millis(60),
        events: EVENTS,
        pause: Duration::from_millis(150),
    };
    let newer = Sort { version: "2", slots: 32, ..sort };
    let old = Engine::start("i-old", &sort, &script.record);
    old.announce(&script.store, "ready");
    let places = [("g1", "z1"), ("g2", "z1"), ("g3", "z1"), ("g4", "z1")];
    let mut gateways = script.gateways(&places);
    script.limit_time(&gateways);
    thread::sleep(Duration::from_secs(5));
    let turned_away = gateways.pop().unwrap();
    let others: Vec<Node> =
        gateways.iter().map(|gateway| (gateway.name.clone(), gateway.clients)).collect();
    // Earlier streams fill the engine of the old version.
    let earlier: Vec<Arc<Mutex<Stream>>> = (0..EARLIER).map(|_| Arc::default()).collect();
    let mut clients = Vec::new();
    for (number, stream) in earlier.iter().enumerate() {
        let nodes = (others[number % others.len()].clone(), others[0].clone());
        clients.push(follow(&script.record, format!("e{number}"), nodes, stream));
    }
    thread::sleep(Duration::from_millis(500));
    if script.trouble {
        script.record.add(format!("the store turns {} away from now on", turned_away.name));
        turned_away.door.is_shut.store(true, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_millis(500));
    let new = Engine::start("i-new", &newer, &script.record);
    new.announce(&script.store, "ready");
    thread::sleep(Duration::from_millis(2_000));
    let streams: Vec<Arc<Mutex<Stream>>> = (0..CLIENTS).map(|_| Arc::default()).collect();
    for (number, stream) in streams.iter().enumerate() {
        let first = (turned_away.name.clone(), turned_away.clients);
        let nodes = (first, others[number % others.len()].clone());
        clients.push(follow(&script.record, format!("s{number}"), nodes, stream));
        thread::sleep(Duration::from_millis(50));
    }
    // The earlier streams end meanwhile.
    thread::sleep(Duration::from_millis(2_900));
    if script.trouble {
        script.record.add(format!("{} is killed", turned_away.name));
        drop(turned_away);
        for client in clients {
            let _ = client.join();
        }
    } else {
        for client in clients {
            let _ = client.join();
        }
        drop(turned_away);
    }
    drop(gateways);
    let mut mixed = 0;
    let mut whole = 0;
    for (number, stream) in streams.iter().enumerate() {
        let stream = stream.lock().unwrap();
        let mut versions = stream.versions.clone();
        versions.sort_unstable();
        versions.dedup();
        mixed += usize::from(versions.len() > 1);
        whole += usize::from(stream.is_whole);
        let (last, is_whole) = (stream.last, stream.is_whole);
        script.record.add(format!(
            "stream s{number}: versions {versions:?}, last event {last}, whole {is_whole}"
        ));
    }
    let text = format!(
        "{mixed} of {CLIENTS} streams hold events of two versions, two are allowed; {whole} are whole"
    );
    println!("{text}");
    script.record.add(text);
    script.finish(if mixed > 2 { 1 } else { 0 })
}

/// Name and address of a gateway.
type Node = (String, SocketAddr);

/// Starts a client that begins a stream at one gateway and takes it up at another.
fn follow(
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
        let again = format!("{id}-again");
        let headers = format!(
            "X-Request-Id: {again}\r\nResumes: {id}\r\nLast-Event-Id: {last}\r\n{}",
            model(&id)
        );
        attempt(&record, &second, &again, &headers, &stream);
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
) {
    record.add(format!("client: {id} is sent to {name}"));
    let outcome = read(*address, headers, stream);
    let last = stream.lock().unwrap().last;
    record.add(format!("client: {id} at {name} ended with {outcome:?}, last event {last}"));
}

fn read(address: SocketAddr, headers: &str, stream: &Mutex<Stream>) -> std::io::Result<u16> {
    let mut client = Client::connect(address)?;
    client.limit_gap(GAP)?;
    let head = client.send("POST /outline/a", headers, b"prompt")?;
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
