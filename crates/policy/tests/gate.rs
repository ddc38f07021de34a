//! Properties of the gate over random requests, and its behaviour in floods of the most
//! and the least urgent rank.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use policy::bound;
use policy::gate::Action;
use policy::gate::End;
use policy::gate::Gate;
use policy::gate::Id;
use policy::gate::Rule;
use policy::gate::Rules;
use policy::gate::Ticket;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::RngSeed;
use wire::Cost;
use wire::Mean;
use wire::refusal::Ran;
use wire::refusal::Reason;

const SECOND: Duration = Duration::from_secs(1);

/// Random histories per property.
const CASES: u32 = 512;

fn rules(slots: u32, minimums: [u8; 3]) -> Rules {
    let ranks = minimums.map(|minimum| Rule { minimum, first_token: 60 * SECOND });
    Rules {
        slots,
        bound: 1.25,
        ranks: ranks.to_vec(),
        queue: slots * 8,
        queue_tokens: 1_000_000,
        start_rate: 100,
    }
}

fn ticket(id: Id, rank: u8, account: &str, tokens: u32) -> Ticket {
    Ticket {
        id,
        request: u128::from(id),
        rank,
        account: account.to_owned(),
        weight: 1,
        cost: Cost { prompt: 0, output: tokens },
        due: 1_000 * SECOND,
        deadline: 1_000 * SECOND,
    }
}

fn mean(per_slot: f32) -> Option<Mean> {
    Some(Mean { per_slot, weight: 9.0, age: SECOND })
}

/// The outcome of each ticket so far.
#[derive(Debug, Default)]
struct Outcomes {
    /// Tickets that were started or refused.
    seen: BTreeSet<Id>,
    started: Vec<Id>,
    refused: BTreeMap<Id, Reason>,
    running: BTreeSet<Id>,
}

impl Outcomes {
    /// Records decisions; fails if a ticket gets a second one.
    fn record(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    assert!(self.seen.insert(id), "{id} started twice or after a refusal");
                    self.started.push(id);
                    self.running.insert(id);
                }
                Action::Refuse(id, refusal) => {
                    assert!(self.seen.insert(id), "{id} refused twice or after its start");
                    assert_eq!(refusal.ran, Ran::No);
                    self.refused.insert(id, refusal.reason);
                }
            }
        }
    }

    /// Completes the running request with the lowest id, if any runs.
    fn end(&mut self, gate: &mut Gate, now: Duration) -> Option<Id> {
        let id = self.running.pop_first()?;
        self.record(gate.end(id, End::Completed, now));
        Some(id)
    }
}

#[derive(Debug, Clone)]
enum Step {
    Offer { rank: u8, account: u8, tokens: u32, patience: u64 },
    End,
    Advance(u64),
    Mean(Option<f32>),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0u8..3, 0u8..4, 1u32..2_000, 1u64..60);
    prop_oneof![
        4 => offer.prop_map(|(rank, account, tokens, patience)| Step::Offer {
            rank, account, tokens, patience,
        }),
        2 => Just(Step::End),
        1 => (1u64..5_000).prop_map(Step::Advance),
        1 => proptest::option::of(0f32..8.0).prop_map(Step::Mean),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(CASES)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_ticket_has_one_outcome_and_the_bound_holds(
        slots in 1u32..6,
        minimums in any::<[bool; 3]>(),
        has_one_urgent_account in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let rules = rules(slots, minimums.map(|has_minimum| if has_minimum { 20 } else { 0 }));
        let mut gate = Gate::new(rules.clone());
        let mut outcomes = Outcomes::default();
        let mut now = Duration::ZERO;
        let mut seen = None;
        let mut offered = 0;
        let mut ranks = Vec::new();
        for step in steps {
            match step {
                Step::Offer { rank, account, tokens, patience } => {
                    let name = |account, rank| match has_one_urgent_account && rank == 0 {
                        true => "account-0".to_owned(),
                        false => format!("account-{account}"),
                    };
                    let mut ticket = ticket(offered, rank, &name(account, rank), tokens);
                    ticket.due = now + Duration::from_secs(patience);
                    ticket.deadline = ticket.due;
                    ranks.push(rank);
                    let before = gate.load().requests();
                    outcomes.record(gate.offer(ticket, seen, now));
                    if !outcomes.refused.contains_key(&offered)
                        && gate.load().requests() > before
                    {
                        let limit = bound::limit(rules.bound, slots, seen);
                        prop_assert!(gate.load().requests() <= limit);
                    }
                    offered += 1;
                }
                Step::End => {
                    outcomes.end(&mut gate, now);
                }
                Step::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    outcomes.record(gate.tick(now));
                }
                Step::Mean(per_slot) => seen = per_slot.and_then(mean),
            }
            let load = gate.load();
            prop_assert_eq!(load.running as usize, outcomes.running.len());
            prop_assert!(load.running <= slots);
            // Slots may be reserved against less urgent ranks, and against an account
            // over its share for others of its rank. Neither applies to the most urgent
            // rank with a single account, whose work never waits while a slot is idle.
            let waits = |id: &Id| !outcomes.seen.contains(id) && ranks[*id as usize] == 0;
            let urgent = (0..offered).filter(waits).count();
            prop_assert!(
                urgent == 0 || load.running == slots || !has_one_urgent_account,
                "a slot is idle while urgent work waits"
            );
            prop_assert!(load.waiting == 0 || load.running > 0, "all slots are idle");
        }
        while outcomes.end(&mut gate, now).is_some() {}
        prop_assert_eq!(gate.load().requests(), 0);
        prop_assert_eq!(outcomes.started.len() + outcomes.refused.len(), offered as usize);
    }

    #[test]
    fn more_urgent_waiting_work_starts_first(ranks in proptest::collection::vec(0u8..3, 2..9)) {
        let mut gate = Gate::new(rules(1, [0; 3]));
        let mut outcomes = Outcomes::default();
        outcomes.record(gate.offer(ticket(100, 0, "a", 10), mean(9.0), Duration::ZERO));
        for (id, rank) in ranks.iter().enumerate() {
            outcomes
                .record(gate.offer(ticket(id as Id, *rank, "a", 10), mean(9.0), Duration::ZERO));
        }
        let mut order = Vec::new();
        while let Some(id) = outcomes.end(&mut gate, Duration::ZERO) {
            order.push(id);
        }
        let order: Vec<u8> =
            order.iter().filter_map(|id| ranks.get(*id as usize).copied()).collect();
        prop_assert!(order.is_sorted());
        prop_assert!(outcomes.refused.is_empty());
    }
}

/// Floods a gate with one rank while another offers a third as many requests; returns the
/// other rank's percentage of the started requests, all of one size.
fn share_percent(flood: u8, other: u8, minimums: [u8; 3]) -> u64 {
    let mut gate = Gate::new(rules(4, minimums));
    let mut outcomes = Outcomes::default();
    let mut ranks = BTreeMap::new();
    let mut next = 0;
    for round in 0u64..4_000 {
        let now = Duration::from_millis(round * 10);
        for (rank, account) in [(flood, "flood"), (flood, "flood"), (flood, "flood"), (other, "b")]
        {
            ranks.insert(next, rank);
            outcomes.record(gate.offer(ticket(next, rank, account, 100), mean(20.0), now));
            next += 1;
        }
        outcomes.end(&mut gate, now);
    }
    let started = outcomes.started.iter().filter(|id| ranks[id] == other).count();
    started as u64 * 100 / outcomes.started.len() as u64
}

#[test]
fn a_rank_keeps_its_minimum_through_a_flood_of_the_most_urgent() {
    let share_percent = share_percent(0, 2, [0, 0, 10]);
    assert!((9..=11).contains(&share_percent), "{share_percent} %");
    assert_eq!(self::share_percent(0, 2, [0; 3]), 0, "without a minimum the flood gets all slots");
}

#[test]
fn urgent_work_goes_first_through_a_flood_of_the_least_urgent() {
    let share_percent = share_percent(2, 0, [0, 0, 10]);
    assert!(share_percent >= 89, "{share_percent} %");
}

#[test]
fn a_small_account_goes_before_the_backlog_of_a_large_one() {
    let mut gate = Gate::new(rules(1, [0; 3]));
    let mut outcomes = Outcomes::default();
    for id in 0..9 {
        outcomes.record(gate.offer(ticket(id, 1, "large", 1_000), mean(99.0), Duration::ZERO));
    }
    outcomes.record(gate.offer(ticket(9, 1, "small", 1_000), mean(99.0), Duration::ZERO));
    outcomes.end(&mut gate, SECOND);
    assert_eq!(outcomes.started, [0, 9]);
}

#[test]
fn weights_divide_started_work() {
    let mut gate = Gate::new(rules(1, [0; 3]));
    let mut outcomes = Outcomes::default();
    for id in 0..8 {
        let mut ticket = ticket(id, 1, if id % 2 == 0 { "heavy" } else { "light" }, 100);
        ticket.weight = if id % 2 == 0 { 3 } else { 1 };
        outcomes.record(gate.offer(ticket, mean(99.0), Duration::ZERO));
    }
    for _ in 0..4 {
        outcomes.end(&mut gate, SECOND).expect("one runs");
    }
    let heavy = outcomes.started.iter().filter(|id| *id % 2 == 0).count();
    assert_eq!((outcomes.started.len(), heavy), (5, 4));
}

#[test]
fn work_that_cannot_start_in_time_is_refused_at_once() {
    let mut gate = Gate::new(rules(1, [0; 3]));
    let mut outcomes = Outcomes::default();
    outcomes.record(gate.offer(ticket(0, 1, "a", 1_000), mean(9.0), Duration::ZERO));
    let mut late = ticket(1, 1, "a", 10);
    late.due = 9 * SECOND;
    outcomes.record(gate.offer(late.clone(), mean(9.0), Duration::ZERO));
    assert_eq!(outcomes.refused.get(&1), Some(&Reason::Deadline), "the slot is busy for 10 s");
    late.id = 2;
    late.due = 11 * SECOND;
    outcomes.record(gate.offer(late, mean(9.0), Duration::ZERO));
    assert_eq!(outcomes.refused.get(&2), None);
    outcomes.record(gate.tick(11 * SECOND));
    assert_eq!(outcomes.refused.get(&2), Some(&Reason::Deadline), "its latest start has passed");
}

#[test]
fn urgent_work_evicts_the_least_urgent_when_the_queue_is_full() {
    let mut gate = Gate::new(rules(1, [0, 0, 20]));
    let mut outcomes = Outcomes::default();
    for id in 0..9 {
        outcomes.record(gate.offer(ticket(id, 2, "a", 10), mean(99.0), Duration::ZERO));
    }
    assert!(outcomes.refused.is_empty());
    for id in 9..20 {
        outcomes.record(gate.offer(ticket(id, 0, "b", 10), mean(99.0), Duration::ZERO));
    }
    let evicted: Vec<Id> = outcomes.refused.keys().copied().filter(|id| *id < 9).collect();
    assert_eq!(
        evicted,
        [2, 3, 4, 5, 6, 7, 8],
        "the newest are evicted first, and the guaranteed place stays"
    );
}

#[test]
fn the_limit_follows_the_mean_load_and_is_conservative_without_one() {
    assert_eq!(bound::limit(1.25, 8, mean(2.0)), 20);
    assert_eq!(bound::limit(1.25, 8, mean(1.01)), 11, "rounded up");
    assert_eq!(bound::limit(1.25, 8, mean(0.1)), 8, "never below the slots");
    assert_eq!(bound::limit(1.25, 8, None), 10);
    let alone = Mean { per_slot: 50.0, weight: 1.0, age: SECOND };
    assert_eq!(
        bound::limit(1.25, 8, Some(alone)),
        10,
        "a mean of one sample may be the engine's own load"
    );
    let stale = Mean { per_slot: 50.0, weight: 9.0, age: 6 * SECOND };
    assert_eq!(bound::limit(1.25, 8, Some(stale)), 10);
    assert_eq!(bound::limit(1.25, 8, mean(f32::NAN)), 10);
}

#[test]
fn retry_delays_of_refused_requests_are_spread() {
    let mut gate = Gate::new(rules(1, [0; 3]));
    let mut waits = Vec::new();
    for id in 0..1_000 {
        for action in gate.offer(ticket(id, 1, "a", 1_000), None, Duration::ZERO) {
            if let Action::Refuse(_, refusal) = action {
                waits.push(refusal.retry_after);
            }
        }
    }
    waits.sort();
    // The backlog is 20 s: one request runs and one waits, for 10 s each.
    let (first, last) = (waits[0], waits[waits.len() - 1]);
    assert!(first < 11 * SECOND && last > 29 * SECOND, "{first:?} to {last:?}");
    let tenth = waits.chunks(waits.len() / 10).map(|part| part[part.len() - 1] - part[0]);
    assert!(tenth.max() < Some(4 * SECOND), "no tenth of them returns at the same time");
}

#[test]
fn slots_reserved_for_urgent_work_are_released_as_its_demand_decays() {
    let mut gate = Gate::new(rules(4, [0; 3]));
    let mut outcomes = Outcomes::default();
    for id in 0..3 {
        outcomes.record(gate.offer(ticket(id, 0, "a", 300), mean(9.0), Duration::ZERO));
    }
    for id in 3..8 {
        outcomes.record(gate.offer(ticket(id, 2, "a", 10_000), mean(9.0), Duration::ZERO));
    }
    while outcomes.running.first() < Some(&3) {
        outcomes.end(&mut gate, 3 * SECOND);
    }
    let reserved = 4 - gate.load().running;
    assert!(reserved > 0, "urgent work of 9 slot seconds was offered in the last 10 s");
    outcomes.record(gate.tick(100 * SECOND));
    assert_eq!(gate.load().running, 4);
}

#[test]
fn a_rank_that_requests_more_than_it_uses_does_not_distort_the_rate_of_another() {
    let mut gate = Gate::new(rules(1, [0; 3]));
    let mut outcomes = Outcomes::default();
    for id in 0..200 {
        // Requests of both ranks take a second, whatever they request.
        let (rank, tokens) = if id % 2 == 0 { (2, 100_000) } else { (0, 10) };
        outcomes.record(gate.offer(ticket(id, rank, "a", tokens), mean(9.0), id as u32 * SECOND));
        outcomes.end(&mut gate, (id + 1) as u32 * SECOND);
    }
    let now = 200 * SECOND;
    outcomes.record(gate.offer(ticket(200, 0, "a", 10), mean(9.0), now));
    let mut tight = ticket(201, 0, "a", 10);
    tight.due = now + SECOND / 2;
    outcomes.record(gate.offer(tight, mean(9.0), now));
    assert_eq!(
        outcomes.refused.get(&201),
        Some(&Reason::Deadline),
        "the slot is busy for a second"
    );
}
