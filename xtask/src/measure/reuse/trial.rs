//! Run of the load with one placement.

use std::ops::Range;
use std::time::Duration;

use fleet::Fleet;
use fleet::Process;
use fleet::http::Client;
use fleet::load::Class;
use fleet::load::Generator;
use fleet::load::Report;
use fleet::load::Sample;
use fleet::load::Sampler;
use fleet::load::Shape;
use fleet::load::Simulation;
use tokio::time::sleep;

use crate::error::Error;
use crate::measure::cost::Cost;
use crate::measure::reuse::MODEL;
use crate::measure::reuse::counts::Counts;

/// Time for which each deployment is loaded.
pub(crate) const LOAD_TIME: Duration = Duration::from_secs(160);
/// Time from the start of the load to the loss of an engine's VM.
pub(crate) const LOSS_AT: Duration = Duration::from_secs(100);
/// Seconds of the load in which caches are full and no engine is lost yet.
pub(crate) const STEADY_SECONDS: Range<usize> = 60..100;
/// Seconds of the load just after the loss.
pub(crate) const AFTER_LOSS_SECONDS: Range<usize> = 100..110;
/// Seconds at the end of the load, within a minute of the loss.
pub(crate) const END_SECONDS: Range<usize> = 140..160;
/// Requests a second per engine, about 0.6 of its capacity.
pub(crate) const RATE_PER_ENGINE: f64 = 5.3;
/// Concurrent requests of an engine.
pub(crate) const SLOTS: u32 = 8;
/// Time to process a prompt token that isn't cached.
pub(crate) const PREFILL_PER_TOKEN: Duration = Duration::from_micros(250);
/// Time between tokens.
pub(crate) const TOKEN_GAP: Duration = Duration::from_millis(100);
/// Tokens that an engine caches.
pub(crate) const CACHE_TOKENS: usize = 30_000;

/// Chats per engine.
const CHATS_PER_ENGINE: usize = 50;
/// Time to wait for the last answers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Most requests under way; those beyond are not sent.
const MAX_IN_FLIGHT: usize = 2000;
/// Seed of the load.
const SEED: u64 = 2;
/// The load bound of the intent.
const LOAD_BOUND: f64 = 1.25;
/// Least mean requests per engine of samples that count in [`Trial::ratios`]; with
/// fewer requests the ratio says nothing.
const MIN_MEAN: f64 = 2.0;

/// Results of the load with one placement.
pub(crate) struct Trial {
    pub(crate) report: Report,
    /// Metrics of entries and agents, counted until the loss.
    pub(crate) counts: Counts,
    /// Bytes of control calls a second, the mean of all daemons.
    pub(crate) control: f64,
    /// Bytes of notes a second, the mean of all entries.
    pub(crate) notes: f64,
    /// Cores that a daemon used until the loss, the mean of all daemons.
    pub(crate) core: f64,
    /// Cores that the whole deployment used until the loss, stand-ins included.
    pub(crate) cores: f64,
    samples: Vec<Sample>,
}

impl Trial {
    /// Loads a deployment that is ready, takes the VM of its first engine away at
    /// [`LOSS_AT`], and stops it at the end.
    pub(crate) async fn run(mut fleet: Fleet, client: &Client) -> Result<Trial, Error> {
        let agents = fleet.endpoints.iter().map(|endpoint| endpoint.agent.admin_url("/metrics"));
        let sampler = Sampler::new(client, agents.collect());
        let (drive, caches) = (drive(&fleet), caches(&fleet));
        let before = Counts::take(&fleet, client).await?;
        let daemons = Cost::start(fleet.nodes().map(|node| &node.process));
        let all = Cost::start(processes(&fleet));
        let nodes = fleet.nodes().count() as f64;
        let entries = fleet.entries.len() as f64;
        let lose_engine = async {
            sleep(LOSS_AT).await;
            let counts = Counts::take(&fleet, client).await?.since(&before);
            let (daemons, all) = (daemons.spent(), all.spent());
            fleet.remove(0, client).await?;
            Ok::<_, Error>((counts, daemons, all))
        };
        let work = async { tokio::join!(drive.run_with_simulation(client, caches), lose_engine) };
        let ((report, until_loss), samples) = sampler.during(work).await;
        let (counts, daemons, all) = until_loss?;
        fleet.stop();
        let seconds = LOSS_AT.as_secs_f64();
        Ok(Trial {
            report,
            control: counts.control / nodes / seconds,
            notes: counts.note_bytes / entries / seconds,
            core: daemons.as_secs_f64() / nodes / seconds,
            cores: all.as_secs_f64() / seconds,
            counts,
            samples,
        })
    }

    /// Returns the highest over the mean load of each sample in the steady seconds,
    /// sorted.
    pub(crate) fn ratios(&self) -> Vec<f64> {
        let loaded = self.steady().iter().filter(|sample| sample.mean() >= MIN_MEAN);
        let mut ratios: Vec<f64> =
            loaded.map(|sample| sample.max() as f64 / sample.mean()).collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    }

    /// Returns the highest load of an engine in any sample.
    pub(crate) fn highest_load(&self) -> usize {
        self.samples.iter().map(Sample::max).max().unwrap_or_default()
    }

    /// Returns how many loads of single engines in all samples are above the bound for
    /// the mean of the same sample.
    pub(crate) fn above_bound(&self) -> usize {
        let above = |sample: &Sample| {
            let limit = (LOAD_BOUND * sample.mean()).ceil().max(f64::from(SLOTS));
            sample.loads.iter().flatten().filter(|load| **load as f64 > limit).count()
        };
        self.samples.iter().map(above).sum()
    }

    /// Returns the samples of the steady seconds.
    fn steady(&self) -> &[Sample] {
        let total = self.samples.len();
        let whole = (LOAD_TIME + DRAIN_TIMEOUT).as_secs() as usize;
        &self.samples[total * STEADY_SECONDS.start / whole..total * STEADY_SECONDS.end / whole]
    }
}

fn drive(fleet: &Fleet) -> Generator {
    let engines = fleet.endpoints.len();
    let class = Class {
        chats: CHATS_PER_ENGINE * engines,
        output_tokens: 8,
        first_message_tokens: 600,
        turns: 12,
        ..Class::new("returning", "large", "classify", MODEL)
    };
    Generator {
        servers: fleet.entries.iter().map(|entry| entry.vm.data).collect(),
        classes: vec![class],
        shape: Shape::Open { rate: RATE_PER_ENGINE * engines as f64, max_in_flight: MAX_IN_FLIGHT },
        time: LOAD_TIME,
        requests: usize::MAX,
        cache_tokens: (engines * CACHE_TOKENS) as u64,
        drain: DRAIN_TIMEOUT,
        seed: SEED,
    }
}

/// Returns a model of the same engines, as an oracle uses them that knows all
/// caches and loads.
fn caches(fleet: &Fleet) -> Simulation {
    Simulation::new(fleet.endpoints.len(), SLOTS as usize, CACHE_TOKENS as u64).with_loss(LOSS_AT)
}

/// Returns the processes of the daemons and of the engines' stand-ins.
fn processes(fleet: &Fleet) -> impl Iterator<Item = &Process> {
    let engines = fleet.endpoints.iter().map(|endpoint| &endpoint.engine.process);
    fleet.nodes().map(|node| &node.process).chain(engines)
}
