//! Replays loads of endpoints of unequal speed, by many gateways that each choose with what they have
//! learnt of the endpoints' speeds.

use std::collections::VecDeque;
use std::time::Duration;

use policy::choice;
use policy::choice::Candidate;
use policy::choice::Query;
use policy::exchange::Additive;
use policy::speed::Kind;
use policy::speed::Row;
use policy::speed::Speeds;
use policy::speed::Sums;
use policy::speed::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Requests that an endpoint processes at the same time.
const SLOTS: usize = 16;

const ENDPOINTS: usize = 10;

const TICK_MILLIS: u64 = 5;

/// Interval between exchanges of gateways; what is learnt by them is that old.
const EXCHANGE_MILLIS: u64 = 250;

/// Gateways that report to one hub.
const GROUP: usize = 24;

/// Interval in which gateways observe the pauses of a stream.
const PAUSE_MILLIS: u64 = 400;

/// Length of noisy spans, their share, and by how much they are slower.
const SPAN_MILLIS: u64 = 600;
const SPAN_SHARE: f64 = 0.15;
const SPAN_SLOWNESS: f64 = 2.5;

/// By how much an endpoint is slower at a time in milliseconds, with this many requests.
type Slowness = fn(endpoint: usize, millis: u64, requests: usize) -> f64;

struct Request {
    gateway: usize,
    requests: u32,
    sent: u64,
    /// Work that is left, in milliseconds at an idle endpoint of speed 1.
    left: f64,
}

/// What is observed of a run.
struct Outcome {
    /// Requests that each endpoint got in each second.
    got: Vec<Vec<u32>>,
    /// Mean time of the requests that were sent in each second, in milliseconds.
    times: Vec<f64>,
    /// Speeds at the first gateway at the end of each second.
    speeds: Vec<Vec<f64>>,
    /// Requests that were sent to an endpoint above the load bound.
    above: u32,
    /// Most rows that one gateway reported.
    rows: usize,
}

#[derive(Clone, Copy)]
struct Run {
    gateways: usize,
    /// Requests per second at a time in milliseconds, for each endpoint.
    per_second: fn(u64) -> f64,
    /// By how many times there are more requests that are as much shorter.
    scale: f64,
    slowness: Slowness,
    has_noise: bool,
    learns: bool,
}

impl Run {
    fn new(gateways: usize, slowness: Slowness) -> Run {
        let (per_second, scale): (fn(u64) -> f64, f64) = (|_| 40.0, 1.0);
        Run { gateways, per_second, scale, slowness, has_noise: false, learns: true }
    }

    fn play(&self, seconds: u64, seed: u64) -> Outcome {
        let mut random = Pcg64::seed_from_u64(seed);
        let names: Vec<String> = (0..ENDPOINTS).map(|index| format!("e{index}")).collect();
        let mut speeds = vec![Speeds::default(); self.gateways];
        let mut held: Vec<VecDeque<Request>> = (0..ENDPOINTS).map(|_| VecDeque::new()).collect();
        let mut known = vec![0.0; ENDPOINTS];
        let mut noise = vec![1.0; ENDPOINTS];
        let mut outcome =
            Outcome { got: Vec::new(), times: Vec::new(), speeds: Vec::new(), above: 0, rows: 0 };
        let mut sums = vec![(0.0, 0); seconds as usize];
        for millis in (0..seconds * 1_000).step_by(TICK_MILLIS as usize) {
            let now = Duration::from_millis(millis);
            if millis % 1_000 == 0 {
                outcome.got.push(vec![0; ENDPOINTS]);
            }
            if millis % SPAN_MILLIS == 0 && self.has_noise {
                let is_slow = |_| random.random::<f64>() < SPAN_SHARE;
                noise = (0..ENDPOINTS)
                    .map(is_slow)
                    .map(|is_slow| if is_slow { SPAN_SLOWNESS } else { 1.0 })
                    .collect();
            }
            for (endpoint, requests) in held.iter_mut().enumerate() {
                let running = requests.len().min(SLOTS);
                let slowness = (self.slowness)(endpoint, millis, requests.len()) * noise[endpoint];
                let rate = 1.0 / (slowness * (1.0 + 0.1 * running as f64));
                for request in requests.iter_mut().take(running) {
                    request.left -= rate * TICK_MILLIS as f64;
                    if (millis - request.sent) % PAUSE_MILLIS == 0 && millis > request.sent {
                        let pause = Duration::from_secs_f64(
                            0.01 / rate * (0.7 + 0.6 * random.random::<f64>()),
                        );
                        let work = work(Kind::Pause, known[endpoint] as u32);
                        speeds[request.gateway].record(endpoint as u64, work, pause, now);
                    }
                }
                for request in requests.iter().take(running).filter(|it| it.left <= 0.0) {
                    let took = millis + TICK_MILLIS - request.sent;
                    let sum = &mut sums[(request.sent / 1_000) as usize];
                    *sum = (sum.0 + took as f64, sum.1 + 1);
                    let work = work(Kind::Whole, request.requests);
                    let took = Duration::from_millis(took);
                    speeds[request.gateway].record(endpoint as u64, work, took, now);
                }
                requests.retain(|request| request.left > 0.0);
            }
            if millis % EXCHANGE_MILLIS == 0 {
                known = held.iter().map(|requests| requests.len() as f64).collect();
                outcome.rows = outcome.rows.max(self.exchange(&mut speeds, now));
            }
            let rate = (self.per_second)(millis) * self.scale * ENDPOINTS as f64;
            let mut expected = rate * TICK_MILLIS as f64 / 1_000.0;
            while expected > 0.0 {
                if random.random::<f64>() < expected {
                    let gateway = random.random_range(0..self.gateways);
                    let candidates: Vec<Candidate<'_>> = (0..ENDPOINTS)
                        .map(|index| Candidate {
                            name: &names[index],
                            requests: known[index],
                            slots: Some(SLOTS as u32),
                            speed: match self.learns {
                                true => speeds[gateway].speed(index as u64),
                                false => 1.0,
                            },
                            is_far: false,
                            is_limited: false,
                        })
                        .collect();
                    let query = Query {
                        part: None,
                        tokens: 0,
                        share: 0.0,
                        unseen: 0.0,
                        seed: random.random(),
                    };
                    let endpoint = choice::order(&query, &candidates)[0];
                    let total: usize = held.iter().map(VecDeque::len).sum();
                    let mean = total as f64 / ENDPOINTS as f64;
                    outcome.above += u32::from(held[endpoint].len() as f64 > 2.0 * mean + 3.0);
                    let requests = known[endpoint] as u32;
                    let left = 100.0 / self.scale * (0.5 + random.random::<f64>());
                    held[endpoint].push_back(Request { gateway, requests, sent: millis, left });
                    if let Some(got) = outcome.got.last_mut() {
                        got[endpoint] += 1;
                    }
                    // All gateways together know of the requests since the exchange as one would.
                    known[endpoint] += 1.0;
                }
                expected -= 1.0;
            }
            if (millis + TICK_MILLIS).is_multiple_of(1_000) {
                let speeds = (0..ENDPOINTS).map(|index| speeds[0].speed(index as u64));
                outcome.speeds.push(speeds.collect());
            }
        }
        outcome.times = sums.iter().map(|(sum, count)| sum / f64::from(*count)).collect();
        outcome
    }

    /// Exchanges rows through hubs; returns the most rows of a gateway.
    fn exchange(&self, speeds: &mut [Speeds], now: Duration) -> usize {
        let sum = |rows: &[Sums]| {
            let mut sum = Sums::default();
            rows.iter().for_each(|row| sum.add_all(row, Duration::ZERO));
            sum
        };
        let rows = speeds.iter().map(|speeds| {
            let mut sums = Sums::default();
            speeds.rows(self.gateways as u32 - 1, now).into_iter().for_each(|row| sums.add(row));
            sums
        });
        let rows: Vec<Sums> = rows.collect();
        let hubs: Vec<Sums> = rows.chunks(GROUP).map(sum).collect();
        for (gateway, speeds) in speeds.iter_mut().enumerate() {
            let mut others = Sums::default();
            let group = gateway / GROUP * GROUP..rows.len().min((gateway / GROUP + 1) * GROUP);
            let peers = group.filter(|peer| *peer != gateway).map(|peer| &rows[peer]);
            let hubs = hubs.iter().enumerate().filter(|(hub, _)| *hub != gateway / GROUP);
            let all = peers.chain(hubs.map(|(_, sums)| sums));
            all.for_each(|sums| others.add_all(sums, Duration::from_millis(EXCHANGE_MILLIS)));
            for endpoint in 0..ENDPOINTS as u64 {
                speeds.set_others(endpoint, others.row(endpoint), now);
            }
            speeds.judge(now);
        }
        rows.iter().map(Sums::len).max().unwrap_or_default()
    }
}

fn work(kind: Kind, requests: u32) -> Work {
    Work { kind, class: 0, tokens: 0, requests }
}

/// Fleets with how many times the requests of one endpoint are 40 a second, so that a gateway of a large
/// fleet sees any of them.
const FLEETS: [(usize, f64); 4] = [(1, 1.0), (5, 1.0), (39, 2.0), (300, 4.0)];

/// Second from which on the usual times are known.
const KNOWN: usize = 8;

const EQUAL: Slowness = |_, _, _| 1.0;

/// One endpoint takes 4 times as long as the others, and three take 1.3 times as long.
const UNEQUAL: Slowness = |endpoint, _, _| match endpoint {
    0 => 4.0,
    1..=3 => 1.3,
    _ => 1.0,
};

/// Two endpoints are 6 times as slow for six seconds, from [`BEGIN`] to [`END`].
const SLOW_FOR_A_TIME: Slowness = |endpoint, millis, _| {
    if endpoint < 2 && (12_000..18_000).contains(&millis) { 6.0 } else { 1.0 }
};
const BEGIN: usize = 12;
const END: usize = 18;

/// Three times as many requests for one second of five.
const BURSTS: fn(u64) -> f64 = |millis| if millis % 5_000 < 1_000 { 75.0 } else { 25.0 };

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len() as f64
}

impl Outcome {
    /// Returns the mean time of requests, once the usual times are known.
    fn mean_time(&self) -> f64 {
        mean(self.times[KNOWN..].iter().copied())
    }

    /// Returns the mean speed of an endpoint in these seconds.
    fn mean_speed(&self, endpoint: usize, seconds: std::ops::Range<usize>) -> f64 {
        mean(self.speeds[seconds].iter().map(|speeds| speeds[endpoint]))
    }

    /// Returns the share of an endpoint in the requests, once the usual times are known.
    fn share(&self, endpoint: usize) -> f64 {
        let total: u32 = self.got[KNOWN..].iter().flatten().sum();
        f64::from(self.got[KNOWN..].iter().map(|got| got[endpoint]).sum::<u32>()) / f64::from(total)
    }
}

#[test]
fn endpoints_of_speeds_1_1_3_and_4_get_what_they_handle() {
    // In bursts all endpoints have more requests than slots for a while, whoever gets them.
    for (name, per_second, part) in
        [("steady", Run::new(5, UNEQUAL).per_second, 0.95), ("bursts", BURSTS, 1.0)]
    {
        let run = Run { per_second, ..Run::new(5, UNEQUAL) };
        let (with, without) = (run.play(26, 1), Run { learns: false, ..run }.play(26, 1));
        let speeds: Vec<f64> = (0..ENDPOINTS).map(|index| with.mean_speed(index, 10..26)).collect();
        assert!((0.2..0.5).contains(&speeds[0]), "{name}: {speeds:?}");
        assert!(
            speeds[1..4].iter().all(|speed| (0.65..0.95).contains(speed)),
            "{name}: {speeds:?}"
        );
        assert!(speeds[4..].iter().all(|speed| (0.9..1.1).contains(speed)), "{name}: {speeds:?}");
        assert!(with.share(0) < without.share(0) * 0.8, "{name}");
        assert!(with.share(0) > 0.01, "{name}: the slow endpoint is starved");
        let (with_time, without_time) = (with.mean_time(), without.mean_time());
        assert!(with_time < without_time * part, "{name}: {with_time:.0} of {without_time:.0} ms");
    }
}

#[test]
fn a_slowdown_is_learnt_and_forgotten_within_seconds_by_fleets_of_all_sizes() {
    for (gateways, scale) in FLEETS {
        let run = Run { has_noise: true, scale, ..Run::new(gateways, SLOW_FOR_A_TIME) };
        let outcome = run.play(30, 1);
        for endpoint in 0..2 {
            let speeds: Vec<f64> = outcome.speeds.iter().map(|speeds| speeds[endpoint]).collect();
            assert!(speeds[BEGIN + 3] < 0.6, "{gateways} gateways: {speeds:.2?}");
            assert!(speeds[END + 3] > 0.7, "{gateways} gateways: {speeds:.2?}");
            assert!(speeds[END + 7..].iter().all(|speed| *speed > 0.8), "{gateways}: {speeds:.2?}");
            let got = outcome.got[BEGIN..END].iter().map(|got| got[endpoint]);
            assert!(got.sum::<u32>() > 0, "an endpoint that was slow gets no more requests");
        }
        assert!(outcome.rows <= 6, "{gateways} gateways: {} rows", outcome.rows);
    }
}

#[test]
fn an_endpoint_that_slows_down_at_half_its_slots_gets_less_but_is_not_starved() {
    let slowness: Slowness =
        |endpoint, _, requests| if endpoint == 0 && requests > SLOTS / 2 { 3.0 } else { 1.0 };
    for (gateways, scale) in FLEETS {
        let run = Run { per_second: |_| 55.0, scale, ..Run::new(gateways, slowness) };
        let (with, without) = (run.play(20, 1), Run { learns: false, ..run }.play(20, 1));
        let (with_time, without_time) = (with.mean_time(), without.mean_time());
        assert!(with_time < without_time, "{gateways}: {with_time:.0} of {without_time:.0} ms");
        // With half its slots it works off two thirds as much as the others.
        assert!(with.share(0) > 0.02, "{gateways}: {:.3}", with.share(0));
    }
}

#[test]
fn endpoints_that_are_all_slow_together_share_requests_as_before() {
    let slowness: Slowness =
        |_, millis, _| if (10_000..16_000).contains(&millis) { 3.0 } else { 1.0 };
    for (gateways, scale) in FLEETS {
        let run = Run { per_second: |_| 15.0, scale, ..Run::new(gateways, slowness) };
        let outcome = run.play(22, 1);
        for endpoint in 0..ENDPOINTS {
            let share = outcome.share(endpoint);
            assert!((0.085..0.115).contains(&share), "{gateways} gateways: {share:.3}");
            let speed = outcome.mean_speed(endpoint, KNOWN..22);
            assert!((0.95..1.05).contains(&speed), "{gateways} gateways: {speed:.2}");
        }
    }
}

#[test]
fn noise_moves_no_share_by_more_than_an_eighth() {
    for (gateways, scale) in FLEETS {
        for seed in 1..=3 {
            let run = Run { has_noise: true, scale, ..Run::new(gateways, EQUAL) };
            let outcome = run.play(28, seed);
            for endpoint in 0..ENDPOINTS {
                let share = outcome.share(endpoint);
                assert!((0.0875..0.1125).contains(&share), "{gateways} gateways: {share:.3}");
            }
        }
    }
}

#[test]
fn equal_endpoints_keep_a_speed_of_exactly_1() {
    for (gateways, scale) in FLEETS {
        let run = Run { scale, ..Run::new(gateways, EQUAL) };
        let (with, without) = (run.play(15, 1), Run { learns: false, ..run }.play(15, 1));
        assert_eq!(with.got, without.got, "{gateways} gateways choose other endpoints");
    }
}

#[test]
fn a_fast_endpoint_gets_no_more_than_the_load_bound() {
    // One endpoint would have to take over half of the work for all to be equally busy.
    let slowness: Slowness = |endpoint, _, _| if endpoint == 0 { 1.0 } else { 4.0 };
    let per_second: fn(u64) -> f64 = |_| 16.0;
    let run = Run { per_second, ..Run::new(5, slowness) };
    let outcome = run.play(20, 1);
    assert!(outcome.mean_speed(0, KNOWN..20) > 1.3);
    assert_eq!(outcome.above, 0);
}

#[test]
fn rows_of_a_broken_peer_are_refused_and_sums_bounded() {
    let row = |endpoint, weight: f32, sum: f32| Row {
        endpoint,
        reporters: 1,
        fast_weight: weight,
        fast_sum: sum,
        slow_weight: weight,
        slow_sum: sum,
    };
    let sums = |row: Row| {
        let mut sums = Sums::default();
        sums.add(row);
        sums
    };
    assert!(sums(row(1, 3.0, -4.0)).is_valid());
    for (weight, sum) in
        [(f32::NAN, 0.0), (1.0, f32::INFINITY), (-1.0, 0.0), (1.0, 9.0), (1e9, 0.0)]
    {
        assert!(!sums(row(1, weight, sum)).is_valid(), "{weight} {sum}");
    }
    let mut all = Sums::default();
    (0..1_000).rev().for_each(|endpoint| all.add(row(endpoint, 1.0, 1.0)));
    assert!(all.is_valid() && all.len() == 256);
    // A sum that is too large is not taken.
    (0..10).for_each(|_| all.add(row(999, 5e4, 1.0)));
    assert!(all.is_valid());
}
