//! Engines that stream events which name their version.

use std::fmt::Write as _;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;

use crate::http::Message;
use crate::lab::Lab;
use crate::record::Record;
use crate::store::Store;

/// Interval of an engine's status reports.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One start of an engine.
#[derive(Debug)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    pub service: String,
    pub born: u64,
    pub is_running: AtomicBool,
    pub is_draining: AtomicBool,
    /// Whether it reaches the store.
    pub reaches_store: AtomicBool,
    /// Whether its streams go on without end, as fast as they are taken.
    pub is_endless: AtomicBool,
    pub sequence: AtomicU64,
    pub connections: Mutex<Vec<TcpStream>>,
    pub events: u64,
    pub gap: Duration,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
}

impl Engine {
    pub fn start(id: &str, address: SocketAddr, version: &str, lab: &Lab) -> Arc<Engine> {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            address,
            version: version.to_owned(),
            service: "model".to_owned(),
            born: born as u64,
            is_running: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            reaches_store: AtomicBool::new(true),
            is_endless: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            connections: Mutex::default(),
            events: lab.events,
            gap: lab.gap,
            record: Arc::clone(&lab.record),
            store: Arc::clone(&lab.store),
        });
        let listener = TcpListener::bind(address).expect("the engine's address");
        listener.set_nonblocking(true).unwrap();
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            while serving.is_running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        serving.connections.lock().unwrap().push(stream.try_clone().unwrap());
                        let engine = Arc::clone(&serving);
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => sleep(Duration::from_millis(2)),
                }
            }
        });
        engine.record.add(&format!("engine {id} starts, version {version}"));
        engine
    }

    /// Writes its status report to the store.
    pub fn report(&self) -> bool {
        if !self.reaches_store.load(Ordering::SeqCst) {
            return false;
        }
        let Engine { id, address, version, service, born, .. } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        self.store.write(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{born}}}"
            ),
        )
    }

    /// Writes its status reports regularly; it writes only what has changed unless the entry is gone.
    pub fn keep_reporting(self: &Arc<Engine>) {
        let engine = Arc::clone(self);
        engine.report();
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                if !engine.is_running.load(Ordering::SeqCst) {
                    return;
                }
                engine.report();
            }
        });
    }

    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.report();
        self.record.add(&format!("engine {} reports draining", self.id));
    }

    /// Ends: its listener and its connections are closed.
    pub fn end(&self, how: &str) {
        self.is_running.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add(&format!("engine {} {how}", self.id));
        // Its listener closes within the interval of its accept loop.
        sleep(Duration::from_millis(10));
    }

    pub fn serve(&self, stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut writer = stream;
        while let Some(message) = Message::read(&mut reader) {
            if !self.is_running.load(Ordering::SeqCst)
                || self.answer(&message, &mut writer).is_none()
            {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    pub fn answer(&self, message: &Message, writer: &mut TcpStream) -> Option<()> {
        let id = message.header("x-request-id").unwrap_or("").to_owned();
        let Engine { id: own, version, .. } = self;
        if message.header("x-expect-instance").is_some_and(|expected| expected != own) {
            let head = format!(
                "HTTP/1.1 421 X\r\nX-Instance-Id: {own}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(head.as_bytes()).ok();
        }
        let last: u64 = message.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.record.add(&format!("engine {own} ({version}) runs {id} after event {last}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Server-Stamp: {own}.{version}.{id}\r\nX-Server-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes()).ok()?;
        let mut event = last;
        while self.is_endless.load(Ordering::SeqCst) {
            let mut chunks = String::new();
            for _ in 0..100 {
                event += 1;
                let text = format!("id: {event}\ndata: {version} {}\n\n", "x".repeat(400));
                let _ = write!(chunks, "{:x}\r\n{text}\r\n", text.len());
            }
            writer.write_all(chunks.as_bytes()).ok()?;
        }
        for event in last + 1..=self.events {
            sleep(self.gap);
            if !self.is_running.load(Ordering::SeqCst) {
                return None;
            }
            let text = format!("id: {event}\ndata: {version} {own}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}
