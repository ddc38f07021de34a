//! Cache reuse of returning chats, and how evenly engines are loaded.

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

/// Ways to place chats, the product's own first.
const PLACEMENTS: [&str; 5] = ["bounded", "rendezvous", "pair", "least", "random"];
/// The model.
const MODEL: &str = "motion";

/// Takes the measurement.
///
/// # Errors
///
/// Why a deployment can't be started, or [`Error::Wrong`] with a wrong answer.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::now();
    let mut tables = Vec::new();
    for deployment in [Deployment::sofia(), Deployment::tallinn()] {
        tables.extend(user(&binaries, &deployment).await?);
    }
    Ok(page(machine, tables))
}

/// Loads one deployment a placement, all at the same time.
async fn user(binaries: &Binaries, base: &Deployment) -> Result<Vec<Table>, Error> {
    let client = Client::new().await?;
    let mut fleets = Vec::new();
    for placement in PLACEMENTS {
        let deployment = deployment(base, placement);
        fleets.push(start(&deployment, &measure::intent(), binaries, &client).await?);
    }
    let trials = fleets.into_iter().map(|fleet| Trial::take(fleet, &client));
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
        add_reuse(placement, trial, &mut reuse);
        add_load(placement, trial, &mut load);
        trial.counts.add(placement, &mut counts);
    }
    Ok(vec![reuse, load, counts])
}

fn deployment(base: &Deployment, placement: &str) -> Deployment {
    let model = Model {
        prefill_per_token: trial::PREFILL,
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
    let seen = format!("{} right, {} wrong: {:?}", whole.correct, whole.wrong, whole.samples);
    Err(Error::Wrong { step: placement, seen })
}

fn add_reuse(placement: &str, trial: &Trial, table: &mut Table) {
    let whole = trial.report.whole();
    let steady = trial.report.reuse(trial::STEADY);
    let after = trial.report.reuse(trial::AFTER);
    let end = trial.report.reuse(trial::END);
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

fn add_load(placement: &str, trial: &Trial, table: &mut Table) {
    let ratios = trial.ratios();
    table.push(&[
        &placement,
        &format!("{:.2}", quantile(&ratios, 0.5)),
        &format!("{:.2}", quantile(&ratios, 0.99)),
        &trial.highest(),
        &trial.above(),
        &ms(&trial.report.whole().first_token, 0.95),
        &format!("{:.0}", trial.control),
        &format!("{:.0}", trial.notes),
        &format!("{:.2}", trial.core * 100.0),
        &format!("{:.2}", trial.cores),
    ]);
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

fn page(machine: Machine, tables: Vec<Table>) -> Page {
    let second = |range: std::ops::Range<usize>| format!("{} to {} s", range.start, range.end);
    Page {
        title: "Cache reuse of returning chats".to_owned(),
        name: "reuse",
        method: vec![
            format!(
                "Both users' sizes of today, in three data centres each; optimised builds on one \
                 machine, a deployment a placement, those of one user at the same time. \
                 {} requests a second an engine arrive at random for {} s, from 50 chats an \
                 engine that return by a zipf law with exponent 1; each opens with 600 tokens, \
                 grows by 28 a turn and is replaced after 12 turns. An engine runs {} requests at \
                 once, caches {} tokens, reads a token in {:?} and makes one of 8 in {:?}. The VM \
                 of one engine is lost after {} s.",
                trial::RATE,
                trial::TIME.as_secs(),
                trial::SLOTS,
                trial::CACHE_TOKENS,
                trial::PREFILL,
                trial::TOKEN_GAP,
                trial::LOSS.as_secs()
            ),
            format!(
                "*steady* is {}, *after loss* {}, *end* {}. Reuse is counted over all requests \
                 sent: one that was refused or cut reused nothing. *oracle* beside it is one who \
                 knows all caches and loads, at a model of the same engines given the same \
                 requests; it refuses none. *one cache* is what a single cache of the same total \
                 size would have reused of the prompts that were answered.",
                second(trial::STEADY),
                second(trial::AFTER),
                second(trial::END)
            ),
            "*max/mean* is the highest load of an engine over the mean, running and waiting as \
             the agents count them, sampled twice a second while steady; *above the bound* counts \
             samples of an engine above the formula of `decisions/gate.md` for the mean of the \
             same sample. *control* is the mean of all processes, without notes; *notes* are the \
             bytes of their bodies. *core* is the mean of all daemons until the loss, *cores in \
             all* that of all daemons and stand-ins of the deployment."
                .to_owned(),
        ],
        machine,
        tables,
    }
}
