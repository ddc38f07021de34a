//! An entry on loopback with scripted agents, and a caller that sends and reads plain
//! text.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it in test functions; this file serves them"
)]

pub mod agent;
mod scripted;
pub mod steps;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use board::Board;
use board::Identity;
use config::Account;
use config::Document;
use config::Rank;
use config::Service;
use config::service::Chat;
use config::service::Kind;
use config::service::Plain;
use entry::Context;
use entry::Factory;
use entry::Fault;
use tokio_util::sync::CancellationToken;
use wire::Attempt;
use wire::Digest;
use wire::Key;
use wire::Load;
use wire::Member;
use wire::frame::Payload;
use wire::id;
use wire::member::Role;
use wire::member::State;
use wire::notes::Note;

use scripted::Scripted;
pub use steps::*;

pub const TOKEN: &str = "sofia-secret";

/// The token of an account that may use the same services.
pub const OTHER_TOKEN: &str = "varna-secret";

/// One step of a scripted agent.
#[derive(Clone)]
pub enum Step {
    Send(Payload),
    Fault(Fault),
    Wait(Duration),
}

/// Returns the steps by which the agent at an address answers an attempt.
pub type Script = Arc<dyn Fn(SocketAddr, &Attempt) -> Vec<Step> + Send + Sync>;

/// A running entry; stopped when dropped.
pub struct Entry {
    pub address: SocketAddr,
    pub board: Arc<Board>,
    pub cancel: CancellationToken,
    scripted: Scripted,
    thread: Option<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry whose agents follow a script.
    pub fn start(
        script: impl Fn(SocketAddr, &Attempt) -> Vec<Step> + Send + Sync + 'static,
    ) -> Entry {
        let scripted = Scripted {
            script: Arc::new(script),
            seen: Arc::default(),
            dropped: Arc::default(),
            notes: Arc::default(),
            cancels: Arc::default(),
        };
        Entry::launch(board(), Arc::new(scripted.clone()), scripted)
    }

    /// Starts an entry that reaches its agents over HTTP.
    pub fn over_http(members: &[Member]) -> Entry {
        let board = board();
        for member in members {
            board.update_roster(|roster| roster.merge(member.clone()));
        }
        let unused = Scripted {
            script: Arc::new(|_, _| vec![]),
            seen: Arc::default(),
            dropped: Arc::default(),
            notes: Arc::default(),
            cancels: Arc::default(),
        };
        Entry::launch(board, Arc::new(entry::Http { key: Key::new("peer") }), unused)
    }

    fn launch(board: Board, factory: Arc<dyn Factory>, scripted: Scripted) -> Entry {
        let board = Arc::new(board);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let cancel = CancellationToken::new();
        let context = context(Arc::clone(&board), address);
        let token = cancel.clone();
        let thread = thread::spawn(move || {
            let system = ntex::rt::System::new("entry", ntex::rt::DefaultRuntime);
            system.block_on(entry::serve_on(listener, context, factory, token)).unwrap();
        });
        Entry { address, board, cancel, scripted, thread: Some(thread) }
    }

    /// Returns the attempts that agents were sent.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.scripted.seen.lock().unwrap().clone()
    }

    /// Waits for at least `count` notes and returns the agents' addresses and the notes.
    pub fn notes(&self, count: usize) -> Vec<(SocketAddr, Note)> {
        loop {
            let notes = self.scripted.notes.lock().unwrap().clone();
            if notes.len() >= count {
                return notes;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the attempts that were cancelled so far.
    pub fn cancels(&self) -> Vec<(id::Request, id::Attempt)> {
        let cancels = self.scripted.cancels.lock().unwrap();
        cancels.iter().map(|(_, cancel)| (cancel.request, cancel.attempt)).collect()
    }

    /// Returns the number of answers that the entry dropped, ended ones included.
    pub fn dropped(&self) -> usize {
        *self.scripted.dropped.lock().unwrap()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream
    }

    /// Sends a request and returns the whole session as text.
    pub fn session(&self, request: &str) -> String {
        format!("> {}\n{}", request.lines().next().unwrap(), self.raw(request))
    }

    /// Sends a request and returns the response as text, without what differs from run to
    /// run.
    pub fn raw(&self, request: &str) -> String {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        normalise(&String::from_utf8(bytes).unwrap())
    }

    pub fn chat(&self, body: &str) -> String {
        self.session(&post("/v1/chat/completions", TOKEN, "", body))
    }

    pub fn stop(mut self) {
        self.cancel.cancel();
        self.thread.take().unwrap().join().unwrap();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.cancel.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns a POST request that closes its connection, so that the response ends with it.
pub fn post(path: &str, token: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\nauthorization: Bearer \
         {token}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

pub fn get(path: &str, token: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\nauthorization: Bearer \
         {token}\r\n\r\n"
    )
}

/// Removes dates, random ids and the sizes of chunks.
fn normalise(text: &str) -> String {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return text.to_owned() };
    let mut lines: Vec<&str> =
        head.lines().filter(|line| !line.to_lowercase().starts_with("date:")).collect();
    // The server sends headers in no fixed order.
    lines[1..].sort_unstable();
    let mut out: String = lines.iter().map(|line| format!("< {line}\n")).collect();
    let chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let body = if chunked { unchunk(body) } else { body.to_owned() };
    for line in body.lines() {
        out.push_str(&mask(line));
        out.push('\n');
    }
    out
}

fn unchunk(body: &str) -> String {
    let (mut out, mut rest) = (String::new(), body);
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return out;
        }
        out.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    out + "(connection closed before the last chunk)"
}

fn mask(line: &str) -> String {
    match line.split_once("chatcmpl-") {
        Some((before, after)) if after.as_bytes()[..32].iter().all(u8::is_ascii_hexdigit) => {
            format!("{before}chatcmpl-ID{}", &after[32..])
        }
        _ => line.to_owned(),
    }
}

fn context(board: Arc<Board>, listen: SocketAddr) -> Context {
    Context {
        board,
        listen,
        workers: 1,
        body_bytes: 4096,
        header_timeout: Duration::from_secs(1),
        connections: 64,
        stop_grace: Duration::from_secs(5),
        on_stamp: Arc::new(|_| {}),
        key: Key::new("peer"),
        placement: policy::placement::Kind::default(),
    }
}

fn board() -> Board {
    let board = Board::new(Identity {
        vm: "entry-1".into(),
        incarnation: 1,
        role: Role::Entry,
        centre: "sofia-1".into(),
        region: "sofia".into(),
        data: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
    });
    board.apply(document());
    for number in 1..=3 {
        board.update_roster(|roster| roster.merge(member(number)));
    }
    board
}

/// Returns the member of an agent whose data port is its number.
pub fn member(number: u16) -> Member {
    Member {
        vm: format!("engine-{number}"),
        incarnation: 1,
        version: 1,
        role: Role::Agent,
        centre: format!("sofia-{number}"),
        region: "sofia".into(),
        data: SocketAddr::from(([127, 0, 0, 1], number)),
        control: SocketAddr::from(([127, 0, 0, 1], number + 100)),
        state: State::Live,
        revision: 1,
        holds: vec!["llama".into(), "registry".into()],
        load: Load { slots: 8, ..Load::default() },
    }
}

/// Returns the engine at an address of the roster.
pub fn engine_at(agent: SocketAddr) -> String {
    format!("engine-{}", agent.port())
}

fn document() -> Document {
    let service = |name: &str, accounts: &[&str], kind| Service {
        name: name.into(),
        rank: 0,
        accounts: accounts.iter().map(|name| (*name).to_owned()).collect(),
        kind,
    };
    let chat = || Kind::Chat(Chat { model: "llama".into(), output_tokens: 100 });
    let plain = Kind::Plain(Plain { pool: "registry".into(), idempotent: vec!["/lookup".into()] });
    Document {
        revision: 1,
        operator: "ana".into(),
        ranks: vec![Rank {
            name: "live".into(),
            first_token: Duration::from_secs(2),
            token_gap: Duration::from_millis(70),
            patience: Duration::from_secs(8),
            worth: 10,
            minimum: 10,
            objective: 95,
        }],
        services: vec![
            service("briefs", &["sofia", "varna"], chat()),
            service("drafts", &["tallinn"], chat()),
            service("rounds", &["sofia"], plain),
        ],
        accounts: [("sofia", TOKEN), ("varna", OTHER_TOKEN)].map(account).into(),
        ..Document::default()
    }
}

fn account((name, token): (&str, &str)) -> Account {
    Account { name: name.into(), weight: 1, tokens: vec![Digest::of(token.as_bytes())] }
}
