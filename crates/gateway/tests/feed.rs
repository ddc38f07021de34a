//! What a store tells in, what a gateway knows out.

#[path = "support/entries.rs"]
mod entries;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Knowledge;
use gateway::Peers;
use platform::Codec;
use services::Feed;
use services::feed::Listing;
use services::store::Change;
use services::store::Entry;
use services::store::Error;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::entries::announced;
use crate::entries::entry;
use crate::entries::table;

/// A store with scripted answers about endpoints and one configuration.
struct Script {
    scans: RefCell<VecDeque<Result<Listing, Error>>>,
    changes: RefCell<VecDeque<Result<Change, Error>>>,
    tables: RefCell<VecDeque<u64>>,
}

fn all(entries: Vec<Entry>) -> Result<Listing, Error> {
    Ok(Listing { entries, version: 5 })
}

fn changed(entries: Vec<Entry>, removed: &[&str]) -> Result<Change, Error> {
    let removed = removed.iter().map(|id| format!("servers/{id}")).collect();
    Ok(Change { version: 6, entries, removed })
}

fn down() -> Error {
    Error::Down("silent".to_owned())
}

impl Feed for Script {
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        let answer = match prefix {
            "op/config" => all(vec![table(self.tables.borrow()[0])]),
            _ => match self.scans.borrow_mut().pop_front() {
                Some(answer) => answer,
                None => return std::future::pending().boxed_local(),
            },
        };
        async move { answer }.boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        _: u64,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Change, Error>> {
        let answer = match prefix {
            "op/config" => {
                let mut tables = self.tables.borrow_mut();
                tables.pop_front().filter(|_| !tables.is_empty()).map(|_| {
                    let version = tables[0];
                    changed(vec![table(version)], &[])
                })
            }
            _ => self.changes.borrow_mut().pop_front(),
        };
        match answer {
            Some(answer) => async move { answer }.boxed_local(),
            None => std::future::pending().boxed_local(),
        }
    }
}

/// Lets a gateway follow the script for so long and shows the endpoints that it knows then.
async fn follow(
    knowledge: &Arc<Knowledge>,
    scans: Vec<Result<Listing, Error>>,
    changes: Vec<Result<Change, Error>>,
    time: Duration,
) -> Vec<String> {
    let script = Script {
        scans: RefCell::new(scans.into()),
        changes: RefCell::new(changes.into()),
        tables: RefCell::new(vec![3].into()),
    };
    let cancel = CancellationToken::new();
    let end = async {
        sleep(time).await;
        cancel.cancel();
    };
    let peers = Peers::new(Arc::clone(knowledge), Vec::new());
    tokio::join!(gateway::follow(&Codec, &script, &peers, cancel.clone()), end);
    let shown = |endpoint: &route::Endpoint| format!("{} {:?}", endpoint.id, endpoint.state);
    knowledge.endpoints().iter().map(|endpoint| shown(endpoint)).collect()
}

/// Long enough for two batches of changes.
const SOON: Duration = Duration::from_millis(1_200);

#[tokio::test]
async fn endpoints_come_change_and_go() {
    let scans = vec![all(vec![announced("a", "ready"), announced("b", "ready")])];
    let changes = vec![
        changed(vec![announced("c", "ready")], &[]),
        changed(vec![announced("b", "draining")], &["a"]),
    ];
    let known = follow(&Arc::default(), scans, changes, SOON).await;
    assert_eq!(known, ["b Leaving", "c Ready"]);
}

#[tokio::test]
async fn what_cannot_be_read_names_no_endpoint() {
    let scans = vec![all(vec![announced("a", "ready"), entry("servers/b", "\u{1}garbage")])];
    let changes = vec![changed(vec![entry("servers/a", "{}"), announced("c", "ready")], &[])];
    let known = follow(&Arc::default(), scans, changes, SOON).await;
    assert_eq!(known, ["c Ready"]);
}

#[tokio::test]
async fn after_lost_history_all_is_read_again() {
    let scans = vec![all(vec![announced("a", "ready")]), all(vec![announced("b", "ready")])];
    let known = follow(&Arc::default(), scans, vec![Err(Error::Compacted)], SOON).await;
    assert_eq!(known, ["b Ready"]);
}

#[tokio::test]
async fn endpoints_that_lapsed_with_the_store_have_time_to_return() {
    let knowledge = Arc::<Knowledge>::default();
    let scans = vec![
        all(vec![announced("a", "ready"), announced("b", "ready")]),
        all(vec![announced("c", "ready")]),
    ];
    let changes = vec![
        Err(down()),
        changed(vec![], &["a", "b"]),
        changed(vec![announced("a", "ready")], &[]),
    ];
    let known = follow(&knowledge, scans, changes, SOON).await;
    assert_eq!(known, ["a Ready", "b Ready", "c Ready"]);
    let known = follow(&knowledge, vec![], vec![], Duration::from_millis(2_500)).await;
    assert_eq!(known, ["a Ready", "c Ready"]);
}

#[tokio::test]
async fn a_store_that_fails_takes_nothing_away() {
    let scans = vec![all(vec![announced("a", "ready")])];
    let changes = vec![Err(down()), Err(Error::Limited), Err(down())];
    let known = follow(&Arc::default(), scans, changes, SOON).await;
    assert_eq!(known, ["a Ready"]);
}

#[tokio::test]
async fn a_configuration_never_goes_back() {
    let script = Script {
        scans: RefCell::new(vec![all(vec![])].into()),
        changes: RefCell::default(),
        tables: RefCell::new(vec![3, 7, 5].into()),
    };
    let knowledge = Arc::<Knowledge>::default();
    let cancel = CancellationToken::new();
    let end = async {
        sleep(SOON).await;
        cancel.cancel();
    };
    let peers = Peers::new(Arc::clone(&knowledge), Vec::new());
    tokio::join!(gateway::follow(&Codec, &script, &peers, cancel.clone()), end);
    assert_eq!(knowledge.table().version(), 7);
}

#[tokio::test]
async fn after_a_broken_watch_all_is_read_at_once_and_no_other_watch_is_waited_for() {
    let scans = vec![all(vec![announced("a", "ready")]), all(vec![announced("b", "ready")])];
    // A second watch would hear nothing.
    let known = follow(&Arc::default(), scans, vec![Err(down())], SOON).await;
    assert_eq!(known, ["a Ready", "b Ready"]);
}
