//! The platform's key-value store.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::engine::HEARTBEAT;
use crate::http::Message;
use crate::json::Json;
use crate::state::Data;
use crate::state::State;
use crate::text::base64;
use crate::text::unescape;

/// Whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Takes connections and calls, and answers nothing.
    Silent,
    /// Answers 503 and does nothing.
    Busy,
    /// Closes all connections.
    Reset,
}

/// The platform's store.
#[derive(Debug)]
pub struct Store {
    pub state: Mutex<State>,
    pub changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let state = State {
            data: Data { revision: 100, ..Data::default() },
            log: Vec::new(),
            floor: 100,
            expiry: HashMap::new(),
            reports: HashMap::new(),
            next_lease: 1,
            era: 0,
            mode: Mode::Up,
            silences: 0,
        };
        let store = Arc::new(Store { state: Mutex::new(state), changed: Condvar::new() });
        let listener = TcpListener::bind(address).expect("the store's address");
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        let ticking = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(50));
                ticking.expire();
            }
        });
        store
    }

    pub fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        if state.mode != Mode::Up {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> =
            state.expiry.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for lease in over {
            state.end_lease(lease);
        }
        let silent = state.reports.iter().filter(|(_, at)| at.elapsed() > HEARTBEAT * 3);
        let silent: Vec<String> = silent.map(|(key, _)| key.clone()).collect();
        for key in silent {
            state.reports.remove(&key);
            state.data.revision += 1;
            state.remove(&key);
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut writer = stream;
        while let Some(message) = Message::read(&mut reader) {
            let (era, mode, silences) = {
                let state = self.state.lock().unwrap();
                (state.era, state.mode, state.silences)
            };
            let (status, body) = match mode {
                Mode::Up => self.answer(&message, era),
                Mode::Busy => (503, "{}".to_owned()),
                Mode::Silent => (200, "{}".to_owned()),
                Mode::Reset => return,
            };
            let (era, mode, is_silent) = {
                let state = self.state.lock().unwrap();
                (state.era, state.mode, state.mode == Mode::Silent || state.silences != silences)
            };
            if is_silent {
                // A channel on which an answer is lost returns nothing further.
                while Message::read(&mut reader).is_some() {}
                return;
            }
            if mode == Mode::Reset {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn answer(&self, message: &Message, era: u64) -> (u16, String) {
        let mut words = message.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|row| row.split_once('='))
            .map(|(key, value)| (key.to_owned(), unescape(value)))
            .collect();
        let word = |key: &str| query.get(key).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        match (method, path) {
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                match state.data.items.get(&word("key")) {
                    Some(item) => (200, item.json(&word("key"))),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (word("prefix"), word("after"));
                let rows = state.data.items.iter();
                let rows = rows.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let rows: Vec<String> = rows.map(|(key, item)| item.json(key)).collect();
                let revision = state.data.revision;
                (
                    200,
                    format!(
                        "{{\"entries\":[{}],\"truncated\":false,\"as_of\":{revision}}}",
                        rows.join(",")
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let (prefix, after) = (word("prefix"), word("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(word("wait_ms").parse().unwrap_or(0));
                self.watch(&prefix, after, wait, era)
            }
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let (ttl, lease) = (body.get("ttl_ms").number(), state.next_lease);
                state.next_lease += 1;
                state.data.leases.insert(lease, ttl);
                state.expiry.insert(lease, Instant::now() + Duration::from_millis(ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.data.leases.get(&lease).copied() {
                    Some(ttl) => {
                        state.expiry.insert(lease, Instant::now() + Duration::from_millis(ttl));
                        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    pub fn watch(&self, prefix: &str, after: u64, wait: Duration, era: u64) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if matches!(state.mode, Mode::Busy | Mode::Reset) {
                return (503, "{}".to_owned());
            }
            if state.era != era || after < state.floor || after > state.data.revision {
                return (410, "{}".to_owned());
            }
            let rows = state.log.iter();
            let rows =
                rows.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let rows: Vec<String> = rows
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let revision = state.data.revision;
                return (200, format!("{{\"events\":[{}],\"as_of\":{revision}}}", rows.join(",")));
            }
            state =
                self.changed.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    pub fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let holds = |row: &Json| {
            let known = state.data.items.get(row.get("key").text()).map_or(0, |it| it.revision);
            known == row.get("revision").number()
        };
        if !body.get("expect_rev").list().iter().all(holds) {
            return (412, "{\"entries\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        let lease_of = |put: &Json| put.get("lease").number();
        if puts
            .iter()
            .any(|put| lease_of(put) > 0 && !state.data.leases.contains_key(&lease_of(put)))
        {
            return (404, "{}".to_owned());
        }
        state.data.revision += 1;
        for put in puts {
            state.put(put.get("key").text(), put.get("value").text().to_owned(), lease_of(put));
        }
        for key in body.get("delete").list() {
            state.remove(key.text());
        }
        let revision = state.data.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    /// Writes a key as the operator or an engine; returns whether the store takes it.
    pub fn write(&self, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.mode != Mode::Up {
            return false;
        }
        state.data.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        if key.starts_with("servers/") {
            state.reports.insert(key.to_owned(), Instant::now());
        }
        drop(state);
        self.changed.notify_all();
        true
    }

    pub fn delete(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.mode != Mode::Up {
            return false;
        }
        state.data.revision += 1;
        state.remove(key);
        state.reports.remove(key);
        drop(state);
        self.changed.notify_all();
        true
    }

    /// Sets whether it answers. Entries of engines don't lapse for the time without answers.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap();
        state.mode = mode;
        state.silences += u64::from(mode == Mode::Silent);
        state.reports.values_mut().for_each(|at| *at = Instant::now());
        drop(state);
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Data {
        self.state.lock().unwrap().data.clone()
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: Data) {
        let mut state = self.state.lock().unwrap();
        state.floor = copy.revision;
        state.log.clear();
        state.expiry = copy
            .leases
            .iter()
            .map(|(lease, ttl)| (*lease, Instant::now() + Duration::from_millis(*ttl)))
            .collect();
        let keys = copy.items.keys().filter(|key| key.starts_with("servers/"));
        state.reports = keys.map(|key| (key.clone(), Instant::now())).collect();
        state.data = copy;
        state.era += 1;
        state.mode = Mode::Up;
        drop(state);
        self.changed.notify_all();
    }
}
