//! Clients that nobody controls send small chunks and stop short of the end of their bodies.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Sort;
use crate::http::Client;
use crate::http::get;
use crate::script::Script;

/// Bodies that are sent at once, each on a connection of its own.
const BODIES: usize = 2_200;

/// Ordinary callers, each of which sends one request on a new connection, and the pause between them.
const CALLERS: usize = 70;
const PAUSE: Duration = Duration::from_millis(100);

/// Time that an ordinary caller waits for its answer, as it says in its request.
const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(folder: &str) {
    let script = Script::new(folder);
    let config = r#"{"version":3,"routes":[{"name":"bookings","hostname":"a.example","prefix":"/booking/","type":"mutating","timeout_ms":1500,"goal_ms":300,"priority":0,"service":"registry","attempts":1,"public":true}],"services":[{"name":"registry","health_path":"/healthz","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
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
    let (address, admin) = (gateways[0].clients, gateways[0].admin);
    thread::sleep(Duration::from_secs(1));
    let mut open: Vec<TcpStream> = Vec::new();
    if script.trouble {
        for number in 0..BODIES {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
            else {
                continue;
            };
            let head = format!(
                "POST /booking/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: f{number}\r\n\
                X-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                "4\r\nabcd\r\n".repeat(50)
            );
            if stream.write_all(head.as_bytes()).is_ok() {
                open.push(stream);
            }
        }
        script.record.add(format!("{} bodies stop short of their end", open.len()));
        if open.len() * 100 < BODIES * 95 {
            drop(gateways);
            script.give_up("too few connections can be opened".to_owned());
        }
    }
    thread::sleep(Duration::from_millis(200));
    let outcomes: Arc<Mutex<(u32, u32)>> = Arc::default();
    let mut ready = (0, 0);
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        thread::sleep(PAUSE);
        if number % 10 == 5 {
            let is_ready = get(admin, "/readyz") == Some(200);
            script.record.add(format!("g1 says that it is ready: {is_ready}"));
            ready = (ready.0 + i32::from(is_ready), ready.1 + 1);
        }
        let (outcomes, record) = (outcomes.clone(), script.record.clone());
        callers.push(thread::spawn(move || {
            let answer = ask(address, number);
            record.add(format!("ordinary caller o{number}: {answer:?}"));
            let mut outcomes = outcomes.lock().unwrap();
            match answer {
                Ok(_) => outcomes.0 += 1,
                Err(_) => outcomes.1 += 1,
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(open);
    drop(gateways);
    let (answered, unanswered) = *outcomes.lock().unwrap();
    let text = format!(
        "of {CALLERS} ordinary callers in {:.0} s {answered} got an answer, {unanswered} got none \
        within {DEADLINE:?}; g1 said {} of {} times that it is ready",
        PAUSE.as_secs_f64() * CALLERS as f64,
        ready.0,
        ready.1
    );
    println!("{text}");
    script.record.add(text);
    script.finish(if answered == 0 && ready.0 == ready.1 { 1 } else { 0 })
}

/// Sends a request on a new connection, and returns the status of its answer, whatever it is.
fn ask(address: SocketAddr, number: usize) -> std::io::Result<u16> {
    let mut client = Client::connect(address)?;
    client.limit_gap(DEADLINE)?;
    let headers = format!("X-Request-Id: o{number}\r\nX-Deadline-Ms: 1500\r\n");
    let head = client.send("POST /booking/a", &headers, b"x")?;
    client.body(&head)?;
    Ok(head.status())
}
