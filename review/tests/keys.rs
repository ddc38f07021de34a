//! All API keys are taken away: requests without a valid key must not run.

mod lab;

use std::thread;
use std::time::Duration;

use lab::client;
use lab::engine;
use lab::engine::Engine;
use lab::gateway::Gateway;
use lab::record::Record;
use lab::store::Store;

/// The bound within which a configuration is in force, `config_ms`.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);

/// Time for which an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The only key of each tenant.
const FIRST: &str = "\"first-key\"";
const SECOND: &str = "\"second-key\"";

/// Requests of each kind.
const REQUESTS: usize = 10;

fn main() {
    std::process::exit(run(&Record::create()));
}

fn run(record: &Record) -> i32 {
    let store = Store::start();
    store.write("op/config", &configuration(1, [FIRST, SECOND]));
    let work = Duration::from_millis(15);
    let engine =
        |id| Engine::start([id, "shop", "v1", "zone-a"], &store, record, engine::plain(work));
    let engines = [engine("i-1"), engine("i-2")];
    let gateway = Gateway::start("edge-1", "zone-a", store.address);
    if !gateway.wait_until_ready() {
        return record.give_up("the gateway is not ready");
    }
    let ask = |id: &str, key: &str| {
        let request = format!(
            "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n\r\nhi"
        );
        let answer = client::ask(gateway.clients, &request, ANSWER_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("client sends {id} with key {key}: status {status}"));
        status
    };
    if ask("before-known", "first-key") != 200 || ask("before-unknown", "never-a-key") != 401 {
        return record.give_up("keys are not checked before the disruption");
    }
    let left = if lab::has_trouble() { "" } else { SECOND };
    store.write("op/config", &configuration(2, ["", left]));
    record.line(&format!("configuration 2 is confirmed; the tenants' keys are [] and [{left}]"));
    thread::sleep(CONFIG_TIME + Duration::from_millis(500));
    for number in 0..REQUESTS {
        ask(&format!("after-revoked-{number}"), "first-key");
        ask(&format!("after-unknown-{number}"), "never-a-key");
    }
    let runs = engines.iter().flat_map(|engine| engine.runs.lock().expect("runs").clone());
    let ids: Vec<String> = runs.map(|(_, head)| head.get("x-request-id").to_owned()).collect();
    let count = |prefix: &str| ids.iter().filter(|id| id.starts_with(prefix)).count();
    let (revoked, unknown) = (count("after-revoked"), count("after-unknown"));
    let text = format!(
        "of {REQUESTS} requests each, {revoked} with a key that was taken away and {unknown} with \
         a key that no configuration ever held have run"
    );
    record.verdict(revoked + unknown > 0, &text)
}

/// Returns a configuration in which two tenants hold these keys.
fn configuration(version: u64, [first, second]: [&str; 2]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"pay\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/pay/\",\"type\":\"mutating\",\"timeout_ms\":1000,\"goal_ms\":100,\
         \"priority\":1,\"service\":\"shop\",\"attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"shop\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop-1\",\"api_keys\":[{first}],\"priority\":1}},\
         {{\"name\":\"shop-2\",\"api_keys\":[{second}],\"priority\":1}}]}}"
    )
}
