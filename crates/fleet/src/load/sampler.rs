//! Periodic sampling of the loads of engines.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::interval;

use crate::Error;
use crate::http::Client;
use crate::load::Sample;
use crate::metrics;

/// Time between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Agents' metrics of the requests that run and wait at their gates.
const LOAD_METRICS: [&str; 2] = ["lycheeknot_agent_running", "lycheeknot_agent_waiting"];

/// Samples the loads of engines from the metrics of their agents.
#[derive(Debug)]
pub struct Sampler {
    client: Client,
    urls: Vec<String>,
}

impl Sampler {
    /// Creates a sampler of these agents' metrics URLs.
    pub fn new(client: &Client, urls: Vec<String>) -> Sampler {
        Sampler { client: client.clone(), urls }
    }

    /// Runs a future to completion and takes samples meanwhile.
    pub async fn during<F: Future>(&self, future: F) -> (F::Output, Vec<Sample>) {
        let mut samples = Vec::new();
        let output = tokio::select! {
            output = future => Some(output),
            () = self.take_samples(&mut samples) => None,
        };
        match output {
            Some(output) => (output, samples),
            None => unreachable!("sampling never ends by itself"),
        }
    }

    async fn take_samples(&self, samples: &mut Vec<Sample>) {
        let mut ticks = interval(SAMPLE_INTERVAL);
        loop {
            ticks.tick().await;
            samples.push(self.sample().await);
        }
    }

    async fn sample(&self) -> Sample {
        let texts = self.urls.iter().map(|url| self.client.text(url));
        Sample { loads: join_all(texts).await.into_iter().map(parse_load).collect() }
    }
}

fn parse_load(text: Result<String, Error>) -> Option<usize> {
    let text = text.ok()?;
    let counts = LOAD_METRICS.iter().map(|name| metrics::sum(&text, name));
    Some(counts.sum::<Option<f64>>()? as usize)
}
