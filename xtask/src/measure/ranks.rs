//! Service that each rank and account gets under loads from calm to floods.

mod busy;
mod scene;
mod variant;

use std::time::Duration;

use fleet::Binaries;
use fleet::Deployment;
use fleet::backend::Model;
use fleet::http::Client;
use fleet::load::Generator;
use fleet::load::Report;
use fleet::load::Shape;

use crate::error::Error;
use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::ranks::busy::Busy;
use crate::measure::ranks::scene::Scene;
use crate::measure::ranks::variant::Variant;
use crate::measure::round::ms;
use crate::measure::round::percent;
use crate::measure::round::within;
use crate::measure::start::start;
use crate::measure::table::Table;

/// Time to wait for the last answers; callers then hang up.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Most requests under way; those beyond are not sent.
const MAX_IN_FLIGHT: usize = 8000;
/// Seed of the load.
const SEED: u64 = 3;
/// Tokens of each answer.
const OUTPUT_TOKENS: u32 = 16;
/// Tokens of each prompt.
const PROMPT_TOKENS: usize = 50;
/// Time between tokens.
const TOKEN_GAP: Duration = Duration::from_millis(60);
/// Time to process a prompt token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(500);
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
    let capacity = capacity(&deployment());
    let client = Client::new().await?;
    let mut busy = Table::new("Processor time and attempts", &busy::COLUMNS);
    let mut tables = Vec::new();
    for variant in variant::ALL {
        for scene in scene::all().iter().filter(|scene| variant.includes(scene)) {
            let (report, used) = run_scene(variant, scene, capacity, &binaries, &client).await?;
            check(scene, &report)?;
            let title = format!("{}{}", scene.title, variant.suffix);
            used.add_row(&title, &report, &mut busy);
            tables.push(table(&title, scene, &report));
        }
    }
    tables.push(busy);
    Ok(page(machine, capacity, tables))
}

fn page(machine: Machine, capacity: f64, tables: Vec<Table>) -> Page {
    Page {
        title: "Ranks and accounts from calm to floods".to_owned(),
        name: "ranks",
        method: vec![
            format!(
                "Two entries and ten model engines that serve one model, optimised builds on one \
                 machine, a fresh deployment for each scene. An engine runs 8 requests at once, \
                 so that all together can answer {capacity:.0} requests a second: {PROMPT_TOKENS} \
                 prompt tokens at {} µs and {OUTPUT_TOKENS} output tokens at {} ms. Requests \
                 arrive at random times, at the multiples of that capacity in the titles.",
                PREFILL_PER_TOKEN.as_micros(),
                TOKEN_GAP.as_millis()
            ),
            format!(
                "A scene lasts {} s, a scene of a surge {} s. The floods and twice the capacity \
                 are repeated as baselines with all work in one rank, whose target is 2 s, and \
                 requests placed at a random engine or at the least loaded one.",
                scene::SCENE_TIME.as_secs(),
                scene::SURGE_TIME.as_secs()
            ),
            "*served* is right answers in percent of requests sent; *in time* is answers \
             whose first token came within the rank's target, in percent of requests sent; \
             *open* counts requests whose callers hung up 2 s after the end; *not sent* \
             counts requests beyond 8,000 under way or whose chat had a turn under way. Times \
             are those of answers only."
                .to_owned(),
            "The last table shows the cores that were busy on average: those of entries, \
             agents and engines' stand-ins, of this program, which sends the load, and of the \
             whole machine, other programs included."
                .to_owned(),
        ],
        machine,
        tables,
    }
}

fn deployment() -> Deployment {
    let model = Model {
        prefill_per_token: PREFILL_PER_TOKEN,
        token_gap: TOKEN_GAP,
        ..Model::new(&[MODEL])
    };
    Deployment { plain_engines: 0, model, ..Deployment::sofia() }
}

/// Returns the requests a second that all engines together can answer.
fn capacity(deployment: &Deployment) -> f64 {
    let service = TOKEN_GAP * OUTPUT_TOKENS + PREFILL_PER_TOKEN * PROMPT_TOKENS as u32;
    let slots = deployment.model_engines as f64 * f64::from(deployment.model.slots);
    slots / service.as_secs_f64()
}

/// Runs a scene on a deployment of its own.
async fn run_scene(
    variant: &Variant,
    scene: &Scene,
    capacity: f64,
    binaries: &Binaries,
    client: &Client,
) -> Result<(Report, Busy), Error> {
    let deployment = Deployment { placement: variant.placement.to_owned(), ..deployment() };
    let fleet = start(&deployment, &variant.intent(), binaries, client).await?;
    let drive = Generator {
        servers: fleet.entries.iter().map(|entry| entry.vm.data).collect(),
        classes: scene.classes(),
        shape: Shape::Open { rate: capacity * scene.load(), max_in_flight: MAX_IN_FLIGHT },
        time: scene.time,
        requests: usize::MAX,
        cache_tokens: u64::MAX,
        drain: DRAIN_TIMEOUT,
        seed: SEED,
    };
    let baseline = Busy::start(&fleet);
    let report = drive.run(client).await;
    let busy = baseline.finish(&fleet, client).await?;
    fleet.stop();
    Ok((report, busy))
}

fn check(scene: &Scene, report: &Report) -> Result<(), Error> {
    let whole = report.whole();
    if whole.wrong == 0 && whole.correct > 0 {
        return Ok(());
    }
    let actual = format!("{} right, {} wrong: {:?}", whole.correct, whole.wrong, whole.samples);
    Err(Error::Unexpected { step: scene.title, actual })
}

fn table(title: &str, scene: &Scene, report: &Report) -> Table {
    let mut table = Table::new(
        title,
        &[
            "who",
            "sent",
            "served",
            "in time",
            "refused",
            "cut",
            "open",
            "not sent",
            "first p50 ms",
            "first p95 ms",
            "gap p95 ms",
        ],
    );
    for (part, row) in scene.parts.iter().zip(&report.classes) {
        let tally = &row.tally;
        let sent = tally.sent.max(1) as f64;
        let in_time =
            within(&tally.first_token, part.caller.first_token_ms()) * tally.correct as f64;
        table.push(&[
            &row.name,
            &tally.sent,
            &percent(tally.correct as f64 / sent),
            &percent(in_time / sent),
            &tally.refused,
            &(tally.failed + tally.unknown),
            &tally.abandoned,
            &tally.skipped,
            &ms(&tally.first_token, 0.5),
            &ms(&tally.first_token, 0.95),
            &ms(&tally.token_gap, 0.95),
        ]);
    }
    table
}
