//! Many users come at once, with bodies as long as the operators allow: the processes must stay within
//! the memory of their machines.

mod lab;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lab::client::Client;
use lab::engine;
use lab::engine::Engine;
use lab::gateway::Gateway;
use lab::record::Record;
use lab::store::Store;

/// Memory of a machine, `limits.memory_mb`; a process that exceeds it is killed.
const MEMORY_KB: u64 = 260 * 1_024;

/// Length of a body: the operators allow 4,194,304 bytes.
const BODY_BYTES: usize = 4_190_000;

/// Users that send at the same time at each gateway, as usual and in a burst of 2.5 times as many.
const USUAL_USERS: usize = 26;
const BURST_USERS: usize = 65;

/// Time that a client takes to send its body.
const SEND_TIME: Duration = Duration::from_millis(5_000);

/// Pieces in which a client sends its body.
const PIECES: usize = 50;

/// Bursts, and the ends of processes that are too many.
const ROUNDS: usize = 3;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

fn main() {
    std::process::exit(run(&Record::create()));
}

fn run(record: &Record) -> i32 {
    let store = Store::start();
    store.write("op/config", CONFIGURATION);
    let start = |id| {
        let plain = engine::plain(Duration::from_millis(15));
        Engine::start([id, "shop", "v1", "zone-a"], &store, record, plain)
    };
    let _engines = [start("i-1"), start("i-2"), start("i-3")];
    let gateways = [("edge-1", "zone-a"), ("edge-2", "zone-b")]
        .map(|(name, zone)| (name, Gateway::start(name, zone, store.address)));
    if !gateways.iter().all(|(_, gateway)| gateway.wait_until_ready()) {
        return record.give_up("the gateways are not ready");
    }
    thread::sleep(Duration::from_millis(3_500));
    let addresses = [gateways[0].1.clients, gateways[1].1.clients];
    let is_over = Arc::new(AtomicBool::new(false));
    let watched: Vec<thread::JoinHandle<usize>> = gateways
        .into_iter()
        .map(|(name, gateway)| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || keep_within_memory(name, gateway, &record, &is_over))
        })
        .collect();
    let users = if lab::has_trouble() { BURST_USERS } else { USUAL_USERS };
    for round in 0..ROUNDS {
        record.line(&format!("burst {round}: {users} users at each gateway"));
        let answered = send_all(round, users, &addresses, record);
        record.line(&format!("burst {round}: {answered} of {} are answered 200", 2 * users));
        thread::sleep(Duration::from_millis(4_000));
    }
    is_over.store(true, Ordering::SeqCst);
    let kills: Vec<usize> = watched.into_iter().flat_map(|thread| thread.join()).collect();
    let is_broken = kills.iter().all(|kills| *kills >= ROUNDS);
    let text = format!(
        "processes exceeded their memory {} times on edge-1 and {} times on edge-2",
        kills[0], kills[1]
    );
    record.verdict(is_broken, &text)
}

/// Does what the platform does: kills the process when it exceeds its memory, and starts it again.
/// Returns how often it was killed.
fn keep_within_memory(
    name: &str,
    mut gateway: Gateway,
    record: &Record,
    is_over: &AtomicBool,
) -> usize {
    let mut kills = 0;
    let mut peak = 0;
    while !is_over.load(Ordering::SeqCst) {
        let used = gateway.memory_kb("VmRSS");
        peak = used.max(peak);
        if used > MEMORY_KB {
            gateway.kill();
            kills += 1;
            record.line(&format!("{name} takes {used} kB and is killed"));
            thread::sleep(RESTART_DELAY);
            gateway.restart();
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{name} took {peak} kB at most"));
    kills
}

/// Sends bodies from users of both gateways; returns how many were answered with success.
fn send_all(round: usize, users: usize, gateways: &[SocketAddr], record: &Record) -> usize {
    let answered = Arc::new(AtomicUsize::new(0));
    let threads: Arc<Mutex<Vec<thread::JoinHandle<()>>>> = Arc::default();
    for (place, gateway) in gateways.iter().copied().enumerate() {
        for user in 0..users {
            let (answered, record) = (Arc::clone(&answered), record.clone());
            let id = format!("burst-{round}-{place}-{user}");
            let send = move || {
                record.line(&format!("client sends {id} to {gateway}, {BODY_BYTES} bytes"));
                let status = send_slowly(gateway, &id).unwrap_or(0);
                record.line(&format!("client's {id}: status {status}"));
                if status == 200 {
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            };
            threads.lock().expect("threads").push(thread::spawn(send));
        }
    }
    for thread in threads.lock().expect("threads").drain(..) {
        let _ = thread.join();
    }
    answered.load(Ordering::SeqCst)
}

/// Sends a request piece by piece; returns the status of its answer.
fn send_slowly(gateway: SocketAddr, id: &str) -> Option<u16> {
    let mut client = Client::connect(gateway, Duration::from_secs(10))?;
    let head = format!(
        "POST /file/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 10000\r\nAuthorization: Bearer first-key\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut is_sent = client.send(head.as_bytes());
    let piece = vec![b'x'; BODY_BYTES / PIECES];
    for _ in 0..PIECES {
        is_sent = is_sent && client.send(&piece);
        thread::sleep(SEND_TIME / PIECES as u32);
    }
    if !is_sent {
        return None;
    }
    Some(client.answer()?.status)
}

/// A configuration with the site's limits.
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"file","hostname":"shop.example",
"prefix":"/file/","type":"mutating","timeout_ms":10000,"goal_ms":1200,"priority":2,
"service":"shop","attempts":1,"public":false}],
"services":[{"name":"shop","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"shop-1","api_keys":["first-key"],"priority":1}]}"#;
