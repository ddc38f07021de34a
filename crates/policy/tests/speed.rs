//! Replays loads of endpoints of unequal speed, by many gateways that each choose with what they have
//! learnt of the endpoints' speeds.

use std::time::Duration;

use policy::choice;
use policy::choice::Candidate;
use policy::choice::Query;
use policy::exchange::Additive;
use policy::speed::Kind;
use policy::speed::Pace;
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

/// Interval between exchanges of gateways. Loads are that old, and observations up to twice as old.
const EXCHANGE_MILLIS: u64 = 250;

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
#[derive(Default)]
struct Outcome {
    /// Requests that each endpoint got in each second.
    got: Vec<[u32; ENDPOINTS]>,
    /// Time of the requests that were sent in each second, in milliseconds, and their number.
    times: Vec<(f64, f64)>,
    /// Speeds at the first gateway at the end of each second.
    speeds: Vec<[f64; ENDPOINTS]>,
    /// Most rows that all gateways together reported.
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
    fn new((gateways, scale): (usize, f64), slowness: Slowness) -> Run {
        Run { gateways, per_second: |_| 20.0, scale, slowness, has_noise: false, learns: true }
    }

    fn play(&self, seconds: u64, seed: u64) -> Outcome {
        let mut random = Pcg64::seed_from_u64(seed);
        let names: Vec<String> = (0..ENDPOINTS).map(|index| format!("e{index}")).collect();
        let mut speeds = vec![Speeds::default(); self.gateways];
        let mut rows = vec![Sums::default(); self.gateways];
        // What each gateway knows of the requests at endpoints.
        let mut known = vec![[0_u32; ENDPOINTS]; self.gateways];
        let mut held: [Vec<Request>; ENDPOINTS] = Default::default();
        let mut noise = [1.0; ENDPOINTS];
        let mut outcome = Outcome::default();
        for millis in (0..seconds * 1_000).step_by(TICK_MILLIS as usize) {
            let now = Duration::from_millis(millis);
            if millis.is_multiple_of(1_000) {
                outcome.got.push([0; ENDPOINTS]);
                outcome.times.push((0.0, 0.0));
            }
            if millis.is_multiple_of(SPAN_MILLIS) && self.has_noise {
                let is_slow = |_| random.random::<f64>() < SPAN_SHARE;
                noise = noise.map(is_slow).map(|slow| if slow { SPAN_SLOWNESS } else { 1.0 });
            }
            for (endpoint, requests) in held.iter_mut().enumerate() {
                let count = requests.len() as u32;
                let running = requests.len().min(SLOTS);
                let slowness = (self.slowness)(endpoint, millis, requests.len()) * noise[endpoint];
                let slowness = slowness * (1.0 + 0.1 * running as f64);
                for request in requests.iter_mut().take(running) {
                    request.left -= TICK_MILLIS as f64 / slowness;
                    let age = millis - request.sent;
                    let (requests, took) = if request.left <= 0.0 {
                        let times = &mut outcome.times[(request.sent / 1_000) as usize];
                        *times = (times.0 + age as f64, times.1 + 1.0);
                        let requests = known[request.gateway][endpoint].midpoint(request.requests);
                        known[request.gateway][endpoint] = count;
                        (requests, (Kind::Whole, (age + TICK_MILLIS) as f64))
                    } else if age > 0 && age.is_multiple_of(PAUSE_MILLIS) {
                        let pause = 10.0 * slowness * (0.7 + 0.6 * random.random::<f64>());
                        (known[request.gateway][endpoint], (Kind::Pause, pause))
                    } else {
                        continue;
                    };
                    let work = Work { kind: took.0, class: 0, tokens: 0, requests };
                    let took = Duration::from_secs_f64(took.1 / 1_000.0);
                    speeds[request.gateway].record(endpoint as u64, work, took, now);
                }
                requests.retain(|request| request.left > 0.0);
            }
            if millis.is_multiple_of(EXCHANGE_MILLIS) {
                exchange(&mut speeds, &mut rows, now);
                outcome.rows = outcome.rows.max(rows.iter().map(Sums::len).sum());
            }
            for (gateway, known) in known.iter_mut().enumerate() {
                if (millis + gateway as u64 * 35).is_multiple_of(EXCHANGE_MILLIS) {
                    *known = held.each_ref().map(|requests| requests.len() as u32);
                }
            }
            let rate = (self.per_second)(millis) * self.scale * ENDPOINTS as f64;
            let mut expected = rate * TICK_MILLIS as f64 / 1_000.0;
            while expected > random.random::<f64>() {
                expected -= 1.0;
                let gateway = random.random_range(0..self.gateways);
                let candidate = |index: usize| Candidate {
                    name: &names[index],
                    requests: f64::from(known[gateway][index]),
                    slots: Some(SLOTS as u32),
                    speed: if self.learns { speeds[gateway].speed(index as u64) } else { 1.0 },
                    is_far: false,
                    is_limited: false,
                };
                let candidates: Vec<Candidate<'_>> = (0..ENDPOINTS).map(candidate).collect();
                let query = Query {
                    part: None,
                    tokens: 0,
                    share: 0.0,
                    unseen: 0.0,
                    idle: 0,
                    seed: random.random(),
                };
                let endpoint = choice::order(&query, &candidates)[0];
                let requests = known[gateway][endpoint];
                let left = 200.0 / self.scale * (0.5 + random.random::<f64>());
                held[endpoint].push(Request { gateway, requests, sent: millis, left });
                known[gateway][endpoint] += 1;
                outcome.got[(millis / 1_000) as usize][endpoint] += 1;
            }
            if (millis + TICK_MILLIS).is_multiple_of(1_000) {
                let speed = |index| speeds[0].speed(index as u64);
                outcome.speeds.push(std::array::from_fn(speed));
            }
        }
        outcome
    }
}

/// Gives each gateway the rows that the others told at the last exchange, and replaces these by new
/// ones.
fn exchange(speeds: &mut [Speeds], rows: &mut [Sums], now: Duration) {
    let age = Duration::from_millis(EXCHANGE_MILLIS);
    let sum = |rows: &[Sums]| {
        let mut sum = Sums::default();
        rows.iter().for_each(|row| sum.add_all(row, age));
        sum
    };
    let others: Vec<Sums> = (0..rows.len())
        .map(|own| {
            let mut others = sum(&rows[..own]);
            others.add_all(&sum(&rows[own + 1..]), Duration::ZERO);
            others
        })
        .collect();
    let gateways = speeds.len() as u32 - 1;
    for ((speeds, rows), others) in speeds.iter_mut().zip(rows).zip(others) {
        for endpoint in 0..ENDPOINTS as u64 {
            speeds.set_others(endpoint, others.row(endpoint), now);
        }
        speeds.judge(now);
        *rows = Sums::default();
        speeds.rows(gateways, now).into_iter().for_each(|row| rows.add(row));
    }
}

/// Fleets with how many times the requests of one endpoint are 20 a second, so that a gateway of a large
/// fleet sees any of them.
const FLEETS: [(usize, f64); 4] = [(1, 1.0), (5, 1.0), (39, 3.0), (300, 10.0)];

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
const BURSTS: fn(u64) -> f64 = |millis| if millis % 5_000 < 1_000 { 37.0 } else { 12.0 };

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len() as f64
}

impl Outcome {
    /// Returns the mean time of requests, once the usual times are known.
    fn mean_time(&self) -> f64 {
        let times = &self.times[KNOWN..];
        times.iter().map(|(sum, _)| sum).sum::<f64>()
            / times.iter().map(|(_, count)| count).sum::<f64>()
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
        [("steady", Run::new(FLEETS[1], UNEQUAL).per_second, 0.98), ("bursts", BURSTS, 1.0)]
    {
        let run = Run { per_second, ..Run::new(FLEETS[1], UNEQUAL) };
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
        let run = Run { has_noise: true, ..Run::new((gateways, scale), SLOW_FOR_A_TIME) };
        let outcome = run.play(30, 1);
        for endpoint in 0..2 {
            let speeds: Vec<f64> = outcome.speeds.iter().map(|speeds| speeds[endpoint]).collect();
            // At 300 gateways one gets less than a request a second from an endpoint.
            let learnt = BEGIN + if gateways < 100 { 3 } else { 5 };
            assert!(speeds[learnt] < 0.6, "{gateways} gateways: {speeds:.2?}");
            assert!(speeds[END + 4] > 0.7, "{gateways} gateways: {speeds:.2?}");
            assert!(speeds[END + 7..].iter().all(|speed| *speed > 0.8), "{gateways}: {speeds:.2?}");
            let got = outcome.got[BEGIN..END].iter().map(|got| got[endpoint]);
            assert!(got.sum::<u32>() > 0, "an endpoint that was slow gets no more requests");
        }
        assert!(outcome.rows <= 5 * gateways, "{gateways}: {} rows", outcome.rows);
    }
}

#[test]
fn an_endpoint_that_slows_down_at_half_its_slots_gets_less_but_is_not_starved() {
    let slowness: Slowness =
        |endpoint, _, requests| if endpoint == 0 && requests > SLOTS / 2 { 3.0 } else { 1.0 };
    for (gateways, scale) in FLEETS {
        let run = Run { per_second: |_| 22.0, ..Run::new((gateways, scale), slowness) };
        let (with, without) = (run.play(20, 1), Run { learns: false, ..run }.play(20, 1));
        let (with_time, without_time) = (with.mean_time(), without.mean_time());
        assert!(with_time < without_time, "{gateways}: {with_time:.0} of {without_time:.0} ms");
        // With half its slots it works off two thirds as much as the others.
        assert!(with.share(0) > 0.02, "{gateways}: {:.3}", with.share(0));
    }
}

#[test]
fn noise_and_a_slowdown_of_all_move_no_share_by_more_than_an_eighth() {
    let all: Slowness = |_, millis, _| if (10_000..16_000).contains(&millis) { 3.0 } else { 1.0 };
    let quiet: fn(u64) -> f64 = |_| 7.0;
    for fleet in FLEETS {
        let noise = Run { has_noise: true, ..Run::new(fleet, EQUAL) };
        let slowdown = Run { per_second: quiet, ..Run::new(fleet, all) };
        for (run, seed) in [(noise, 1), (noise, 2), (slowdown, 1)] {
            let outcome = run.play(28, seed);
            for endpoint in 0..ENDPOINTS {
                let share = outcome.share(endpoint);
                assert!((0.0875..0.1125).contains(&share), "{fleet:?}: {share:.3}");
                let speed = outcome.mean_speed(endpoint, KNOWN..28);
                assert!((0.95..1.05).contains(&speed), "{fleet:?}: {speed:.2}");
            }
        }
    }
}

#[test]
fn equal_endpoints_keep_a_speed_of_exactly_1() {
    for (gateways, scale) in FLEETS {
        let run = Run::new((gateways, scale), EQUAL);
        let (with, without) = (run.play(15, 1), Run { learns: false, ..run }.play(15, 1));
        assert_eq!(with.got, without.got, "{gateways} gateways choose other endpoints");
    }
}

#[test]
fn long_prompts_make_no_endpoint_slow() {
    let mut speeds = Speeds::default();
    let mut random = Pcg64::seed_from_u64(1);
    for millis in (0..20_000).step_by(50) {
        let now = Duration::from_millis(millis);
        for endpoint in 0..6 {
            // One endpoint gets most of the long prompts, of which the reading takes 14 times as long.
            let is_long = random.random::<f64>() < if endpoint == 0 { 0.9 } else { 0.1 };
            let (tokens, usual) = if is_long { (10_000, 0.07) } else { (700, 0.005) };
            let took = Duration::from_secs_f64(usual * (0.7 + 0.6 * random.random::<f64>()));
            let work = Work { kind: Kind::FirstEvent, class: 0, tokens, requests: 4 };
            speeds.record(endpoint, work, took, now);
        }
        speeds.judge(now);
        assert!((0..6).all(|endpoint| speeds.speed(endpoint) == 1.0), "{speeds:?}");
    }
}

#[test]
fn a_slow_client_does_not_change_the_pauses_of_its_stream() {
    let millis = Duration::from_millis;
    let mut quick = Pace::default();
    let mut piece =
        |number: u64| quick.record(millis((number * 20).saturating_sub(19)), millis(number * 20));
    let pauses: Vec<Duration> = (0..50).filter_map(&mut piece).collect();
    assert_eq!(pauses, [millis(20); 2]);
    assert_eq!(quick.finish(), Some(millis(20)));
    // A silent endpoint is seen by the first piece after it.
    assert_eq!(quick.record(millis(981), millis(3_980)), Some(millis(3_000)));
    // The client takes 300 ms for each piece; the next one lies there then.
    let mut slow = Pace::default();
    let mut pauses =
        (1..50).filter_map(|piece| slow.record(millis(piece * 300), millis(piece * 300 + 1)));
    assert_eq!(pauses.next(), None);
    assert_eq!(slow.finish(), None);
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
