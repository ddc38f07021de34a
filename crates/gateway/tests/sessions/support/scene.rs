//! A gateway with a configuration, and the endpoints it knows.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use gateway::Context;
use gateway::Knowledge;
use platform::Codec;
use route::Dialect;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::support::endpoint::Endpoint;

/// The configuration of the scenes.
const CONFIGURATION: &str = r#"{"version": 7, "routes": [
    {"name": "look", "hostname": "h.example", "prefix": "/look/", "type": "idempotent",
     "service": "plain", "attempts": 2, "timeout_ms": 800, "goal_ms": 300, "priority": 2},
    {"name": "book", "hostname": "h.example", "prefix": "/book/", "type": "mutating",
     "service": "plain", "attempts": 1, "timeout_ms": 800, "goal_ms": 300, "priority": 2},
    {"name": "tell", "hostname": "h.example", "prefix": "/tell/", "type": "stream",
     "service": "model", "attempts": 2, "timeout_ms": 8000, "goal_ms": 400, "priority": 0,
     "resumable": true},
    {"name": "once", "hostname": "h.example", "prefix": "/once/", "type": "stream",
     "service": "model", "attempts": 1, "timeout_ms": 8000, "goal_ms": 400, "priority": 1}],
  "services": [{"name": "plain"}, {"name": "model", "engine": {"slots": 64}}],
  "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 2000},
  "tenants": [{"name": "club", "api_keys": ["k1"], "priority": 3}]}"#;

/// A gateway, which stops with the scene.
pub struct Scene {
    pub address: SocketAddr,
    pub knowledge: Arc<Knowledge>,
    pub stop: CancellationToken,
    server: JoinHandle<()>,
}

impl Scene {
    /// A gateway that knows the configuration and these endpoints of a service.
    pub fn new(service: &str, endpoints: &[&Endpoint]) -> Scene {
        let scene = Scene::unconfigured();
        scene.learn(service, endpoints);
        scene
    }

    /// The gateway learns the configuration and these endpoints of a service.
    pub fn learn(&self, service: &str, endpoints: &[&Endpoint]) {
        let table = Codec.table(CONFIGURATION.as_bytes()).expect("a configuration");
        assert!(self.knowledge.set_table(table));
        let told = endpoints.iter().map(|endpoint| announced(service, endpoint, "ready"));
        self.knowledge.set_endpoints(told.collect(), false);
    }

    /// The gateway learns that an endpoint takes no new work.
    pub fn drain(&self, service: &str, endpoint: &Endpoint) {
        self.knowledge.set_endpoint(announced(service, endpoint, "draining"));
    }

    /// Whether the server has ended.
    pub fn is_over(&self) -> bool {
        self.server.is_finished()
    }

    /// A gateway that knows nothing yet.
    pub fn unconfigured() -> Scene {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let knowledge = Arc::new(Knowledge::default());
        let stop = CancellationToken::new();
        let context = Context {
            dialect: Arc::new(Codec),
            knowledge: Arc::clone(&knowledge),
            centre: "a".to_owned(),
            connections: 1_000,
            retry_ratio: 10.0,
            retry_slack: 100.0,
            processes: 1,
            stop_notice: Duration::from_millis(300),
            stop_grace: Duration::from_secs(3),
            stop: stop.clone(),
            over: CancellationToken::new(),
            answers: TaskTracker::new(),
        };
        let server = thread::spawn(move || {
            let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
            system.block_on(gateway::serve_on(listener, context)).expect("a server");
        });
        Scene { address, knowledge, stop, server }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn announced(service: &str, endpoint: &Endpoint, state: &str) -> route::Endpoint {
    let value = format!(
        r#"{{"service": "{service}", "address": "{}", "zone": "a", "version": "v1", "slots": 8,
            "state": "{state}", "cold_left_ms": 0, "seq": 1, "born": 5}}"#,
        endpoint.address
    );
    Codec.endpoint(&format!("servers/{}", endpoint.id), value.as_bytes()).expect("an endpoint")
}
