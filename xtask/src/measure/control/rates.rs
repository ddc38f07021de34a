//! Resource use of processes and calls of the key-value service, as rates.

use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::Usage;
use fleet::http::Client;
use fleet::metrics;
use serde::Deserialize;

use crate::error::Error;
use crate::measure::table::Table;

/// Metric of the bytes of control calls.
const BYTES: &str = "lycheeknot_control_bytes_total";
/// Metric of the messages of control calls.
const MESSAGES: &str = "lycheeknot_control_messages_total";
/// Bytes per megabyte.
const MEGABYTE: f64 = 1e6;

/// Columns of the table.
pub(crate) const COLUMNS: [&str; 13] = [
    "processes",
    "when",
    "seconds",
    "B/s mean",
    "B/s max",
    "messages/s",
    "core % mean",
    "core % max",
    "MB max",
    "reads/s",
    "writes/s",
    "watches opened/s",
    "watches waiting",
];

/// Calls that the key-value service's stand-in counted since its start.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Calls {
    reads: u64,
    writes: u64,
    watches_opened: u64,
    watches_open: u64,
}

/// Counters and resource use of one process at a point in time.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    bytes: f64,
    messages: f64,
    /// Processor time since the start of the process, in seconds.
    cpu: f64,
    /// Resident memory in bytes.
    memory: f64,
}

/// Readings at the start of a count, from which rates are computed.
pub(crate) struct Baseline {
    at: Instant,
    readings: Vec<Reading>,
    calls: Calls,
}

/// Rates per second over the time of a count; vectors have one figure per process.
pub(crate) struct Rates {
    seconds: f64,
    bytes: Vec<f64>,
    messages: Vec<f64>,
    /// Percent of a core.
    core: Vec<f64>,
    /// Memory of the largest process at the end, in bytes.
    memory: f64,
    reads: f64,
    writes: f64,
    opened: f64,
    /// Watches that are open at the end.
    watches: u64,
}

impl Baseline {
    /// Reads all processes and starts the count.
    pub(crate) async fn take(fleet: &Fleet, client: &Client) -> Result<Baseline, Error> {
        let readings = readings(fleet, client).await?;
        Ok(Baseline { at: Instant::now(), readings, calls: calls(fleet, client).await? })
    }

    /// Starts the count of processes that have just been started: their readings
    /// begin at 0.
    pub(crate) async fn of_restarted(fleet: &Fleet, client: &Client) -> Result<Baseline, Error> {
        let readings = vec![Reading::default(); fleet.nodes().count()];
        Ok(Baseline { at: Instant::now(), readings, calls: calls(fleet, client).await? })
    }

    /// Ends the count and returns the rates since its start.
    pub(crate) async fn finish(self, fleet: &Fleet, client: &Client) -> Result<Rates, Error> {
        let after = readings(fleet, client).await?;
        let calls = calls(fleet, client).await?;
        let time = self.at.elapsed().as_secs_f64();
        let rates = |figure: fn(&Reading) -> f64| {
            let rate = |(after, before)| (figure(after) - figure(before)) / time;
            after.iter().zip(&self.readings).map(rate).collect::<Vec<f64>>()
        };
        let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / time;
        Ok(Rates {
            seconds: time,
            bytes: rates(|reading| reading.bytes),
            messages: rates(|reading| reading.messages),
            core: rates(|reading| reading.cpu * 100.0),
            memory: after.iter().map(|reading| reading.memory).fold(0.0, f64::max),
            reads: rate(calls.reads, self.calls.reads),
            writes: rate(calls.writes, self.calls.writes),
            opened: rate(calls.watches_opened, self.calls.watches_opened),
            watches: calls.watches_open,
        })
    }
}

impl Rates {
    /// Counts for a given time and returns the rates.
    pub(crate) async fn measure(
        fleet: &Fleet,
        client: &Client,
        time: Duration,
    ) -> Result<Rates, Error> {
        let baseline = Baseline::take(fleet, client).await?;
        tokio::time::sleep(time).await;
        baseline.finish(fleet, client).await
    }

    /// Adds a row to the table of [`COLUMNS`].
    pub(crate) fn add_row(&self, size: usize, when: &str, table: &mut Table) {
        table.push(&[
            &size,
            &when,
            &format!("{:.0}", self.seconds),
            &format!("{:.0}", self.mean_bytes()),
            &format!("{:.0}", max(&self.bytes)),
            &format!("{:.1}", mean(&self.messages)),
            &format!("{:.2}", self.mean_core()),
            &format!("{:.2}", max(&self.core)),
            &format!("{:.1}", self.memory_mb()),
            &format!("{:.1}", self.reads),
            &format!("{:.1}", self.writes),
            &format!("{:.1}", self.opened),
            &self.watches,
        ]);
    }

    /// Returns the mean bytes a second of a process.
    pub(crate) fn mean_bytes(&self) -> f64 {
        mean(&self.bytes)
    }

    /// Returns the mean percent of a core that a process uses.
    pub(crate) fn mean_core(&self) -> f64 {
        mean(&self.core)
    }

    /// Returns the memory of the largest process in megabytes.
    pub(crate) fn memory_mb(&self) -> f64 {
        self.memory / MEGABYTE
    }
}

async fn calls(fleet: &Fleet, client: &Client) -> Result<Calls, Error> {
    Ok(client.json(&fleet.key_value.url("/standin/counts")).await?)
}

async fn readings(fleet: &Fleet, client: &Client) -> Result<Vec<Reading>, Error> {
    let mut readings = Vec::new();
    for node in fleet.nodes() {
        let text = client.text(&node.admin_url("/metrics")).await?;
        let usage = Usage::of(node.process.pid());
        readings.push(Reading {
            bytes: metrics::sum(&text, BYTES).unwrap_or_default(),
            messages: metrics::sum(&text, MESSAGES).unwrap_or_default(),
            cpu: usage.cpu.as_secs_f64(),
            memory: usage.memory as f64,
        });
    }
    Ok(readings)
}

fn mean(figures: &[f64]) -> f64 {
    figures.iter().sum::<f64>() / figures.len().max(1) as f64
}

fn max(figures: &[f64]) -> f64 {
    figures.iter().copied().fold(0.0, f64::max)
}
