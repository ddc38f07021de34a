//! `cargo xtask measure`: measurements with fixed seeds, over real processes or,
//! for placement, over a simulation.

mod control;
mod cost;
mod frames;
mod hop;
mod machine;
mod page;
mod placement;
mod ranks;
mod reuse;
mod round;
mod start;
mod table;

use std::fs;
use std::future::Future;
use std::path::Path;
use std::path::PathBuf;
use std::pin::Pin;

use fleet::Binaries;
use fleet::http;

use crate::build;
use crate::error::Error;
use crate::flags::Measure;
use crate::measure::page::Page;

/// Folder of the pages, from the root.
const FOLDER: &str = "docs/measurements";

/// Future of a running measurement.
type Run = Pin<Box<dyn Future<Output = Result<Page, Error>>>>;

/// A measurement that can be run by its name.
struct Measurement {
    name: &'static str,
    task: Task,
}

/// Function that runs a measurement.
enum Task {
    /// Runs over real processes with optimised builds.
    Fleet(fn(Binaries) -> Run),
    /// Runs a simulation in this process and starts no others.
    Simulation(fn() -> Page),
}

/// All measurements.
const MEASUREMENTS: &[Measurement] = &[
    Measurement { name: "hop", task: Task::Fleet(|binaries| Box::pin(hop::run(binaries))) },
    Measurement { name: "frames", task: Task::Fleet(|binaries| Box::pin(frames::run(binaries))) },
    Measurement { name: "control", task: Task::Fleet(|binaries| Box::pin(control::run(binaries))) },
    Measurement { name: "placement", task: Task::Simulation(placement::run) },
    Measurement { name: "reuse", task: Task::Fleet(|binaries| Box::pin(reuse::run(binaries))) },
    Measurement { name: "ranks", task: Task::Fleet(|binaries| Box::pin(ranks::run(binaries))) },
];

/// Runs a measurement, prints its page and writes it unless it is a trial.
///
/// # Errors
///
/// [`Error::UnknownMeasurement`] if none has this name, [`Error::Write`] if the
/// page can't be written, else the error of the build or of the measurement.
pub fn run(flags: &Measure) -> Result<(), Error> {
    let measurement = MEASUREMENTS
        .iter()
        .find(|measurement| measurement.name == flags.name)
        .ok_or_else(|| {
            let names: Vec<&str> =
                MEASUREMENTS.iter().map(|measurement| measurement.name).collect();
            Error::UnknownMeasurement(flags.name.clone(), names.join(", "))
        })?;
    let page = match measurement.task {
        Task::Fleet(run) => http::block_on(run(build::run(true)?))?,
        Task::Simulation(run) => run(),
    };
    let page = page.to_string();
    println!("{page}");
    if flags.trial {
        return Ok(());
    }
    write_page(measurement.name, &page)
}

fn write_page(name: &str, page: &str) -> Result<(), Error> {
    let folder = root().join(FOLDER);
    let path = folder.join(format!("{name}.md"));
    let written = fs::create_dir_all(&folder).and_then(|()| fs::write(&path, page));
    written.map_err(|source| Error::Write { path, source })
}

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the path of the intent of the measurements.
fn intent() -> PathBuf {
    root().join("deploy/measure/intent.toml")
}

/// Returns the path of an intent with the same services in a single rank.
fn flat_intent() -> PathBuf {
    root().join("deploy/measure/flat.toml")
}
