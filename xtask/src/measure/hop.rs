//! Added latency of each hop and requests a second a core.

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

/// How long each path is loaded.
const TIME: Duration = Duration::from_secs(8);
/// How long the last answers are waited for.
const DRAIN: Duration = Duration::from_secs(3);
/// Callers at once: one for latency, several for throughput.
const CALLERS: [usize; 2] = [1, 16];
/// Seed of the load.
const SEED: u64 = 1;
/// The model.
const MODEL: &str = "motion";

/// One way from a caller to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    Agent,
    Entry,
}

impl Way {
    const ALL: [Way; 3] = [Way::Direct, Way::Agent, Way::Entry];

    fn name(self) -> &'static str {
        match self {
            Way::Direct => "engine alone",
            Way::Agent => "agent, engine",
            Way::Entry => "entry, agent, engine",
        }
    }
}

/// Takes the measurement.
///
/// # Errors
///
/// Why the deployment can't be started, or [`Error::Wrong`] with a wrong answer.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::now();
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
        for way in Way::ALL {
            path(&fleet, &client, way, callers, &mut table, &mut cost).await?;
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
                "One engine's stand-in that answers with one token at once, one agent, one entry, \
                 all optimised builds on one machine, {} s a row. A caller asks again once it has \
                 its answer. What a hop adds is the difference between rows.",
                TIME.as_secs()
            ),
            "Requests a second a core are answers divided by the processor time that the process \
             spent, as the system counts it in steps of 10 ms; no process was saturated on purpose."
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

async fn path(
    fleet: &Fleet,
    client: &Client,
    way: Way,
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
    let tally = match way {
        Way::Direct => drive(client, vec![endpoint.engine.address], MODEL, callers).await,
        Way::Agent => Attempts::new(client, &endpoint.agent, callers).run(TIME).await,
        Way::Entry => {
            let servers = fleet.entries.iter().map(|node| node.vm.data).collect();
            drive(client, servers, "classify", callers).await
        }
    };
    check(way, &tally)?;
    let rate = tally.correct as f64 / TIME.as_secs_f64();
    table.push(&[
        &way.name(),
        &callers,
        &tally.correct,
        &(tally.sent - tally.correct),
        &format!("{rate:.0}"),
        &ms(&tally.total, 0.5),
        &ms(&tally.total, 0.95),
        &ms(&tally.total, 0.99),
    ]);
    let shown: &[(&str, &Cost)] = match way {
        Way::Direct => &[("engine's stand-in", &engine)],
        Way::Agent => &[("agent", &agent)],
        Way::Entry => &[("entry", &entry), ("agent", &agent)],
    };
    for (name, spent) in shown {
        cost.push(&[
            &way.name(),
            &callers,
            name,
            &format!("{:.0}", spent.us_per_request(tally.correct)),
            &format!("{:.0}", spent.per_core(tally.correct)),
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
        time: TIME,
        requests: usize::MAX,
        cache_tokens: u64::MAX,
        drain: DRAIN,
        seed: SEED,
    };
    drive.run(client).await.whole()
}

fn check(way: Way, tally: &Tally) -> Result<(), Error> {
    if tally.sent > tally.correct {
        let Tally { sent, correct, refused, unknown, failed, abandoned, .. } = tally;
        println!("measure: of {sent}, {correct} right, {refused} refused, {unknown} unknown");
        println!("measure: {failed} cut, {abandoned} open");
    }
    for sample in &tally.samples {
        println!("measure: {}: {sample}", way.name());
    }
    if tally.wrong == 0 && tally.correct > 0 {
        return Ok(());
    }
    let seen = format!("{} right, {} wrong: {:?}", tally.correct, tally.wrong, tally.samples);
    Err(Error::Wrong { step: way.name(), seen })
}
