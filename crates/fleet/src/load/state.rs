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
use crate::load::ChatCache;
use crate::load::Class;
use crate::load::Generator;
use crate::load::Placed;
use crate::load::Report;
use crate::load::Simulation;
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
    shared_cache: ChatCache,
    simulation: Simulation,
    start: Instant,
    in_flight: usize,
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
    fn chat_key(&self) -> &str {
        self.body.prompt_cache_key.as_deref().unwrap_or_default()
    }
}

impl State {
    pub(crate) fn new(generator: &Generator, simulation: Simulation, client: &Client) -> State {
        let row = |class: &Class| Row { name: class.name.clone(), ..Row::default() };
        let rows = generator.classes.iter().map(row).collect();
        let caller = |class: &Class| Caller::new(client, &class.account);
        State {
            report: Report { classes: rows, ..Report::default() },
            servers: generator.servers.clone(),
            callers: generator.classes.iter().map(caller).collect(),
            classes: generator.classes.clone(),
            populations: generator.classes.iter().map(Population::new).collect(),
            shared_cache: ChatCache::new(generator.cache_tokens),
            simulation,
            random: Pcg64::seed_from_u64(generator.seed),
            start: Instant::now(),
            in_flight: 0,
            sent: 0,
        }
    }

    /// Returns the next request; `None` if `max_in_flight` are in flight or no chat is free.
    pub(crate) fn next_request(&mut self, max_in_flight: usize) -> Option<Request> {
        let class = self.draw_class();
        let drawn = match self.in_flight < max_in_flight {
            true => self.populations[class].begin_turn(&mut self.random),
            false => None,
        };
        let tally = &mut self.report.classes[class].tally;
        let Some((chat, body)) = drawn else {
            tally.skipped += 1;
            return None;
        };
        tally.sent += 1;
        self.in_flight += 1;
        self.sent += 1;
        let server = self.servers[self.sent % self.servers.len()];
        let caller = self.callers[class].clone();
        let placed = self.place(&body);
        let second = self.current_second();
        self.report.record_request(second, body.earlier_tokens(), placed.reused);
        Some(Request { body, caller, server, class, chat, second, placed })
    }

    /// Returns a random, exponentially distributed time until the next request, for a mean
    /// of `rate` requests per second.
    pub(crate) fn draw_pause(&mut self, rate: f64) -> Duration {
        let drawn: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - drawn).ln() / rate)
    }

    /// Records the outcome of a request.
    pub(crate) fn record_outcome(&mut self, request: &Request, outcome: &Outcome) {
        self.in_flight -= 1;
        let expected = request.body.expected(&self.classes[request.class].model);
        self.report.classes[request.class].tally.count(outcome, &expected);
        let population = &mut self.populations[request.class];
        let Some(answer) = outcome.answer() else {
            population.cancel_turn(request.chat);
            self.simulation.end(request.placed, request.chat_key(), None);
            return;
        };
        population.complete_turn(request.chat, &answer.text);
        let after = answer.prompt_tokens + Message::new("assistant", &answer.text).tokens() as u64;
        let known =
            self.shared_cache.serve(request.chat_key(), request.body.earlier_tokens(), after);
        self.simulation.end(request.placed, request.chat_key(), Some(after));
        self.report.record_answer(request.second, answer, known);
    }

    /// Records a request whose caller disconnected at the end of the load.
    pub(crate) fn record_disconnect(&mut self, request: &Request) {
        self.in_flight -= 1;
        self.report.classes[request.class].tally.abandoned += 1;
        self.populations[request.class].cancel_turn(request.chat);
        self.simulation.end(request.placed, request.chat_key(), None);
    }

    fn place(&mut self, body: &Chat) -> Placed {
        let name = body.prompt_cache_key.as_deref().unwrap_or_default();
        self.simulation.place(name, body.earlier_tokens(), self.start.elapsed())
    }

    fn current_second(&self) -> usize {
        usize::try_from(self.start.elapsed().as_secs()).unwrap_or(usize::MAX)
    }

    fn draw_class(&mut self) -> usize {
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
