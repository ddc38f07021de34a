//! The load generator.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::http::Client;
use crate::load::Class;
use crate::load::Report;
use crate::load::Shape;
use crate::load::Simulation;
use crate::load::state::Request;
use crate::load::state::State;

/// Pause of a closed-loop caller after a failed request.
const FAILURE_PAUSE: Duration = Duration::from_millis(5);

/// A load generator with the parameters of its load.
#[derive(Debug, Clone)]
pub struct Generator {
    /// Servers that get the requests round-robin: entries, or an engine directly.
    pub servers: Vec<SocketAddr>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Arrival pattern of the requests.
    pub shape: Shape,
    /// Time for which requests are sent.
    pub time: Duration,
    /// Largest number of requests; no more are sent even if the time isn't over.
    pub requests: usize,
    /// Time to wait for outstanding answers at the end; callers then disconnect.
    pub drain: Duration,
    /// Capacity of all caches together, in tokens, for the simulated
    /// [`ChatCache`](crate::load::ChatCache) that all engines share.
    pub cache_tokens: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Generator {
    /// Sends the load from this thread, waits for outstanding answers and returns the results.
    pub async fn run(&self, client: &Client) -> Report {
        self.run_with_simulation(client, Simulation::default()).await
    }

    /// Does the same as [`Generator::run`] and also places each request in a simulation, whose
    /// reuse is reported beside the measured one.
    pub async fn run_with_simulation(&self, client: &Client, simulation: Simulation) -> Report {
        if self.servers.is_empty() || self.classes.is_empty() {
            return Report::default();
        }
        let state = Rc::new(RefCell::new(State::new(self, simulation, client)));
        match self.shape {
            Shape::Open { rate, max_in_flight } => self.run_open(&state, rate, max_in_flight).await,
            Shape::Closed { callers } => self.run_closed(&state, callers).await,
        }
        state.borrow().report.clone()
    }

    async fn run_open(&self, state: &Rc<RefCell<State>>, rate: f64, max_in_flight: usize) {
        let start = Instant::now();
        let end = start + self.time + self.drain;
        let mut due = Duration::ZERO;
        let mut tasks = Vec::new();
        while due < self.time && state.borrow().sent < self.requests {
            sleep_until(start + due).await;
            let next = state.borrow_mut().next_request(max_in_flight);
            if let Some(request) = next {
                tasks.push(ntex::rt::spawn(send(Rc::clone(state), request, end)));
            }
            due += state.borrow_mut().draw_pause(rate);
        }
        join_all(tasks).await;
    }

    async fn run_closed(&self, state: &Rc<RefCell<State>>, callers: usize) {
        let last = Instant::now() + self.time;
        let end = last + self.drain;
        let callers = (0..callers).map(|_| self.run_caller(Rc::clone(state), last, end));
        join_all(callers).await;
    }

    async fn run_caller(&self, state: Rc<RefCell<State>>, last: Instant, end: Instant) {
        while Instant::now() < last && state.borrow().sent < self.requests {
            let next = state.borrow_mut().next_request(usize::MAX);
            let answered = match next {
                Some(request) => send(Rc::clone(&state), request, end).await,
                None => false,
            };
            if !answered {
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Sends one request and records its outcome; returns whether it was answered.
async fn send(state: Rc<RefCell<State>>, request: Request, end: Instant) -> bool {
    let asked = request.caller.chat(request.server, &request.body);
    let Ok(outcome) = timeout_at(end, asked).await else {
        state.borrow_mut().record_disconnect(&request);
        return false;
    };
    state.borrow_mut().record_outcome(&request, &outcome);
    outcome.answer().is_some()
}
