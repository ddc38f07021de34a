//! What control traffic costs a process, and how long a revision takes to be in
//! force at all processes.

mod change;
mod rates;
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
use crate::measure::control::rates::Baseline;
use crate::measure::control::rates::Rates;
use crate::measure::control::slope::Slopes;
use crate::measure::control::views::Views;
use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::table::Table;

/// Numbers of daemons of the deployments that are measured.
const SIZES: [usize; 3] = [10, 40, 100];
/// Daemons per entry, the entry included.
const DAEMONS_PER_ENTRY: usize = 10;
/// Fewest entries of a deployment.
const MIN_ENTRIES: usize = 2;
/// Data centres.
const CENTRES: usize = 8;
/// Time over which rates are counted.
const RATE_TIME: Duration = Duration::from_secs(20);
/// Columns of the table of complete views.
const VIEW_COLUMNS: [&str; 3] = ["processes", "after the first confirm", "after a mass restart"];
/// Time from complete views to the steady figures: by then the byte budget that
/// news used up is full again, and descriptions are sent in turn as usual.
const SETTLE_TIME: Duration = Duration::from_secs(65);

/// Runs the measurement and returns its page.
///
/// # Errors
///
/// [`Error::Fleet`] if a deployment can't be started, asked or restarted,
/// [`Error::Unexpected`] if a plan or a confirm prints something else than expected.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::current();
    let mut tables = Tables::new();
    for size in SIZES {
        let fleet = Fleet::start(&deployment(size), &binaries)?;
        let fleet = measure(fleet, size, &mut tables).await?;
        for late in fleet.stop() {
            println!("{} had to be killed", late.name);
        }
    }
    let Tables { views, rates, change, slopes } = tables;
    Ok(page(machine, vec![views, rates, slopes.table(), change]))
}

/// The tables of the page, to which each deployment adds its rows.
struct Tables {
    views: Table,
    rates: Table,
    change: Table,
    slopes: Slopes,
}

impl Tables {
    fn new() -> Tables {
        Tables {
            views: Table::new("Until every process sees every other one work", &VIEW_COLUMNS),
            rates: Table::new("A process without requests", &rates::COLUMNS),
            change: Table::new("From a confirm to in force at the last process", &change::COLUMNS),
            slopes: Slopes::default(),
        }
    }
}

/// Measures a deployment of one size, adds its rows and returns it.
async fn measure(mut fleet: Fleet, size: usize, tables: &mut Tables) -> Result<Fleet, Error> {
    let client = Client::new().await?;
    let pool = Pool::new(key()?, size);
    Rates::measure(&fleet, &client, RATE_TIME).await?.add_row(
        size,
        "from the start, nothing confirmed",
        &mut tables.rates,
    );
    let start = Instant::now();
    change::confirm_intent(&fleet)?;
    let first = Views::wait(&fleet, &pool, start).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let steady = Rates::measure(&fleet, &client, RATE_TIME).await?;
    steady.add_row(size, "steady", &mut tables.rates);
    tables.slopes.add(size, &steady);
    for has_outage in [false, true] {
        let baseline = Baseline::take(&fleet, &client).await?;
        let change = Change::measure(&fleet, &client, has_outage).await?;
        change.add_row(size, has_outage, &mut tables.change);
        let when = if has_outage { "changes, service fails" } else { "changes" };
        baseline.finish(&fleet, &client).await?.add_row(size, when, &mut tables.rates);
    }
    let (restart, rates) = restart(&mut fleet, &client, &pool).await?;
    rates.add_row(size, "mass restart", &mut tables.rates);
    tables.views.push(&[&size, &first.summary(), &restart.summary()]);
    Ok(fleet)
}

/// Restarts all processes at once and returns how long their views took to be
/// complete, and the rates until at least [`RATE_TIME`] after the restart began.
async fn restart(fleet: &mut Fleet, client: &Client, pool: &Pool) -> Result<(Views, Rates), Error> {
    let start = Instant::now();
    fleet.restart()?;
    let baseline = Baseline::of_restarted(fleet, client).await?;
    let views = Views::wait(fleet, pool, start).await;
    let left = RATE_TIME.saturating_sub(start.elapsed());
    tokio::time::sleep(left).await;
    Ok((views, baseline.finish(fleet, client).await?))
}

fn key() -> Result<Key, Error> {
    let unexpected =
        |error: rpc::Error| Error::Unexpected { step: "peer key", actual: error.to_string() };
    Key::new(fleet::PEER_KEY).map_err(unexpected)
}

fn deployment(size: usize) -> Deployment {
    let entries = (size / DAEMONS_PER_ENTRY).max(MIN_ENTRIES);
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
         optimised builds on one machine with one stand-in engine per agent and no \
         requests. Bytes are the payload of control calls in both directions, without the \
         envelopes of JSON-RPC, the headers of WebSocket, TCP and IP, and what a watcher \
         reads of the key-value service. Calls are those of the whole fleet at the \
         key-value service; opening a watch counts as a read, and the operators' command \
         line makes some of the reads and all of the writes. Steady figures cover {} s \
         and begin {} s after all views were complete; those of a mass restart begin when \
         all processes listen again.",
        RATE_TIME.as_secs(),
        SETTLE_TIME.as_secs(),
    );
    let changes = format!(
        "A change confirms a plan with another weight of one account, {} times. The time \
         begins before the command line is started and ends with the last time at which a \
         process logged that the revision is in force, so it is an upper bound. A round \
         that took longer than 20 s counts as 20 s. *fails* means that the key-value \
         service is down from the moment that the confirm has returned.",
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
