//! Applying a difference to a document gives the later document.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use config::Account;
use config::Assignment;
use config::Document;
use proptest::collection::btree_map;
use proptest::prelude::proptest;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rpc::Difference;
use wire::Digest;
use wire::id;

/// Generates documents that share some names of accounts and engines.
fn document(revision: id::Revision) -> impl Strategy<Value = Document> {
    let accounts = btree_map("[a-f]", 0u32..3, 0..6);
    let assignments = btree_map("[a-f]", 0u32..3, 0..6);
    (accounts, assignments).prop_map(move |(accounts, assignments)| {
        let accounts = accounts.into_iter().map(|(name, weight)| account(name, weight));
        let assignments = assignments
            .into_iter()
            .map(|(engine, model)| Assignment { engine, holds: vec![format!("model-{model}")] });
        Document {
            revision,
            accounts: accounts.collect(),
            assignments: assignments.collect(),
            ..Document::default()
        }
    })
}

fn account(name: id::Account, weight: u32) -> Account {
    Account { name, weight, tokens: vec![Digest::of(b"token")] }
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_difference_gives_the_later_document(base in document(3), later in document(4)) {
        let difference = Difference::between(&base, &later).unwrap();
        assert_eq!(difference.apply(&base), Some(later));
    }
}

#[test]
fn a_difference_does_not_apply_to_another_base() {
    let base = Document { revision: 3, ..Document::default() };
    let later = Document { revision: 4, ..Document::default() };
    let difference = Difference::between(&base, &later).unwrap();
    let older = Document { revision: 2, ..Document::default() };
    assert_eq!(difference.apply(&older), None);
    let other = Document { operator: "other".to_owned(), ..base.clone() };
    assert_eq!(difference.apply(&other), None, "its digest differs");
}

/// `cargo test -p rpc --test difference small -- --nocapture` prints the sizes.
#[test]
fn the_difference_of_a_small_change_is_small() {
    let accounts = (0..300).map(|index| account(format!("account-{index:03}"), 1));
    let assignments = (0..1200).map(|index| Assignment {
        engine: format!("sofia-dc3-engine-{index:04}"),
        holds: vec!["motion-large-7".to_owned()],
    });
    let base = Document {
        revision: 3,
        accounts: accounts.collect(),
        assignments: assignments.collect(),
        ..Document::default()
    };
    let mut later = Document { revision: 4, ..base.clone() };
    later.accounts[7].weight = 5;
    later.assignments[9].holds = vec!["motion-small-2".to_owned()];
    let whole = serde_json::to_vec(&later).unwrap().len();
    let difference =
        serde_json::to_vec(&Difference::between(&base, &later).unwrap()).unwrap().len();
    println!("document {whole} bytes, difference {difference} bytes");
    // At 1,100 changes per day, differences may take a tenth of a process's 2 KB/s in
    // each direction.
    assert!(difference * 1_100 < 200 * 86_400, "{difference}");
}
