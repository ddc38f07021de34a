//! A model of gateways whose endpoints fail a share of their requests for some seconds.
//!
//! All times are in milliseconds. Counts of other gateways are half a second old or more, loads up to
//! a quarter of a second.

use std::collections::VecDeque;
use std::time::Duration;

use policy::choice;
use policy::exchange::Additive;
use policy::failure_rate;
use policy::failure_rate::Sheet;
use policy::failure_rate::Tally;
use policy::failure_rate::Trials;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Interval between exchanges, and how many of them counts are old.
const EXCHANGE: u64 = 250;
const EXCHANGES_LATE: usize = 2;

/// When endpoints fail, as was measured: for 4 s.
pub const FAULT: std::ops::Range<u64> = 4_000..8_000;

/// Time of failed requests.
const FAILURE: u64 = 5;

/// Length of a step.
const STEP: u64 = 5;

#[derive(Debug, Clone)]
pub struct Scenario {
    pub gateways: usize,
    pub endpoints: usize,
    /// Requests per second and endpoint.
    pub rate: f64,
    /// Endpoints that fail, and the share of requests that they fail.
    pub failing: usize,
    pub share: f64,
    /// Time of requests that are answered, and requests that an endpoint processes at once.
    pub duration: u64,
    pub slots: u32,
    /// Share of requests that may be sent to another endpoint.
    pub repeatable: f64,
    /// Whether failures are shared and used.
    pub is_on: bool,
}

struct Gateway {
    tallies: Vec<Tally>,
    own: Vec<u32>,
    others: Vec<u32>,
    judged: u64,
    seed: u64,
    /// What it told, the oldest first.
    told: VecDeque<Sheet>,
}

#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Requests in the fault, and those that failed without another attempt.
    pub sent: usize,
    pub lost: usize,
    /// Attempts after failures of requests that may be repeated.
    pub retries: usize,
    /// Requests at failing endpoints in each half second.
    pub at_failing: Vec<usize>,
    /// Worst load of a sound endpoint over the load bound, in requests.
    pub excess: f64,
    /// Changes of what gateways take endpoints for.
    pub changes: usize,
    /// Mean share of the endpoints that are taken for failing in the last second of the fault.
    pub avoided: f64,
    pub refused: usize,
}

pub struct Fleet {
    scenario: Scenario,
    rng: Pcg64,
    gateways: Vec<Gateway>,
    /// Ends of requests: time, gateway, endpoint, whether it failed.
    ends: Vec<(u64, usize, usize, bool)>,
    load: Vec<u32>,
    outcome: Outcome,
    judged: usize,
    avoided: usize,
}

impl Fleet {
    pub fn new(scenario: Scenario, seed: u64) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(seed);
        let gateways = (0..scenario.gateways).map(|_| Gateway {
            tallies: vec![Tally::default(); scenario.endpoints],
            own: vec![0; scenario.endpoints],
            others: vec![0; scenario.endpoints],
            judged: 0,
            seed: rng.random(),
            told: VecDeque::new(),
        });
        Fleet {
            gateways: gateways.collect(),
            load: vec![0; scenario.endpoints],
            scenario,
            rng,
            ends: Vec::new(),
            outcome: Outcome::default(),
            judged: 0,
            avoided: 0,
        }
    }

    pub fn play(mut self, end: u64) -> Outcome {
        let mut due = 0.0;
        self.outcome.at_failing = vec![0; (end / 500) as usize];
        for now in (0..end).step_by(STEP as usize) {
            self.end_requests(now);
            due += self.scenario.rate * self.scenario.endpoints as f64 * STEP as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                let gateway = self.rng.random_range(0..self.gateways.len());
                let is_repeatable = self.rng.random_bool(self.scenario.repeatable);
                self.outcome.sent += usize::from(FAULT.contains(&now));
                self.send(now, gateway, is_repeatable, None);
            }
            if now.is_multiple_of(EXCHANGE) {
                self.exchange(now);
            }
            self.exchange_loads(now);
            self.check_loads(now);
        }
        self.outcome.avoided = self.avoided as f64 / self.judged.max(1) as f64;
        self.outcome
    }

    /// Sends a request to the endpoint that a gateway chooses.
    fn send(&mut self, now: u64, index: usize, is_repeatable: bool, tried: Option<usize>) {
        let can_fail = is_repeatable && tried.is_none();
        let Some(endpoint) = self.choose(now, index, can_fail, tried) else {
            self.outcome.refused += 1;
            return;
        };
        let is_failing = endpoint < self.scenario.failing;
        if is_failing {
            self.outcome.at_failing[(now / 500) as usize] += 1;
        }
        self.gateways[index].own[endpoint] += 1;
        self.load[endpoint] += 1;
        let is_faulty = is_failing && FAULT.contains(&now);
        let fails = is_faulty && self.rng.random_bool(self.scenario.share);
        let duration = if fails { FAILURE } else { self.scenario.duration };
        self.ends.push((now + duration, index, endpoint, fails));
        if fails && can_fail {
            self.outcome.retries += 1;
            self.send(now, index, is_repeatable, Some(endpoint));
        } else if fails {
            self.outcome.lost += 1;
        }
    }

    fn choose(
        &mut self,
        now: u64,
        index: usize,
        can_fail: bool,
        tried: Option<usize>,
    ) -> Option<usize> {
        let (endpoints, seed) = (self.scenario.endpoints, self.rng.random());
        let trials = Trials {
            gateways: self.scenario.gateways as u32,
            seed: self.gateways[index].seed ^ seed,
        };
        let slots = f64::from(self.scenario.slots);
        let gateway = &mut self.gateways[index];
        if self.scenario.is_on && now >= gateway.judged + 100 {
            gateway.judged = now;
            let mut tallies: Vec<&mut Tally> = gateway.tallies.iter_mut().collect();
            let changes = failure_rate::judge(&mut tallies, trials, millis(now));
            self.outcome.changes += changes.len();
            if (FAULT.end - 1_000..FAULT.end).contains(&now) {
                self.judged += endpoints;
                self.avoided += tallies.iter().filter(|it| it.is_failing()).count();
            }
        }
        let load = |endpoint: usize| f64::from(gateway.own[endpoint] + gateway.others[endpoint]);
        let due = (0..endpoints).find(|endpoint| {
            gateway.tallies[*endpoint].is_trial_due(millis(now)) && load(*endpoint) < slots
        });
        if let Some(due) = due.filter(|_| can_fail) {
            gateway.tallies[due].record_trial(trials.interval(), millis(now));
            return Some(due);
        }
        let mut order: Vec<usize> = (0..endpoints).filter(|it| Some(*it) != tried).collect();
        let mean = (0..endpoints).map(load).sum::<f64>() / endpoints as f64;
        let loads: Vec<failure_rate::Load> = order
            .iter()
            .map(|endpoint| failure_rate::Load {
                requests: load(*endpoint),
                has_free_slot: load(*endpoint) < slots,
                is_failing: gateway.tallies[*endpoint].is_failing(),
            })
            .collect();
        if let Some(sound) = failure_rate::sound(&loads, mean, seed) {
            order = sound.into_iter().map(|index| order[index]).collect();
        }
        let names: Vec<String> = order.iter().map(|endpoint| format!("e{endpoint}")).collect();
        let candidates: Vec<choice::Candidate<'_>> = order
            .iter()
            .zip(&names)
            .map(|(endpoint, name)| choice::Candidate {
                name,
                requests: load(*endpoint),
                slots: Some(self.scenario.slots),
                speed: 1.0,
                is_far: false,
                is_limited: false,
            })
            .collect();
        let query = choice::Query { part: None, tokens: 0, share: 0.0, unseen: 0.0, idle: 0, seed };
        choice::order(&query, &candidates).first().map(|first| order[*first])
    }

    fn end_requests(&mut self, now: u64) {
        for (_, gateway, endpoint, fails) in self.ends.extract_if(.., |(at, ..)| *at <= now) {
            let gateway = &mut self.gateways[gateway];
            gateway.own[endpoint] -= 1;
            self.load[endpoint] -= 1;
            let tally = &mut gateway.tallies[endpoint];
            if fails { tally.record_failure(millis(now)) } else { tally.record_answer(millis(now)) }
        }
    }

    /// Lets all gateways learn what the others told half a second ago.
    fn exchange(&mut self, now: u64) {
        let endpoints = self.scenario.endpoints;
        let mut sum = Sheet::default();
        for gateway in &mut self.gateways {
            let rows = (0..endpoints)
                .filter_map(|endpoint| gateway.tallies[endpoint].row(endpoint as u64, millis(now)));
            gateway.told.push_back(Sheet::new(rows.collect()));
            if gateway.told.len() > EXCHANGES_LATE {
                sum.add_all(&gateway.told[0], Duration::ZERO);
            }
        }
        for gateway in &mut self.gateways {
            if gateway.told.len() <= EXCHANGES_LATE {
                continue;
            }
            let sheet = gateway.told.pop_front().expect("a report");
            for endpoint in 0..endpoints {
                let (sum, own) = (sum.row(endpoint as u64), sheet.row(endpoint as u64));
                let row = sum.map(|sum| failure_rate::Row {
                    requests: sum.requests - own.map_or(0, |own| own.requests),
                    failures: sum.failures - own.map_or(0, |own| own.failures),
                    ..*sum
                });
                gateway.tallies[endpoint].learn(row.as_ref(), millis(now));
            }
        }
    }

    /// Lets gateways learn the loads of the others, each at its own moment.
    fn exchange_loads(&mut self, now: u64) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if !(now + index as u64 * STEP).is_multiple_of(EXCHANGE) {
                continue;
            }
            for endpoint in 0..self.scenario.endpoints {
                gateway.others[endpoint] = self.load[endpoint] - gateway.own[endpoint];
            }
        }
    }

    fn check_loads(&mut self, now: u64) {
        if !(FAULT.start + 2_000..FAULT.end).contains(&now) {
            return;
        }
        let mean = f64::from(self.load.iter().sum::<u32>()) / self.load.len() as f64;
        let most = self.load.iter().max().copied().unwrap_or_default();
        self.outcome.excess = self.outcome.excess.max(f64::from(most) - 2.0 * mean - 3.0);
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
