//! Engines.

use std::fmt::Write as _;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::script::Record;
use crate::store::Store;

/// An engine. It runs as many requests at once as it has slots, and queues the others.
pub struct Engine {
    pub id: String,
    pub service: String,
    /// The version of its software.
    pub version: Mutex<String>,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Time of the work of a whole answer.
    pub work: Duration,
    /// Events of a stream, with the pause before each.
    pub events: u64,
    pub pause: Duration,
    /// `Server-Limit` of its answers, in thousandths; 0 for none.
    pub limit: AtomicU64,
    born: AtomicU64,
    seq: AtomicU64,
    is_up: AtomicBool,
    /// Connections of the present start.
    open: Mutex<Vec<TcpStream>>,
    /// Running and waiting requests.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
    /// Seconds at which requests arrived, with their ids.
    pub arrivals: Mutex<Vec<(f64, String)>>,
    /// What it names besides, such as `Server-Leaving`.
    pub extra: Mutex<String>,
    record: Record,
}

/// Properties of an engine.
pub struct Sort {
    pub service: &'static str,
    pub version: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub work: Duration,
    pub events: u64,
    pub pause: Duration,
}

impl Engine {
    pub fn start(id: &str, sort: &Sort, record: &Record) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            service: sort.service.to_owned(),
            version: Mutex::new(sort.version.to_owned()),
            zone: sort.zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots: sort.slots,
            work: sort.work,
            events: sort.events,
            pause: sort.pause,
            limit: AtomicU64::new(0),
            born: AtomicU64::new(unix_millis()),
            seq: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            open: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            extra: Mutex::default(),
            record: record.clone(),
        });
        engine.accept(listener);
        engine
    }

    /// Accepts connections until it crashes.
    fn accept(self: &Arc<Engine>, listener: TcpListener) {
        let engine = self.clone();
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while engine.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(other) = stream.try_clone() {
                    engine.open.lock().unwrap().push(other);
                }
                let engine = engine.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
    }

    /// Ends at once, without a word to the store, and closes its port and all connections.
    pub fn crash(&self) {
        self.record.add(format!("engine {} crashes", self.id));
        self.is_up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under its id, at its address and with a version of its software, and writes its
    /// entry at once.
    pub fn restart(self: &Arc<Engine>, version: &str, store: &Store) {
        *self.version.lock().unwrap() = version.to_owned();
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.seq.store(0, Ordering::SeqCst);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.is_up.store(true, Ordering::SeqCst);
        self.accept(listener);
        self.announce(store, "ready");
    }

    /// Writes its entry.
    pub fn announce(&self, store: &Store, state: &str) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let (version, born) = (self.version(), self.born.load(Ordering::SeqCst));
        let Engine { id, service, zone, address, slots, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","cold_left_ms":0,"seq":{seq},"born":{born}}}"#
        );
        self.record.add(format!("store: servers/{id} is written, {state}, version {version}"));
        store.put(&format!("servers/{id}"), &entry);
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = Message::read_request(&mut reader)? {
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            self.arrivals.lock().unwrap().push((self.record.now(), id.clone()));
            let mut head = format!("X-Request-Id: {id}\r\n{}", self.extra.lock().unwrap());
            if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
                let text =
                    format!("HTTP/1.1 421 M\r\n{head}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(text.as_bytes())?;
                continue;
            }
            self.take_slot();
            let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
            self.record.add(format!(
                "engine {} (version {}) runs {id}, after event {last:?}",
                self.id,
                self.version()
            ));
            let limit = self.limit.load(Ordering::SeqCst);
            if limit > 0 {
                let _ = write!(head, "Server-Limit: {}\r\n", limit as f64 / 1000.0);
            }
            let _ = write!(head, "X-Server-Stamp: {}.{id}\r\n", self.id);
            let written = match self.events {
                0 => self.answer(&mut stream, &head),
                _ => self.stream(&mut stream, &head, last.unwrap_or(0)),
            };
            self.free_slot();
            written?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        thread::sleep(self.work);
        let load = self.load_header();
        let text = format!("HTTP/1.1 200 OK\r\n{head}{load}Content-Length: 2\r\n\r\nok");
        stream.write_all(text.as_bytes())
    }

    fn stream(&self, stream: &mut TcpStream, head: &str, last: u64) -> io::Result<()> {
        thread::sleep(self.work);
        let load = self.load_header();
        let text = format!(
            "HTTP/1.1 200 OK\r\n{head}{load}Content-Type: text/event-stream\r\n\
            Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(text.as_bytes())?;
        let version = self.version();
        for number in last + 1..=self.events {
            thread::sleep(self.pause);
            let event = format!("id: {number}\ndata: {version} {}\n\n", self.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn version(&self) -> String {
        self.version.lock().unwrap().clone()
    }

    fn load_header(&self) -> String {
        let (running, waiting) = *self.load.lock().unwrap();
        format!("X-Server-Load: {running},{waiting},{}\r\n", self.slots)
    }

    fn take_slot(&self) {
        let mut load = self.load.lock().unwrap();
        load.1 += 1;
        while load.0 >= self.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// Returns the present time in Unix milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
