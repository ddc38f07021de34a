//! The key-value service behind etcd's JSON gateway.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::time;

use crate::Store;
use crate::etcd::call;
use crate::etcd::call::Kind;
use crate::etcd::message::Event;
use crate::etcd::message::EventKind;
use crate::etcd::message::LeaseAnswer;
use crate::etcd::message::LeaseCall;
use crate::etcd::message::Range;
use crate::etcd::message::Ranged;
use crate::etcd::message::Streamed;
use crate::etcd::message::Txn;
use crate::etcd::message::TxnAnswer;
use crate::etcd::message::Watch;
use crate::etcd::meter;
use crate::etcd::scalar::Int;
use crate::etcd::stream::Lines;
use crate::failure::Failure;
use crate::http;
use crate::http::Http;
use crate::store::Change;
use crate::store::Commit;
use crate::store::Entry;
use crate::store::Error;
use crate::store::Lease;
use crate::store::Outcome;

/// How long one watch waits; a read after it finds what a watch may have missed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of one thread.
pub struct Client {
    http: Http,
}

impl Client {
    /// Takes the gateway's address, such as `http://10.0.0.1:2379`.
    pub fn new(base: &str) -> Client {
        Client { http: Http::new(base) }
    }

    async fn read_key(&self, key: &str) -> Result<Option<Entry>, Error> {
        let entries = self.range(&Range::of_key(key)).await?;
        Ok(entries.into_iter().next())
    }

    async fn range(&self, range: &Range) -> Result<Vec<Entry>, Error> {
        let ranged: Ranged = call::unary(&self.http, Kind::Read, "/v3/kv/range", range).await?;
        let entries = ranged.kvs.into_iter().map(|pair| pair.into_entry());
        let entries: Option<Vec<Entry>> = entries.collect();
        entries.ok_or_else(|| Error::Protocol("a key is no text".to_owned()))
    }

    async fn write(&self, write: &Commit) -> Result<Outcome, Error> {
        let answer: TxnAnswer =
            call::unary(&self.http, Kind::Write, "/v3/kv/txn", &Txn::new(write)).await?;
        if answer.succeeded {
            return Ok(Outcome::Written(answer.header.revision.version()));
        }
        Ok(Outcome::Conflict)
    }

    async fn wait(&self, key: &str, after: u64) -> Result<Option<Entry>, Error> {
        match self.news(Range::of_key(key), after).await? {
            News::Changed(change) => Ok(change.entries.into_iter().next_back()),
            // The store forgot the changes after this version: what is there now counts.
            News::Compacted => self.read_key(key).await,
        }
    }

    async fn wait_range(&self, range: Range, after: u64) -> Result<Change, Error> {
        match self.news(range, after).await? {
            News::Changed(change) => Ok(change),
            News::Compacted => Err(Error::Compacted),
        }
    }

    async fn news(&self, range: Range, after: u64) -> Result<News, Error> {
        let Ok(news) = time::timeout(WATCH_TIMEOUT, self.first_news(range, after)).await else {
            return Err(Error::Down(format!("no news within {WATCH_TIMEOUT:?}")));
        };
        news.map_err(|failure| Kind::Read.error(failure))
    }

    async fn first_news(&self, range: Range, after: u64) -> Result<News, Failure> {
        let question = Watch::new(range, after);
        let response = http::within(call::open(&self.http, "/v3/watch", &question)).await?;
        let mut lines = Lines::new(response);
        loop {
            let watched = lines.next().await?;
            if watched.compact_revision != Int::default() {
                return Ok(News::Compacted);
            }
            if watched.canceled {
                return Err(Failure::Cut("the watch was cancelled".to_owned()));
            }
            if !watched.events.is_empty() {
                return Ok(News::Changed(change(watched.events, after)));
            }
        }
    }

    async fn lease(&self, seconds: u64) -> Result<Lease, Error> {
        let question = LeaseCall { id: None, ttl: Some(Int::from(seconds)) };
        let answer: LeaseAnswer =
            call::unary(&self.http, Kind::Write, "/v3/lease/grant", &question).await?;
        Ok(answer.id.0)
    }

    async fn keep(&self, lease: Lease) -> Result<bool, Error> {
        let question = LeaseCall { id: Some(Int(lease)), ttl: None };
        let answer: Streamed<LeaseAnswer> =
            call::unary(&self.http, Kind::Write, "/v3/lease/keepalive", &question).await?;
        Ok(answer.result.ttl.0 > 0)
    }
}

/// What a watch told.
enum News {
    /// What was written and removed.
    Changed(Change),
    /// The changes asked for are no longer held.
    Compacted,
}

/// The last state of each key that events tell of.
fn change(events: Vec<Event>, after: u64) -> Change {
    let mut change = Change { version: after, ..Change::default() };
    for event in events {
        let kind = event.kind;
        let Some(entry) = event.kv.into_entry() else { continue };
        change.version = change.version.max(entry.version);
        change.entries.retain(|known| known.key != entry.key);
        change.removed.retain(|known| *known != entry.key);
        match kind {
            EventKind::Put => change.entries.push(entry),
            EventKind::Delete => change.removed.push(entry.key),
        }
    }
    change
}

impl Store for Client {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        meter::counted("read", self.read_key(key))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, Error>> {
        meter::counted("list", async move { self.range(&Range::of_prefix(prefix)).await })
    }

    fn commit<'a>(&'a self, write: &'a Commit) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        meter::counted("commit", self.write(write))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Option<Entry>, Error>> {
        meter::counted("watch", self.wait(key, after))
    }

    fn watch_range<'a>(
        &'a self,
        first: &'a str,
        last: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Change, Error>> {
        meter::counted("watch", self.wait_range(Range::from_to(first, last), after))
    }

    fn grant(&self, seconds: u64) -> LocalBoxFuture<'_, Result<Lease, Error>> {
        meter::counted("grant", self.lease(seconds))
    }

    fn renew(&self, lease: Lease) -> LocalBoxFuture<'_, Result<bool, Error>> {
        meter::counted("renew", self.keep(lease))
    }
}
