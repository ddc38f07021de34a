//! Tests that assignments follow a measured demand without flapping.

#![allow(clippy::unwrap_used)]

use config::Basis;
use config::Demand;
use config::Document;
use config::Engine;
use config::Plan;
use config::check;
use config::plan;
use config::warning::Warning;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

/// Largest random variation of the demand, in percent.
const MAX_VARIATION_PERCENT: i64 = 10;

/// Returns an intent with one service for each model; `loads` models may be loaded at
/// the same time.
fn intent(models: usize, loads: usize) -> Document {
    let mut text = format!(
        "[budget]\naccelerators = 1000\n[limit]\nloads = {loads}\n[[rank]]\nname = \"live\"\n\
         first_token_ms = 370\ntoken_gap_ms = 71\npatience_ms = 2000\nworth = 10\n\
         minimum_percent = 20\n[[account]]\nname = \"clerks\"\ntokens = []\n"
    );
    for n in 0..models {
        text.push_str(&format!(
            "[[service]]\nname = \"s{n}\"\nrank = \"live\"\naccounts = [\"clerks\"]\n\
             model = \"m{n}\"\n"
        ));
    }
    check::parse(&text).unwrap()
}

fn fleet(engines: usize) -> Vec<Engine> {
    let engine = |n: usize| Engine {
        vm: format!("e{n:03}"),
        centre: format!("c{}", n % 3),
        holds: Vec::new(),
    };
    (0..engines).map(engine).collect()
}

fn demand(requests: &[u64]) -> Demand {
    let mut demand = Demand::default();
    requests.iter().enumerate().for_each(|(n, requests)| demand.add(&format!("s{n}"), *requests));
    demand
}

fn plan_next(current: &Document, fleet: &[Engine], demand: Option<&Demand>, loads: usize) -> Plan {
    let models = current.services.len();
    let basis = Basis { current, base: current.revision, fleet, demand, operator: "ana" };
    plan::plan(intent(models, loads), &basis)
}

/// Confirms plans by the same demand until the assignments no longer change, and
/// returns the last document.
fn plan_until_stable(mut current: Document, fleet: &[Engine], demand: &Demand) -> Document {
    for _ in 0..=fleet.len() {
        let next = plan_next(&current, fleet, Some(demand), 100).document;
        if next.assignments == current.assignments {
            return next;
        }
        current = next;
    }
    panic!("plans by the same demand keep changing the assignments");
}

/// Returns a demand with each service's requests changed by a percentage.
fn vary(requests: &[u64], percents: &[i64]) -> Demand {
    let varied = |(requests, percent): (&u64, &i64)| {
        u64::try_from(*requests as i64 * (100 + percent) / 100).unwrap()
    };
    demand(&requests.iter().zip(percents).map(varied).collect::<Vec<u64>>())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn small_variations_of_the_demand_change_no_assignment(
        engines in 1usize..120,
        requests in vec(0u64..1_000_000, 1..12),
        percents in vec(vec(-MAX_VARIATION_PERCENT..=MAX_VARIATION_PERCENT, 12), 8),
    ) {
        let fleet = fleet(engines);
        let first = demand(&requests);
        let current = plan_until_stable(intent(requests.len(), 100), &fleet, &first);
        for percents in percents {
            let next = plan_next(&current, &fleet, Some(&vary(&requests, &percents)), 100);
            prop_assert_eq!(&next.document.assignments, &current.assignments);
        }
    }

    #[test]
    fn a_repeated_variation_of_the_demand_changes_no_assignment(
        engines in 1usize..120,
        requests in vec(0u64..1_000_000, 1..12),
        percents in vec(vec(-MAX_VARIATION_PERCENT..=MAX_VARIATION_PERCENT, 12), 8),
    ) {
        let fleet = fleet(engines);
        let mut current = plan_next(&intent(requests.len(), 100), &fleet, None, 100).document;
        let mut seen = Vec::new();
        for percents in percents.iter().chain(&percents) {
            current = plan_until_stable(current, &fleet, &vary(&requests, percents));
            seen.push(current.assignments.clone());
        }
        let (first, again) = seen.split_at(percents.len());
        prop_assert!(again.iter().all(|assignments| Some(assignments) == first.last()));
    }

    #[test]
    fn a_plan_without_demand_keeps_assignments_made_by_demand(
        engines in 1usize..120,
        requests in vec(0u64..1_000_000, 1..12),
    ) {
        let fleet = fleet(engines);
        let current = plan_until_stable(intent(requests.len(), 100), &fleet, &demand(&requests));
        let next = plan_next(&current, &fleet, None, 100);
        prop_assert_eq!(&next.document.assignments, &current.assignments);
    }

    #[test]
    fn every_model_has_an_engine_and_every_engine_a_model(
        engines in 1usize..120,
        requests in vec(0u64..1_000_000, 1..12),
        later in vec(0u64..1_000_000, 12),
    ) {
        let fleet = fleet(engines);
        let current = plan_until_stable(intent(requests.len(), 100), &fleet, &demand(&requests));
        let next = plan_next(&current, &fleet, Some(&demand(&later)), 100).document;
        prop_assert_eq!(next.assignments.len(), engines);
        let mut models: Vec<&String> = next.assignments.iter().flat_map(|one| &one.holds).collect();
        models.sort();
        models.dedup();
        prop_assert_eq!(models.len(), engines.min(requests.len()));
    }
}

#[test]
fn a_changed_demand_is_followed_at_the_rate_of_model_loads() {
    let fleet = fleet(40);
    let current = plan_until_stable(intent(2, 100), &fleet, &demand(&[1000, 1000]));
    assert_eq!(count_engines(&current, "m0"), 20);
    let moved = demand(&[39_000, 1000]);
    let first = plan_next(&current, &fleet, Some(&moved), 2);
    assert_eq!(count_engines(&first.document, "m0"), 28, "4 engines for each of 2 loads");
    assert!(first.warnings.contains(&Warning::Deferred { engines: 11 }), "{:?}", first.warnings);
    let second = plan_next(&first.document, &fleet, Some(&moved), 2);
    assert_eq!(count_engines(&second.document, "m0"), 36);
    assert!(second.warnings.contains(&Warning::Deferred { engines: 3 }), "{:?}", second.warnings);
    let third = plan_next(&second.document, &fleet, Some(&moved), 2);
    assert_eq!(count_engines(&third.document, "m0"), 39);
    let is_rate_limited = |warning: &Warning| matches!(warning, Warning::Deferred { .. });
    assert!(!third.warnings.iter().any(is_rate_limited), "{:?}", third.warnings);
}

fn count_engines(document: &Document, model: &str) -> usize {
    let holds = document.assignments.iter().map(|one| &one.holds);
    holds.filter(|holds| holds.iter().any(|held| held == model)).count()
}
