//! Confirms under races and lost answers, against a store in memory.

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

/// A store in memory that can lose the answers to writes, before or after they take effect.
#[derive(Default)]
struct Fake {
    version: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    lose_after: Cell<u32>,
    lose_before: Cell<u32>,
    down: Cell<bool>,
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

    fn is_lost(counter: &Cell<u32>) -> bool {
        let left = counter.get();
        counter.set(left.saturating_sub(1));
        left > 0
    }
}

impl Store for Fake {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, store::Error>> {
        Box::pin(async move {
            if self.down.get() {
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
            if Fake::is_lost(&self.lose_before) {
                return Err(store::Error::Lost("timeout".to_owned()));
            }
            let outcome = self.write(write);
            if Fake::is_lost(&self.lose_after) {
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
fn of_racing_operators_one_wins_and_the_other_is_told_who_did() {
    let store = Fake::default();
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    let told = Error::Superseded(1, "ana".to_owned(), "add account ana".to_owned());
    assert_eq!(run(&store, &plan(0, "boris")), Err(told));
    assert_eq!(run(&store, &plan(1, "boris")), Ok(2));
}

#[test]
fn repeating_a_confirm_is_harmless_also_after_a_later_one() {
    let store = Fake::default();
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    assert_eq!(run(&store, &plan(1, "boris")), Ok(2));
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
}

#[test]
fn an_answer_lost_after_the_write_is_read_back_as_applied() {
    let store = Fake::default();
    store.lose_after.set(1);
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
    assert_eq!(store.version.get(), 1);
}

#[test]
fn an_answer_lost_before_the_write_is_tried_again() {
    let store = Fake::default();
    store.lose_before.set(2);
    assert_eq!(run(&store, &plan(0, "ana")), Ok(1));
}

#[test]
fn answers_lost_to_the_end_are_unknown() {
    let store = Fake::default();
    store.lose_before.set(100);
    assert!(matches!(run(&store, &plan(0, "ana")), Err(Error::Unknown(_))));
}

#[test]
fn a_service_that_never_answered_means_not_applied() {
    let store = Fake::default();
    store.down.set(true);
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
fn a_confirm_that_the_history_forgot_is_unknown_rather_than_denied() {
    let store = Fake::default();
    for base in 0..=layout::RECORDS_KEPT {
        assert_eq!(run(&store, &plan(base, "ana")), Ok(base + 1));
    }
    let newest = layout::RECORDS_KEPT + 1;
    assert_eq!(run(&store, &plan(0, "ana")), Err(Error::Forgotten(1, newest)));
    assert_eq!(run(&store, &plan(1, "ana")), Ok(2));
}

#[test]
fn numbers_that_a_restore_skipped_leave_nothing_behind() {
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
