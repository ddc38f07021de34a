//! Leases run out while the store is down; later a gateway loses power before a rollout.

use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::script::Gateway;
use crate::script::Script;
use crate::stream::Node;
use crate::stream::Stream;
use crate::stream::follow;

/// Names and zones of the gateways, as many in each zone as the site has.
const PLACES: [(&str, &str); 5] =
    [("g1", "z1"), ("g2", "z1"), ("g3", "z2"), ("g4", "z2"), ("g5", "z3")];

const EVENTS: u64 = 60;
const CLIENTS: usize = 24;

/// Time for which the store is down, and from its return to the power loss.
const DOWN: Duration = Duration::from_millis(4_500);
const BETWEEN: Duration = Duration::from_millis(4_000);

/// Time for which the machine is dark.
const DARK: Duration = Duration::from_millis(3_500);

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
        pause: Duration::from_millis(150),
    };
    let engines: Vec<Arc<Engine>> = (1..=4)
        .map(|number| Engine::start(&format!("i-{number}"), &sort, &script.record))
        .collect();
    engines.iter().for_each(|engine| engine.announce(&script.store, "ready"));
    let gateways = script.gateways(&PLACES);
    script.limit_time(&gateways);
    thread::sleep(Duration::from_secs(2));
    if script.trouble {
        script.record.add("the store is down, and leases run out");
        set_doors(&gateways, true);
        script.store.end_leases();
        thread::sleep(DOWN);
        set_doors(&gateways, false);
        script.record.add("the store is back");
    }
    let nodes: Vec<Node> =
        gateways.iter().map(|gateway| (gateway.name.clone(), gateway.clients)).collect();
    thread::sleep(BETWEEN - Duration::from_millis(2_000));
    let streams: Vec<Arc<Mutex<Stream>>> = (0..CLIENTS).map(|_| Arc::default()).collect();
    let mut clients = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let nodes = (nodes[0].clone(), nodes[1 + number % (PLACES.len() - 1)].clone());
        clients.push(follow(&script.record, format!("s{number}"), nodes, stream));
    }
    thread::sleep(Duration::from_millis(2_000));
    if script.trouble || std::env::var("POWER").is_ok() {
        script.record.add("g1 loses power");
        signal(&gateways[0], "-STOP");
    }
    thread::sleep(Duration::from_millis(1_000));
    let newer = Sort { version: "2", ..sort };
    let new = Engine::start("i-new", &newer, &script.record);
    new.announce(&script.store, "ready");
    thread::sleep(DARK - Duration::from_millis(1_000));
    // New streams begin beside those that are taken up.
    let begun: Vec<Arc<Mutex<Stream>>> = (0..CLIENTS).map(|_| Arc::default()).collect();
    for (number, stream) in begun.iter().enumerate() {
        let nodes = (nodes[1 + number % (PLACES.len() - 1)].clone(), nodes[1].clone());
        clients.push(follow(&script.record, format!("n{number}"), nodes, stream));
    }
    if script.trouble || std::env::var("POWER").is_ok() {
        signal(&gateways[0], "-KILL");
        script.record.add("the process of g1 has ended");
    }
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let whole = |streams: &[Arc<Mutex<Stream>>]| {
        streams.iter().filter(|stream| stream.lock().unwrap().is_whole).count()
    };
    let taken = streams.iter().filter(|stream| stream.lock().unwrap().is_taken_up).count();
    let (went_on, began) = (whole(&streams) - (CLIENTS - taken), whole(&begun));
    let text = format!(
        "of {taken} streams that were taken up {went_on} went on; of {CLIENTS} new ones {began} were \
        served"
    );
    println!("{text}");
    script.record.add(text);
    if began * 2 < CLIENTS {
        script.give_up("too few new streams were served".to_owned());
    }
    let is_broken = taken >= 12 && went_on * 2 * CLIENTS < began * taken;
    script.finish(if is_broken { 1 } else { 0 })
}

fn set_doors(gateways: &[Gateway], is_shut: bool) {
    gateways.iter().for_each(|gateway| gateway.door.is_shut.store(is_shut, Ordering::SeqCst));
}

fn signal(gateway: &Gateway, name: &str) {
    let _ = Command::new("kill").arg(name).arg(gateway.child.id().to_string()).status();
}
