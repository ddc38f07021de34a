//! A running gateway and its configuration.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use gateway::Context;
use gateway::Limits;
use gateway::News;
use gateway::Options;
use gateway::Routing;
use platform::Codec;
use policy::memory;
use policy::slow_start::Bounds;
use route::Dialect;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::support::endpoint::Endpoint;

/// The configuration of the gateway.
const CONFIGURATION: &str = r#"{"version": 7, "routes": [
    {"name": "look", "hostname": "h.example", "prefix": "/look/", "type": "idempotent",
     "service": "plain", "attempts": 2, "timeout_ms": 800, "goal_ms": 300, "priority": 2},
    {"name": "book", "hostname": "h.example", "prefix": "/book/", "type": "mutating",
     "service": "plain", "attempts": 1, "timeout_ms": 800, "goal_ms": 300, "priority": 2},
    {"name": "twice", "hostname": "h.example", "prefix": "/twice/", "type": "mutating",
     "service": "plain", "attempts": 2, "timeout_ms": 800, "goal_ms": 300, "priority": 2},
    {"name": "tell", "hostname": "h.example", "prefix": "/tell/", "type": "stream",
     "service": "model", "attempts": 2, "timeout_ms": 8000, "goal_ms": 400, "priority": 0,
     "resumable": true},
    {"name": "single", "hostname": "h.example", "prefix": "/single/", "type": "stream",
     "service": "model", "attempts": 1, "timeout_ms": 8000, "goal_ms": 400, "priority": 0,
     "resumable": true},
    {"name": "once", "hostname": "h.example", "prefix": "/once/", "type": "stream",
     "service": "model", "attempts": 1, "timeout_ms": 8000, "goal_ms": 400, "priority": 1}],
  "services": [{"name": "plain", "cold_s": 1.0, "cold_per_s": 4}, {"name": "model", "engine": {"slots": 64}}],
  "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 2000},
  "tenants": [{"name": "club", "api_keys": ["k1"], "priority": 3}]}"#;

/// A running gateway. Dropping the fixture stops it.
pub struct Fixture {
    pub address: SocketAddr,
    pub routing: Arc<Routing>,
    pub stop: CancellationToken,
    server: JoinHandle<()>,
}

impl Fixture {
    /// Starts a gateway with the configuration and these endpoints of a service.
    pub fn new(service: &str, endpoints: &[&Endpoint]) -> Fixture {
        Fixture::with_routing(Routing::default(), service, endpoints)
    }

    /// Starts a gateway with the configuration, these endpoints of a service, and a routing with
    /// the parts that are switched on.
    pub fn with_routing(routing: Routing, service: &str, endpoints: &[&Endpoint]) -> Fixture {
        let fixture = Fixture::unconfigured_with(routing);
        fixture.configure(service, endpoints);
        fixture
    }

    /// Starts a gateway that holds back requests to cold endpoints.
    pub fn with_slow_start(service: &str, endpoints: &[&Endpoint]) -> Fixture {
        let bounds = Bounds { over: 1.5, slack: 5.0 };
        let options = Options { slow_start: Some(bounds), ..Options::default() };
        let fixture = Fixture::unconfigured_with(Routing::new(options));
        fixture.configure(service, endpoints);
        fixture
    }

    /// Announces for how many milliseconds an endpoint is cold, in an announcement with this number.
    pub fn announce_cold(&self, service: &str, endpoint: &Endpoint, left_ms: u64, number: u64) {
        let mut announced = decode(service, endpoint, "ready", "v1", 5);
        announced.cold_left = Duration::from_millis(left_ms);
        announced.sequence = Some(number);
        self.routing.set_endpoint(announced);
    }

    /// Gives the gateway the configuration and these endpoints of a service.
    pub fn configure(&self, service: &str, endpoints: &[&Endpoint]) {
        let table = Codec.table(CONFIGURATION.as_bytes()).expect("a configuration");
        assert!(self.routing.set_table(table));
        let announced =
            endpoints.iter().map(|endpoint| decode(service, endpoint, "ready", "v1", 5));
        self.routing.set_endpoints(announced.collect(), 0, false);
    }

    /// Announces an endpoint of another software version.
    pub fn announce(&self, service: &str, endpoint: &Endpoint, version: &str) {
        self.routing.set_endpoint(decode(service, endpoint, "ready", version, 5));
    }

    /// Announces an endpoint of another data centre.
    pub fn announce_in(&self, service: &str, endpoint: &Endpoint, centre: &str) {
        let announced = decode(service, endpoint, "ready", "v1", 5);
        self.routing.set_endpoint(route::Endpoint { centre: Arc::from(centre), ..announced });
    }

    /// Tells the gateway that operators evacuate a data centre.
    pub fn evacuate(&self, centre: &str) {
        let key = format!("op/evacuate/{centre}");
        let evacuation = Codec.evacuation(&key, b"{}").expect("an evacuation");
        self.routing.update_evacuations(News::Written(evacuation, 9), 9, Duration::ZERO);
    }

    /// Tells the gateway that operators have ended an evacuation.
    pub fn end_evacuation(&self, centre: &str) {
        let news = News::Removed(Arc::from(centre));
        self.routing.update_evacuations(news, 10, Duration::ZERO);
    }

    /// Announces to the gateway that an endpoint accepts no new requests.
    pub fn set_draining(&self, service: &str, endpoint: &Endpoint) {
        self.routing.set_endpoint(decode(service, endpoint, "draining", "v1", 5));
    }

    /// Announces another start of an endpoint.
    pub fn announce_start(&self, service: &str, endpoint: &Endpoint, born: u64) {
        self.announce_restart(service, endpoint, "v1", born);
    }

    /// Announces another start of an endpoint, with a version of its software.
    pub fn announce_restart(&self, service: &str, endpoint: &Endpoint, version: &str, born: u64) {
        self.routing.set_endpoint(decode(service, endpoint, "ready", version, born));
    }

    /// Whether the server has stopped.
    pub fn is_stopped(&self) -> bool {
        self.server.is_finished()
    }

    /// Starts a gateway with other limits than [`limits`].
    pub fn limited(service: &str, endpoints: &[&Endpoint], limits: Limits) -> Fixture {
        let fixture = Fixture::start(Routing::default(), limits);
        fixture.configure(service, endpoints);
        fixture
    }

    /// Starts a gateway without a configuration and endpoints.
    pub fn unconfigured() -> Fixture {
        Fixture::unconfigured_with(Routing::default())
    }

    /// Starts a gateway without a configuration and endpoints, whose routing has settings.
    pub fn unconfigured_with(routing: Routing) -> Fixture {
        Fixture::start(routing, limits())
    }

    fn start(routing: Routing, limits: Limits) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let routing = Arc::new(routing);
        routing.set_gateways(1);
        let stop = CancellationToken::new();
        let context = Context {
            dialect: Arc::new(Codec),
            routing: Arc::clone(&routing),
            centre: "a".to_owned(),
            limits,
            retry_ratio: 10.0,
            retry_slack: 100.0,
            min_gateways: 1,
            stop_notice: Duration::from_millis(300),
            stop_grace: Duration::from_secs(3),
            stop: stop.clone(),
            overdue: CancellationToken::new(),
            finished: CancellationToken::new(),
            responses: TaskTracker::new(),
        };
        let server = thread::spawn(move || {
            let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
            system.block_on(gateway::serve_on(listener, context)).expect("a server");
        });
        Fixture { address, routing, stop, server }
    }
}

/// Returns limits that only broken clients meet.
pub fn limits() -> Limits {
    Limits {
        connections: 1_000,
        memory: memory::Limits::of_memory(256 * 1024 * 1024),
        body_stall: Duration::from_secs(10),
        body_rate: 8_192,
        response_stall: Duration::from_secs(15),
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Decodes the announcement of a start of an endpoint in this state and of this version.
fn decode(
    service: &str,
    endpoint: &Endpoint,
    state: &str,
    version: &str,
    born: u64,
) -> route::Endpoint {
    let value = format!(
        r#"{{"service": "{service}", "address": "{}", "zone": "a", "version": "{version}", "slots": 8,
            "state": "{state}", "cold_left_ms": 0, "seq": 1, "born": {born}}}"#,
        endpoint.address
    );
    Codec.endpoint(&format!("servers/{}", endpoint.id), value.as_bytes()).expect("an endpoint")
}
