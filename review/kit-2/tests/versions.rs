//! A gateway that the store turns away begins streams at a new version, and is killed.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::script::Script;
use crate::stream::Node;
use crate::stream::Stream;
use crate::stream::count;
use crate::stream::follow;

/// Streams that begin at the gateway that is killed, and those that began before at others.
const CLIENTS: usize = 30;
const EARLIER: usize = 16;
const EVENTS: u64 = 40;

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
    let newer = Sort { version: "2", slots: 64, ..sort };
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
    thread::sleep(Duration::from_millis(2_300));
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
    let (mixed, whole) = count(&script.record, &streams);
    let text = format!(
        "{mixed} of {CLIENTS} streams hold events of two versions, two are allowed; {whole} are whole"
    );
    println!("{text}");
    script.record.add(text);
    script.finish(if mixed > 2 { 1 } else { 0 })
}
