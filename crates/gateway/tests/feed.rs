//! Tests of what a gateway takes from the store, with a scripted store.

#[path = "support/entries.rs"]
mod entries;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::Peers;
use gateway::Routing;
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
use crate::entries::member;
use crate::entries::table;

/// A store with scripted answers. A call that has no answer left waits forever.
struct Script {
    /// Answers to scans of the endpoints.
    scans: RefCell<VecDeque<Result<Listing, Error>>>,
    /// Answers to watches of the endpoints.
    changes: RefCell<VecDeque<Result<Change, Error>>>,
    /// Versions of the configuration; the first one is in the store.
    tables: RefCell<VecDeque<u64>>,
}

/// Returns the answer to a scan that finds these entries.
fn listed(entries: Vec<Entry>) -> Result<Listing, Error> {
    Ok(Listing { entries, version: 5 })
}

/// Returns the answer to a watch: entries that were written and endpoints that were removed.
fn changed(entries: Vec<Entry>, removed: &[&str]) -> Result<Change, Error> {
    let removed = removed.iter().map(|id| format!("servers/{id}")).collect();
    Ok(Change { version: 6, entries, removed })
}

/// Returns the error of a store that doesn't answer.
fn unavailable() -> Error {
    Error::Down("silent".to_owned())
}

impl Feed for Script {
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, Error>> {
        let answer = match prefix {
            "op/" => listed(vec![table(self.tables.borrow()[0])]),
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
            "op/" => {
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

/// Runs a gateway on the scripted answers for a time; returns the endpoints that it knows then.
async fn follow(
    routing: &Arc<Routing>,
    scans: Vec<Result<Listing, Error>>,
    changes: Vec<Result<Change, Error>>,
    duration: Duration,
) -> Vec<String> {
    let script = Script {
        scans: RefCell::new(scans.into()),
        changes: RefCell::new(changes.into()),
        tables: RefCell::new(vec![3].into()),
    };
    let cancel = CancellationToken::new();
    let end = async {
        sleep(duration).await;
        cancel.cancel();
    };
    let own = member("g1", SocketAddr::from(([127, 0, 0, 1], 1)));
    let peers = Peers::new(Arc::clone(routing), own, 1, Vec::new());
    tokio::join!(gateway::follow(&Codec, &script, &peers, cancel.clone()), end);
    let shown = |endpoint: &route::Endpoint| format!("{} {:?}", endpoint.id, endpoint.state);
    routing.endpoints().iter().map(|endpoint| shown(endpoint)).collect()
}

/// Long enough for two batches of changes.
const TWO_BATCHES: Duration = Duration::from_millis(1_200);

#[tokio::test]
async fn endpoints_are_added_updated_and_removed() {
    let scans = vec![listed(vec![announced("a", "ready"), announced("b", "ready")])];
    let changes = vec![
        changed(vec![announced("c", "ready")], &[]),
        changed(vec![announced("b", "draining")], &["a"]),
    ];
    let known = follow(&Arc::default(), scans, changes, TWO_BATCHES).await;
    assert_eq!(known, ["b Leaving", "c Ready"]);
}

#[tokio::test]
async fn an_announcement_that_cannot_be_decoded_removes_its_endpoint() {
    let scans = vec![listed(vec![announced("a", "ready"), entry("servers/b", "\u{1}garbage")])];
    let changes = vec![changed(vec![entry("servers/a", "{}"), announced("c", "ready")], &[])];
    let known = follow(&Arc::default(), scans, changes, TWO_BATCHES).await;
    assert_eq!(known, ["c Ready"]);
}

#[tokio::test]
async fn after_a_compaction_all_keys_are_read_again() {
    let scans = vec![listed(vec![announced("a", "ready")]), listed(vec![announced("b", "ready")])];
    let known = follow(&Arc::default(), scans, vec![Err(Error::Compacted)], TWO_BATCHES).await;
    assert_eq!(known, ["b Ready"]);
}

#[tokio::test]
async fn endpoints_missing_after_an_outage_have_time_to_announce_themselves_again() {
    let routing = Arc::<Routing>::default();
    let scans = vec![
        listed(vec![announced("a", "ready"), announced("b", "ready")]),
        Err(unavailable()),
        listed(vec![announced("c", "ready")]),
    ];
    let changes = vec![
        Err(unavailable()),
        changed(vec![], &["a", "b"]),
        changed(vec![announced("a", "ready")], &[]),
    ];
    let known = follow(&routing, scans, changes, TWO_BATCHES).await;
    assert_eq!(known, ["a Ready", "b Ready", "c Ready"]);
    let known = follow(&routing, vec![], vec![], Duration::from_millis(2_500)).await;
    assert_eq!(known, ["a Ready", "c Ready"]);
}

#[tokio::test]
async fn a_store_that_fails_removes_no_endpoint() {
    let scans = vec![listed(vec![announced("a", "ready")])];
    let changes = vec![Err(unavailable()), Err(Error::Limited), Err(unavailable())];
    let known = follow(&Arc::default(), scans, changes, TWO_BATCHES).await;
    assert_eq!(known, ["a Ready"]);
}

#[tokio::test]
async fn an_older_configuration_is_not_put_in_force() {
    let script = Script {
        scans: RefCell::new(vec![listed(vec![])].into()),
        changes: RefCell::default(),
        tables: RefCell::new(vec![3, 7, 5].into()),
    };
    let routing = Arc::<Routing>::default();
    let cancel = CancellationToken::new();
    let end = async {
        sleep(TWO_BATCHES).await;
        cancel.cancel();
    };
    let own = member("g1", SocketAddr::from(([127, 0, 0, 1], 1)));
    let peers = Peers::new(Arc::clone(&routing), own, 1, Vec::new());
    tokio::join!(gateway::follow(&Codec, &script, &peers, cancel.clone()), end);
    assert_eq!(routing.table().version(), 7);
}

#[tokio::test]
async fn after_a_broken_watch_all_keys_are_read_again_before_the_next_watch() {
    let scans = vec![listed(vec![announced("a", "ready")]), listed(vec![announced("b", "ready")])];
    // The script has no answer to a second watch, so only a scan can return `b`.
    let known = follow(&Arc::default(), scans, vec![Err(unavailable())], TWO_BATCHES).await;
    assert_eq!(known, ["b Ready"]);
}

#[tokio::test]
async fn an_endpoint_that_leaves_just_after_a_cut_watch_is_kept() {
    let both = || listed(vec![announced("a", "ready"), announced("b", "ready")]);
    // The removal comes with the watch that follows the cut.
    let changes = vec![Err(unavailable()), changed(vec![], &["a"])];
    let soon = Duration::from_millis(300);
    let known = follow(&Arc::default(), vec![both(), both()], changes, soon).await;
    assert_eq!(known, ["b Ready"]);
    // It came before the listing that follows the cut.
    let scans = vec![both(), listed(vec![announced("b", "ready")])];
    let known = follow(&Arc::default(), scans, vec![Err(unavailable())], soon).await;
    assert_eq!(known, ["b Ready"]);
}

#[tokio::test]
async fn an_endpoint_that_leaves_just_after_an_outage_is_kept_for_longer_than_it_may() {
    let both = || listed(vec![announced("a", "ready"), announced("b", "ready")]);
    let scans = vec![both(), Err(unavailable()), both()];
    let changes = vec![Err(unavailable()), changed(vec![], &["a"])];
    // It may get requests for two seconds after the removal, which comes some 150 ms after the start.
    let bound = Duration::from_millis(2_000);
    let known = follow(&Arc::default(), scans, changes, bound).await;
    assert_eq!(known, ["b Ready"]);
}
