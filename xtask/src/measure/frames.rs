//! Processor time and memory that an entry and agents use for streamed tokens.

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

/// Numbers of concurrent streams, one per row.
const STREAMS: [usize; 4] = [8, 32, 64, 96];
/// Requests of each caller, one after another.
const ANSWERS_PER_CALLER: usize = 2;
/// Tokens of an answer: the required peak of tokens a second divided by the
/// required requests a second.
const OUTPUT_TOKENS: u32 = 223;
/// Time between tokens: the required 95th percentile.
const TOKEN_GAP: Duration = Duration::from_millis(71);
/// Time over which the idle processes are measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Longest time to send the requests of a row, and then to wait for answers.
const MAX_TIME: Duration = Duration::from_secs(120);
/// Engines behind the entry.
const ENGINES: usize = 4;
/// Concurrent requests of an engine.
const SLOTS: u32 = 64;
/// Seed of the load.
const SEED: u64 = 5;
/// Name of the model.
const MODEL: &str = "motion";

/// Processes of one role and the processor time that they use while idle.
struct Role {
    name: &'static str,
    pids: Vec<u32>,
    /// Cores that all processes together use while idle.
    idle_cores: f64,
}

impl Role {
    /// Measures the processes over [`IDLE_TIME`], in which no request may run.
    async fn measure_idle<'a>(
        name: &'static str,
        processes: impl Iterator<Item = &'a Process>,
    ) -> Role {
        let pids: Vec<u32> = processes.map(Process::pid).collect();
        let cost = Cost::of_pids(&pids);
        sleep(IDLE_TIME).await;
        let idle_cores = cost.spent().as_secs_f64() / IDLE_TIME.as_secs_f64();
        Role { name, pids, idle_cores }
    }

    /// Returns the mean resident memory of a process, in bytes.
    fn memory(&self) -> f64 {
        let sum: u64 = self.pids.iter().map(|pid| Usage::of(*pid).memory).sum();
        sum as f64 / self.pids.len().max(1) as f64
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
    let entries = Role::measure_idle("entry", fleet.entries.iter().map(|node| &node.process)).await;
    let agents = fleet.endpoints.iter().map(|endpoint| &endpoint.agent.process);
    let agents = Role::measure_idle("agent", agents).await;
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
        add_rows(&fleet, &client, streams, &[&entries, &agents], &mut table).await?;
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
                "One entry in front of {ENGINES} engines' stand-ins with an agent each, optimised \
                 builds on one machine. As many concurrent callers as the row says send \
                 {ANSWERS_PER_CALLER} requests each, one after another; an answer has \
                 {OUTPUT_TOKENS} tokens, one every {} ms.",
                TOKEN_GAP.as_millis()
            ),
            format!(
                "Processor time is as the operating system counts it, in steps of 10 ms, from the \
                 first request to the last answer. *µs a token* excludes the processor time of \
                 the idle processes, measured over {} s before; it includes the cost of the \
                 request itself, one per {OUTPUT_TOKENS} tokens. *failed* counts requests without \
                 an answer, whose tokens are not counted. Memory is the resident memory of the \
                 whole process at the end of the row.",
                IDLE_TIME.as_secs()
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

async fn add_rows(
    fleet: &Fleet,
    client: &Client,
    streams: usize,
    roles: &[&Role],
    table: &mut Table,
) -> Result<(), Error> {
    let costs: Vec<Cost> = roles.iter().map(|role| Cost::of_pids(&role.pids)).collect();
    let start = Instant::now();
    let tally = drive(fleet, client, streams).await;
    let seconds = start.elapsed().as_secs_f64();
    check(&tally)?;
    let tokens = (tally.correct * u64::from(OUTPUT_TOKENS)) as f64;
    for (role, cost) in roles.iter().zip(costs) {
        let spent = cost.spent().as_secs_f64();
        let processes = role.pids.len().max(1) as f64;
        table.push(&[
            &streams,
            &role.name,
            &format!("{:.0}", tokens / seconds / processes),
            &format!("{:.2}", spent / seconds / processes * 100.0),
            &format!("{:.2}", role.idle_cores / processes * 100.0),
            &format!("{:.1}", (spent - role.idle_cores * seconds) / tokens * 1e6),
            &format!("{:.1}", role.memory() / 1e6),
            &ms(&tally.token_gap, 0.95),
            &(tally.sent - tally.correct),
        ]);
    }
    Ok(())
}

async fn drive(fleet: &Fleet, client: &Client, streams: usize) -> Tally {
    let class = Class {
        output_tokens: OUTPUT_TOKENS,
        chats: streams * ANSWERS_PER_CALLER,
        exponent: 0.0,
        ..Class::new("streams", "large", "draft", MODEL)
    };
    let drive = Generator {
        servers: fleet.entries.iter().map(|entry| entry.vm.data).collect(),
        classes: vec![class],
        shape: Shape::Closed { callers: streams },
        time: MAX_TIME,
        requests: streams * ANSWERS_PER_CALLER,
        cache_tokens: u64::MAX,
        drain: MAX_TIME,
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
    let actual = format!("{} right, {} wrong: {:?}", tally.correct, tally.wrong, tally.samples);
    Err(Error::Unexpected { step: "streams", actual })
}
