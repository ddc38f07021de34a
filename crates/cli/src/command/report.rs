//! `lycheeknot report`.

use std::fs;
use std::path::Path;

use burn::Report;
use burn::plot;
use burn::report;

use crate::Error;
use crate::command::Context;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

/// Prints the burn of ranks, services and accounts, summed over all entries, and
/// draws it as an SVG chart into `file` if that is given.
pub async fn burn(context: &Context, file: Option<&Path>, format: Format) -> Result<(), Error> {
    let profile = &context.profile;
    let status = fleet::status(profile).await?;
    let stored = confirm::current(&context.store, &profile.cluster).await;
    let document = fleet::newest_document(profile, &status, stored.unwrap_or_default()).await?;
    let report = report::report(&document, &fleet::counts(profile, &status).await?);
    if let Some(file) = file {
        draw(&report, file)?;
    }
    format.print(&report);
    Ok(())
}

fn draw(report: &Report, file: &Path) -> Result<(), Error> {
    let failed = |reason: String| Error::Write(file.display().to_string(), reason);
    let svg = plot::svg(report).map_err(|error| failed(error.to_string()))?;
    fs::write(file, svg).map_err(|error| failed(error.to_string()))
}
