//! Simulation of preempting running work instead of reserving slots for urgent work.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const SLOTS: usize = 8;
const STEP: Duration = Duration::from_millis(10);
const RUN_STEPS: u32 = 60_000;
/// Mean duration of an urgent request and of one of the flood, in steps.
const URGENT_STEPS: u32 = 100;
const FLOOD_STEPS: u32 = 1_000;

/// Longest time between tokens that the flood's rank allows.
const TOKEN_GAP: Duration = Duration::from_millis(400);

/// How running work is preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Preemption {
    /// The engine pauses it and resumes it later.
    Pause,
    /// It is cancelled and later restarted from the beginning.
    Cancel,
}

/// A request that runs or was preempted; times are in steps.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    is_urgent: bool,
    done: u32,
    total: u32,
    /// Steps for which it was preempted.
    paused: u32,
}

/// Results in percent of the engine's slot time or of the requests.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    urgent: f64,
    flood: f64,
    discarded: f64,
    /// Urgent requests that found no slot of the flood to preempt.
    blocked: f64,
    /// Flood requests that were paused for longer than their rank allows.
    overlong: f64,
}

fn random_work(random: &mut Pcg32, is_urgent: bool) -> Work {
    let mean = if is_urgent { URGENT_STEPS } else { FLOOD_STEPS };
    Work { is_urgent, total: random.random_range(mean / 5..mean * 9 / 5), ..Work::default() }
}

/// Simulates urgent requests at a rate per second beside a flood that fills every free slot.
fn simulate(rate: f64, preemption: Preemption) -> Outcome {
    let mut random = Pcg32::seed_from_u64(23);
    let mut slots: Vec<Work> = Vec::new();
    let mut paused: Vec<Work> = Vec::new();
    let mut used = Outcome::default();
    let (mut offered, mut blocked, mut ended, mut overlong) = (0.0, 0.0, 0.0, 0.0);
    for _ in 0..RUN_STEPS {
        for work in slots.iter().filter(|work| work.done >= work.total && !work.is_urgent) {
            ended += 1.0;
            overlong +=
                f64::from(work.paused * STEP.as_millis() as u32 > TOKEN_GAP.as_millis() as u32);
        }
        slots.retain(|work| work.done < work.total);
        if random.random_bool(rate * STEP.as_secs_f64()) {
            offered += 1.0;
            if slots.len() == SLOTS {
                // The flood request with the least work done is preempted.
                let flood = slots.iter().enumerate().filter(|(_, work)| !work.is_urgent);
                match flood.min_by_key(|(_, work)| work.done).map(|(index, _)| index) {
                    Some(index) => paused.push(slots.remove(index)),
                    None => blocked += 1.0,
                }
            }
            if slots.len() < SLOTS {
                slots.push(random_work(&mut random, true));
            }
        }
        while slots.len() < SLOTS {
            let work = if paused.is_empty() { None } else { Some(paused.remove(0)) };
            let work = work.unwrap_or_else(|| random_work(&mut random, false));
            slots.push(match preemption {
                Preemption::Pause => work,
                Preemption::Cancel => {
                    used.discarded += f64::from(work.done);
                    used.flood -= f64::from(work.done);
                    Work { done: 0, ..work }
                }
            });
        }
        paused.iter_mut().for_each(|work| work.paused += 1);
        for work in &mut slots {
            work.done += 1;
            used.urgent += f64::from(u8::from(work.is_urgent));
            used.flood += f64::from(u8::from(!work.is_urgent));
        }
    }
    let capacity = f64::from(RUN_STEPS) * SLOTS as f64 / 100.0;
    Outcome {
        urgent: used.urgent / capacity,
        flood: used.flood / capacity,
        discarded: used.discarded / capacity,
        blocked: 100.0 * blocked / offered,
        overlong: 100.0 * overlong / ended,
    }
}

#[test]
fn preemption_by_urgent_work_leaves_no_slot_idle() {
    for rate in [0.1, 0.8, 3.2] {
        for preemption in [Preemption::Pause, Preemption::Cancel] {
            let outcome = simulate(rate, preemption);
            println!(
                "urgent={rate}/s {preemption:?}: used {:.1} + {:.1} %, discarded {:.1} %, urgent \
                 without a slot {:.2} %, paused beyond the token gap {:.1} %",
                outcome.urgent, outcome.flood, outcome.discarded, outcome.blocked, outcome.overlong
            );
            assert!(outcome.urgent + outcome.flood + outcome.discarded > 99.9, "no slot is idle");
        }
    }
}
