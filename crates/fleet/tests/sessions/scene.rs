//! A running deployment, one at a time.

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

use crate::show;

/// Long enough for anything that is bound to happen, on a busy machine too.
pub const LONG: Duration = Duration::from_secs(60);

/// Time between two looks at a condition.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at an engine, shorter than its work.
const BUSY_INTERVAL: Duration = Duration::from_millis(2);

/// Time between two looks by the command line.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Models of each deployment.
const MODELS: &[&str] = &["motion-small", "motion-large"];

/// Entries of each deployment.
const ENTRIES: usize = 2;

/// What the status shows of a process that reported no models and no pool.
const NOTHING_HELD: &str = r#""holds":[]"#;

/// What the status shows of an engine that did not unload what it need not hold.
const BOTH_HELD: &str = r#"["motion-large","motion-small"]"#;

/// Tokens that the sample intent lets one answer have, and more of them, by
/// which more engines are shared out to their service.
const FEW_TOKENS: &str = "output_tokens = 32";
const MORE_TOKENS: &str = "output_tokens = 128";

/// What the status shows of a process that isn't ready.
const STARTING: &str = r#""state":"starting""#;

/// Deployments that run at once, so few that none starves another.
const DEPLOYMENTS: usize = 2;
/// A permit for each of them.
static TURNS: Semaphore = Semaphore::const_new(DEPLOYMENTS);

/// A running deployment.
pub struct Scene {
    pub fleet: Fleet,
    pub client: Client,
    _turn: SemaphorePermit<'static>,
}

/// What the registries counted.
pub struct Runs(Vec<registry::Counts>);

impl Runs {
    /// How often a round was booked, at all registries together.
    pub fn of(&self, round: &str) -> u64 {
        let round = round.to_owned();
        self.0.iter().filter_map(|counts| counts.runs.value(&round)).sum()
    }
}

impl Scene {
    /// Starts a deployment on which nothing is confirmed yet.
    pub async fn bare() -> Scene {
        Scene::bare_of(Model::new(MODELS)).await
    }

    async fn bare_of(models: Model) -> Scene {
        let turn = TURNS.acquire().await.expect("it is never closed");
        let deployment = Deployment {
            entries: ENTRIES,
            model_engines: 6,
            model: models,
            plain_engines: 2,
            ..Deployment::sofia()
        };
        let fleet = Fleet::start(&deployment, &Binaries::current()).expect("all processes start");
        let client = Client::new().await.expect("a client");
        let scene = Scene { fleet, client, _turn: turn };
        scene.until_shown(|status| status.matches(NOTHING_HELD).count() == ENTRIES).await;
        scene
    }

    /// Starts a deployment with an intent in force that gives each model three
    /// engines.
    pub async fn start() -> Scene {
        Scene::start_of(Model::new(MODELS)).await
    }

    /// The same with engines that stop work whose connection closes.
    pub async fn start_forgetful() -> Scene {
        Scene::start_of(Model { cancel_on_disconnect: true, ..Model::new(MODELS) }).await
    }

    async fn start_of(models: Model) -> Scene {
        let scene = Scene::bare_of(models).await;
        let text = std::fs::read_to_string(sample()).expect("the file");
        let intent = scene.write("even.toml", &text.replace(FEW_TOKENS, MORE_TOKENS));
        scene.apply(Path::new(&intent)).await;
        scene
    }

    /// Puts an intent in force and waits until all is served.
    pub async fn apply(&self, intent: &Path) {
        self.fleet.operator.apply(intent).expect("a plan in force");
        self.settle().await;
        for entry in 0..self.fleet.entries.len() {
            self.serves(entry).await;
        }
    }

    /// Waits until all processes are ready and known as such.
    pub async fn settle(&self) {
        self.fleet.wait_until_ready(&self.client, LONG).await.expect("all are ready");
        self.until_shown(|status| !status.contains(STARTING)).await;
    }

    /// Waits until engines have unloaded what the plan doesn't assign to them.
    pub async fn until_unloaded(&self) {
        self.until_shown(|status| !status.contains(BOTH_HELD)).await;
    }

    /// Whether an engine is shown that holds more than the plan assigns to it.
    pub fn has_surplus(&self) -> bool {
        self.operate(&["--json", "status"]).contains(BOTH_HELD)
    }

    pub fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.entries[index].vm.data
    }

    pub fn caller(&self, account: &str) -> Caller {
        Caller::new(&self.client, account)
    }

    /// Runs the command line; shows what it was called with and what it printed.
    pub fn operate(&self, args: &[&str]) -> String {
        let program = Binaries::current().program("lycheeknot").expect("the program is built");
        let profile = self.fleet.operator.profile();
        let output = Command::new(program)
            .arg("--profile")
            .arg(profile)
            .args(args)
            .output()
            .expect("the program runs");
        show::command(args, &output, self.fleet.files())
    }

    /// Plans an intent and gives the plan's name.
    pub fn plan(&self, intent: &str) -> String {
        let printed = self.operate(&["plan", intent]);
        let line = printed.lines().find_map(|line| line.strip_prefix("plan "));
        line.and_then(|line| line.split(' ').next()).expect("a plan").to_owned()
    }

    /// Writes a file beside the settings.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.fleet.files().join(name);
        std::fs::write(&path, text).expect("the file");
        path.display().to_string()
    }

    /// How many generations hold a slot of any engine.
    pub async fn running(&self) -> usize {
        let mut running = 0;
        for counts in self.engines().await {
            running += counts.running + counts.waiting;
        }
        running
    }

    pub async fn engines(&self) -> Vec<engine::Counts> {
        let mut all = Vec::new();
        for (index, endpoint) in self.fleet.endpoints.iter().enumerate() {
            if endpoint.kind == Kind::Model {
                all.push(self.counts_at(index).await);
            }
        }
        all
    }

    /// What the model engine of an endpoint counted; nothing of a plain one.
    pub async fn counts_at(&self, endpoint: usize) -> engine::Counts {
        let endpoint = &self.fleet.endpoints[endpoint];
        if endpoint.kind == Kind::Plain {
            return engine::Counts::default();
        }
        let url = endpoint.engine.url("/standin/counts");
        self.client.json(&url).await.expect("the stand-in answers")
    }

    /// What the registries counted.
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

    /// The first endpoint of a kind.
    pub fn first(&self, kind: Kind) -> usize {
        self.fleet.endpoints.iter().position(|endpoint| endpoint.kind == kind).expect("an endpoint")
    }

    /// Lets bookings take a while, so that some are under way at any moment.
    pub async fn slow_registries(&self) {
        for endpoint in self.fleet.endpoints_of(Kind::Plain) {
            let faults = serde_json::json!({ "delay_ms": 40 });
            self.client
                .post(&endpoint.engine.url("/standin/faults"), &faults)
                .await
                .expect("the stand-in answers");
        }
    }

    /// Waits until the engine of an endpoint runs something.
    pub async fn until_busy(&self, endpoint: usize) {
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
            assert!(start.elapsed() < LONG, "the engine runs nothing");
            sleep(BUSY_INTERVAL).await;
        }
    }

    /// Waits until some number of generations is under way.
    pub async fn until_running(&self, wanted: impl Fn(usize) -> bool) {
        let start = Instant::now();
        while !wanted(self.running().await) {
            assert!(start.elapsed() < LONG, "{} generations run", self.running().await);
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until the command line shows some status.
    async fn until_shown(&self, wanted: impl Fn(&str) -> bool) {
        let start = Instant::now();
        loop {
            let status = self.operate(&["--json", "status"]);
            if wanted(&status) {
                return;
            }
            assert!(start.elapsed() < LONG, "{status}");
            sleep(STATUS_INTERVAL).await;
        }
    }

    /// Waits until an entry serves both models.
    pub async fn serves(&self, entry: usize) {
        for (account, service) in [("clerks", "classify"), ("adjudicators", "brief")] {
            let chat = Chat::whole(service, vec![Message::new("user", "warm-up")], 1);
            let start = Instant::now();
            while self.caller(account).chat(self.entry(entry), &chat).await.answer().is_none() {
                assert!(start.elapsed() < LONG, "{service} is not served");
                sleep(LOOK_INTERVAL).await;
            }
        }
    }
}

/// The sample intent of Sofia.
pub fn sample() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sofia/intent.toml")
}
