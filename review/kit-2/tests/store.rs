//! The platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::decode;
use crate::json::Json;
use crate::json::base64;

#[derive(Debug, Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and text of each change.
    events: Vec<(u64, String, String)>,
    /// Id, time to live and end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let create_revision = self.items.get(key).map_or(revision, |item| item.create_revision);
        let item = Item { value, revision, create_revision, lease };
        self.events.push((revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let text = format!(r#"{{"key":"{key}","revision":{},"removed":true}}"#, self.revision);
            self.events.push((self.revision, key.to_owned(), text));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"create_revision":{},"lease":{}}}"#,
            self.value, self.revision, self.create_revision, self.lease
        )
    }
}

/// The platform's store. Each gateway has a door of its own, at which it can be turned away.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// The address at which one gateway reaches the store.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    /// The store answers 503 at this door.
    pub is_shut: Arc<AtomicBool>,
}

impl Store {
    /// Writes a key as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    /// Ends all leases, as they run out while the store is down.
    pub fn end_leases(&self) {
        let mut state = self.state.0.lock().unwrap();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| state.end_lease(lease));
        self.state.1.notify_all();
    }

    /// Opens a door.
    pub fn door(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let door = Door { address: listener.local_addr().unwrap(), is_shut: Arc::default() };
        let (store, shut) = (self.clone(), door.is_shut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, shut) = (store.clone(), shut.clone());
                thread::spawn(move || store.serve(stream, &shut));
            }
        });
        door
    }

    fn serve(&self, mut stream: TcpStream, shut: &AtomicBool) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Ok(Some(request)) = Message::read_request(&mut reader) {
            let (status, body) = match shut.load(Ordering::SeqCst) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request, shut),
            };
            // Answers take some milliseconds.
            thread::sleep(Duration::from_millis(2));
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, request: &Message, shut: &AtomicBool) -> (u16, String) {
        let target = request.second().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let find = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        if path == "/kv-key" {
            let key = find("key");
            return match state.items.get(&key) {
                Some(item) => {
                    let json = item.json(&key);
                    let as_of = state.revision;
                    (200, format!(r#"{},"as_of":{as_of}}}"#, json.trim_end_matches('}')))
                }
                None => (404, format!(r#"{{"as_of":{}}}"#, state.revision)),
            };
        }
        if path == "/kv-range" {
            let (prefix, after) = (find("prefix"), find("after"));
            let items = state.items.iter();
            let found = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let entries: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
            let (entries, as_of) = (entries.join(","), state.revision);
            return (
                200,
                format!(r#"{{"entries":[{entries}],"truncated":false,"as_of":{as_of}}}"#),
            );
        }
        if path == "/kv-watch" {
            let (prefix, after) = (find("prefix"), find("after").parse().unwrap_or(0));
            let wait = Duration::from_millis(find("wait_ms").parse().unwrap_or(0));
            let end = Instant::now() + wait;
            loop {
                if shut.load(Ordering::SeqCst) {
                    return (503, "{}".to_owned());
                }
                let events = state.events.iter();
                let found = events
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let texts: Vec<String> = found.map(|(_, _, text)| text.clone()).collect();
                let left = end.saturating_duration_since(Instant::now());
                if !texts.is_empty() || left.is_zero() {
                    let (events, as_of) = (texts.join(","), state.revision);
                    return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
                }
                let left = left.min(Duration::from_millis(50));
                state = self.state.1.wait_timeout(state, left).unwrap().0;
                state.expire();
            }
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if path == "/kv-lease" {
            let ttl = Duration::from_millis(body.number("ttl_ms").max(1000));
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            return (200, format!(r#"{{"lease":{lease},"ttl_ms":{}}}"#, ttl.as_millis()));
        }
        if let Some(id) = path.strip_prefix("/kv-keep/") {
            let id = id.parse().unwrap_or(0);
            return match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            state.end_lease(id.parse().unwrap_or(0));
            self.state.1.notify_all();
            return (200, "{}".to_owned());
        }
        if path == "/kv-txn" {
            let is_met = |row: &Json| {
                let item = state.items.get(&row.text("key"));
                item.map_or(0, |item| item.revision) == row.number("revision")
            };
            if !body.list("expect_rev").iter().all(is_met) {
                return (412, r#"{"entries":[]}"#.to_owned());
            }
            let leases = body.list("puts").iter().map(|put| put.number("lease"));
            if leases.into_iter().any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
                return (404, "{}".to_owned());
            }
            for put in body.list("puts") {
                state.put(&put.text("key"), put.text("value"), put.number("lease"));
            }
            for key in body.list("delete") {
                if let Json::Text(key) = key {
                    state.remove(key);
                }
            }
            self.state.1.notify_all();
            return (200, format!(r#"{{"revision":{}}}"#, state.revision));
        }
        (404, "{}".to_owned())
    }
}
