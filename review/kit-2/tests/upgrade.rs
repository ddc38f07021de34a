//! Engines that start again under their ids with a new version of their software go down once more.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::script::Script;
use crate::store::Store;
use crate::stream::Node;
use crate::stream::Stream;
use crate::stream::count;
use crate::stream::follow;

const EVENTS: u64 = 40;

/// Streams that begin, and the pause between two of them.
const STREAMS: usize = 1_200;
const EVERY: Duration = Duration::from_millis(7);

/// Engines, and those of them that go down and up by turns.
const ENGINES: usize = 17;
const FLAPPING: usize = 2;

/// How long they are down and up, and how much later the second one begins.
const GAP: Duration = Duration::from_millis(1_000);
const LAG: Duration = Duration::from_millis(80);

/// Without trouble they leave first: time between the notice and the end.
const DRAIN: Duration = Duration::from_millis(5_000);

pub fn run(folder: &str) {
    let script = Script::new(folder);
    let config = r#"{"version":3,"routes":[{"name":"outlines","hostname":"a.example","prefix":"/outline/","type":"stream","resumable":true,"sticky":true,"gap_aim_ms":300,"timeout_ms":20000,"goal_ms":400,"priority":0,"service":"model","attempts":2,"public":true}],"services":[{"name":"model","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":444000}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    script.store.put("op/config", config);
    let sort = Sort {
        service: "model",
        version: "1",
        zone: "z1",
        slots: 64,
        work: Duration::from_millis(60),
        events: EVENTS,
        pause: Duration::from_millis(100),
    };
    let engines: Vec<Arc<Engine>> = (1..=ENGINES)
        .map(|number| Engine::start(&format!("i-{number}"), &sort, &script.record))
        .collect();
    engines.iter().for_each(|engine| engine.announce(&script.store, "ready"));
    let gateways = script.gateways(&[("g1", "z1"), ("g2", "z1"), ("g3", "z2")]);
    script.limit_time(&gateways);
    thread::sleep(Duration::from_secs(3));
    let nodes: Vec<Node> =
        gateways.iter().map(|gateway| (gateway.name.clone(), gateway.clients)).collect();
    let streams: Vec<Arc<Mutex<Stream>>> = (0..STREAMS).map(|_| Arc::default()).collect();
    let traffic = {
        let (streams, record) = (streams.clone(), script.record.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            for (number, stream) in streams.iter().enumerate() {
                let first = nodes[number % nodes.len()].clone();
                let second = nodes[(number + 1) % nodes.len()].clone();
                clients.push(follow(&record, format!("s{number}"), (first, second), stream));
                thread::sleep(EVERY);
            }
            for client in clients {
                let _ = client.join();
            }
        })
    };
    // Streams have come to their end before the first crash.
    thread::sleep(Duration::from_millis(5_000));
    let turns: Vec<_> = (0..FLAPPING)
        .map(|number| {
            let (engine, store) = (engines[number].clone(), script.store.clone());
            let trouble = script.trouble;
            thread::spawn(move || {
                thread::sleep(LAG * number as u32);
                match trouble {
                    true => flap(&engine, &store),
                    false => replace(&engine, &store),
                }
            })
        })
        .collect();
    for turn in turns {
        let _ = turn.join();
    }
    let _ = traffic.join();
    drop(gateways);
    let (mixed, whole) = count(&script.record, &streams);
    let text = format!(
        "{mixed} of {STREAMS} streams hold events of two versions, two are allowed; {whole} are whole"
    );
    println!("{text}");
    script.record.add(text);
    if whole * 2 < STREAMS {
        script.give_up("too few streams are whole".to_owned());
    }
    script.finish(if mixed > 2 { 1 } else { 0 })
}

/// The engine goes down and up by turns, from its next start on with version 2.
fn flap(engine: &Arc<Engine>, store: &Store) {
    engine.crash();
    thread::sleep(GAP);
    engine.restart("2", store);
    thread::sleep(GAP);
    engine.crash();
    thread::sleep(GAP);
    engine.restart("2", store);
}

/// The engine leaves as planned, and starts again with version 2.
fn replace(engine: &Arc<Engine>, store: &Store) {
    engine.announce(store, "draining");
    thread::sleep(DRAIN);
    engine.crash();
    engine.restart("2", store);
}
