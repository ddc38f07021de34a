//! An engine that names a limit loses its entry in the store for a moment.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::http::Client;
use crate::script::Script;
use crate::script::most_within;

/// `Server-Limit` of the engine in need, in requests a second.
const LIMIT: f64 = 0.5;

/// Clients of each gateway, and the pause of each between two requests.
const CLIENTS: usize = 7;
const PAUSE: Duration = Duration::from_millis(30);

/// Names and zones of the gateways.
const PLACES: [(&str, &str); 5] =
    [("g1", "z1"), ("g2", "z1"), ("g3", "z2"), ("g4", "z2"), ("g5", "z3")];

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `contact_ms` of the settings.
const CONTACT_S: f64 = 3.0;

/// Machines count that had passed on an answer with the limit this long before.
const PASSED_S: f64 = 0.5;

pub fn run(folder: &str) {
    let script = Script::new(folder);
    let config = r#"{"version":3,"routes":[{"name":"lookups","hostname":"a.example","prefix":"/lookup/","type":"mutating","timeout_ms":5000,"goal_ms":300,"priority":0,"service":"registry","attempts":1,"public":true}],"services":[{"name":"registry","health_path":"/healthz","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    script.store.put("op/config", config);
    let sort = Sort {
        service: "registry",
        version: "1",
        zone: "z1",
        slots: 6,
        work: Duration::from_millis(400),
        events: 0,
        pause: Duration::ZERO,
    };
    let engines: Vec<Arc<Engine>> = (1..=8)
        .map(|number| Engine::start(&format!("i-{number}"), &sort, &script.record))
        .collect();
    engines.iter().for_each(|engine| engine.announce(&script.store, "ready"));
    let gateways = script.gateways(&PLACES);
    script.limit_time(&gateways);
    thread::sleep(Duration::from_secs(2));
    let counts: Arc<(AtomicU64, AtomicU64)> = Arc::default();
    // When each gateway first passed on an answer with the limit.
    let passed: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let begin = Instant::now();
    let length = Duration::from_secs(22);
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..CLIENTS {
            let (name, address) = (gateway.name.clone(), gateway.clients);
            let (record, counts) = (script.record.clone(), counts.clone());
            let passed = passed.clone();
            clients.push(thread::spawn(move || {
                let mut client = Client::connect(address).ok();
                for turn in 0.. {
                    if begin.elapsed() > length {
                        break;
                    }
                    let id = format!("{name}-{number}-{turn}");
                    let headers = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n");
                    let sent = record.now();
                    let mut open = match client.take() {
                        Some(open) => open,
                        None => match Client::connect(address) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    let answer = open.send("POST /lookup/a", &headers, b"x").and_then(|head| {
                        open.body(&head)?;
                        if head.header("server-limit").is_some() {
                            passed.lock().unwrap().entry(name.clone()).or_insert(record.now());
                        }
                        Ok(head.status())
                    });
                    record.add(format!("client: {id} sent at {sent:.3}, answer {answer:?}"));
                    match answer {
                        Ok(200) => counts.0.fetch_add(1, Ordering::SeqCst),
                        _ => counts.1.fetch_add(1, Ordering::SeqCst),
                    };
                    client = answer.is_ok().then_some(open);
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let needy = &engines[0];
    needy.limit.store((LIMIT * 1000.0) as u64, Ordering::SeqCst);
    script.record.add(format!("engine i-1 names Server-Limit: {LIMIT} from now on"));
    let named = script.record.now();
    thread::sleep(Duration::from_secs(8));
    if script.trouble {
        // For five seconds the engine does not reach the store, which removes its entry after three
        // intervals of silence. Its writes get through again at the next interval after the end.
        script.record.add("engine i-1 is cut off from the store, not from gateways");
        thread::sleep(HEARTBEAT * 3);
        script.store.remove("servers/i-1");
        script.record.add("store: servers/i-1 is removed after three intervals of silence");
        thread::sleep(Duration::from_millis(1_400));
        script.record.add("engine i-1 reaches the store again");
        needy.announce(&script.store, "ready");
    }
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let passed = passed.lock().unwrap().clone();
    // Ids of requests begin with the name of their gateway.
    let has_passed = |at: f64, id: &str| {
        let name = id.split('-').next().unwrap_or_default();
        passed.get(name).is_some_and(|first| at >= first + PASSED_S)
    };
    let arrivals = needy.arrivals.lock().unwrap().clone();
    let counted =
        arrivals.iter().filter(|(at, id)| *at >= named + CONTACT_S && has_passed(*at, id));
    let mut times: Vec<f64> = counted.map(|(at, _)| *at).collect();
    times.sort_by(f64::total_cmp);
    let (most, at) = most_within(&times, 4.0);
    let allowed = 1.5 * LIMIT * 4.0 + 5.0;
    let (served, failed) = (counts.0.load(Ordering::SeqCst), counts.1.load(Ordering::SeqCst));
    let text = format!(
        "engine i-1 got {most} requests in 4 s from {at:.3} on, {allowed} are allowed; \
        {served} requests served, {failed} not"
    );
    println!("{text}");
    script.record.add(text);
    if served < 500 {
        script.give_up("too few requests were served".to_owned());
    }
    script.finish(if most as f64 > allowed { 1 } else { 0 })
}
