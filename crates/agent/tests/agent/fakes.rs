//! A scripted engine, a store and a board for tests.

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
use backend::engine::Error;
use backend::engine::Job;
use backend::engine::Piece;
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

/// Within this time the rank's first token is due.
pub const FIRST_TOKEN: Duration = Duration::from_millis(400);

/// How long the rank's work may wait.
pub const PATIENCE: Duration = Duration::from_secs(5);

/// Longer than any reader of these tests takes.
pub const STALL: Duration = Duration::from_secs(10);

/// What the engine does on one start or resume.
pub enum Script {
    /// It gives these pieces, then stays silent if the last is no end.
    Answer(Vec<Result<Piece, Error>>),
    /// The same, and it keeps the answer.
    Kept(Vec<Result<Piece, Error>>),
    /// It gives these pieces with a pause before each.
    Paced(Duration, Vec<Result<Piece, Error>>),
    /// It never answers.
    Silent,
    /// It fails.
    Fail(Error),
}

/// An engine that follows scripts and notes what it was asked.
#[derive(Default)]
pub struct Fake {
    pub starts: RefCell<VecDeque<Script>>,
    pub resumes: RefCell<VecDeque<Script>>,
    pub started: Cell<u32>,
    pub cancelled: Arc<Mutex<Vec<String>>>,
    pub resumed: RefCell<Vec<Option<u64>>>,
    /// Pieces that were taken of kept answers.
    pub taken: Rc<Cell<usize>>,
}

impl Fake {
    /// An engine that starts as scripted.
    pub fn new(starts: Vec<Script>) -> Rc<Fake> {
        Rc::new(Fake { starts: RefCell::new(starts.into()), ..Fake::default() })
    }
}

impl Engine for Fake {
    fn start(&self, _: Job) -> LocalBoxFuture<'_, Result<Answer, Error>> {
        self.started.set(self.started.get() + 1);
        play(self.starts.borrow_mut().pop_front(), Rc::clone(&self.taken))
    }

    fn resume<'a>(
        &'a self,
        _: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>> {
        self.resumed.borrow_mut().push(after);
        play(self.resumes.borrow_mut().pop_front(), Rc::clone(&self.taken))
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
    taken: Rc<Cell<usize>>,
) -> LocalBoxFuture<'static, Result<Answer, Error>> {
    async move {
        match script.expect("the engine was asked once too often") {
            Script::Answer(pieces) => {
                let head = Head { status: 200, content_type: None, replayed: false, handle: None };
                let silent = stream::pending();
                let pieces = stream::iter(pieces).chain(silent).boxed_local();
                Ok(Answer { handle: "work-1".to_owned(), head, pieces })
            }
            Script::Kept(pieces) => {
                let handle = Some("work-1".to_owned());
                let head = Head { status: 200, content_type: None, replayed: false, handle };
                let pieces = stream::iter(pieces).inspect(move |_| taken.set(taken.get() + 1));
                let pieces = pieces.chain(stream::pending()).boxed_local();
                Ok(Answer { handle: "work-1".to_owned(), head, pieces })
            }
            Script::Paced(pause, pieces) => {
                let head = Head { status: 200, content_type: None, replayed: false, handle: None };
                let pieces = stream::iter(pieces).then(move |piece| async move {
                    tokio::time::sleep(pause).await;
                    piece
                });
                Ok(Answer { handle: "work-1".to_owned(), head, pieces: pieces.boxed_local() })
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

/// A piece of an answer.
pub fn data(number: u64) -> Result<Piece, Error> {
    Ok(Piece::Data(number, Bytes::from(format!("piece {number}"))))
}

/// The end of an answer.
pub fn end() -> Result<Piece, Error> {
    Ok(Piece::End(Usage { prompt: 3, cached: 1, output: 2 }))
}

/// A board of a live agent with one service for chats.
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

/// A worker of a live agent before an engine of some slots, without a store.
pub fn worker(engine: Rc<Fake>, slots: u32) -> Rc<Worker> {
    worker_with("engine-1", engine, Rc::new(Down), slots)
}

/// The same on a VM of some name and with a store.
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
        notice: Arc::new(|_| {}),
        slots,
        body_bytes: 1024,
        resume_grace: Duration::from_secs(10),
    })
}

/// A chat that is tried for the first time.
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

/// Runs an attempt and gives all its frames.
pub async fn frames(worker: &Rc<Worker>, attempt: Attempt) -> Vec<Frame> {
    let (writer, mut out) = Writer::new(&attempt, STALL);
    ntex::rt::spawn(agent::run::run(Rc::clone(worker), attempt, writer));
    let mut reader = codec::Reader::default();
    while let Some(bytes) = out.recv().await {
        reader.push(&bytes);
    }
    std::iter::from_fn(|| reader.next_frame().expect("frames are whole")).collect()
}
