//! Processor time and memory of streamed tokens at an entry and at agents.

use std::time::Duration;
use std::time::Instant;

use fleet::Binaries;
use fleet::Deployment;
use fleet::Fleet;
use fleet::Process;
use fleet::Usage;
use fleet::backend::Model;
use fleet::http::Client;
use fleet::load::Class;
use fleet::load::Generator;
use fleet::load::Shape;
use fleet::load::Tally;
use tokio::time::sleep;

use crate::error::Error;
use crate::measure;
use crate::measure::cost::Cost;
use crate::measure::machine::Machine;
use crate::measure::page::Page;
use crate::measure::round::ms;
use crate::measure::start::start;
use crate::measure::table::Table;

/// Streams under way at once, a row each.
const STREAMS: [usize; 4] = [8, 32, 64, 96];
/// Answers that each caller waits for.
const ANSWERS: usize = 2;
/// Tokens of an answer: those of the letter's peak a second by its requests a second.
const OUTPUT: u32 = 223;
/// Time between tokens: the letter's bound for 95 in 100.
const TOKEN_GAP: Duration = Duration::from_millis(71);
/// How long idle processes are watched.
const IDLE: Duration = Duration::from_secs(10);
/// Longest time of a row.
const TIME: Duration = Duration::from_secs(120);
/// Engines before which one entry stands.
const ENGINES: usize = 4;
/// Requests that an engine runs at once.
const SLOTS: u32 = 64;
/// Seed of the load.
const SEED: u64 = 5;
/// The model.
const MODEL: &str = "motion";

/// Processor time and memory of one role.
struct Role {
    name: &'static str,
    pids: Vec<u32>,
    /// Parts of a core that all its processes take while idle.
    idle: f64,
}

impl Role {
    async fn watch<'a>(name: &'static str, processes: impl Iterator<Item = &'a Process>) -> Role {
        let pids: Vec<u32> = processes.map(Process::pid).collect();
        let cost = Cost::of(&pids);
        sleep(IDLE).await;
        let idle = cost.spent().as_secs_f64() / IDLE.as_secs_f64();
        Role { name, pids, idle }
    }

    /// Mean resident memory of a process, in bytes.
    fn memory(&self) -> f64 {
        let sum: u64 = self.pids.iter().map(|pid| Usage::of(*pid).memory).sum();
        sum as f64 / self.pids.len().max(1) as f64
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
    let entries = Role::watch("entry", fleet.entries.iter().map(|node| &node.process)).await;
    let agents = fleet.endpoints.iter().map(|endpoint| &endpoint.agent.process);
    let agents = Role::watch("agent", agents).await;
    let mut table = Table::new(
        "Streams",
        &[
            "streams",
            "role",
            "tokens/s a process",
            "core % a process",
            "of which idle",
            "µs a token",
            "memory MB a process",
            "gap p95 ms",
            "failed",
        ],
    );
    for streams in STREAMS {
        row(&fleet, &client, streams, &[&entries, &agents], &mut table).await?;
    }
    fleet.stop();
    Ok(page(machine, table))
}

fn page(machine: Machine, table: Table) -> Page {
    Page {
        title: "Processor time and memory of streamed tokens".to_owned(),
        name: "frames",
        method: vec![
            format!(
                "One entry before {ENGINES} engines' stand-ins with an agent each, optimised \
                 builds on one machine. As many callers as the table says ask again once they \
                 have their answer, {ANSWERS} times; an answer has {OUTPUT} tokens, one each {} \
                 ms.",
                TOKEN_GAP.as_millis()
            ),
            format!(
                "Processor time is what the system counts in steps of 10 ms, from the first \
                 request to the last answer. *µs a token* is without the time that the processes \
                 took while idle, watched for {} s before; it includes a request's own cost, one \
                 in {OUTPUT} tokens. *failed* are requests without an answer, whose tokens don't \
                 count. Memory is resident at the end of the row, the whole process.",
                IDLE.as_secs()
            ),
        ],
        machine,
        tables: vec![table],
    }
}

fn deployment() -> Deployment {
    let model = Model { slots: SLOTS, token_gap: TOKEN_GAP, ..Model::new(&[MODEL]) };
    Deployment {
        entries: 1,
        model_engines: ENGINES,
        plain_engines: 0,
        model,
        ..Deployment::sofia()
    }
}

async fn row(
    fleet: &Fleet,
    client: &Client,
    streams: usize,
    roles: &[&Role],
    table: &mut Table,
) -> Result<(), Error> {
    let costs: Vec<Cost> = roles.iter().map(|role| Cost::of(&role.pids)).collect();
    let start = Instant::now();
    let tally = drive(fleet, client, streams).await;
    let seconds = start.elapsed().as_secs_f64();
    check(&tally)?;
    let tokens = (tally.correct * u64::from(OUTPUT)) as f64;
    for (role, cost) in roles.iter().zip(costs) {
        let spent = cost.spent().as_secs_f64();
        let processes = role.pids.len().max(1) as f64;
        table.push(&[
            &streams,
            &role.name,
            &format!("{:.0}", tokens / seconds / processes),
            &format!("{:.2}", spent / seconds / processes * 100.0),
            &format!("{:.2}", role.idle / processes * 100.0),
            &format!("{:.1}", (spent - role.idle * seconds) / tokens * 1e6),
            &format!("{:.1}", role.memory() / 1e6),
            &ms(&tally.token_gap, 0.95),
            &(tally.sent - tally.correct),
        ]);
    }
    Ok(())
}

async fn drive(fleet: &Fleet, client: &Client, streams: usize) -> Tally {
    let class = Class {
        output_tokens: OUTPUT,
        chats: streams * ANSWERS,
        exponent: 0.0,
        ..Class::new("streams", "large", "draft", MODEL)
    };
    let drive = Generator {
        servers: fleet.entries.iter().map(|entry| entry.vm.data).collect(),
        classes: vec![class],
        shape: Shape::Closed { callers: streams },
        time: TIME,
        requests: streams * ANSWERS,
        cache_tokens: u64::MAX,
        drain: TIME,
        seed: SEED,
    };
    drive.run(client).await.whole()
}

fn check(tally: &Tally) -> Result<(), Error> {
    for sample in &tally.samples {
        println!("measure: {sample}");
    }
    if tally.wrong == 0 && tally.correct > 0 {
        return Ok(());
    }
    let seen = format!("{} right, {} wrong: {:?}", tally.correct, tally.wrong, tally.samples);
    Err(Error::Wrong { step: "streams", seen })
}
