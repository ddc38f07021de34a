//! Simulation of the placement decisions over simulated engines, in one process.

mod engine;
mod entry;
mod population;
mod run;
mod setting;
mod tally;
mod work;

use std::ops::Range;
use std::time::Duration;

use policy::placement::Kind;

use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::placement::setting::Loss;
use crate::measure::placement::setting::Setting;
use crate::measure::placement::setting::Variant;
use crate::measure::placement::tally::Tally;
use crate::measure::round::percent;
use crate::measure::table::Table;

/// Time of each run, in simulated time.
const RUN_TIME: Duration = Duration::from_secs(1000);
/// Simulated time at which engines are lost.
const LOSS_AT: Duration = Duration::from_secs(940);
/// Seconds in which caches are full and no engine is lost yet.
const STEADY_SECONDS: Range<usize> = 100..940;
/// Seconds at the end, within a minute of the loss.
const END_SECONDS: Range<usize> = 980..1000;
/// One in this many engines is lost.
const LOST_ONE_IN: usize = 10;

/// Runs the simulations and returns their page; starts no process.
pub(crate) fn run() -> Page {
    let machine = Machine::current();
    let mut table = Table::new(
        "Reuse, in percent of the tokens of earlier turns",
        &[
            "engines",
            "entries",
            "way",
            "steady",
            "oracle",
            "end",
            "oracle",
            "refused",
            "attempts",
            "notes/s an entry",
            "highest load",
            "above the bound",
        ],
    );
    for (engines, entries) in [(10, 2), (12, 2), (12, 8)] {
        for (name, variant) in variants() {
            let loss = Some(Loss { at: LOSS_AT, one_in: LOST_ONE_IN });
            let setting =
                Setting { time: RUN_TIME, loss, ..Setting::new(engines, entries, variant) };
            add_row(&setting, name, &run::run(&setting), &mut table);
        }
    }
    Page {
        title: "Placement alone".to_owned(),
        name: "placement",
        method: vec![
            "The load of `measure reuse` in a discrete-event simulation, so that each run \
             gives the same figures. Entries decide by the product's code with reported \
             loads, recorded places, notes sent each second, the retry budget and the \
             estimate of the mean; gates apply the load bound without ranks. A tenth of the \
             engines is lost a minute before the end; *end* begins 40 s after the loss. \
             *oracle* knows all caches and loads and is given the same requests without a \
             loss. *replicated table* is the product's placement with all places known to all \
             entries at once."
                .to_owned(),
        ],
        machine,
        tables: vec![table],
    }
}

/// Returns the variants that are compared, with the names that the page shows.
fn variants() -> Vec<(&'static str, Variant)> {
    let plain = Kind::ALL.into_iter().skip(1).map(|kind| (kind.name(), Variant::baseline(kind)));
    let own = [
        ("bounded", Variant::PRODUCT),
        ("bounded without places", Variant::baseline(Kind::Bounded)),
        ("replicated table", Variant { is_replicated: true, ..Variant::PRODUCT }),
    ];
    own.into_iter().chain(plain).collect()
}

fn add_row(setting: &Setting, name: &str, tally: &Tally, table: &mut Table) {
    let (steady, end) = (tally.sum(STEADY_SECONDS), tally.sum(END_SECONDS));
    let sent = steady.sent.max(1) as f64;
    let notes = tally.notes as f64 / setting.time.as_secs_f64() / setting.entries as f64;
    table.push(&[
        &setting.engines,
        &setting.entries,
        &name,
        &percent(steady.reuse()),
        &percent(steady.oracle()),
        &percent(end.reuse()),
        &percent(end.oracle()),
        &percent(1.0 - steady.served as f64 / sent),
        &format!("{:.3}", steady.attempts as f64 / sent),
        &format!("{notes:.2}"),
        &tally.highest_load,
        &tally.above_bound,
    ]);
}
