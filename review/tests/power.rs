//! A gateway loses power while the first engine of a new software version starts: the streams that
//! clients take up at another gateway must go on.

mod lab;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use lab::engine;
use lab::engine::Engine;
use lab::gateway::Gateway;
use lab::record::Record;
use lab::store::Store;
use lab::streams::Ask;
use lab::streams::Outcome;

/// Streams at the gateway that loses power, and as many new ones at the other.
const STREAMS: usize = 24;

/// Fewest streams that are taken up for which the rule holds.
const MIN_TAKEN_UP: usize = 12;

/// For this time the gateway is dark, before its process is started again.
const DARK_TIME: Duration = Duration::from_millis(3_500);

fn main() {
    std::process::exit(run(&Record::create()));
}

fn run(record: &Record) -> i32 {
    let store = Store::start();
    store.write("op/config", CONFIGURATION);
    let start = |id, version| {
        let stream = engine::stream(32, Duration::from_millis(180));
        Engine::start([id, "pool", version, "zone-a"], &store, record, stream)
    };
    let _old = [start("i-1", "v1"), start("i-2", "v1"), start("i-3", "v1")];
    let mut lost = Gateway::start("edge-1", "zone-a", store.address);
    let calm = Gateway::start("edge-2", "zone-b", store.address);
    if !lost.wait_until_ready() || !calm.wait_until_ready() {
        return record.give_up("the gateways are not ready");
    }
    // Both gateways are in touch and know of each other.
    thread::sleep(Duration::from_millis(4_000));
    let streams = ask_all("stream", record, &[lost.clients, calm.clients]);
    thread::sleep(Duration::from_millis(2_000));
    if lab::has_trouble() {
        lost.signal("STOP");
        record.line("edge-1 loses power");
    }
    thread::sleep(Duration::from_millis(1_000));
    let _new = start("i-4", "v2");
    record.line("the release begins: i-4 of version v2 is ready");
    thread::sleep(Duration::from_millis(1_000));
    let new_streams = ask_all("new", record, &[calm.clients]);
    thread::sleep(DARK_TIME - Duration::from_millis(2_000));
    if lab::has_trouble() {
        lost.kill();
        lost.restart();
        record.line("edge-1 is back");
    }
    let ended = |threads: Vec<thread::JoinHandle<Outcome>>| -> Vec<Outcome> {
        threads.into_iter().flat_map(|thread| thread.join()).collect()
    };
    let (streams, new_streams) = (ended(streams), ended(new_streams));
    let begun = new_streams.iter().filter(|outcome| !outcome.events.is_empty()).count();
    let taken_up = streams.iter().filter(|outcome| outcome.was_taken_up).count();
    let gone_on = streams.iter().filter(|outcome| outcome.went_on).count();
    let whole = streams.iter().filter(|outcome| outcome.is_whole).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_broken = taken_up >= MIN_TAKEN_UP
        && share(gone_on, taken_up) < share(begun, new_streams.len()) / 2.0;
    let text = format!(
        "{gone_on} of {taken_up} streams that were taken up at edge-2 went on, {whole} of {} are \
         whole; {begun} of {} new ones began there",
        streams.len(),
        new_streams.len()
    );
    record.verdict(is_broken, &text)
}

/// Starts clients that ask for a stream each.
fn ask_all(
    name: &str,
    record: &Record,
    gateways: &[SocketAddr],
) -> Vec<thread::JoinHandle<Outcome>> {
    let ask = |number: usize| {
        let (name, record) = (format!("{name}-{number}"), record.clone());
        let gateways = gateways.to_vec();
        thread::spawn(move || {
            let target = ("shop.example", "/tell/1");
            let deadline = Duration::from_millis(8_000);
            Ask { name, target, deadline, gateways: &gateways }.run(&record)
        })
    };
    (0..STREAMS).map(ask).collect()
}

/// A configuration with a route of streams that may be resumed.
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"tell","hostname":"shop.example",
"prefix":"/tell/","type":"stream","timeout_ms":8000,"goal_ms":400,"priority":0,"service":"pool",
"attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"pool","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity":444000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"shop-1","api_keys":["first-key"],"priority":1}]}"#;
