//! The running deployment that each test uses.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use fleet::Binaries;
use fleet::Caller;
use fleet::Chat;
use fleet::Deployment;
use fleet::Fleet;
use fleet::backend::Model;
use fleet::endpoint::Kind;
use fleet::http::Client;
use fleet::metrics;
use standins::engine;
use standins::engine::Message;
use standins::registry;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::time::sleep;

use crate::transcript;

/// Time limit for a condition to become true, long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two checks whether an engine is busy, shorter than a booking
/// takes.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time between two calls of the command line for the status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Models that each engine can hold.
const MODELS: &[&str] = &["motion-small", "motion-large"];

/// Number of entries of each deployment.
const ENTRY_COUNT: usize = 2;

/// Part of the JSON status for a process that reported no models and no pool.
const NO_MODELS: &str = r#""holds":[]"#;

/// Part of the JSON status for an engine that holds both models, of which a plan
/// assigns it at most one.
const BOTH_MODELS: &str = r#"["motion-large","motion-small"]"#;

/// Limit of the output tokens of an answer of one service, as in the sample intent.
const SAMPLE_OUTPUT_TOKENS: &str = "output_tokens = 32";
/// Replacement for [`SAMPLE_OUTPUT_TOKENS`], by which the plan assigns more
/// engines to the model of that service.
const RAISED_OUTPUT_TOKENS: &str = "output_tokens = 128";

/// Part of the JSON status for a process that isn't ready.
const STARTING: &str = r#""state":"starting""#;

/// Maximum number of deployments that run at once. More of them would take CPU
/// time from each other.
const MAX_DEPLOYMENTS: usize = 2;
/// Permits to run a deployment.
static PERMITS: Semaphore = Semaphore::const_new(MAX_DEPLOYMENTS);

/// A running deployment with an HTTP client for it.
pub struct Fixture {
    pub fleet: Fleet,
    pub client: Client,
    _permit: SemaphorePermit<'static>,
}

/// Counters of all registries.
pub struct Runs(Vec<registry::Counts>);

impl Runs {
    /// Returns how often a round was booked, summed over all registries.
    pub fn count(&self, round: &str) -> u64 {
        let round = round.to_owned();
        self.0.iter().filter_map(|counts| counts.runs.value(&round)).sum()
    }
}

impl Fixture {
    /// Starts a deployment without a confirmed plan.
    pub async fn start_unconfigured() -> Fixture {
        Fixture::start_unconfigured_with(Model::new(MODELS)).await
    }

    async fn start_unconfigured_with(models: Model) -> Fixture {
        let permit = PERMITS.acquire().await.expect("the semaphore is never closed");
        let deployment = Deployment {
            entries: ENTRY_COUNT,
            model_engines: 6,
            model: models,
            plain_engines: 2,
            ..Deployment::sofia()
        };
        let fleet = Fleet::start(&deployment, &Binaries::current()).expect("all processes start");
        let client = Client::new().await.expect("a client");
        let fixture = Fixture { fleet, client, _permit: permit };
        fixture.wait_for_status(|status| status.matches(NO_MODELS).count() == ENTRY_COUNT).await;
        fixture
    }

    /// Starts a deployment with a plan in force that assigns three engines to
    /// each model.
    pub async fn start() -> Fixture {
        Fixture::start_with(Model::new(MODELS)).await
    }

    /// Does the same as [`Fixture::start`] with engines that cancel a generation
    /// when its connection closes.
    pub async fn start_cancelling_on_disconnect() -> Fixture {
        Fixture::start_with(Model { cancel_on_disconnect: true, ..Model::new(MODELS) }).await
    }

    async fn start_with(models: Model) -> Fixture {
        let fixture = Fixture::start_unconfigured_with(models).await;
        let text = std::fs::read_to_string(sample_intent()).expect("the file");
        let intent = fixture
            .write_file("even.toml", &text.replace(SAMPLE_OUTPUT_TOKENS, RAISED_OUTPUT_TOKENS));
        fixture.apply(Path::new(&intent)).await;
        fixture
    }

    /// Puts an intent in force and waits until every entry serves both models.
    pub async fn apply(&self, intent: &Path) {
        self.fleet.operator.apply(intent).expect("a plan in force");
        self.wait_until_ready().await;
        for entry in 0..self.fleet.entries.len() {
            self.wait_until_served(entry).await;
        }
    }

    /// Waits until all processes are ready and the status shows it.
    pub async fn wait_until_ready(&self) {
        self.fleet.wait_until_ready(&self.client, TIMEOUT).await.expect("all are ready");
        self.wait_for_status(|status| !status.contains(STARTING)).await;
    }

    /// Waits until engines have unloaded the models that the plan doesn't assign
    /// to them.
    pub async fn wait_until_unloaded(&self) {
        self.wait_for_status(|status| !status.contains(BOTH_MODELS)).await;
    }

    /// Returns whether the status shows an engine that still holds a model which
    /// the plan doesn't assign to it.
    pub fn has_unassigned_models(&self) -> bool {
        self.run_cli(&["--json", "status"]).contains(BOTH_MODELS)
    }

    /// Returns the data address of an entry.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.entries[index].vm.data
    }

    /// Returns a caller with the token of a client account.
    pub fn caller(&self, account: &str) -> Caller {
        Caller::new(&self.client, account)
    }

    /// Runs the command line and returns a transcript: the arguments, the output
    /// and the exit code.
    pub fn run_cli(&self, args: &[&str]) -> String {
        let program = Binaries::current().program("lycheeknot").expect("the program is built");
        let profile = self.fleet.operator.profile();
        let output = Command::new(program)
            .arg("--profile")
            .arg(profile)
            .args(args)
            .output()
            .expect("the program runs");
        transcript::command(args, &output, self.fleet.files())
    }

    /// Plans an intent and returns the name of the plan.
    pub fn plan(&self, intent: &str) -> String {
        let printed = self.run_cli(&["plan", intent]);
        let line = printed.lines().find_map(|line| line.strip_prefix("plan "));
        line.and_then(|line| line.split(' ').next()).expect("a plan").to_owned()
    }

    /// Writes a file to the folder of the settings and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.fleet.files().join(name);
        std::fs::write(&path, text).expect("the file");
        path.display().to_string()
    }

    /// Returns the number of generations that run or wait at all model engines.
    pub async fn active_generations(&self) -> usize {
        let mut active = 0;
        for counts in self.engine_counts().await {
            active += counts.running + counts.waiting;
        }
        active
    }

    /// Returns the counters of all model engines.
    pub async fn engine_counts(&self) -> Vec<engine::Counts> {
        let mut all = Vec::new();
        for (index, endpoint) in self.fleet.endpoints.iter().enumerate() {
            if endpoint.kind == Kind::Model {
                all.push(self.counts_at(index).await);
            }
        }
        all
    }

    /// Returns the counters of the engine of an endpoint, all zero for a plain
    /// endpoint.
    pub async fn counts_at(&self, endpoint: usize) -> engine::Counts {
        let endpoint = &self.fleet.endpoints[endpoint];
        if endpoint.kind == Kind::Plain {
            return engine::Counts::default();
        }
        let url = endpoint.engine.url("/standin/counts");
        self.client.json(&url).await.expect("the stand-in answers")
    }

    /// Returns the counters of all registries.
    pub async fn runs(&self) -> Runs {
        let mut runs = Vec::new();
        for endpoint in self.fleet.endpoints_of(Kind::Plain) {
            runs.push(
                self.client
                    .json(&endpoint.engine.url("/standin/counts"))
                    .await
                    .expect("the stand-in answers"),
            );
        }
        Runs(runs)
    }

    /// Returns the index of the first endpoint of a kind.
    pub fn first_endpoint(&self, kind: Kind) -> usize {
        self.fleet.endpoints.iter().position(|endpoint| endpoint.kind == kind).expect("an endpoint")
    }

    /// Delays the bookings at all registries, so that some are in progress at any
    /// time.
    pub async fn delay_bookings(&self) {
        for endpoint in self.fleet.endpoints_of(Kind::Plain) {
            let faults = serde_json::json!({ "delay_ms": 40 });
            self.client
                .post(&endpoint.engine.url("/standin/faults"), &faults)
                .await
                .expect("the stand-in answers");
        }
    }

    /// Waits until the engine of an endpoint runs at least one request.
    pub async fn wait_until_busy(&self, endpoint: usize) {
        let endpoint = &self.fleet.endpoints[endpoint];
        let name = match endpoint.kind {
            Kind::Model => "vllm:num_requests_running",
            Kind::Plain => "registry_running",
        };
        let start = Instant::now();
        loop {
            let text = self
                .client
                .text(&endpoint.engine.url("/metrics"))
                .await
                .expect("the stand-in answers");
            if metrics::sum(&text, name).is_some_and(|running| running > 0.0) {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "the engine runs nothing");
            sleep(BUSY_POLL_INTERVAL).await;
        }
    }

    /// Waits until the number of active generations meets a condition.
    pub async fn wait_for_active(&self, is_met: impl Fn(usize) -> bool) {
        let start = Instant::now();
        while !is_met(self.active_generations().await) {
            assert!(
                start.elapsed() < TIMEOUT,
                "{} generations run or wait",
                self.active_generations().await
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the JSON status of the command line meets a condition.
    async fn wait_for_status(&self, is_met: impl Fn(&str) -> bool) {
        let start = Instant::now();
        loop {
            let status = self.run_cli(&["--json", "status"]);
            if is_met(&status) {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "{status}");
            sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Waits until an entry serves both models.
    pub async fn wait_until_served(&self, entry: usize) {
        for (account, service) in [("clerks", "classify"), ("adjudicators", "brief")] {
            let chat = Chat::whole(service, vec![Message::new("user", "warm-up")], 1);
            let start = Instant::now();
            while self.caller(account).chat(self.entry(entry), &chat).await.answer().is_none() {
                assert!(start.elapsed() < TIMEOUT, "{service} is not served");
                sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Returns the path of the sample intent of the deployment in Sofia.
pub fn sample_intent() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sofia/intent.toml")
}
