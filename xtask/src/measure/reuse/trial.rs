//! One way to place chats under the load.

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

/// How long each way is loaded.
pub(crate) const TIME: Duration = Duration::from_secs(160);
/// When an engine's VM is lost.
pub(crate) const LOSS: Duration = Duration::from_secs(100);
/// Seconds in which caches have filled and no engine is lost.
pub(crate) const STEADY: Range<usize> = 60..100;
/// Seconds just after the loss.
pub(crate) const AFTER: Range<usize> = 100..110;
/// Seconds at the end, still within a minute of the loss.
pub(crate) const END: Range<usize> = 140..160;
/// Requests a second an engine, about 0.6 of what it can do.
pub(crate) const RATE: f64 = 5.3;
/// Requests that an engine runs at once.
pub(crate) const SLOTS: u32 = 8;
/// Time to read a token.
pub(crate) const PREFILL: Duration = Duration::from_micros(250);
/// Time between tokens.
pub(crate) const TOKEN_GAP: Duration = Duration::from_millis(100);
/// Tokens that an engine caches.
pub(crate) const CACHE_TOKENS: usize = 30_000;

/// Chats an engine.
const CHATS: usize = 50;
/// How long the last answers are waited for.
const DRAIN: Duration = Duration::from_secs(4);
/// Requests under way beyond which none is sent.
const MOST: usize = 2000;
/// Seed of the load.
const SEED: u64 = 2;
/// The load bound of the intent.
const BOUND: f64 = 1.25;
/// Mean requests an engine below which a sample's ratio says nothing.
const MEAN_MIN: f64 = 2.0;

/// What came of one way to place chats.
pub(crate) struct Trial {
    pub(crate) report: Report,
    /// What entries and agents counted until the loss.
    pub(crate) counts: Counts,
    /// Control bytes a second, the mean of all daemons.
    pub(crate) control: f64,
    /// Bytes of notes a second, the mean of all entries.
    pub(crate) notes: f64,
    /// Part of a core that a daemon used.
    pub(crate) core: f64,
    /// Cores that the whole deployment used, stand-ins included.
    pub(crate) cores: f64,
    samples: Vec<Sample>,
}

impl Trial {
    /// Loads a deployment that is ready.
    pub(crate) async fn take(mut fleet: Fleet, client: &Client) -> Result<Trial, Error> {
        let agents = fleet.endpoints.iter().map(|endpoint| endpoint.agent.admin_url("/metrics"));
        let sampler = Sampler::new(client, agents.collect());
        let (drive, caches) = (drive(&fleet), caches(&fleet));
        let before = Counts::take(&fleet, client).await?;
        let daemons = Cost::start(fleet.nodes().map(|node| &node.process));
        let all = Cost::start(processes(&fleet));
        let nodes = fleet.nodes().count() as f64;
        let entries = fleet.entries.len() as f64;
        let disturb = async {
            sleep(LOSS).await;
            let counts = Counts::take(&fleet, client).await?.since(&before);
            let (daemons, all) = (daemons.spent(), all.spent());
            fleet.remove(0, client).await?;
            Ok::<_, Error>((counts, daemons, all))
        };
        let work = async { tokio::join!(drive.run_with_simulation(client, caches), disturb) };
        let ((report, disturbed), samples) = sampler.during(work).await;
        let (counts, daemons, all) = disturbed?;
        fleet.stop();
        let seconds = LOSS.as_secs_f64();
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

    /// Highest over mean load of the samples taken while steady, sorted.
    pub(crate) fn ratios(&self) -> Vec<f64> {
        let loaded = self.steady().iter().filter(|sample| sample.mean() >= MEAN_MIN);
        let mut ratios: Vec<f64> =
            loaded.map(|sample| sample.max() as f64 / sample.mean()).collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    }

    /// The highest load of an engine in any sample.
    pub(crate) fn highest(&self) -> usize {
        self.samples.iter().map(Sample::max).max().unwrap_or_default()
    }

    /// Loads of an engine, in all samples, above the bound for the sample's mean.
    pub(crate) fn above(&self) -> usize {
        let above = |sample: &Sample| {
            let limit = (BOUND * sample.mean()).ceil().max(f64::from(SLOTS));
            sample.loads.iter().flatten().filter(|load| **load as f64 > limit).count()
        };
        self.samples.iter().map(above).sum()
    }

    fn steady(&self) -> &[Sample] {
        let total = self.samples.len();
        let whole = (TIME + DRAIN).as_secs() as usize;
        &self.samples[total * STEADY.start / whole..total * STEADY.end / whole]
    }
}

fn drive(fleet: &Fleet) -> Generator {
    let engines = fleet.endpoints.len();
    let class = Class {
        chats: CHATS * engines,
        output_tokens: 8,
        first_message_tokens: 600,
        turns: 12,
        ..Class::new("returning", "large", "classify", MODEL)
    };
    Generator {
        servers: fleet.entries.iter().map(|entry| entry.vm.data).collect(),
        classes: vec![class],
        shape: Shape::Open { rate: RATE * engines as f64, max_in_flight: MOST },
        time: TIME,
        requests: usize::MAX,
        cache_tokens: (engines * CACHE_TOKENS) as u64,
        drain: DRAIN,
        seed: SEED,
    }
}

/// The same engines as an oracle uses them.
fn caches(fleet: &Fleet) -> Simulation {
    Simulation::new(fleet.endpoints.len(), SLOTS as usize, CACHE_TOKENS as u64).with_loss(LOSS)
}

fn processes(fleet: &Fleet) -> impl Iterator<Item = &Process> {
    let engines = fleet.endpoints.iter().map(|endpoint| &endpoint.engine.process);
    fleet.nodes().map(|node| &node.process).chain(engines)
}
