//! What control costs a process, and how long a revision takes to be in force everywhere.

mod change;
mod idle;
mod slope;
mod views;

use std::time::Duration;
use std::time::Instant;

use fleet::Binaries;
use fleet::Deployment;
use fleet::Fleet;
use fleet::backend::Model;
use fleet::http::Client;
use rpc::Key;
use rpc::Pool;

use crate::error::Error;
use crate::measure::control::change::Change;
use crate::measure::control::idle::Idle;
use crate::measure::control::idle::Start;
use crate::measure::control::slope::Slopes;
use crate::measure::control::views::Views;
use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::table::Table;

/// Processes of each deployment.
const SIZES: [usize; 3] = [10, 40, 100];
/// Daemons that share one entry.
const PER_ENTRY: usize = 10;
/// Fewest entries.
const MIN_ENTRIES: usize = 2;
/// Data centres.
const CENTRES: usize = 8;
/// How long is counted.
const TIME: Duration = Duration::from_secs(20);
/// Heads of the columns of whole views.
const VIEWS: [&str; 3] = ["processes", "after the first confirm", "after a mass restart"];
/// Time from whole views to the steady figures: what news took of its budget of
/// bytes is saved up again by then, and descriptions go in turn as they do always.
const SETTLE: Duration = Duration::from_secs(65);

/// Takes the measurement.
///
/// # Errors
///
/// Why a deployment can't be started or changed.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::now();
    let mut tables = Tables::new();
    for size in SIZES {
        let fleet = Fleet::start(&deployment(size), &binaries)?;
        let fleet = measure(fleet, size, &mut tables).await?;
        for late in fleet.stop() {
            println!("{} had to be killed", late.name);
        }
    }
    let Tables { views, idle, change, slopes } = tables;
    Ok(page(machine, vec![views, idle, slopes.table(), change]))
}

/// The tables of the page, still growing.
struct Tables {
    views: Table,
    idle: Table,
    change: Table,
    slopes: Slopes,
}

impl Tables {
    fn new() -> Tables {
        Tables {
            views: Table::new("Until every process sees every other one work", &VIEWS),
            idle: Table::new("A process without requests", &idle::HEAD),
            change: Table::new("From a confirm to in force at the last process", &change::HEAD),
            slopes: Slopes::default(),
        }
    }
}

/// All figures of one size.
async fn measure(mut fleet: Fleet, size: usize, tables: &mut Tables) -> Result<Fleet, Error> {
    let client = Client::new().await?;
    let pool = Pool::new(key()?, size);
    Idle::take(&fleet, &client, TIME).await?.add(
        size,
        "from the start, nothing confirmed",
        &mut tables.idle,
    );
    let start = Instant::now();
    change::first(&fleet)?;
    let first = Views::wait(&fleet, &pool, start).await;
    tokio::time::sleep(SETTLE).await;
    let steady = Idle::take(&fleet, &client, TIME).await?;
    steady.add(size, "steady", &mut tables.idle);
    tables.slopes.add(size, &steady);
    for fails in [false, true] {
        let count = Start::take(&fleet, &client).await?;
        let change = Change::take(&fleet, &client, fails).await?;
        change.add(size, fails, &mut tables.change);
        let when = if fails { "changes, service fails" } else { "changes" };
        count.end(&fleet, &client).await?.add(size, when, &mut tables.idle);
    }
    let (restart, cost) = restart(&mut fleet, &client, &pool).await?;
    cost.add(size, "mass restart", &mut tables.idle);
    tables.views.push(&[&size, &first.shown(), &restart.shown()]);
    Ok(fleet)
}

/// Ends and starts all processes at once.
async fn restart(fleet: &mut Fleet, client: &Client, pool: &Pool) -> Result<(Views, Idle), Error> {
    let start = Instant::now();
    fleet.restart()?;
    let count = Start::anew(fleet, client).await?;
    let views = Views::wait(fleet, pool, start).await;
    let left = TIME.saturating_sub(start.elapsed());
    tokio::time::sleep(left).await;
    Ok((views, count.end(fleet, client).await?))
}

fn key() -> Result<Key, Error> {
    let wrong =
        |error: rpc::Error| Error::Unexpected { step: "peer key", actual: error.to_string() };
    Key::new(fleet::PEER_KEY).map_err(wrong)
}

fn deployment(size: usize) -> Deployment {
    let entries = (size / PER_ENTRY).max(MIN_ENTRIES);
    Deployment {
        centres: (1..=CENTRES).map(|number| format!("c{number}")).collect(),
        entries,
        model_engines: size - entries,
        model: Model::new(&["motion"]),
        plain_engines: 0,
        workers: 1,
        ..Deployment::sofia()
    }
}

fn page(machine: Machine, tables: Vec<Table>) -> Page {
    let fleets = format!(
        "Fleets of {SIZES:?} daemons, a tenth of them entries, in {CENTRES} data centres, \
         optimised builds on one machine with one stand-in engine an agent and no requests. \
         Bytes are those of the payload of control calls, both ways, without the envelopes of \
         JSON-RPC and the headers of WebSocket, TCP and IP, and without what a watcher reads \
         of the key-value service. Calls are those of the whole fleet at the key-value service; \
         opening a watch is one of the reads, and the operators' command line makes some of \
         the reads and all of the writes. Steady figures are of {} s and begin {} s after all \
         views were whole; those of a mass restart begin when all processes listen again.",
        TIME.as_secs(),
        SETTLE.as_secs(),
    );
    let changes = format!(
        "A change confirms a plan with one account's weight changed, {} times. The time begins \
         before the command line is started and ends with the last time at which a process \
         logged that the revision is in force; it is thus an upper bound. A round that took \
         longer than 20 s is given as 20 s. *fails* means that the key-value service is down \
         from the moment that the confirm has returned.",
        change::ROUNDS
    );
    Page {
        title: "Control".to_owned(),
        name: "control",
        method: vec![fleets, changes],
        machine,
        tables,
    }
}
