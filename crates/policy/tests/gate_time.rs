//! First-token predictions of the gate compared with the actual times, over random requests.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::gate::Action;
use policy::gate::End;
use policy::gate::Gate;
use policy::gate::Id;
use policy::gate::Rule;
use policy::gate::Rules;
use policy::gate::Ticket;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::prop_assert;
use proptest::test_runner::RngSeed;
use wire::Cost;
use wire::Mean;
use wire::refusal::Reason;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// First-token target of all ranks.
const TARGET: Duration = Duration::from_millis(400);

/// Prefill time of the simulated engine.
const PREFILL: Duration = Duration::from_millis(100);

/// Requests by which a rank may be below its minimum when a run ends.
const SHORTFALL_MAX: u64 = 3;

/// Random histories per property.
const CASES: u32 = 256;

fn rules(slots: u32, minimums: [u8; 3]) -> Rules {
    let ranks = minimums.map(|minimum| Rule { minimum, first_token: TARGET });
    Rules {
        slots,
        bound: 1.25,
        ranks: ranks.to_vec(),
        queue: slots * 8,
        queue_tokens: 1_000_000,
        start_rate: 100,
    }
}

/// Returns a ticket offered at `now`, which takes 100 ms at the initial rate.
fn ticket(id: Id, rank: u8, now: Duration) -> Ticket {
    Ticket {
        id,
        request: u128::from(id),
        rank,
        account: "a".to_owned(),
        weight: 1,
        cost: Cost { prompt: 5, output: 5 },
        due: now + TARGET,
        deadline: now + SECOND,
    }
}

fn mean() -> Option<Mean> {
    Some(Mean { per_slot: 20.0, weight: 9.0, age: Duration::ZERO })
}

fn refusal(actions: &[Action], id: Id) -> Option<Reason> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(of, refusal) if *of == id => Some(refusal.reason),
        _ => None,
    })
}

/// Returns a gate with one slot, which is busy, that has learnt a prefill time of
/// [`PREFILL`].
fn busy_gate() -> Gate {
    let mut gate = Gate::new(rules(1, [0; 3]));
    gate.offer(ticket(0, 0, Duration::ZERO), mean(), Duration::ZERO);
    gate.record_first_token(0, PREFILL);
    gate.end(0, End::Aborted, PREFILL);
    gate.offer(ticket(1, 0, PREFILL), mean(), PREFILL);
    gate
}

#[test]
fn work_whose_first_token_would_be_late_is_refused_at_once() {
    let mut gate = busy_gate();
    let now = PREFILL;
    let mut tight = ticket(2, 0, now);
    tight.due = now + 150 * MILLISECOND;
    let reason = refusal(&gate.offer(tight, mean(), now), 2);
    assert_eq!(
        reason,
        Some(Reason::Deadline),
        "it could start after 100 ms, then prefill takes 100 ms"
    );
    let mut loose = ticket(3, 0, now);
    loose.due = now + 250 * MILLISECOND;
    assert_eq!(refusal(&gate.offer(loose, mean(), now), 3), None);
}

#[test]
fn waiting_work_is_refused_when_its_first_token_can_no_longer_come_in_time() {
    let mut gate = busy_gate();
    let now = PREFILL;
    gate.offer(ticket(2, 0, now), mean(), now);
    let last = now + TARGET - PREFILL;
    assert_eq!(gate.start_by(2), Some(last));
    assert_eq!(refusal(&gate.tick(last - MILLISECOND), 2), None);
    assert_eq!(refusal(&gate.tick(last), 2), Some(Reason::Deadline));
}

#[test]
fn work_that_is_late_already_starts_at_a_free_slot_and_never_waits() {
    let mut gate = busy_gate();
    let late = |id| Ticket { due: Duration::ZERO, ..ticket(id, 0, PREFILL) };
    let reason = refusal(&gate.offer(late(2), mean(), PREFILL), 2);
    assert_eq!(reason, Some(Reason::Deadline));
    gate.end(1, End::Aborted, PREFILL);
    assert_eq!(gate.offer(late(3), mean(), PREFILL), [Action::Start(3)]);
}

#[test]
fn long_prompts_may_wait_for_half_of_the_target() {
    let mut gate = busy_gate();
    let mut long = ticket(2, 0, PREFILL);
    long.cost.prompt = 500;
    assert_eq!(refusal(&gate.offer(long, mean(), PREFILL), 2), None, "its prefill takes 10 s");
    assert_eq!(gate.start_by(2), Some(PREFILL + TARGET / 2));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::with_cases(CASES)
    }
}

/// An engine whose requests take different times, driven by its gate.
struct Engine {
    gate: Gate,
    tickets: BTreeMap<Id, Ticket>,
    /// Running requests with the times of their end and of their first token.
    running: BTreeMap<Id, (Duration, Duration)>,
    /// Due and actual times of first tokens, for requests that had waited.
    first_tokens: Vec<(Duration, Duration)>,
    started: [u64; 3],
    /// Start of the first request.
    first_start: Option<Duration>,
}

impl Engine {
    fn new(rules: Rules) -> Engine {
        Engine {
            gate: Gate::new(rules),
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            first_tokens: Vec::new(),
            started: [0; 3],
            first_start: None,
        }
    }

    fn offer(&mut self, rank: u8, now: Duration) {
        let ticket = ticket(self.tickets.len() as Id, rank, now);
        self.tickets.insert(ticket.id, ticket.clone());
        let actions = self.gate.offer(ticket, mean(), now);
        self.apply(actions, now);
    }

    fn apply(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            let Action::Start(id) = action else { continue };
            let ticket = &self.tickets[&id];
            let took = PREFILL + MILLISECOND * (id as u32 * 37 % 200);
            self.running.insert(id, (now + took, now + PREFILL));
            self.first_start.get_or_insert(now);
            self.started[usize::from(ticket.rank)] += 1;
            if ticket.due < now + TARGET {
                self.first_tokens.push((ticket.due, now + PREFILL));
            }
        }
    }

    fn advance(&mut self, now: Duration) {
        for (id, _) in self.running.iter().filter(|(_, (_, first))| *first <= now) {
            self.gate.record_first_token(*id, now);
        }
        let ended = self.running.extract_if(.., |_, (end, _)| *end <= now);
        let ended: Vec<Id> = ended.map(|(id, _)| id).collect();
        for id in ended {
            let actions = self.gate.end(id, End::Completed, now);
            self.apply(actions, now);
        }
        let actions = self.gate.tick(now);
        self.apply(actions, now);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_first_token_of_work_that_waited_comes_in_time(
        slots in 1u32..5,
        offers in proptest::collection::vec(proptest::option::of(0u8..3), 50..300),
    ) {
        let mut engine = Engine::new(rules(slots, [20, 20, 10]));
        for (step, offer) in offers.into_iter().enumerate() {
            let now = MILLISECOND * 5 * step as u32;
            engine.advance(now);
            if let Some(rank) = offer {
                engine.offer(rank, now);
            }
        }
        // No prefill time is learnt before the first token of all.
        let learnt = engine.first_start.unwrap_or(Duration::MAX).saturating_add(PREFILL + TARGET);
        let late = engine.first_tokens.iter().find(|(due, first)| *due > learnt && first > due);
        prop_assert!(late.is_none(), "{late:?}");
    }

    #[test]
    fn no_rank_that_asks_is_below_its_minimum(
        slots in 1u32..5,
        minimums in proptest::array::uniform3(0u8..30),
        flood in 0u8..3,
    ) {
        let mut engine = Engine::new(rules(slots, minimums));
        for step in 0..800 {
            let now = MILLISECOND * 5 * step;
            engine.advance(now);
            engine.offer(flood, now);
            engine.offer((step % 3) as u8, now);
        }
        let all: u64 = engine.started.iter().sum();
        for (rank, minimum) in minimums.into_iter().enumerate() {
            let least = all * u64::from(minimum) / 100;
            prop_assert!(engine.started[rank] + SHORTFALL_MAX >= least, "{:?}", engine.started);
        }
    }

    #[test]
    fn what_is_taken_of_a_rank_is_taken_of_a_more_urgent_one(
        slots in 1u32..5,
        ranks in proptest::collection::vec(0u8..3, 0..60),
        rank in 0u8..2,
        is_late in any::<bool>(),
    ) {
        let mut gate = Gate::new(rules(slots, [0; 3]));
        let mut now = Duration::ZERO;
        for (id, rank) in (0..).zip(ranks) {
            gate.offer(ticket(id, rank, now), mean(), now);
            now += 10 * MILLISECOND;
        }
        let due = now + if is_late { Duration::ZERO } else { TARGET };
        let offer = |rank| {
            let ticket = Ticket { due, ..ticket(1_000, rank, now) };
            refusal(&gate.clone().offer(ticket, mean(), now), 1_000)
        };
        prop_assert!(offer(rank + 1).is_some() || offer(rank).is_none());
    }
}
