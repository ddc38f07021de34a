//! A scripted engine, a store that is down, a board and a worker for tests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agent::gate::Gate;
use agent::once::LeaseCache;
use agent::worker::Shared;
use agent::worker::Worker;
use agent::writer::Writer;
use backend::Engine;
use backend::engine::Answer;
use backend::engine::Chunk;
use backend::engine::Error;
use backend::engine::Job;
use board::Board;
use bytes::Bytes;
use config::Account;
use config::Document;
use config::Rank;
use config::Service;
use config::service::Chat;
use config::service::Kind;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use parking_lot::Mutex;
use services::Store;
use services::store;
use services::store::Commit;
use services::store::Entry;
use services::store::Outcome;
use wire::Attempt;
use wire::Cost;
use wire::Frame;
use wire::Key;
use wire::Stamp;
use wire::Work;
use wire::codec;
use wire::frame::Head;
use wire::frame::Usage;
use wire::member::Role;
use wire::member::State;
use wire::work;

/// Time within which the rank's first token is due.
pub const FIRST_TOKEN: Duration = Duration::from_millis(400);

/// Time for which the rank's work may wait.
pub const PATIENCE: Duration = Duration::from_secs(5);

/// Longer than any reader of these tests pauses.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The engine's behaviour on one start or resume.
pub enum Script {
    /// It sends these chunks, then stays silent.
    Answer(Vec<Result<Chunk, Error>>),
    /// Like `Answer`, but the answer can be resumed by other attempts.
    Resumable(Vec<Result<Chunk, Error>>),
    /// It sends these chunks with a delay before each and closes the stream.
    Delayed(Duration, Vec<Result<Chunk, Error>>),
    /// It never answers.
    Silent,
    /// It fails.
    Fail(Error),
}

/// An engine that follows scripts and records its calls.
#[derive(Default)]
pub struct Fake {
    pub starts: RefCell<VecDeque<Script>>,
    pub resumes: RefCell<VecDeque<Script>>,
    pub started: Cell<u32>,
    pub cancelled: Arc<Mutex<Vec<String>>>,
    pub resumed: RefCell<Vec<Option<u64>>>,
    /// The number of chunks read from resumable answers.
    pub chunks_read: Rc<Cell<usize>>,
}

impl Fake {
    /// Returns an engine that answers each start by the next script.
    pub fn new(starts: Vec<Script>) -> Rc<Fake> {
        Rc::new(Fake { starts: RefCell::new(starts.into()), ..Fake::default() })
    }
}

impl Engine for Fake {
    fn start(&self, _: Job) -> LocalBoxFuture<'_, Result<Answer, Error>> {
        self.started.set(self.started.get() + 1);
        play(self.starts.borrow_mut().pop_front(), Rc::clone(&self.chunks_read))
    }

    fn resume<'a>(
        &'a self,
        _: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>> {
        self.resumed.borrow_mut().push(after);
        play(self.resumes.borrow_mut().pop_front(), Rc::clone(&self.chunks_read))
    }

    fn cancel<'a>(&'a self, handle: &'a str) -> LocalBoxFuture<'a, Result<(), Error>> {
        self.cancelled.lock().push(handle.to_owned());
        async { Ok(()) }.boxed_local()
    }

    fn probe(&self) -> LocalBoxFuture<'_, Result<Vec<String>, Error>> {
        async { Ok(vec!["model".to_owned()]) }.boxed_local()
    }
}

fn play(
    script: Option<Script>,
    chunks_read: Rc<Cell<usize>>,
) -> LocalBoxFuture<'static, Result<Answer, Error>> {
    async move {
        match script.expect("a script for each call of the engine") {
            Script::Answer(chunks) => {
                let head = Head { status: 200, content_type: None, replayed: false, handle: None };
                let silent = stream::pending();
                let chunks = stream::iter(chunks).chain(silent).boxed_local();
                Ok(Answer { handle: "work-1".to_owned(), head, chunks })
            }
            Script::Resumable(chunks) => {
                let handle = Some("work-1".to_owned());
                let head = Head { status: 200, content_type: None, replayed: false, handle };
                let chunks =
                    stream::iter(chunks).inspect(move |_| chunks_read.set(chunks_read.get() + 1));
                let chunks = chunks.chain(stream::pending()).boxed_local();
                Ok(Answer { handle: "work-1".to_owned(), head, chunks })
            }
            Script::Delayed(delay, chunks) => {
                let head = Head { status: 200, content_type: None, replayed: false, handle: None };
                let chunks = stream::iter(chunks).then(move |chunk| async move {
                    tokio::time::sleep(delay).await;
                    chunk
                });
                Ok(Answer { handle: "work-1".to_owned(), head, chunks: chunks.boxed_local() })
            }
            Script::Silent => std::future::pending().await,
            Script::Fail(error) => Err(error),
        }
    }
    .boxed_local()
}

/// A store that is down.
pub struct Down;

impl Store for Down {
    fn read<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Option<Entry>, store::Error>> {
        down()
    }

    fn list<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Vec<Entry>, store::Error>> {
        down()
    }

    fn commit<'a>(&'a self, _: &'a Commit) -> LocalBoxFuture<'a, Result<Outcome, store::Error>> {
        down()
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<Option<Entry>, store::Error>> {
        down()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<store::Lease, store::Error>> {
        down()
    }

    fn renew(&self, _: store::Lease) -> LocalBoxFuture<'_, Result<bool, store::Error>> {
        down()
    }
}

fn down<T: 'static>() -> LocalBoxFuture<'static, Result<T, store::Error>> {
    async { Err(store::Error::Down("switched off".to_owned())) }.boxed_local()
}

/// Returns a numbered chunk of an answer.
pub fn data(number: u64) -> Result<Chunk, Error> {
    Ok(Chunk::Data(number, Bytes::from(format!("piece {number}"))))
}

/// Returns the end of an answer.
pub fn end() -> Result<Chunk, Error> {
    Ok(Chunk::End(Usage { prompt: 3, cached: 1, output: 2 }))
}

/// Returns the board of an agent with one chat service.
pub fn board(listen: SocketAddr) -> Arc<Board> {
    named_board("engine-1", listen)
}

fn named_board(vm: &str, listen: SocketAddr) -> Arc<Board> {
    let board = Arc::new(Board::new(board::Identity {
        vm: vm.to_owned(),
        incarnation: 1,
        role: Role::Agent,
        centre: "centre-1".to_owned(),
        region: "region-1".to_owned(),
        data: listen,
        control: listen,
    }));
    board.apply(document());
    board
}

fn document() -> Document {
    let rank = Rank {
        name: "urgent".to_owned(),
        first_token: FIRST_TOKEN,
        token_gap: Duration::from_millis(70),
        patience: PATIENCE,
        worth: 10,
        minimum: 10,
        objective: 95,
    };
    let chat = Chat { model: "model".to_owned(), output_tokens: 100 };
    Document {
        revision: 1,
        ranks: vec![rank],
        services: vec![Service {
            name: "questions".to_owned(),
            rank: 0,
            accounts: vec!["school".to_owned()],
            kind: Kind::Chat(chat),
        }],
        accounts: vec![Account { name: "school".to_owned(), weight: 1, tokens: Vec::new() }],
        ..Document::default()
    }
}

/// Returns a worker of a live agent, whose engine has `slots` slots and whose store is down.
pub fn worker(engine: Rc<Fake>, slots: u32) -> Rc<Worker> {
    worker_with("engine-1", engine, Rc::new(Down), slots)
}

/// Like [`worker`], on the VM of a name and with the given store.
pub fn worker_with(vm: &str, engine: Rc<Fake>, store: Rc<dyn Store>, slots: u32) -> Rc<Worker> {
    let board = named_board(vm, SocketAddr::from(([127, 0, 0, 1], 1)));
    board.update_roster(|roster| {
        roster.update_own(|own| {
            own.state = State::Live;
            own.holds = vec!["model".to_owned(), "pool".to_owned()];
        });
    });
    let clock = Arc::clone(&board);
    let rules = policy::gate::Rules {
        slots,
        bound: 1.25,
        ranks: Vec::new(),
        queue: 8,
        queue_tokens: 100_000,
        start_rate: 200,
    };
    Rc::new(Worker {
        board,
        cluster: "test".to_owned(),
        engine,
        store,
        lease_cache: LeaseCache::default(),
        shared: Shared::new(Arc::new(Gate::new(rules, Arc::new(move || clock.now())))),
        key: Key::new("peer"),
        on_stamp: Arc::new(|_| {}),
        slots,
        body_bytes: 1024,
        resume_grace: Duration::from_secs(10),
    })
}

/// Returns the first attempt at a chat.
pub fn attempt(request: u128) -> Attempt {
    Attempt {
        stamp: Stamp { vm: "entry-1".to_owned(), incarnation: 1, revision: 1 },
        request,
        attempt: 0,
        account: "school".to_owned(),
        service: "questions".to_owned(),
        deadline: PATIENCE + FIRST_TOKEN,
        cost: Cost { prompt: 10, output: 10 },
        mean: None,
        home: None,
        redirect: false,
        work: Work::Chat(work::Chat { model: "model".to_owned(), chat: 1, body: "{}".to_owned() }),
        resume: None,
    }
}

/// Runs an attempt and returns all its frames.
pub async fn frames(worker: &Rc<Worker>, attempt: Attempt) -> Vec<Frame> {
    let (writer, mut out) = Writer::new(&attempt, STALL_TIMEOUT);
    ntex::rt::spawn(agent::run::run(Rc::clone(worker), attempt, writer));
    let mut reader = codec::Reader::default();
    while let Some(bytes) = out.recv().await {
        reader.push(&bytes);
    }
    std::iter::from_fn(|| reader.next_frame().expect("frames are whole")).collect()
}
