//! `lycheeknot report demand`.

use std::fmt;

use config::Demand;
use config::Document;
use config::need::Need;
use config::spread;
use serde::Serialize;
use wire::id;

use crate::Error;
use crate::command::Context;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

/// The demand for each model and the engines that it would get by it.
#[derive(Debug, Serialize)]
struct View {
    models: Vec<Line>,
    /// Engines whose models a plan by demand would change.
    moves: usize,
    /// Entries that did not answer; their requests are not counted.
    missing: Vec<id::Vm>,
}

#[derive(Debug, Serialize)]
struct Line {
    model: id::Model,
    /// Requests of the last hour.
    requests: u64,
    /// Engines that are assigned to the model now.
    engines: usize,
    /// Engines in proportion to the demand, before rounding.
    part: f64,
    /// Engines assigned to the model after a plan by demand.
    after: usize,
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.missing.is_empty() {
            let missing = self.missing.join(", ");
            writeln!(f, "missing: {missing} did not answer, the figures below are without theirs")?;
        }
        let header = ["MODEL", "60 MIN", "ENGINES", "BY DEMAND", "AFTER"];
        let [model, requests, engines, part, after] = header;
        writeln!(f, "{model:<20} {requests:>9} {engines:>8} {part:>10} {after:>6}")?;
        for Line { model, requests, engines, part, after } in &self.models {
            writeln!(f, "{model:<20} {requests:>9} {engines:>8} {part:>10.1} {after:>6}")?;
        }
        match self.moves {
            0 => writeln!(f, "the engines follow the demand: nothing to change"),
            moves => writeln!(f, "{moves} engines would change: see `lycheeknot plan --demand`"),
        }
    }
}

/// Prints the demand for each model and what a plan by demand would change.
pub async fn run(context: &Context, format: Format) -> Result<(), Error> {
    let profile = &context.profile;
    let status = fleet::status(profile).await?;
    let demand = fleet::demand(profile, &status).await?;
    let stored = confirm::current(&context.store, &profile.cluster).await;
    let document = fleet::newest_document(profile, &status, stored.unwrap_or_default()).await?;
    let spread = spread::spread(&document, &document, &fleet::engines(&status), Some(&demand));
    let line = |need: &Need| line(&document, &demand, need);
    let models = spread.needs.models.iter().map(line).collect();
    let is_changed = |one: &&config::Assignment| document.holds(&one.engine) != one.holds;
    let moves = spread.assignments.iter().filter(is_changed).count();
    format.print(&View { models, moves, missing: demand.missing });
    Ok(())
}

fn line(document: &Document, demand: &Demand, need: &Need) -> Line {
    let services = document.services.iter().filter(|service| service.needs() == need.model);
    Line {
        model: need.model.clone(),
        requests: services.map(|service| demand.of(&service.name)).sum(),
        engines: need.held,
        part: need.quota,
        after: need.engines,
    }
}
