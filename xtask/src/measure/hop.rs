//! Latency that each hop adds, and requests a second per core.

mod attempts;

use std::time::Duration;

use fleet::Binaries;
use fleet::Deployment;
use fleet::Fleet;
use fleet::backend::Model;
use fleet::endpoint::Kind;
use fleet::http::Client;
use fleet::load::Class;
use fleet::load::Generator;
use fleet::load::Shape;
use fleet::load::Tally;

use crate::error::Error;
use crate::measure;
use crate::measure::cost::Cost;
use crate::measure::hop::attempts::Attempts;
use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::round::ms;
use crate::measure::start::start;
use crate::measure::table::Table;

/// Time for which each path is loaded.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time to wait for the last answers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Numbers of concurrent callers: one for latency, several for throughput.
const CALLERS: [usize; 2] = [1, 16];
/// Seed of the load.
const SEED: u64 = 1;
/// Name of the model.
const MODEL: &str = "motion";

/// Path from a caller to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Direct,
    Agent,
    Entry,
}

impl Path {
    const ALL: [Path; 3] = [Path::Direct, Path::Agent, Path::Entry];

    fn name(self) -> &'static str {
        match self {
            Path::Direct => "engine alone",
            Path::Agent => "agent, engine",
            Path::Entry => "entry, agent, engine",
        }
    }
}

/// Runs the measurement and returns its page.
///
/// # Errors
///
/// [`Error::Fleet`] if the deployment can't be started, [`Error::Unexpected`] if an
/// answer is wrong or none is right.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::current();
    let client = Client::new().await?;
    let fleet = start(&deployment(), &measure::intent(), &binaries, &client).await?;
    let mut table = Table::new(
        "Latency and throughput",
        &["path", "callers", "answers", "failed", "answers/s", "p50 ms", "p95 ms", "p99 ms"],
    );
    let mut cost = Table::new(
        "Processor time",
        &["path", "callers", "process", "µs a request", "requests/s a core"],
    );
    for callers in CALLERS {
        for path in Path::ALL {
            measure_path(&fleet, &client, path, callers, &mut table, &mut cost).await?;
        }
    }
    fleet.stop();
    Ok(page(machine, vec![table, cost]))
}

fn page(machine: Machine, tables: Vec<Table>) -> Page {
    Page {
        title: "Added latency of a hop, and requests a second a core".to_owned(),
        name: "hop",
        method: vec![
            format!(
                "One engine's stand-in that answers with one token without delay, one agent and \
                 one entry, optimised builds on one machine, {} s per row. A caller sends its \
                 next request when it has its answer. The latency that a hop adds is the \
                 difference between rows.",
                LOAD_TIME.as_secs()
            ),
            "Requests a second a core are answers divided by the processor time of the \
             process, as the operating system counts it in steps of 10 ms; no process was \
             saturated on purpose."
                .to_owned(),
        ],
        machine,
        tables,
    }
}

fn deployment() -> Deployment {
    let model = Model {
        slots: 64,
        prefill_per_token: Duration::ZERO,
        token_gap: Duration::ZERO,
        ..Model::new(&[MODEL])
    };
    Deployment { entries: 1, model_engines: 1, plain_engines: 0, model, ..Deployment::sofia() }
}

/// Loads one path and adds its rows to both tables.
async fn measure_path(
    fleet: &Fleet,
    client: &Client,
    path: Path,
    callers: usize,
    table: &mut Table,
    cost: &mut Table,
) -> Result<(), Error> {
    let Some(endpoint) = fleet.endpoints_of(Kind::Model).next() else {
        return Ok(());
    };
    let engine = Cost::start(std::iter::once(&endpoint.engine.process));
    let agent = Cost::start(std::iter::once(&endpoint.agent.process));
    let entry = Cost::start(fleet.entries.iter().map(|node| &node.process));
    let tally = match path {
        Path::Direct => drive(client, vec![endpoint.engine.address], MODEL, callers).await,
        Path::Agent => Attempts::new(client, &endpoint.agent, callers).run(LOAD_TIME).await,
        Path::Entry => {
            let servers = fleet.entries.iter().map(|node| node.vm.data).collect();
            drive(client, servers, "classify", callers).await
        }
    };
    check(path, &tally)?;
    let rate = tally.correct as f64 / LOAD_TIME.as_secs_f64();
    table.push(&[
        &path.name(),
        &callers,
        &tally.correct,
        &(tally.sent - tally.correct),
        &format!("{rate:.0}"),
        &ms(&tally.total, 0.5),
        &ms(&tally.total, 0.95),
        &ms(&tally.total, 0.99),
    ]);
    let shown: &[(&str, &Cost)] = match path {
        Path::Direct => &[("engine's stand-in", &engine)],
        Path::Agent => &[("agent", &agent)],
        Path::Entry => &[("entry", &entry), ("agent", &agent)],
    };
    for (name, spent) in shown {
        cost.push(&[
            &path.name(),
            &callers,
            name,
            &format!("{:.0}", spent.us_per_request(tally.correct)),
            &format!("{:.0}", spent.requests_per_core(tally.correct)),
        ]);
    }
    Ok(())
}

async fn drive(
    client: &Client,
    servers: Vec<std::net::SocketAddr>,
    service: &str,
    callers: usize,
) -> Tally {
    let class = Class {
        stream: false,
        output_tokens: 1,
        first_message_tokens: 50,
        message_tokens: 10,
        turns: 2,
        ..Class::new("hop", "urgent", service, MODEL)
    };
    let shape = Shape::Closed { callers };
    let drive = Generator {
        servers,
        classes: vec![class],
        shape,
        time: LOAD_TIME,
        requests: usize::MAX,
        cache_tokens: u64::MAX,
        drain: DRAIN_TIMEOUT,
        seed: SEED,
    };
    drive.run(client).await.whole()
}

fn check(path: Path, tally: &Tally) -> Result<(), Error> {
    if tally.sent > tally.correct {
        let Tally { sent, correct, refused, unknown, failed, abandoned, .. } = tally;
        println!("measure: of {sent}, {correct} right, {refused} refused, {unknown} unknown");
        println!("measure: {failed} cut, {abandoned} open");
    }
    for sample in &tally.samples {
        println!("measure: {}: {sample}", path.name());
    }
    if tally.wrong == 0 && tally.correct > 0 {
        return Ok(());
    }
    let actual = format!("{} right, {} wrong: {:?}", tally.correct, tally.wrong, tally.samples);
    Err(Error::Unexpected { step: path.name(), actual })
}
