//! Invariants of retries: budgets, limits, merged refusals and resumption.

use std::time::Duration;

use policy::retry::Budget;
use policy::retry::Budgets;
use policy::retry::History;
use policy::retry::RESUME_WINDOW;
use policy::retry::Resumption;
use policy::retry::SHORT_RESUME_WINDOW;
use policy::retry::Verdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

/// Retries that a budget allows besides the percentage, as in `docs/decisions/retries.md`.
const MAX_RETRIES: u64 = 100;

/// Time left until the deadline.
const LEFT: Duration = Duration::from_secs(1);

fn refusal(reason: Reason, ran: Ran, seconds: u64) -> Refusal {
    Refusal { reason, ran, retry_after: Duration::from_secs(seconds), hint: None }
}

/// A budget with its initial retries.
fn new_budget() -> Budget {
    Budget::default()
}

/// A fixed seed, so that each run has the same cases.
fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(4);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn attempts_stay_within_the_percentage(
        percent in 0u32..100,
        // Failing attempts of each request.
        failing in prop::collection::vec(0u32..6, 1..3000),
    ) {
        let mut budget = Budget::default();
        let mut attempts = 0u64;
        for (index, failing) in failing.iter().enumerate() {
            budget.earn(percent);
            let mut history = History::new(true);
            attempts += 1;
            for _ in 0..*failing {
                let refusal = refusal(Reason::Bound, Ran::No, 1);
                if history.record_failure(refusal, 5, LEFT, &mut budget) == Verdict::Stop {
                    break;
                }
                attempts += 1;
            }
            let requests = index as u64 + 1;
            prop_assert!(attempts <= requests + requests * u64::from(percent) / 100 + MAX_RETRIES);
        }
    }

    #[test]
    fn what_may_have_run_stays_unknown(
        failures in prop::collection::vec((any::<bool>(), 0u64..5), 1..6),
    ) {
        let mut history = History::new(true);
        for (ran, seconds) in &failures {
            let ran = if *ran { Ran::Unknown } else { Ran::No };
            history.record_failure(
                refusal(Reason::Engine, ran, *seconds),
                9,
                LEFT,
                &mut new_budget(),
            );
        }
        let last = history.refusal().unwrap();
        prop_assert_eq!(last.ran == Ran::Unknown, failures.iter().any(|failure| failure.0));
        let earliest = failures.iter().map(|failure| failure.1).filter(|after| *after > 0).min();
        prop_assert_eq!(last.retry_after, Duration::from_secs(earliest.unwrap_or(0)));
    }
}

#[test]
fn work_that_may_have_run_is_repeated_only_if_idempotent() {
    let unknown = || refusal(Reason::Engine, Ran::Unknown, 1);
    let failed =
        |idempotent| History::new(idempotent).record_failure(unknown(), 3, LEFT, &mut new_budget());
    assert_eq!(failed(true), Verdict::Retry);
    assert_eq!(failed(false), Verdict::Stop);
}

#[test]
fn a_refusal_that_any_engine_would_give_is_final() {
    for reason in [Reason::Share, Reason::Conflict, Reason::Started, Reason::Foreign] {
        let mut history = History::new(true);
        let verdict =
            history.record_failure(refusal(reason, Ran::No, 1), 3, LEFT, &mut new_budget());
        assert_eq!(verdict, Verdict::Stop, "{reason}");
    }
}

#[test]
fn attempts_and_deadline_bound_a_request() {
    let bound = || refusal(Reason::Bound, Ran::No, 1);
    let mut history = History::new(true);
    assert_eq!(history.record_failure(bound(), 2, LEFT, &mut new_budget()), Verdict::Retry);
    assert_eq!(history.record_failure(bound(), 2, LEFT, &mut new_budget()), Verdict::Stop);
    let late = History::new(true).record_failure(bound(), 2, Duration::ZERO, &mut new_budget());
    assert_eq!(late, Verdict::Stop);
}

#[test]
fn an_empty_budget_is_reported_only_if_it_is_the_reason() {
    let mut empty = Budget::default();
    while empty.spend() {}
    for (reason, reported) in [(Reason::Engine, Reason::Retries), (Reason::Queue, Reason::Queue)] {
        let mut history = History::new(true);
        let verdict = history.record_failure(refusal(reason, Ran::No, 1), 3, LEFT, &mut empty);
        assert_eq!(verdict, Verdict::Stop);
        assert_eq!(history.refusal().unwrap().reason, reported);
    }
}

#[test]
fn one_redirect_to_a_moved_chat_spends_no_retry() {
    let mut empty = Budget::default();
    while empty.spend() {}
    let mut history = History::new(true);
    let moved = || refusal(Reason::Moved, Ran::No, 1);
    assert_eq!(history.record_failure(moved(), 3, LEFT, &mut empty), Verdict::Retry);
    assert_eq!(history.record_failure(moved(), 3, LEFT, &mut empty), Verdict::Stop);
    assert_eq!(history.failed_attempts(), 2);
}

/// Most tries to resume within one window, as in `docs/decisions/retries.md`.
const RESUME_MAX_TRIES: usize = 15;

#[test]
fn a_broken_answer_is_resumed_within_a_bounded_time_and_number_of_tries() {
    let mut without_output = Resumption::default();
    let mut now = Duration::ZERO;
    while let Some(pause) = without_output.next_pause(false, now) {
        now += pause;
        assert!(now <= SHORT_RESUME_WINDOW, "another engine can still be tried in time");
    }
    assert!(now > Duration::ZERO);
    let mut resumption = Resumption::default();
    let start = Duration::from_secs(7);
    let mut now = start;
    let mut tries = 0;
    while let Some(pause) = resumption.next_pause(true, now) {
        now += pause;
        tries += 1;
        assert!(now <= start + RESUME_WINDOW);
    }
    assert!(tries <= RESUME_MAX_TRIES, "{tries} tries");
    assert!(now > start + RESUME_WINDOW / 2, "the tries last until a replaced process answers");
    assert_eq!(resumption.next_pause(true, now), None, "no try follows after the window");
    resumption.record_progress();
    assert!(resumption.next_pause(true, now).is_some(), "a received chunk starts a new window");
}

#[test]
fn an_overload_of_one_rank_leaves_the_others_their_retries() {
    let mut budgets = Budgets::default();
    while budgets.of(2).spend() {}
    budgets.of(2).earn(20);
    assert!(!budgets.of(2).spend());
    assert!(budgets.of(0).spend());
}
