//! The cases.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::lab::Gateway;
use crate::lab::Lab;
use crate::lab::free_address;
use crate::store::Mode;
use crate::traffic::Traffic;

/// ORDER: more streams than this that hold events of two versions break it.
const MAX_MIXED: usize = 2;

/// Pause before each of the events of a stream, and their number: they last for five seconds.
const GAP: Duration = Duration::from_millis(100);
const EVENTS: u64 = 50;

/// The data centres of the gateways, as many as the site has.
const CENTRES: [&str; 5] = ["z1", "z1", "z2", "z2", "z3"];

/// The gateways that are killed together. They get each other's replicas.
const KILLED: [usize; 3] = [0, 1, 3];

/// Time in which gateways find each other.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Runs a case. Returns whether the rule was broken.
pub fn run(case: &str, folder: &Path, record: &str) -> Result<bool, String> {
    fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let mut lab = Lab::start(folder, EVENTS, GAP);
    let traffic = match case {
        "drill" => drill(&mut lab)?,
        "kills" => kills(&mut lab)?,
        "outage" => outage(&mut lab)?,
        "reborn" => reborn(&mut lab)?,
        _ => return Err(format!("there is no case {case}")),
    };
    let (all, whole, mixed) = traffic.finish(&lab.record);
    let is_broken = mixed > MAX_MIXED;
    let verdict = if is_broken { "broken" } else { "kept" };
    let text = format!(
        "{all} streams, {whole} whole, {mixed} with events of two versions: ORDER is {verdict}"
    );
    lab.record.add(&text);
    println!("{text}");
    fs::write(record, &*lab.record.lines.lock().unwrap()).map_err(|error| error.to_string())?;
    Ok(is_broken)
}

/// A rollout in place, and a drill in which the store comes back from a copy.
fn drill(lab: &mut Lab) -> Result<Traffic, String> {
    let addresses = addresses(5);
    let engines = start_engines(lab, &addresses);
    lab.start_gateways(&CENTRES)?;
    sleep(SETTLE_TIME);
    let traffic = Traffic::start(lab, 59);
    let start = Instant::now();
    until(start, 4.0);
    let copy = lab.store.copy();
    lab.record.add("the copy of the store is made");
    until(start, 4.2);
    engines[0].drain();
    until(start, 6.5);
    engines[0].end("exits after its drain time");
    lab.store.delete("servers/i-0");
    until(start, 6.9);
    let next = Engine::start("i-0", addresses[0], "v2", lab);
    next.keep_reporting();
    until(start, 8.0);
    engines[1].drain();
    until(start, 8.8);
    let running: Vec<&Arc<Engine>> = engines[1..].iter().chain([&next]).collect();
    if lab.is_troubled {
        running.iter().for_each(|engine| engine.reaches_store.store(false, Ordering::SeqCst));
        lab.store.set_mode(Mode::Reset);
        lab.record.add("the store is away: it closes all connections");
    }
    until(start, 9.6);
    if lab.is_troubled {
        lab.store.restore(copy);
        lab.record.add("the store is back from the copy");
    }
    until(start, 10.6);
    engines[1].end("exits after its drain time");
    until(start, 11.2);
    for engine in engines[2..].iter().chain([&next]) {
        engine.reaches_store.store(true, Ordering::SeqCst);
        engine.report();
    }
    lab.store.delete("servers/i-1");
    lab.record.add("engines have written again, 1.6 s after the return");
    until(start, 14.0);
    Ok(traffic)
}

/// A rollout of new engines after a planned restart of a gateway; then three gateways are killed at the
/// end of an outage of the store, four times.
fn kills(lab: &mut Lab) -> Result<Traffic, String> {
    let engines = start_engines(lab, &addresses(9));
    lab.start_gateways(&CENTRES)?;
    sleep(SETTLE_TIME);
    lab.record.add("gateway 4 gets SIGTERM, and is started again");
    lab.gateways[4].restart_gently();
    sleep(SETTLE_TIME);
    let traffic = Traffic::start(lab, 100);
    let start = Instant::now();
    for (index, address) in addresses(4).iter().enumerate() {
        until(start, 1.0 + index as f64);
        Engine::start(&format!("i-new-{index}"), *address, "v2", lab).keep_reporting();
        engines[index].drain();
    }
    for (index, engine) in engines[..4].iter().enumerate() {
        until(start, 7.2 + index as f64 * 0.2);
        engine.end("exits after its drain time");
        lab.store.delete(&format!("servers/i-{index}"));
    }
    for begin in [9.0, 17.0, 25.0, 33.0] {
        until(start, begin);
        if lab.is_troubled {
            lab.store.set_mode(Mode::Silent);
            lab.record.add("the store is down: it answers nothing");
        }
        until(start, begin + 4.5);
        if lab.is_troubled {
            lab.store.set_mode(Mode::Up);
            lab.record.add("the store is back");
            Gateway::kill_all(&mut lab.gateways, &KILLED);
            lab.record.add("gateways 0, 1 and 3 are killed");
        }
        until(start, begin + 5.0);
        if lab.is_troubled {
            KILLED.iter().for_each(|index| lab.gateways[*index].restart());
            lab.record.add("they are started again");
        }
    }
    until(start, 40.0);
    Ok(traffic)
}

/// Engines that crash and start again under their ids with another version, while the store is down.
fn outage(lab: &mut Lab) -> Result<Traffic, String> {
    let addresses = addresses(4);
    let engines = start_engines(lab, &addresses);
    lab.start_gateways(&CENTRES)?;
    sleep(SETTLE_TIME);
    let traffic = Traffic::start(lab, 16);
    let start = Instant::now();
    until(start, 6.0);
    if lab.is_troubled {
        lab.store.set_mode(Mode::Busy);
        lab.record.add("the store is down: it answers 503");
    }
    for (index, crash) in [7.5, 11.5].into_iter().enumerate() {
        until(start, crash);
        engines[index].end("crashes");
        until(start, crash + 1.0);
        Engine::start(&format!("i-{index}"), addresses[index], "v2", lab).keep_reporting();
    }
    until(start, 14.0);
    if lab.is_troubled {
        lab.store.set_mode(Mode::Up);
        lab.record.add("the store is back");
    }
    until(start, 16.0);
    Ok(traffic)
}

/// Engines that are cut off from the store, crash behind the cut and start again there with another
/// version.
fn reborn(lab: &mut Lab) -> Result<Traffic, String> {
    let addresses = addresses(9);
    let engines = start_engines(lab, &addresses);
    lab.start_gateways(&CENTRES)?;
    sleep(SETTLE_TIME);
    let traffic = Traffic::start(lab, 59);
    let start = Instant::now();
    until(start, 6.0);
    engines[..2].iter().for_each(|engine| {
        engine.report();
        engine.reaches_store.store(!lab.is_troubled, Ordering::SeqCst);
    });
    if lab.is_troubled {
        lab.record.add("engines i-0 and i-1 are cut off from the store");
    }
    let mut next = Vec::new();
    for (index, crash) in [6.02, 9.55].into_iter().enumerate() {
        until(start, crash);
        engines[index].end("crashes");
        until(start, crash + 0.2);
        let engine = Engine::start(&format!("i-{index}"), addresses[index], "v2", lab);
        engine.reaches_store.store(!lab.is_troubled, Ordering::SeqCst);
        engine.keep_reporting();
        next.push(engine);
    }
    until(start, 11.0);
    for engine in &next {
        engine.reaches_store.store(true, Ordering::SeqCst);
        engine.report();
    }
    if lab.is_troubled {
        lab.record.add("the cut has healed");
    }
    until(start, 14.0);
    Ok(traffic)
}

/// Starts an engine of the first version at each address.
fn start_engines(lab: &Lab, addresses: &[SocketAddr]) -> Vec<Arc<Engine>> {
    let start = |(index, address): (usize, &SocketAddr)| {
        Engine::start(&format!("i-{index}"), *address, "v1", lab)
    };
    let engines: Vec<Arc<Engine>> = addresses.iter().enumerate().map(start).collect();
    engines.iter().for_each(Engine::keep_reporting);
    engines
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_address()).collect()
}

/// Waits until a time after the beginning of the traffic.
fn until(start: Instant, seconds: f64) {
    sleep((start + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now()));
}
