//! Metrics of a process, in the Prometheus text format.

use std::time::Duration;

use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_exporter_prometheus::PrometheusRecorder;
use tokio::time;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::error::Error;

/// Suffix of the names of histograms in seconds.
pub const SECONDS_SUFFIX: &str = "_seconds";

/// Upper bounds of the buckets of histograms in seconds. Buckets are used since, unlike
/// quantiles, they can be added up over VMs.
pub const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.071, 0.1, 0.2, 0.37, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
    60.0,
];

/// Interval between two runs of the upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Handle to the metrics that the macros of the crate `metrics` record.
#[derive(Clone, Debug)]
pub struct Recorder {
    handle: PrometheusHandle,
}

impl Recorder {
    /// Installs a recorder for the metrics of the whole process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Recorder`] if a recorder is already installed.
    pub fn install() -> Result<Recorder, Error> {
        let (recorder, sink) = Recorder::local();
        metrics::set_global_recorder(sink).map_err(|_| Error::Recorder)?;
        Ok(recorder)
    }

    /// Returns a recorder that is not installed, with the sink that tests pass to
    /// `metrics::with_local_recorder`.
    pub fn local() -> (Recorder, PrometheusRecorder) {
        let sink = builder().unwrap_or_default().build_recorder();
        (Recorder { handle: sink.handle() }, sink)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Regularly adds the recorded samples to their buckets until the token is cancelled.
    /// Without it, samples would accumulate in memory while nobody scrapes the process.
    pub async fn upkeep(self, stop: CancellationToken) {
        let mut ticks = time::interval(UPKEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            self.handle.run_upkeep();
        }
    }
}

fn builder() -> Result<PrometheusBuilder, BuildError> {
    let seconds = Matcher::Suffix(SECONDS_SUFFIX.to_owned());
    PrometheusBuilder::new().set_buckets_for_metric(seconds, SECONDS_BUCKETS)
}
