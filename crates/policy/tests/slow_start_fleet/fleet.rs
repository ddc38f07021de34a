//! A model of gateways that send requests to endpoints of which some turn cold at the peak.
//!
//! All times are in milliseconds.

use std::time::Duration;

use policy::exchange::Additive;
use policy::observation::Ledger;
use policy::observation::Observations;
use policy::observation::Report;
use policy::rate_limit::Window;
use policy::slow_start::Announced;
use policy::slow_start::Rules;
use policy::slow_start::Throttle;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

/// When a third of the endpoints turn cold, and when the model ends.
pub const COLD: u64 = 2_400;
const END: u64 = COLD + 5_000;

/// Interval between announcements, and the longest way of one to a gateway.
const HEARTBEAT: u64 = 1_200;
const MAX_DELAY: u64 = 700;

const ENDPOINTS: usize = 24;
const COLD_ENDPOINTS: usize = 8;

/// Gateways report to one of so many hubs, which tell each other later.
const HUBS: usize = 2;
const EXCHANGE: u64 = 250;

const STEP: u64 = 5;

/// What happens besides the requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// The endpoints were warm, and are known to be cold up to 2 s late.
    Turns,
    /// Gateways are killed one after the other and forget all.
    Restarts,
    /// Gateways are cut off from the others in turn.
    Cuts,
    /// A fifth of the gateways hears of the cold endpoints only from others.
    Late,
}

#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub gateways: usize,
    pub rules: Rules,
    /// Whether some gateways get many times the requests of others.
    pub is_uneven: bool,
    pub trouble: Trouble,
}

struct Gateway {
    throttles: Vec<Throttle>,
    /// Announcements under way to it, by time of arrival: endpoint, number, time left.
    announced: Vec<(u64, usize, u64, u64)>,
    wanted: Window,
    weight: f64,
    next_exchange: u64,
    started: u64,
    cut_until: u64,
}

pub struct Fleet {
    load: Load,
    rng: Pcg64,
    gateways: Vec<Gateway>,
    /// Reports to each hub, and those that it told the other hubs.
    hubs: Vec<(Ledger, Observations)>,
    /// Times of requests at each endpoint.
    sent: Vec<Vec<u64>>,
}

impl Fleet {
    pub fn new(load: Load, seed: u64) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut gateways: Vec<Gateway> =
            (0..load.gateways).map(|_| Gateway::new(0, &mut rng)).collect();
        for gateway in gateways.iter_mut().filter(|_| load.is_uneven) {
            gateway.weight = rng.random_range(0.0..1.0f64).powi(4) + 0.01;
        }
        if load.trouble == Trouble::Turns {
            let warm = Announced { left: Duration::ZERO, sequence: Some(0) };
            let throttles = gateways.iter_mut().flat_map(|gateway| &mut gateway.throttles);
            throttles.for_each(|throttle| throttle.announce(warm, Duration::ZERO));
        }
        let hubs = vec![(Ledger::default(), Observations::default()); HUBS];
        Fleet { load, rng, gateways, hubs, sent: vec![Vec::new(); ENDPOINTS] }
    }

    /// Returns the times of the requests at each cold endpoint.
    pub fn play(mut self) -> Vec<Vec<u64>> {
        // Endpoints get 0.65 of the rate of cold ones on average, and a fifth before the burst.
        let total = self.load.rules.per_s * 0.65 * ENDPOINTS as f64;
        let mut due = 0.0;
        for now in (0..END).step_by(STEP as usize) {
            self.disturb(now);
            self.announce(now);
            let pressure = if now + 500 < COLD { 0.2 } else { 1.0 };
            due += total * pressure * STEP as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.request(now);
            }
            (0..self.gateways.len()).for_each(|index| self.exchange(now, index));
        }
        self.sent.truncate(COLD_ENDPOINTS);
        self.sent
    }

    /// Lets a client send a request to some gateway, which looks for idle endpoints first.
    fn request(&mut self, now: u64) {
        let total: f64 = self.gateways.iter().map(|gateway| gateway.weight).sum();
        let mut point = self.rng.random_range(0.0..total);
        let mut index = 0;
        while index + 1 < self.gateways.len() && point >= self.gateways[index].weight {
            point -= self.gateways[index].weight;
            index += 1;
        }
        let registered = self.gateways.len() as u32;
        let Load { rules, trouble, .. } = self.load;
        let gateway = &mut self.gateways[index];
        if gateway.started > now {
            return;
        }
        gateway.wanted.add(millis(now));
        let wanted = gateway.wanted.count(millis(now));
        for throttle in &mut gateway.throttles {
            throttle.refill(Some(&rules), wanted, registered, millis(now));
        }
        // Endpoints that start are not known before their first announcement.
        let first = if trouble == Trouble::Turns { 0 } else { COLD_ENDPOINTS };
        let is_known = |index: usize| index >= first || gateway.throttles[index].is_held();
        let mut order: Vec<usize> = (0..ENDPOINTS).filter(|index| is_known(*index)).collect();
        order.shuffle(&mut self.rng);
        order.sort_by_key(|index| !gateway.throttles[*index].is_held());
        let chosen = order.into_iter().find(|index| gateway.throttles[*index].allows());
        let chosen = chosen.expect("an endpoint that isn't cold");
        gateway.throttles[chosen].record_sent(millis(now));
        self.sent[chosen].push(now);
    }

    /// Writes the announcements of endpoints that are cold, and delivers those that have arrived.
    fn announce(&mut self, now: u64) {
        let until = COLD + self.load.rules.time.as_millis() as u64;
        let is_late = |index: usize| self.load.trouble == Trouble::Late && index % 5 == 1;
        for endpoint in 0..COLD_ENDPOINTS {
            // Those that turn cold are announced as that later than those that start.
            let phase = if self.load.trouble == Trouble::Turns { 170 * endpoint as u64 } else { 0 };
            let is_due = now >= COLD + phase && (now - COLD - phase).is_multiple_of(HEARTBEAT);
            if !is_due || now >= until {
                continue;
            }
            for gateway in self.gateways.iter_mut().enumerate().filter(|(it, _)| !is_late(*it)) {
                let at = now + self.rng.random_range(0..MAX_DELAY);
                gateway.1.announced.push((at, endpoint, now, until - now));
            }
        }
        for gateway in &mut self.gateways {
            for (at, endpoint, sequence, left) in
                gateway.announced.extract_if(.., |(at, ..)| *at <= now)
            {
                let announced = Announced { left: millis(left), sequence: Some(sequence) };
                gateway.throttles[endpoint].announce(announced, millis(at));
            }
        }
    }

    /// Lets a gateway report to its hub, which answers what it and the other hub know.
    fn exchange(&mut self, now: u64, index: usize) {
        let hub = index % HUBS;
        let others = self.gateways.iter().filter(|it| it.cut_until.max(it.started) <= now).count();
        let gateway = &mut self.gateways[index];
        if gateway.next_exchange > now || gateway.cut_until.max(gateway.started) > now {
            return;
        }
        gateway.next_exchange = now + EXCHANGE - 25 + self.rng.random_range(0..50);
        let name = format!("g{index}");
        let wanted = gateway.wanted.count(millis(now));
        let mut own = Observations::default();
        let rows = gateway.throttles.iter().filter_map(|it| it.row(wanted, millis(now)));
        rows.for_each(|row| own.cold.add(row));
        assert!(own.is_valid());
        self.hubs[hub].0.record(&name, Report { own, ..Report::default() }, millis(now));
        let mut known = self.hubs[hub].0.all_but(&name, millis(now));
        known.add_all(&self.hubs[1 - hub].1, Duration::ZERO);
        if index < HUBS {
            self.hubs[hub].1 = self.hubs[hub].0.own(millis(now));
        }
        for (endpoint, throttle) in self.gateways[index].throttles.iter_mut().enumerate() {
            let row = known.cold.row(endpoint as u64);
            throttle.learn(row, others as u32 - 1, wanted, millis(now));
        }
    }

    fn disturb(&mut self, now: u64) {
        let interval = (3_000 / self.gateways.len() as u64).next_multiple_of(STEP).max(150);
        if !now.is_multiple_of(interval) || now < COLD {
            return;
        }
        let index = self.rng.random_range(0..self.gateways.len());
        match self.load.trouble {
            Trouble::Restarts => {
                let started = Gateway::new(now + 200, &mut self.rng);
                let before = std::mem::replace(&mut self.gateways[index], started);
                self.gateways[index].weight = before.weight;
                // It reads the latest announcements, which are up to one interval old.
                let until = COLD + self.load.rules.time.as_millis() as u64;
                let written = COLD + (now - COLD) / HEARTBEAT * HEARTBEAT;
                let left = until.saturating_sub(written);
                let listing = (0..COLD_ENDPOINTS).map(|it| (now + 200, it, written, left));
                self.gateways[index].announced = listing.collect();
            }
            Trouble::Cuts => self.gateways[index].cut_until = now + 1_500,
            _ => {}
        }
    }
}

impl Gateway {
    fn new(started: u64, rng: &mut Pcg64) -> Gateway {
        let seed = rng.random();
        Gateway {
            throttles: (0..ENDPOINTS as u64).map(|it| Throttle::new(it, seed)).collect(),
            announced: Vec::new(),
            wanted: Window::default(),
            weight: 1.0,
            next_exchange: started + rng.random_range(0..EXCHANGE),
            started,
            cut_until: 0,
        }
    }
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
