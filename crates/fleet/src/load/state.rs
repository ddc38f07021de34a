//! The state shared by the tasks of a load.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use standins::engine::Message;

use crate::Caller;
use crate::Chat;
use crate::Outcome;
use crate::http::Client;
use crate::load::Caches;
use crate::load::Class;
use crate::load::Drive;
use crate::load::Oracle;
use crate::load::Placed;
use crate::load::Report;
use crate::load::population::Population;
use crate::load::report::Row;

/// The state shared by the tasks of a load.
pub(crate) struct State {
    pub(crate) report: Report,
    servers: Vec<SocketAddr>,
    callers: Vec<Caller>,
    classes: Vec<Class>,
    populations: Vec<Population>,
    random: Pcg64,
    oracle: Oracle,
    caches: Caches,
    start: Instant,
    under_way: usize,
    /// Number of requests sent so far.
    pub(crate) sent: usize,
}

/// A request that is ready to be sent.
pub(crate) struct Request {
    pub(crate) body: Chat,
    pub(crate) caller: Caller,
    pub(crate) server: SocketAddr,
    class: usize,
    chat: usize,
    /// Second in which it is sent, counted from the start of the load.
    second: usize,
    placed: Placed,
}

impl Request {
    fn name(&self) -> &str {
        self.body.prompt_cache_key.as_deref().unwrap_or_default()
    }
}

impl State {
    pub(crate) fn new(drive: &Drive, caches: Caches, client: &Client) -> State {
        let row = |class: &Class| Row { name: class.name.clone(), ..Row::default() };
        let rows = drive.classes.iter().map(row).collect();
        let caller = |class: &Class| Caller::new(client, &class.account);
        State {
            report: Report { classes: rows, ..Report::default() },
            servers: drive.servers.clone(),
            callers: drive.classes.iter().map(caller).collect(),
            classes: drive.classes.clone(),
            populations: drive.classes.iter().map(Population::new).collect(),
            oracle: Oracle::new(drive.cache_tokens),
            caches,
            random: Pcg64::seed_from_u64(drive.seed),
            start: Instant::now(),
            under_way: 0,
            sent: 0,
        }
    }

    /// Returns the next request; `None` if `most` are in flight or no chat is free.
    pub(crate) fn next(&mut self, most: usize) -> Option<Request> {
        let class = self.class();
        let drawn = match self.under_way < most {
            true => self.populations[class].next(&mut self.random),
            false => None,
        };
        let tally = &mut self.report.classes[class].tally;
        let Some((chat, body)) = drawn else {
            tally.held += 1;
            return None;
        };
        tally.sent += 1;
        self.under_way += 1;
        self.sent += 1;
        let server = self.servers[self.sent % self.servers.len()];
        let caller = self.callers[class].clone();
        let placed = self.place(&body);
        let second = self.second();
        self.report.count_offered(second, body.earlier_tokens(), placed.reused);
        Some(Request { body, caller, server, class, chat, second, placed })
    }

    /// Returns a random, exponentially distributed time until the next request, for a mean
    /// of `rate` requests per second.
    pub(crate) fn pause(&mut self, rate: f64) -> Duration {
        let drawn: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - drawn).ln() / rate)
    }

    /// Records the outcome of a request.
    pub(crate) fn answered(&mut self, request: &Request, outcome: &Outcome) {
        self.under_way -= 1;
        let expected = request.body.expected(&self.classes[request.class].model);
        self.report.classes[request.class].tally.count(outcome, &expected);
        let population = &mut self.populations[request.class];
        let Some(answer) = outcome.answer() else {
            population.failed(request.chat);
            self.caches.end(request.placed, request.name(), None);
            return;
        };
        population.answered(request.chat, &answer.text);
        let after = answer.prompt + Message::new("assistant", &answer.text).tokens() as u64;
        let known = self.oracle.answer(request.name(), request.body.earlier_tokens(), after);
        self.caches.end(request.placed, request.name(), Some(after));
        self.report.count_reuse(request.second, answer, known);
    }

    /// Records a request whose caller disconnected at the end of the load.
    pub(crate) fn hung_up(&mut self, request: &Request) {
        self.under_way -= 1;
        self.report.classes[request.class].tally.open += 1;
        self.populations[request.class].failed(request.chat);
        self.caches.end(request.placed, request.name(), None);
    }

    fn place(&mut self, body: &Chat) -> Placed {
        let name = body.prompt_cache_key.as_deref().unwrap_or_default();
        self.caches.place(name, body.earlier_tokens(), self.start.elapsed())
    }

    fn second(&self) -> usize {
        usize::try_from(self.start.elapsed().as_secs()).unwrap_or(usize::MAX)
    }

    fn class(&mut self) -> usize {
        let whole: f64 = self.classes.iter().map(|class| class.weight).sum();
        let mut drawn = self.random.random::<f64>() * whole;
        let last = self.classes.len() - 1;
        for (index, class) in self.classes.iter().enumerate() {
            drawn -= class.weight;
            if drawn < 0.0 {
                return index;
            }
        }
        last
    }
}
