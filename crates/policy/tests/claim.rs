//! Attempts of one call, interleaved with lost and delayed writes and crashes.

use std::time::Duration;

use policy::claim::Answer;
use policy::claim::Attempt;
use policy::claim::Claim;
use policy::claim::Nonce;
use policy::claim::Step;
use policy::claim::Term;
use policy::claim::Unreadable;
use policy::claim::Write;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::test_runner::RngSeed;
use wire::Digest;
use wire::refusal::Ran;
use wire::refusal::Reason;

/// Random histories per property.
const CASES: u32 = 4_000;

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::with_cases(CASES) }
}

fn nonce(serial: u64) -> Nonce {
    Nonce { vm: "engine-1".to_owned(), incarnation: 1, serial }
}

fn answer(serial: u64) -> Answer {
    Answer { status: 200, content_type: None, body: serial.to_le_bytes().to_vec() }
}

/// A conditional write in flight, which the store applies or rejects.
#[derive(Debug, Clone)]
enum Change {
    Create(Claim),
    Replace(u64, Claim),
    Remove(u64),
}

/// A key-value store with one key.
#[derive(Debug, Default)]
struct Store {
    version: u64,
    /// The stored claim with its version.
    entry: Option<(u64, Claim)>,
    /// Writes that take effect later.
    delayed: Vec<Change>,
}

impl Store {
    /// Applies a write if its condition holds; returns whether it did.
    fn apply(&mut self, change: Change) -> bool {
        let current = self.entry.as_ref().map_or(0, |(version, _)| *version);
        let (expected, value) = match change {
            Change::Create(claim) => (0, Some(claim)),
            Change::Replace(version, claim) => (version, Some(claim)),
            Change::Remove(version) => (version, None),
        };
        if current != expected {
            return false;
        }
        self.version += 1;
        self.entry = value.map(|claim| (self.version, claim));
        true
    }

    /// Applies a write with a fault: 0 and 1 lose the answer, 2 also delays the write, 3
    /// drops the write and reports that. Any other number means no fault.
    fn write(&mut self, change: Change, fault: u8) -> Write {
        match fault {
            0 | 1 => {
                self.apply(change);
                Write::Unknown
            }
            2 => {
                self.delayed.push(change);
                Write::Unknown
            }
            3 => Write::NotWritten,
            _ if self.apply(change) => Write::Written,
            _ => Write::Conflict,
        }
    }
}

/// One agent that handles the call.
struct Agent {
    serial: u64,
    attempt: Attempt,
    next: Option<Step>,
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_call_runs_at_most_once(
        events in proptest::collection::vec((0usize..4, 0u8..12, any::<u8>()), 1..60),
    ) {
        let call = Digest::of(b"book hall 3");
        let mut store = Store::default();
        let mut agents: Vec<Agent> = (0..4).map(|serial| Agent {
            serial,
            attempt: Attempt::new(nonce(serial), call.clone()),
            next: Some(Step::Create),
        }).collect();
        let mut ran: Vec<u64> = Vec::new();
        for (index, fault, chance) in events {
            if chance < 40 && let Some(change) = store.delayed.pop() {
                store.apply(change);
            }
            let agent = &mut agents[index];
            if chance > 245 {
                agent.next = None;
            }
            match agent.next.take() {
                Some(Step::Create) => {
                    let write = store.write(Change::Create(agent.attempt.claim()), fault);
                    agent.next = Some(agent.attempt.after_create(write));
                }
                Some(Step::Read) => {
                    let found = store.entry.clone().map(|(_, claim)| claim);
                    let found = if fault == 3 { Err(Unreadable) } else { Ok(found) };
                    agent.next = Some(agent.attempt.after_read(found));
                }
                Some(Step::Run) => {
                    let version = store.entry.as_ref().map_or(0, |(version, _)| *version);
                    if chance % 4 == 0 {
                        // The engine can't be reached, so the claim is released.
                        store.write(Change::Remove(version), fault);
                    } else {
                        ran.push(agent.serial);
                        let claim = agent.attempt.completed(answer(agent.serial));
                        store.write(Change::Replace(version, claim), fault);
                    }
                }
                Some(Step::Replay(stored)) => {
                    prop_assert_eq!(ran.clone(), vec![u64::from(stored.body[0])]);
                }
                Some(Step::Refuse(_, ran_status)) => {
                    prop_assert!(!ran.contains(&agent.serial));
                    prop_assert_eq!(ran_status, Ran::Unknown);
                }
                None => {}
            }
            prop_assert!(ran.len() <= 1, "ran {:?}", ran);
        }
    }
}

#[test]
fn the_same_key_with_another_call_is_a_conflict_even_while_it_runs() {
    let first = Attempt::new(nonce(1), Digest::of(b"hall 3"));
    let mut second = Attempt::new(nonce(2), Digest::of(b"hall 4"));
    let step = second.after_read(Ok(Some(first.claim())));
    assert_eq!(step, Step::Refuse(Reason::Conflict, Ran::No));
}

#[test]
fn an_answer_too_large_to_keep_is_not_run_again() {
    let call = Digest::of(b"hall 3");
    let large = Answer { body: vec![0; Answer::MAX_BYTES + 1], ..answer(1) };
    let done = Attempt::new(nonce(1), call.clone()).completed(large);
    let step = Attempt::new(nonce(2), call).after_read(Ok(Some(done)));
    assert_eq!(step, Step::Refuse(Reason::Started, Ran::Unknown));
}

#[test]
fn a_process_that_was_paused_may_not_begin_the_call() {
    let age = Duration::from_secs(3600);
    let term = Term::new(Duration::from_secs(100), age);
    assert_eq!(term.ttl_seconds(), 4500);
    assert!(
        term.accepts_claims(Duration::from_secs(900))
            && !term.accepts_claims(Duration::from_secs(1000))
    );
    assert!(term.can_begin(Duration::from_secs(1800)));
    assert!(!term.can_begin(Duration::from_secs(1900)));
}

/// Claim age in the histories with a clock.
const AGE: Duration = Duration::from_secs(40);

/// An attempt whose process may be paused at any point.
struct Holder {
    serial: u64,
    attempt: Attempt,
    term: Option<Term>,
    /// Time of the last check that allowed the call to begin.
    checked: Option<Duration>,
    next: Option<Step>,
}

/// A store with leases: a claim is removed when its lease expires.
#[derive(Default)]
struct LeasedStore {
    store: Store,
    /// Time at which the claim's lease expires.
    expires: Option<Duration>,
    /// When the claim was created.
    created: Duration,
}

impl LeasedStore {
    fn advance(&mut self, now: Duration) {
        if self.expires.is_some_and(|expires| expires <= now) {
            self.store.entry = None;
            self.expires = None;
        }
    }

    fn create(
        &mut self,
        holder: &Holder,
        term: Term,
        granted: Duration,
        now: Duration,
        fault: u8,
    ) -> Write {
        let claim = holder.attempt.claim();
        let before = self.store.version;
        let write = self.store.write(Change::Create(claim), if fault == 2 { 3 } else { fault });
        if self.store.version > before {
            self.expires = Some(granted + Duration::from_secs(term.ttl_seconds()));
            self.created = now;
        }
        write
    }
}

proptest! {
    #![proptest_config(config())]

    /// Any process may be paused between any two steps while claims expire. After the last
    /// check a pause takes less than half the claim age.
    #[test]
    fn a_call_whose_claim_expires_under_a_paused_holder_runs_at_most_once(
        events in proptest::collection::vec((0usize..4, 0u8..12, 0u64..12, any::<u8>()), 1..60),
    ) {
        let call = Digest::of(b"book hall 3");
        let mut world = LeasedStore::default();
        let mut now = Duration::ZERO;
        let mut holders: Vec<Holder> = (0..4).map(|serial| Holder {
            serial,
            attempt: Attempt::new(nonce(serial), call.clone()),
            term: None,
            checked: None,
            next: Some(Step::Create),
        }).collect();
        let mut ran: Vec<(u64, Duration)> = Vec::new();
        let mut granted = [Duration::ZERO; 4];
        for (index, fault, pause, chance) in events {
            now += Duration::from_secs(pause);
            world.advance(now);
            let holder = &mut holders[index];
            if chance > 250 {
                holder.next = None;
            }
            match holder.next.take() {
                Some(Step::Create) => {
                    if !holder.term.is_some_and(|term| term.accepts_claims(now)) {
                        // The lease is granted later than it was requested.
                        holder.term = Some(Term::new(now, AGE));
                        now += Duration::from_secs(u64::from(fault) / 4);
                        granted[index] = now;
                    }
                    let term = holder.term.expect("just set");
                    let write = world.create(holder, term, granted[index], now, fault);
                    holder.next = Some(holder.attempt.after_create(write));
                }
                Some(Step::Read) => {
                    let found = world.store.entry.clone().map(|(_, claim)| claim);
                    let found = if fault == 3 { Err(Unreadable) } else { Ok(found) };
                    holder.next = Some(holder.attempt.after_read(found));
                }
                Some(Step::Run) => {
                    let term = holder.term.expect("a lease was granted");
                    match holder.checked {
                        None if term.can_begin(now) => {
                            holder.checked = Some(now);
                            holder.next = Some(Step::Run);
                        }
                        // Refused as too old; the claim is left to expire.
                        None => {}
                        Some(checked) if now - checked >= AGE / 2 => {}
                        Some(_) => {
                            let held = world.store.entry.clone();
                            let held = held.filter(|(_, claim)| claim.nonce == nonce(index as u64));
                            prop_assert!(held.is_some(), "called without its claim");
                            ran.push((holder.serial, world.created));
                            let (version, _) = held.expect("just seen");
                            if chance % 4 != 0 {
                                let done = holder.attempt.completed(answer(holder.serial));
                                world.store.apply(Change::Replace(version, done));
                            }
                        }
                    }
                }
                Some(Step::Replay(stored)) => {
                    // The answer may be read before its claim expired and replayed after that.
                    let stored = u64::from(stored.body[0]);
                    prop_assert!(ran.iter().any(|(serial, _)| *serial == stored));
                }
                Some(Step::Refuse(_, ran_status)) => prop_assert_eq!(ran_status, Ran::Unknown),
                None => {}
            }
            let doubled = ran.windows(2).any(|pair| pair[1].1 - pair[0].1 < AGE);
            prop_assert!(!doubled, "ran again within the claim age {:?}", ran);
        }
    }
}
