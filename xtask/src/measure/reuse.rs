//! Cache reuse of returning chats and balance of load between engines, by placement.

mod counts;
mod trial;

use fleet::Binaries;
use fleet::Deployment;
use fleet::backend::Model;
use fleet::http::Client;
use fleet::load::Reuse;
use futures_util::future::join_all;

use crate::error::Error;
use crate::measure;
use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::reuse::trial::Trial;
use crate::measure::round::ms;
use crate::measure::round::percent;
use crate::measure::start::start;
use crate::measure::table::Table;

/// Placement settings of entries, the product's own first.
const PLACEMENTS: [&str; 5] = ["bounded", "rendezvous", "pair", "least", "random"];
/// Name of the model.
const MODEL: &str = "motion";

/// Runs the measurement and returns its page.
///
/// # Errors
///
/// [`Error::Fleet`] if a deployment can't be started or its metrics can't be read,
/// [`Error::Unexpected`] if an answer is wrong or none is right.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::current();
    let mut tables = Vec::new();
    for deployment in [Deployment::sofia(), Deployment::tallinn()] {
        tables.extend(measure_placements(&binaries, &deployment).await?);
    }
    Ok(page(machine, tables))
}

/// Loads a deployment for each placement, all at the same time, and returns the
/// tables.
async fn measure_placements(binaries: &Binaries, base: &Deployment) -> Result<Vec<Table>, Error> {
    let client = Client::new().await?;
    let mut fleets = Vec::new();
    for placement in PLACEMENTS {
        let deployment = deployment(base, placement);
        fleets.push(start(&deployment, &measure::intent(), binaries, &client).await?);
    }
    let trials = fleets.into_iter().map(|fleet| Trial::run(fleet, &client));
    let trials: Vec<Trial> = join_all(trials).await.into_iter().collect::<Result<_, _>>()?;
    let mut reuse = Table::new(
        &format!("{}: reuse, in percent of the tokens of earlier turns", base.cluster),
        &[
            "placement",
            "sent",
            "answers",
            "refused",
            "cut",
            "steady",
            "oracle",
            "one cache",
            "after loss",
            "oracle",
            "end",
            "oracle",
        ],
    );
    let mut load = Table::new(
        &format!("{}: load and cost", base.cluster),
        &[
            "placement",
            "max/mean p50",
            "max/mean p99",
            "highest load",
            "above the bound",
            "first token p95 ms",
            "control B/s",
            "notes B/s an entry",
            "core % a process",
            "cores in all",
        ],
    );
    let mut counts = counts::table(&base.cluster);
    for (placement, trial) in PLACEMENTS.into_iter().zip(&trials) {
        check(placement, trial)?;
        add_reuse_row(placement, trial, &mut reuse);
        add_load_row(placement, trial, &mut load);
        trial.counts.add_row(placement, &mut counts);
    }
    Ok(vec![reuse, load, counts])
}

fn deployment(base: &Deployment, placement: &str) -> Deployment {
    let model = Model {
        prefill_per_token: trial::PREFILL_PER_TOKEN,
        token_gap: trial::TOKEN_GAP,
        cache_tokens: trial::CACHE_TOKENS,
        slots: trial::SLOTS,
        ..Model::new(&[MODEL])
    };
    Deployment { plain_engines: 0, model, placement: placement.to_owned(), ..base.clone() }
}

fn check(placement: &'static str, trial: &Trial) -> Result<(), Error> {
    let whole = trial.report.whole();
    if whole.wrong == 0 && whole.correct > 0 {
        return Ok(());
    }
    let actual = format!("{} right, {} wrong: {:?}", whole.correct, whole.wrong, whole.samples);
    Err(Error::Unexpected { step: placement, actual })
}

fn add_reuse_row(placement: &str, trial: &Trial, table: &mut Table) {
    let whole = trial.report.whole();
    let steady = trial.report.reuse(trial::STEADY_SECONDS);
    let after = trial.report.reuse(trial::AFTER_LOSS_SECONDS);
    let end = trial.report.reuse(trial::END_SECONDS);
    let kept = |reuse: &Reuse| percent(reuse.earlier_cached_share());
    let oracle = |reuse: &Reuse| percent(reuse.earlier_simulated_share());
    table.push(&[
        &placement,
        &whole.sent,
        &whole.correct,
        &whole.refused,
        &(whole.failed + whole.unknown + whole.abandoned),
        &kept(&steady),
        &oracle(&steady),
        &percent(steady.shared_cache_share()),
        &kept(&after),
        &oracle(&after),
        &kept(&end),
        &oracle(&end),
    ]);
}

fn add_load_row(placement: &str, trial: &Trial, table: &mut Table) {
    let ratios = trial.ratios();
    table.push(&[
        &placement,
        &format!("{:.2}", quantile(&ratios, 0.5)),
        &format!("{:.2}", quantile(&ratios, 0.99)),
        &trial.highest_load(),
        &trial.above_bound(),
        &ms(&trial.report.whole().first_token, 0.95),
        &format!("{:.0}", trial.control),
        &format!("{:.0}", trial.notes),
        &format!("{:.2}", trial.core * 100.0),
        &format!("{:.2}", trial.cores),
    ]);
}

/// Returns a quantile of sorted values, 0 if there are none.
fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

fn page(machine: Machine, tables: Vec<Table>) -> Page {
    let seconds = |range: std::ops::Range<usize>| format!("{} to {} s", range.start, range.end);
    Page {
        title: "Cache reuse of returning chats".to_owned(),
        name: "reuse",
        method: vec![
            format!(
                "The present deployment sizes of both users, in three data centres each; \
                 optimised builds on one machine, a deployment for each placement, those of one \
                 user at the same time. {} requests a second per engine arrive at random times \
                 for {} s, from 50 chats per engine that are chosen by a Zipf law with exponent \
                 1; each opens with 600 tokens, grows by 28 a turn and is replaced after 12 \
                 turns. An engine runs {} requests at once, caches {} tokens, processes a prompt \
                 token in {:?} and generates each of the 8 tokens of an answer in {:?}. The VM of \
                 one engine is lost after {} s.",
                trial::RATE_PER_ENGINE,
                trial::LOAD_TIME.as_secs(),
                trial::SLOTS,
                trial::CACHE_TOKENS,
                trial::PREFILL_PER_TOKEN,
                trial::TOKEN_GAP,
                trial::LOSS_AT.as_secs()
            ),
            format!(
                "*steady* is {}, *after loss* {}, *end* {}. Reuse is counted over all requests \
                 sent: one that was refused or cut reused nothing. *oracle* beside it knows all \
                 caches and loads of simulated engines of the same size and is given the same \
                 requests; it refuses none. *one cache* is what a single cache of the same total \
                 size would have reused of the prompts that were answered.",
                seconds(trial::STEADY_SECONDS),
                seconds(trial::AFTER_LOSS_SECONDS),
                seconds(trial::END_SECONDS)
            ),
            "*max/mean* is the highest load of an engine divided by the mean, in running and \
             waiting requests as the agents count them, sampled twice a second while steady; \
             *above the bound* counts samples of an engine above the limit of \
             `decisions/gate.md` for the mean of the same sample. *control* is the mean of \
             all processes, without notes; *notes* are the bytes of their bodies. *core* is \
             the mean of all daemons until the loss, *cores in all* the sum of all daemons \
             and stand-ins of the deployment."
                .to_owned(),
        ],
        machine,
        tables,
    }
}
