//! Processor time and attempts of a scene.

use std::process;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::Usage;
use fleet::http::Client;
use fleet::load::Report;
use fleet::metrics;

use crate::error::Error;
use crate::measure::cost::Cost;
use crate::measure::table::Table;

/// Metric of the attempts that an agent handled.
const ATTEMPTS: &str = "lycheeknot_agent_attempts_total";

/// Columns of the table.
pub(crate) const COLUMNS: [&str; 8] = [
    "scene",
    "entries",
    "agents",
    "engines",
    "load",
    "machine",
    "attempts a request",
    "entries and agents, µs a request",
];

/// Processor times at the start of a scene, from which its cost is computed.
pub(crate) struct Baseline {
    start: Instant,
    entries: Cost,
    agents: Cost,
    engines: Cost,
    own: Duration,
    machine: Duration,
}

/// Cost of a scene; in cores busy on average unless said otherwise.
pub(crate) struct Busy {
    entries: f64,
    agents: f64,
    engines: f64,
    /// The load tool itself.
    own: f64,
    /// The whole machine, other programs included.
    machine: f64,
    /// Number of attempts at all agents.
    attempts: f64,
    /// Processor time of all entries and agents.
    product: Duration,
}

impl Busy {
    /// Starts to count the processor times of a deployment.
    pub(crate) fn start(fleet: &Fleet) -> Baseline {
        Baseline {
            start: Instant::now(),
            entries: Cost::start(fleet.entries.iter().map(|node| &node.process)),
            agents: Cost::start(fleet.endpoints.iter().map(|endpoint| &endpoint.agent.process)),
            engines: Cost::start(fleet.endpoints.iter().map(|endpoint| &endpoint.engine.process)),
            own: own_cpu_time(),
            machine: Usage::machine(),
        }
    }

    /// Adds a row to the table of [`COLUMNS`].
    pub(crate) fn add_row(&self, title: &str, report: &Report, table: &mut Table) {
        let sent = report.whole().sent.max(1) as f64;
        table.push(&[
            &title,
            &two_decimals(self.entries),
            &two_decimals(self.agents),
            &two_decimals(self.engines),
            &two_decimals(self.own),
            &two_decimals(self.machine),
            &two_decimals(self.attempts / sent),
            &format!("{:.0}", self.product.as_secs_f64() * 1e6 / sent),
        ]);
    }
}

impl Baseline {
    /// Ends the count and returns the cost since its start.
    ///
    /// # Errors
    ///
    /// [`Error::Fleet`] if an agent's metrics can't be read.
    pub(crate) async fn finish(self, fleet: &Fleet, client: &Client) -> Result<Busy, Error> {
        let time = self.start.elapsed().as_secs_f64();
        let (entries, agents) = (self.entries.spent(), self.agents.spent());
        let cores = |spent: Duration| spent.as_secs_f64() / time;
        Ok(Busy {
            entries: cores(entries),
            agents: cores(agents),
            engines: cores(self.engines.spent()),
            own: cores(own_cpu_time().saturating_sub(self.own)),
            machine: cores(Usage::machine().saturating_sub(self.machine)),
            attempts: attempts(fleet, client).await?,
            product: entries + agents,
        })
    }
}

async fn attempts(fleet: &Fleet, client: &Client) -> Result<f64, Error> {
    let mut attempts = 0.0;
    for endpoint in &fleet.endpoints {
        let text = client.text(&endpoint.agent.admin_url("/metrics")).await?;
        attempts += metrics::sum(&text, ATTEMPTS).unwrap_or_default();
    }
    Ok(attempts)
}

fn own_cpu_time() -> Duration {
    Usage::of(process::id()).cpu
}

fn two_decimals(figure: f64) -> String {
    format!("{figure:.2}")
}
