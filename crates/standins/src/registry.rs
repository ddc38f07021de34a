//! A plain service that counts the calls it runs.
//!
//! Its calls aren't idempotent: each one that arrives runs, so that a repeated
//! call shows in the counters.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Path;
use ntex::web::types::State;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::json;
use crate::server::Server;
use crate::table::Table;

/// Configuration of the registry.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Duration of each call.
    pub delay: Duration,
}

/// Fault injection, set as a whole by `POST /standin/faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Milliseconds added to the duration of each call.
    pub delay_ms: u64,
    /// Number of next runs after which the connection is closed without an
    /// answer.
    pub lose_answers: u32,
    /// Whether all calls hang until this is false again.
    pub freeze: bool,
}

/// Counters of the runs since the start.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Number of runs by name of the round or order, sorted by name.
    #[serde(with = "runs")]
    pub runs: Table<String, u64>,
    /// Total number of runs.
    pub total: u64,
    /// Number of runs that repeated a round or order.
    pub doubled: u64,
}

/// The body of a call that books a round.
#[derive(Deserialize, Serialize)]
struct Booking {
    round: String,
    society: String,
}

/// The body of a call that charges an account for an order.
#[derive(Deserialize, Serialize)]
struct Charge {
    order: String,
    account: String,
}

/// The answer to a booking, a charge or a query of a round.
#[derive(Serialize)]
struct Receipt {
    /// Name of the round or order.
    key: String,
    /// Number of runs of this round or order so far.
    run: u64,
}

/// A motion, which is made up from its id.
#[derive(Serialize)]
struct Motion {
    id: String,
    text: String,
}

/// The registry, shared by its routes.
#[derive(Debug)]
struct Registry {
    options: Options,
    faults: watch::Sender<Faults>,
    inner: Mutex<Inner>,
}

/// The registry's mutable state.
#[derive(Debug, Default)]
struct Inner {
    counts: Counts,
    /// Calls that are running now.
    running: u64,
}

/// Starts the registry on `listen`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let registry =
        Arc::new(Registry { options, faults: watch::Sender::default(), inner: Mutex::default() });
    Server::start(listen, move |config| configure(config, &registry))
}

/// Adds the routes of the registry and of its controls under `/standin`.
fn configure(config: &mut ServiceConfig, registry: &Arc<Registry>) {
    config
        .state(Arc::clone(registry))
        .route("/rounds", web::post().to(book))
        .route("/rounds/{round}", web::get().to(round))
        .route("/charges", web::post().to(charge))
        .route("/motions/{id}", web::get().to(motion))
        .route("/standin/faults", web::post().to(set_faults))
        .route("/standin/counts", web::get().to(counts))
        .route("/health", web::get().to(health))
        .route("/metrics", web::get().to(metrics));
}

async fn book(registry: State<Arc<Registry>>, request: HttpRequest, body: Bytes) -> HttpResponse {
    match json::parse::<Booking>(&body) {
        Ok(booking) => run_detached(&registry, &request, booking.round).await,
        Err(response) => response,
    }
}

async fn charge(registry: State<Arc<Registry>>, request: HttpRequest, body: Bytes) -> HttpResponse {
    match json::parse::<Charge>(&body) {
        Ok(charge) => run_detached(&registry, &request, charge.order).await,
        Err(response) => response,
    }
}

/// Runs a call in a task of its own, so that it completes even if the caller
/// disconnects.
async fn run_detached(
    registry: &Arc<Registry>,
    request: &HttpRequest,
    key: String,
) -> HttpResponse {
    let task = ntex::rt::spawn(execute(Arc::clone(registry), key));
    let Ok(receipt) = task.await else {
        return HttpResponse::InternalServerError().finish();
    };
    if registry.take_lost_answer() {
        if let Some(io) = request.io() {
            io.terminate();
        }
        return HttpResponse::GatewayTimeout().finish();
    }
    json::ok(&receipt)
}

/// Waits for the duration of a call and counts its run.
async fn execute(registry: Arc<Registry>, key: String) -> Receipt {
    let _running = Running::enter(&registry);
    registry.simulate_delay().await;
    let run = registry.inner.lock().counts.record_run(&key);
    Receipt { key, run }
}

async fn round(registry: State<Arc<Registry>>, round: Path<String>) -> HttpResponse {
    registry.simulate_delay().await;
    let round = round.into_inner();
    let run = registry.inner.lock().counts.runs.value(&round).copied();
    match run {
        Some(run) => json::ok(&Receipt { key: round, run }),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn motion(registry: State<Arc<Registry>>, id: Path<String>) -> HttpResponse {
    registry.simulate_delay().await;
    let id = id.into_inner();
    let text = format!("Motion {id}");
    json::ok(&Motion { id, text })
}

async fn set_faults(registry: State<Arc<Registry>>, body: Bytes) -> HttpResponse {
    match json::parse(&body) {
        Ok(faults) => {
            registry.faults.send_replace(faults);
            HttpResponse::Ok().finish()
        }
        Err(response) => response,
    }
}

async fn counts(registry: State<Arc<Registry>>) -> HttpResponse {
    json::ok(&registry.inner.lock().counts)
}

async fn health(registry: State<Arc<Registry>>) -> HttpResponse {
    registry.wait_while_frozen().await;
    HttpResponse::Ok().finish()
}

async fn metrics(registry: State<Arc<Registry>>) -> HttpResponse {
    registry.wait_while_frozen().await;
    let running = registry.inner.lock().running;
    let text = format!("# TYPE registry_running gauge\nregistry_running {running}\n");
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text)
}

impl Registry {
    /// Waits while the registry is frozen, then for the duration of a call.
    async fn simulate_delay(&self) {
        self.wait_while_frozen().await;
        let added = Duration::from_millis(self.faults.borrow().delay_ms);
        sleep(self.options.delay + added).await;
    }

    /// Waits until `Faults::freeze` is false.
    async fn wait_while_frozen(&self) {
        let _ = self.faults.subscribe().wait_for(|faults| !faults.freeze).await;
    }

    /// Uses up one of `Faults::lose_answers`; returns false if there is none.
    fn take_lost_answer(&self) -> bool {
        let mut lost = false;
        self.faults.send_if_modified(|faults| {
            lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lost
        });
        lost
    }
}

impl Counts {
    /// Counts a run of `key` and returns the number of its runs.
    fn record_run(&mut self, key: &str) -> u64 {
        let runs = self.runs.value_or_default(key.into());
        *runs += 1;
        self.total += 1;
        self.doubled += u64::from(*runs > 1);
        *runs
    }
}

/// A guard that counts a call as running until it is dropped.
struct Running<'a>(&'a Registry);

impl<'a> Running<'a> {
    fn enter(registry: &'a Registry) -> Self {
        registry.inner.lock().running += 1;
        Self(registry)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.inner.lock().running -= 1;
    }
}

mod runs {
    //! Serialises the runs as a JSON object from name to number.

    use std::collections::BTreeMap;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use crate::table::Table;

    pub(super) fn serialize<S: Serializer>(
        runs: &Table<String, u64>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_map(runs.entries().iter().map(|(key, count)| (key, count)))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Table<String, u64>, D::Error> {
        let mut runs = Table::default();
        for (key, count) in BTreeMap::deserialize(deserializer)? {
            runs.insert(key, count);
        }
        Ok(runs)
    }
}
