//! A model of gateways and endpoints, driven by events in the order of their time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use policy::quarantine::Register;
use policy::quarantine::StartId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::request::HARMFUL;
use crate::request::Request;

/// Interval between exchanges of two gateways, and the share of them that is lost.
const EXCHANGE_MILLIS: u64 = 250;
const LOST_EXCHANGES: f64 = 0.05;

/// Attempts of a request that may be repeated.
const ATTEMPTS: u32 = 2;

/// Connections that are tried for an attempt.
const CONNECTIONS: usize = 3;

/// A deployment.
#[derive(Clone, Copy)]
pub struct Size {
    pub gateways: usize,
    pub endpoints: usize,
    /// Gateways of a data centre. The first one adds up what the others tell.
    pub centre: usize,
    pub requests_per_s: u64,
    /// Time after a disturbance from which gateways are counted.
    pub contact: u64,
}

/// What the requests that crash endpoints have in common.
#[derive(Clone, Copy, PartialEq)]
pub enum Harm {
    /// A part of their prompts.
    Part,
    /// They are one request without a prompt that comes again, as sound ones without a prompt do.
    Request,
}

/// What happens besides the requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// A share of the endpoints crash at once, by no request, each few seconds.
    Crashes(f64),
    /// Gateways are killed one after the other and forget all.
    Restarts,
}

/// An event; they are ordered by time, then by the order in which they were made.
#[derive(Debug, Clone)]
enum Event {
    Arrival(Request),
    /// An endpoint begins to answer a request.
    Begin(usize, StartId, u64),
    Complete(usize, StartId, u64),
    Crash(usize, StartId),
    /// A gateway finds out that connections to an endpoint are refused.
    Confirm(usize, StartId),
    Up(usize),
    Exchange(usize),
    Disturb,
}

/// A request at an endpoint.
struct Running {
    request: Request,
    begun: Option<u64>,
}

struct Endpoint {
    start: StartId,
    is_up: bool,
    running: BTreeMap<u64, Running>,
}

struct Gateway {
    register: Register,
    started: u64,
    exchanges: u64,
}

/// What is counted in the end.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times of crashes by the part.
    pub crashes: Vec<u64>,
    /// Requests with the part that reached an endpoint, by gateways in touch, with their times.
    pub sent: Vec<u64>,
    /// Sound requests that were refused for a part.
    pub refused: usize,
    pub sound: usize,
}

pub struct Fleet {
    size: Size,
    trouble: Trouble,
    harm: Harm,
    rng: Pcg64,
    events: BTreeMap<(u64, u64), Event>,
    made: u64,
    endpoints: Vec<Endpoint>,
    gateways: Vec<Gateway>,
    outcome: Outcome,
}

impl Fleet {
    pub fn new(size: Size, trouble: Trouble, seed: u64) -> Fleet {
        let endpoint =
            |index| Endpoint { start: index as StartId, is_up: true, running: BTreeMap::new() };
        let gateway = |_| Gateway { register: Register::default(), started: 0, exchanges: 9 };
        Fleet {
            size,
            trouble,
            harm: Harm::Part,
            rng: Pcg64::seed_from_u64(seed),
            events: BTreeMap::new(),
            made: 1_000,
            endpoints: (0..size.endpoints).map(endpoint).collect(),
            gateways: (0..size.gateways).map(gateway).collect(),
            outcome: Outcome::default(),
        }
    }

    /// Sets what the requests that crash endpoints have in common.
    pub fn with_harm(self, harm: Harm) -> Fleet {
        Fleet { harm, ..self }
    }

    /// Plays requests for a time; those that crash endpoints begin after two seconds.
    pub fn play(mut self, seconds: u64, harmful_per_s: u64) -> Outcome {
        let total = seconds * 1_000;
        for _ in 0..seconds * self.size.requests_per_s {
            let at = self.rng.random_range(0..total);
            match self.harm {
                Harm::Part => {
                    let (content, parts) = (self.new_content(), self.sound_parts());
                    self.arrive(at, content, parts);
                }
                Harm::Request => self.arrive_repeatedly(at),
            }
        }
        for _ in 0..seconds.saturating_sub(2) * harmful_per_s {
            let at = self.rng.random_range(2_000..total);
            match self.harm {
                Harm::Part => {
                    let mut parts = self.sound_parts();
                    parts.insert(self.rng.random_range(1..3), HARMFUL);
                    let content = self.new_content();
                    self.arrive(at, content, parts);
                }
                Harm::Request => self.arrive(at, HARMFUL, Vec::new()),
            }
        }
        for gateway in 0..self.size.gateways {
            let at = self.rng.random_range(0..EXCHANGE_MILLIS);
            self.push(at, Event::Exchange(gateway));
        }
        self.push(3_000, Event::Disturb);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > total {
                break;
            }
            self.handle(now, event);
        }
        self.outcome
    }

    /// Returns the parts of a sound prompt: one of a route, one of an account and one of a
    /// subject, most of which are rare.
    fn sound_parts(&mut self) -> Vec<u64> {
        let subject: f64 = self.rng.random();
        let subjects = 3.0 * self.size.requests_per_s as f64;
        let route = self.rng.random_range(1..4);
        let account = 10 + (subject * subject * 20.0) as u64;
        vec![route, account, 1_000 + (subject.powi(3) * subjects) as u64]
    }

    /// Returns the content of a request that is like no other one.
    fn new_content(&self) -> u64 {
        1_000_000 + self.made
    }

    /// Adds a sound request without a prompt. Some come once more, with the same content at
    /// another gateway, and some are the same as many others.
    fn arrive_repeatedly(&mut self, at: u64) {
        let content = match self.rng.random_range(0..10) {
            0 => 1_000 + self.rng.random_range(0..50),
            _ => self.new_content(),
        };
        self.arrive(at, content, Vec::new());
        if self.rng.random_bool(0.1) {
            let pause = self.rng.random_range(100..1_000);
            self.arrive(at + pause, content, Vec::new());
        }
    }

    fn arrive(&mut self, at: u64, content: u64, parts: Vec<u64>) {
        let gateway = self.rng.random_range(0..self.size.gateways);
        let request = Request { id: self.made, gateway, content, parts, attempt: 1 };
        self.push(at, Event::Arrival(request));
    }

    fn push(&mut self, at: u64, event: Event) {
        self.made += 1;
        self.events.insert((at, self.made), event);
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(request) => self.send(now, request),
            Event::Begin(endpoint, start, id) => self.begin(now, endpoint, start, id),
            Event::Complete(endpoint, start, id) => self.complete(now, endpoint, start, id),
            Event::Crash(endpoint, start) => self.crash(now, endpoint, start),
            Event::Confirm(gateway, start) => {
                self.gateways[gateway].register.confirm(start, millis(now));
            }
            Event::Up(endpoint) => self.endpoints[endpoint].is_up = true,
            Event::Exchange(gateway) => self.exchange(now, gateway),
            Event::Disturb => self.disturb(now),
        }
    }

    /// Sends a request to the endpoint that its last shared part prefers.
    fn send(&mut self, now: u64, request: Request) {
        let suspect = request.suspect();
        let is_harmful = request.is_harmful();
        let gateway = &self.gateways[request.gateway];
        self.outcome.sound += usize::from(!is_harmful && request.attempt == 1);
        if gateway.started > now {
            return;
        }
        if gateway.register.blocked_for(&suspect, millis(now)).is_some() {
            self.outcome.refused += usize::from(!is_harmful);
            return;
        }
        let is_in_touch = gateway.started + self.size.contact <= now || gateway.started == 0;
        let key = request.parts.last().copied().unwrap_or(request.id);
        let mut order: Vec<usize> = (0..self.endpoints.len()).collect();
        order.sort_by_key(|index| Reverse(hash(key, *index as u64)));
        for index in order.into_iter().skip(request.attempt as usize - 1).take(CONNECTIONS) {
            let endpoint = &mut self.endpoints[index];
            if !endpoint.is_up {
                let start = endpoint.start;
                self.gateways[request.gateway].register.confirm(start, millis(now));
                continue;
            }
            if is_harmful && is_in_touch {
                self.outcome.sent.push(now);
            }
            let (start, id) = (endpoint.start, request.id);
            endpoint.running.insert(id, Running { request, begun: None });
            let wait = self.rng.random_range(40..80);
            return self.push(now + wait, Event::Begin(index, start, id));
        }
    }

    fn begin(&mut self, now: u64, index: usize, start: StartId, id: u64) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.start != start || !endpoint.is_up {
            return;
        }
        let Some(running) = endpoint.running.get_mut(&id) else { return };
        running.begun = Some(now);
        if running.request.is_harmful() {
            let time = self.rng.random_range(2..120);
            self.push(now + time, Event::Crash(index, start));
        } else {
            let time = self.rng.random_range(100..1_500);
            self.push(now + time, Event::Complete(index, start, id));
        }
    }

    fn complete(&mut self, now: u64, index: usize, start: StartId, id: u64) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.start != start {
            return;
        }
        let Some(Running { request, .. }) = endpoint.running.remove(&id) else { return };
        let register = &mut self.gateways[request.gateway].register;
        register.record_success(&request.suspect(), millis(now));
    }

    /// Ends an endpoint; another start of it is up some seconds later.
    fn crash(&mut self, now: u64, index: usize, start: StartId) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.start != start || !endpoint.is_up {
            return;
        }
        endpoint.is_up = false;
        endpoint.start += 1_000_000;
        let running = std::mem::take(&mut endpoint.running);
        let is_by_part = running.values().any(|running| running.request.is_harmful());
        if is_by_part {
            self.outcome.crashes.push(now);
        }
        for Running { request, begun } in running.into_values() {
            let gateway = &mut self.gateways[request.gateway];
            let age = begun.map(|begun| millis(now - begun));
            let request_parts = request.suspect().repeated(request.attempt > 1);
            if gateway.register.record_broken(start, request_parts, age, millis(now)) {
                self.push(now + 22, Event::Confirm(request.gateway, start));
            }
            if request.attempt < ATTEMPTS {
                self.send(now, Request { attempt: request.attempt + 1, ..request });
            }
        }
        let down = self.rng.random_range(2_500..4_500);
        self.push(now + down, Event::Up(index));
    }

    /// Exchanges what is known: with the hub of the data centre, or between hubs.
    fn exchange(&mut self, now: u64, gateway: usize) {
        let jitter = self.rng.random_range(0..50);
        self.push(now + EXCHANGE_MILLIS - 25 + jitter, Event::Exchange(gateway));
        if self.gateways[gateway].started > now {
            return;
        }
        self.gateways[gateway].exchanges += 1;
        let hub = gateway / self.size.centre * self.size.centre;
        if hub != gateway {
            return self.tell_each_other(now, gateway, hub);
        }
        for other in (0..self.size.gateways).step_by(self.size.centre) {
            if gateway < other {
                self.tell_each_other(now, gateway, other);
            }
        }
    }

    fn tell_each_other(&mut self, now: u64, one: usize, other: usize) {
        let is_down = |gateway: usize| self.gateways[gateway].started > now;
        if is_down(one) || is_down(other) || self.rng.random_bool(LOST_EXCHANGES) {
            return;
        }
        for (teller, hearer) in [(one, other), (other, one)] {
            let is_new = self.gateways[hearer].exchanges <= 8;
            let digest = self.gateways[teller].register.digest(is_new, millis(now));
            assert!(digest.is_valid());
            let transit = self.rng.random_range(0..40);
            self.gateways[hearer].register.learn(&digest, millis(now + transit));
        }
    }

    fn disturb(&mut self, now: u64) {
        match self.trouble {
            Trouble::None => {}
            Trouble::Crashes(share) => {
                for index in 0..self.size.endpoints {
                    if self.rng.random_bool(share) {
                        self.crash(now, index, self.endpoints[index].start);
                    }
                }
                self.push(now + 4_000, Event::Disturb);
            }
            Trouble::Restarts => {
                let gateway = self.rng.random_range(0..self.size.gateways);
                self.gateways[gateway] =
                    Gateway { register: Register::default(), started: now + 500, exchanges: 0 };
                self.push(now + 1_500, Event::Disturb);
            }
        }
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn hash(part: u64, endpoint: u64) -> u64 {
    let mixed = (part ^ endpoint.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
