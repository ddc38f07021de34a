//! What each rank and account gets from calm to floods.

mod busy;
mod scene;
mod way;

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
use crate::measure::ranks::way::Way;
use crate::measure::round::ms;
use crate::measure::round::percent;
use crate::measure::round::within;
use crate::measure::start::start;
use crate::measure::table::Table;

/// How long the last answers are waited for.
const DRAIN: Duration = Duration::from_secs(2);
/// Requests under way beyond which none is sent.
const MOST: usize = 8000;
/// Seed of the load.
const SEED: u64 = 3;
/// Tokens of each answer.
const OUTPUT: u32 = 16;
/// Tokens of each question.
const PROMPT: usize = 50;
/// Time between tokens.
const TOKEN_GAP: Duration = Duration::from_millis(60);
/// Time to read a token.
const PREFILL: Duration = Duration::from_micros(500);
/// The model.
const MODEL: &str = "motion";

/// Takes the measurement.
///
/// # Errors
///
/// Why the deployment can't be started, or [`Error::Wrong`] with a wrong answer.
pub(crate) async fn run(binaries: Binaries) -> Result<Page, Error> {
    let machine = Machine::now();
    let capacity = capacity(&deployment());
    let client = Client::new().await?;
    let mut busy = Table::new("Processor time and attempts", &busy::HEAD);
    let mut tables = Vec::new();
    for way in way::ALL {
        for scene in scene::all().iter().filter(|scene| way.plays(scene)) {
            let (report, used) = play(way, scene, capacity, &binaries, &client).await?;
            check(scene, &report)?;
            let title = format!("{}{}", scene.title, way.suffix);
            used.add(&title, &report, &mut busy);
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
                "Two entries and ten model engines that hold one model, optimised builds on one \
                 machine, a fresh deployment a scene. An engine runs 8 requests at once, \
                 so that all together can answer {capacity:.0} requests a second: {PROMPT} \
                 prompt tokens at {} µs, {OUTPUT} tokens at {} ms. Requests arrive at random, at \
                 the multiples of that capacity in the titles.",
                PREFILL.as_micros(),
                TOKEN_GAP.as_millis()
            ),
            format!(
                "A scene lasts {} s, those of a surge {} s. The floods and twice the capacity are \
                 played again with all work in one rank, whose target is 2 s, at an engine by \
                 chance and at the least loaded one.",
                scene::TIME.as_secs(),
                scene::LONG.as_secs()
            ),
            "*served* is right answers in percent of requests sent; *in time* is answers whose \
             first token came within the rank's target, in percent of requests sent; *open* are \
             requests whose callers hung up 2 s after the end; *not sent* are those beyond 8,000 \
             under way or whose chat had a turn under way. Times are of answers only."
                .to_owned(),
            "The last table gives cores that were busy on average: of entries, agents and \
             engines' stand-ins, of this program, which sends the load, and of the whole \
             machine, whatever else runs on it."
                .to_owned(),
        ],
        machine,
        tables,
    }
}

fn deployment() -> Deployment {
    let model = Model { prefill_per_token: PREFILL, token_gap: TOKEN_GAP, ..Model::new(&[MODEL]) };
    Deployment { plain_engines: 0, model, ..Deployment::sofia() }
}

/// Requests a second that all engines can answer.
fn capacity(deployment: &Deployment) -> f64 {
    let service = TOKEN_GAP * OUTPUT + PREFILL * PROMPT as u32;
    let slots = deployment.model_engines as f64 * f64::from(deployment.model.slots);
    slots / service.as_secs_f64()
}

async fn play(
    way: &Way,
    scene: &Scene,
    capacity: f64,
    binaries: &Binaries,
    client: &Client,
) -> Result<(Report, Busy), Error> {
    let deployment = Deployment { placement: way.placement.to_owned(), ..deployment() };
    let fleet = start(&deployment, &way.intent(), binaries, client).await?;
    let drive = Generator {
        servers: fleet.entries.iter().map(|entry| entry.vm.data).collect(),
        classes: scene.classes(),
        shape: Shape::Open { rate: capacity * scene.load(), max_in_flight: MOST },
        time: scene.time,
        requests: usize::MAX,
        cache_tokens: u64::MAX,
        drain: DRAIN,
        seed: SEED,
    };
    let busy = Busy::start(&fleet);
    let report = drive.run(client).await;
    let busy = busy.end(&fleet, client).await?;
    fleet.stop();
    Ok((report, busy))
}

fn check(scene: &Scene, report: &Report) -> Result<(), Error> {
    let whole = report.whole();
    if whole.wrong == 0 && whole.correct > 0 {
        return Ok(());
    }
    let seen = format!("{} right, {} wrong: {:?}", whole.correct, whole.wrong, whole.samples);
    Err(Error::Wrong { step: scene.title, seen })
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
        let in_time = within(&tally.first_token, part.who.first_token_ms()) * tally.correct as f64;
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
