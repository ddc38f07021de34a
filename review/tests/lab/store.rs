//! The platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::base64;
use super::contents::Copy;
use super::http;
use super::json::Value;

/// Interval between checks for leases that have ended.
const LEASE_CHECK: Duration = Duration::from_millis(100);

/// The store. Clones are the same one.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    copy: Copy,
    /// The last words of the operator and the engines, which a restored store is told again.
    outside: BTreeMap<String, String>,
    era: u64,
    is_down: bool,
    /// Whether it answers nothing while it is down, rather than closing connections.
    is_silent: bool,
    /// How often watches were cut.
    cuts: u64,
    connections: Vec<TcpStream>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut state = State { era: 1, ..State::default() };
        state.copy.revision = 100;
        state.copy.last_lease = 7_000;
        let shared = Shared { state: Mutex::new(state), changed: Condvar::new() };
        let store = Store { address, shared: Arc::new(shared) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let mut state = accepting.lock();
                if state.is_down && !state.is_silent {
                    continue;
                }
                state.connections.extend(stream.try_clone());
                drop(state);
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                ending.end_leases();
            }
        });
        store
    }

    /// Writes a key on behalf of the operator or an engine. While the store is down, the last value
    /// is written on its return.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.outside.insert(key.to_owned(), base64::encode(value.as_bytes()));
        if !state.is_down {
            let value = state.outside[key].clone();
            state.copy.put(key, value, 0);
            self.shared.changed.notify_all();
        }
    }

    /// Removes a key on behalf of the operator or an engine.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.outside.remove(key);
        if !state.is_down {
            state.copy.remove(key);
            self.shared.changed.notify_all();
        }
    }

    /// Returns a copy of what it holds.
    pub fn copy(&self) -> Copy {
        self.lock().copy.clone()
    }

    /// Goes away: connections are closed, new ones at once.
    pub fn go_down(&self) {
        let mut state = self.lock();
        state.is_down = true;
        state.is_silent = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.shared.changed.notify_all();
    }

    /// Cuts the watches that are waiting.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.shared.changed.notify_all();
    }

    /// Goes away: calls get no answer, and nothing comes on their connections any more.
    pub fn fall_silent(&self) {
        let mut state = self.lock();
        state.is_down = true;
        state.is_silent = true;
        state.connections.clear();
        self.shared.changed.notify_all();
    }

    /// Comes back, with what it had or from a copy. What the operator and the engines have
    /// written is written again.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        if let Some(copy) = copy {
            state.copy = copy;
            state.era += 1;
        }
        state.is_down = false;
        let outside = state.outside.clone();
        let is_outside = |key: &String| key.starts_with("servers/");
        let gone: Vec<String> =
            state.copy.items.keys().filter(|key| is_outside(key)).cloned().collect();
        for key in gone.iter().filter(|key| !outside.contains_key(*key)) {
            state.copy.remove(key);
        }
        for (key, value) in outside {
            if state.copy.items.get(&key).is_none_or(|item| item.value != value) {
                state.copy.put(&key, value, 0);
            }
        }
        self.shared.changed.notify_all();
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.copy.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("the store")
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        if state.is_down {
            // Leases pause while the store is down.
            for (end, _) in state.copy.leases.values_mut() {
                *end += LEASE_CHECK;
            }
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .copy
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.copy.end_lease(lease);
            self.shared.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_body(&mut reader, &head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let Some((status, answer, era)) = self.call(&head.line, &body) else {
                let is_silent = {
                    let state = self.lock();
                    state.is_down && state.is_silent
                };
                if is_silent {
                    // Nothing more is answered until the peer closes the connection.
                    let _ = std::io::copy(&mut reader, &mut std::io::sink());
                }
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Makes a call; `None` if the connection breaks off.
    fn call(&self, line: &str, body: &str) -> Option<(u16, String, u64)> {
        let mut words = line.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query.split('&').filter_map(pair).collect();
        let body = Value::parse(body).unwrap_or(Value::Null);
        let mut state = self.lock();
        if state.is_down {
            return None;
        }
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let (status, answer) = match (method, path) {
            ("GET", "/kv-key") => state.copy.read(&text("key")),
            ("GET", "/kv-range") => state.copy.page(&text("prefix"), &text("after")),
            ("GET", "/kv-watch") => {
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                let cuts = state.cuts;
                loop {
                    if state.is_down || state.cuts > cuts {
                        return None;
                    }
                    let found = state.copy.events(&text("prefix"), number("after"));
                    let left = end.saturating_duration_since(Instant::now());
                    match found {
                        None => break (410, "{}".to_owned()),
                        Some((answer, is_empty)) if !is_empty || left.is_zero() => {
                            break (200, answer);
                        }
                        Some(_) => {}
                    }
                    state = self.shared.changed.wait_timeout(state, left).ok()?.0;
                }
            }
            ("POST", "/kv-txn") => {
                let outcome = state.copy.commit(&body);
                self.shared.changed.notify_all();
                outcome
            }
            ("POST", "/kv-lease") => {
                let ttl = Duration::from_millis(body.number("ttl_ms"));
                state.copy.last_lease += 1;
                let lease = state.copy.last_lease;
                state.copy.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
                match state.copy.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        };
        Some((status, answer, state.era))
    }
}

/// Decodes a pair of a query.
fn pair(text: &str) -> Option<(String, String)> {
    let (name, value) = text.split_once('=')?;
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next()?, rest.next()?];
            bytes.push(u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?);
        } else {
            bytes.push(byte);
        }
    }
    Some((name.to_owned(), String::from_utf8(bytes).ok()?))
}
