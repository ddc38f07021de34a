//! A closed-loop load that is spread round robin over all entries, with requests
//! that depend on the seed only.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::Caller;
use fleet::Outcome;
use fleet::caller::Call;
use futures_util::StreamExt;
use futures_util::stream;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::job::Job;

/// Maximum number of requests in progress at once.
const MAX_CONCURRENT: usize = 16;

/// Time between two checks of the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A request that has ended, with its outcome.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub job: Job,
    /// Index of the entry to which the request was sent.
    pub entry: usize,
    /// The outcome that the caller saw.
    pub outcome: Outcome,
}

/// A load whose requests are not sent yet.
pub struct Load {
    jobs: Vec<Job>,
    progress: Progress,
    sender: Sender,
}

/// Number of requests of a load that have ended, shared with the running load.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Cell<usize>>);

/// Sends jobs to entries as the client account that each job needs.
#[derive(Clone)]
pub struct Sender {
    entries: Vec<SocketAddr>,
    clerks: Caller,
    adjudicators: Caller,
}

impl Load {
    /// Creates a load with a number of requests that are chosen by the seed.
    pub fn new(fixture: &Fixture, seed: u64, requests: usize) -> Load {
        let mut random = Pcg64::seed_from_u64(seed);
        let jobs = (0..requests)
            .map(|number| Job::random(&format!("{seed}-{number}"), &mut random))
            .collect();
        Load { jobs, progress: Progress::default(), sender: Sender::new(fixture) }
    }

    /// Returns the progress of the load, also while it runs.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Sends all requests and returns them with their outcomes, in the order in
    /// which they ended.
    pub async fn run(self) -> Vec<Exchange> {
        let Load { jobs, progress, sender } = self;
        let send = |(number, job): (usize, Job)| {
            let (progress, sender) = (progress.clone(), sender.clone());
            async move {
                let entry = number % sender.entries.len();
                let outcome = sender.send(entry, &job).await;
                progress.0.set(progress.0.get() + 1);
                Exchange { job, entry, outcome }
            }
        };
        stream::iter(jobs.into_iter().enumerate())
            .map(send)
            .buffer_unordered(MAX_CONCURRENT)
            .collect()
            .await
    }
}

impl Progress {
    /// Waits until `ended` requests have ended, at most for `timeout`.
    pub async fn wait_for(&self, ended: usize, timeout: Duration) {
        let start = Instant::now();
        while self.0.get() < ended && start.elapsed() < timeout {
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Sender {
    /// Creates a sender for all entries of a deployment.
    pub fn new(fixture: &Fixture) -> Sender {
        Sender {
            entries: (0..fixture.fleet.entries.len()).map(|index| fixture.entry(index)).collect(),
            clerks: fixture.caller("clerks"),
            adjudicators: fixture.caller("adjudicators"),
        }
    }

    /// Sends a job to the entry of an index and returns the outcome.
    pub async fn send(&self, entry: usize, job: &Job) -> Outcome {
        let server = self.entries[entry];
        match job {
            Job::Chat { chat, account: "clerks", .. } => self.clerks.chat(server, chat).await,
            Job::Chat { chat, .. } => self.adjudicators.chat(server, chat).await,
            Job::Booking { round } => {
                let body = format!(r#"{{"round":"{round}","society":"Varna"}}"#);
                let key = Some(round.as_str());
                let call = Call { service: "registry", path: "/rounds", body, key };
                self.clerks.call(server, &call).await
            }
        }
    }
}
