//! Tests confirms with racing operators and lost answers, against a store in memory.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use cli::Error;
use cli::confirm;
use config::Budget;
use config::Document;
use config::Plan;
use config::change::Change;
use config::change::Kind;
use config::layout;
use futures_util::future::LocalBoxFuture;
use services::Store;
use services::store;
use services::store::Commit;
use services::store::Entry;
use services::store::Outcome;

/// A store in memory that can lose writes or the answers to them.
#[derive(Default)]
struct Fake {
    version: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    /// Number of next writes that take effect but whose answers are lost.
    lost_answers: Cell<u32>,
    /// Number of next writes that are lost and have no effect.
    lost_writes: Cell<u32>,
    is_down: Cell<bool>,
}

impl Fake {
    fn write(&self, write: &Commit) -> Outcome {
        let mut entries = self.entries.borrow_mut();
        let version = |key: &String| entries.get(key).map_or(0, |entry| entry.version);
        if write.conditions.iter().any(|wanted| version(&wanted.key) != wanted.version) {
            return Outcome::Conflict;
        }
        self.version.set(self.version.get() + 1);
        for put in &write.puts {
            let version = self.version.get();
            let entry = Entry { key: put.key.clone(), value: put.value.clone(), version };
            entries.insert(put.key.clone(), entry);
        }
        write.removes.iter().for_each(|key| drop(entries.remove(key)));
        Outcome::Written(self.version.get())
    }

    fn keys(&self, kind: &str) -> Vec<String> {
        self.entries.borrow().keys().filter(|key| key.contains(kind)).cloned().collect()
    }

    /// Counts a counter down and returns whether it was above 0.
    fn count_down(counter: &Cell<u32>) -> bool {
        let left = counter.get();
        counter.set(left.saturating_sub(1));
        left > 0
    }
}

impl Store for Fake {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, store::Error>> {
        Box::pin(async move {
            if self.is_down.get() {
                return Err(store::Error::Down("refused".to_owned()));
            }
            Ok(self.entries.borrow().get(key).cloned())
        })
    }

    fn list<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, store::Error>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn commit<'a>(
        &'a self,
        write: &'a Commit,
    ) -> LocalBoxFuture<'a, Result<Outcome, store::Error>> {
        Box::pin(async move {
            if Fake::count_down(&self.lost_writes) {
                return Err(store::Error::Lost("timeout".to_owned()));
            }
            let outcome = self.write(write);
            if Fake::count_down(&self.lost_answers) {
                return Err(store::Error::Lost("timeout".to_owned()));
            }
            Ok(outcome)
        })
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<Option<Entry>, store::Error>> {
        Box::pin(async { Ok(None) })
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<store::Lease, store::Error>> {
        Box::pin(async { Ok(1) })
    }

    fn renew(&self, _: store::Lease) -> LocalBoxFuture<'_, Result<bool, store::Error>> {
        Box::pin(async { Ok(true) })
    }
}

fn plan(base: u64, operator: &str) -> Plan {
    let document =
        Document { revision: base + 1, operator: operator.to_owned(), ..Document::default() };
    Plan {
        name: operator.to_owned(),
        base,
        document,
        changes: vec![Change {
            kind: Kind::Add,
            object: "account".to_owned(),
            name: operator.to_owned(),
            detail: String::new(),
        }],
        allocations: Vec::new(),
        budget: Budget::default(),
        effects: Vec::new(),
        warnings: Vec::new(),
    }
}

fn run(store: &Fake, plan: &Plan) -> Result<u64, Error> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(confirm::confirm(store, "c", plan))
}

#[test]
fn the_first_confirm_is_applied() {
    let store = Fake::default();
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
}

#[test]
fn the_second_of_two_racing_operators_learns_whose_plan_is_in_force() {
    let store = Fake::default();
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    let superseded = Error::Superseded(1, "ana".to_owned(), "add account ana".to_owned());
    assert_eq!(run(&store, &plan(0, "boris")), Err(superseded));
    assert_eq!(run(&store, &plan(1, "boris")), Ok(2));
}

#[test]
fn repeating_a_confirm_is_idempotent_also_after_a_later_one() {
    let store = Fake::default();
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    assert_eq!(run(&store, &plan(1, "boris")), Ok(2));
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
}

#[test]
fn a_write_whose_answer_was_lost_is_found_applied_and_not_repeated() {
    let store = Fake::default();
    store.lost_answers.set(1);
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    assert_eq!(store.version.get(), 1);
}

#[test]
fn a_lost_write_is_repeated() {
    let store = Fake::default();
    store.lost_writes.set(2);
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
}

#[test]
fn the_outcome_is_unknown_if_every_write_is_lost() {
    let store = Fake::default();
    store.lost_writes.set(100);
    assert!(matches!(run(&store, &plan(0, "ana")), Err(Error::Unknown(_))));
}

#[test]
fn a_service_that_is_down_is_reported_as_such_and_not_as_an_unknown_outcome() {
    let store = Fake::default();
    store.is_down.set(true);
    let error = run(&store, &plan(0, "ana")).unwrap_err();
    assert_eq!(error, Error::Store(store::Error::Down("refused".to_owned())));
}

#[test]
fn documents_and_records_stay_bounded_and_the_newest_are_kept() {
    let store = Fake::default();
    let last = layout::RECORDS_KEPT + 100;
    for base in 0..last {
        assert_eq!(run(&store, &plan(base, "ana")), Ok(base + 1));
    }
    let documents = store.keys("/document/");
    assert_eq!(documents.len() as u64, layout::DOCUMENTS_KEPT);
    assert_eq!(documents.last(), Some(&layout::document("c", last)));
    assert_eq!(store.keys("/record/").len() as u64, layout::RECORDS_KEPT);
}

#[test]
fn a_confirm_whose_record_expired_is_reported_as_unknown_and_not_as_superseded() {
    let store = Fake::default();
    for base in 0..=layout::RECORDS_KEPT {
        assert_eq!(run(&store, &plan(base, "ana")), Ok(base + 1));
    }
    let newest = layout::RECORDS_KEPT + 1;
    assert_eq!(run(&store, &plan(0, "ana")), Err(Error::RecordExpired(1, newest)));
    assert_eq!(run(&store, &plan(1, "ana")), Ok(2));
}

#[test]
fn documents_expire_also_across_revisions_that_a_restore_skipped() {
    let store = Fake::default();
    for base in 0..10 {
        assert_eq!(run(&store, &plan(base, "ana")), Ok(base + 1));
    }
    let mut skipping = plan(10, "ana");
    skipping.document.revision = 40;
    assert_eq!(run(&store, &skipping), Ok(40));
    for base in 40..40 + layout::DOCUMENTS_KEPT {
        assert_eq!(run(&store, &plan(base, "ana")), Ok(base + 1));
    }
    assert_eq!(store.keys("/document/").len() as u64, layout::DOCUMENTS_KEPT);
}
