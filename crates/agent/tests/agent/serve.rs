//! Tests of the HTTP server with a scripted engine.

use std::cell::RefCell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agent::Backend;
use agent::Context;
use agent::Kind;
use backend::Engine;
use futures_util::FutureExt;
use ntex::client::Client;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wire::Key;
use wire::codec;
use wire::frame::Payload;
use wire::key;
use wire::member::State;
use wire::refusal::Ran;
use wire::refusal::Reason;

use crate::fakes::Down;
use crate::fakes::Fake;
use crate::fakes::Script;
use crate::fakes::attempt;
use crate::fakes::board;
use crate::fakes::data;
use crate::fakes::end;

/// Time limit of a step, reached only if the step hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);

fn context() -> Context {
    let probe = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let listen = probe.local_addr().expect("an address");
    drop(probe);
    Context {
        board: board(listen),
        cluster: "test".to_owned(),
        listen,
        engine: Backend { kind: Kind::Model, address: "http://127.0.0.1:9".to_owned(), slots: 2 },
        workers: 1,
        body_bytes: 4096,
        stop_grace: Duration::from_secs(5),
        resume_grace: Duration::from_secs(10),
        key: Key::new("peer"),
        on_stamp: Arc::new(|_| {}),
        store: Arc::new(|| Rc::new(Down)),
    }
}

async fn wait_until_live(context: &Context) {
    let state = || context.board.with_roster(|roster| roster.own().map(|own| own.state));
    let wait = async {
        while state() != Some(State::Live) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, wait).await.expect("the agent goes live");
}

fn last_payload(body: &[u8]) -> Payload {
    let mut reader = codec::Reader::default();
    reader.push(body);
    let frames = std::iter::from_fn(|| reader.next_frame().expect("whole frames"));
    frames.last().expect("there is a last frame").payload
}

fn engine_with_one_answer() -> Rc<dyn Engine> {
    Fake::new(vec![Script::Answer(vec![data(0), data(1), end()])])
}

#[ntex::test]
async fn an_attempt_is_answered_in_frames_and_a_stop_ends_the_server() {
    let context = context();
    let cancel = CancellationToken::new();
    let engines = Arc::new(|| async { Ok(engine_with_one_answer()) }.boxed_local());
    let serve = agent::serve_engine(context.clone(), engines, cancel.clone());
    let served = ntex::rt::spawn(serve);
    wait_until_live(&context).await;
    let url = format!("http://{}{}", context.listen, wire::attempt::PATH);
    let client = Client::new().await;

    let response = client.post(&url).send_body(codec::encode_attempt(&attempt(4))).await;
    assert_eq!(response.expect("an answer").status().as_u16(), 401);

    let post = |url: &str| client.post(url).header(key::HEADER, context.key.bearer());
    let response = post(&url).send_body(codec::encode_attempt(&attempt(5))).await;
    let body = response.expect("an answer").body().await.expect("a whole body");
    assert!(matches!(last_payload(&body), Payload::End(_)));

    let response = post(&url).send_body(vec![0xff; 9]).await.expect("an answer");
    assert_eq!(response.status().as_u16(), 400);
    let response = post(&url).send_body(vec![0; 5000]).await.expect("an answer");
    assert_eq!(response.status().as_u16(), 413);

    cancel.cancel();
    let ended = tokio::time::timeout(HANG_TIMEOUT, served).await.expect("the server stops");
    ended.expect("no panic").expect("no error");
    let state = context.board.with_roster(|roster| roster.own().map(|own| own.state));
    assert_eq!(state, Some(State::Leaving));
}

#[ntex::test]
async fn a_connection_that_closes_while_the_engine_is_silent_cancels_the_work() {
    let context = context();
    let cancelled = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&cancelled);
    let engines = Arc::new(move || {
        let cancelled = Arc::clone(&seen);
        let starts = RefCell::new(vec![Script::Answer(vec![data(0)])].into());
        let engine: Rc<dyn Engine> = Rc::new(Fake { starts, cancelled, ..Fake::default() });
        async { Ok(engine) }.boxed_local()
    });
    let cancel = CancellationToken::new();
    ntex::rt::spawn(agent::serve_engine(context.clone(), engines, cancel.clone()));
    wait_until_live(&context).await;

    let listen = context.listen;
    let visit = tokio::task::spawn_blocking(move || read_and_disconnect(listen));
    visit.await.expect("an answer begins");

    let wait = async {
        while cancelled.lock().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    cancel.cancel();
    result.expect("the engine's work is cancelled");
}

/// Sends an attempt, reads the engine's only chunk and disconnects.
fn read_and_disconnect(listen: SocketAddr) {
    let body = codec::encode_attempt(&attempt(5));
    let mut socket = TcpStream::connect(listen).expect("a connection");
    let head = format!(
        "POST /attempt HTTP/1.1\r\n{}: Bearer peer\r\ncontent-length: {}\r\n\r\n",
        key::HEADER,
        body.len()
    );
    socket.write_all(head.as_bytes()).expect("the head is taken");
    socket.write_all(&body).expect("the body is taken");
    let mut seen = Vec::new();
    while !seen.ends_with(b"piece 0\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte).expect("an answer begins");
        seen.push(byte[0]);
    }
}

#[ntex::test]
async fn a_stopping_agent_refuses_new_work_and_finishes_running_answers() {
    let context = context();
    let engines = Arc::new(|| {
        let chunks = vec![data(0), data(1), data(2), end()];
        let engine: Rc<dyn Engine> = Fake::new(vec![Script::Delayed(HANG_TIMEOUT / 100, chunks)]);
        async { Ok(engine) }.boxed_local()
    });
    let cancel = CancellationToken::new();
    let serve = agent::serve_engine(context.clone(), engines, cancel.clone());
    let served = ntex::rt::spawn(serve);
    wait_until_live(&context).await;
    let url = format!("http://{}{}", context.listen, wire::attempt::PATH);
    let client = Client::new().await;

    let post = || client.post(&url).header(key::HEADER, context.key.bearer());
    let first = post().send_body(codec::encode_attempt(&attempt(1))).await;
    cancel.cancel();
    tokio::time::sleep(HANG_TIMEOUT / 200).await;
    let second = post().send_body(codec::encode_attempt(&attempt(2))).await;
    let second = second.expect("an answer").body().await.expect("a whole body");
    let refused = matches!(last_payload(&second), Payload::Refused(refusal, _)
        if refusal.reason == Reason::Leaving && refusal.ran == Ran::No);
    assert!(refused, "new work is refused while running work ends");
    let first = first.expect("an answer").body().await.expect("a whole body");
    assert!(matches!(last_payload(&first), Payload::End(_)), "the answer in flight is complete");
    let ended = tokio::time::timeout(HANG_TIMEOUT, served).await.expect("the server stops");
    ended.expect("no panic").expect("no error");
}

/// Guards against a caller without the key that holds a connection by never
/// sending the body.
#[ntex::test]
async fn a_message_without_the_key_is_refused_even_if_its_body_never_arrives() {
    let context = context();
    let engines = Arc::new(|| async { Ok(engine_with_one_answer()) }.boxed_local());
    let cancel = CancellationToken::new();
    ntex::rt::spawn(agent::serve_engine(context.clone(), engines, cancel.clone()));
    wait_until_live(&context).await;
    let listen = context.listen;
    let status = tokio::task::spawn_blocking(move || status_without_key(listen)).await;
    cancel.cancel();
    assert_eq!(status.expect("an answer"), "HTTP/1.1 401");
}

/// Sends only the head of a message without a key and returns the response's status line.
fn status_without_key(listen: SocketAddr) -> String {
    let mut socket = TcpStream::connect(listen).expect("a connection");
    socket.set_read_timeout(Some(HANG_TIMEOUT / 5)).expect("a timeout");
    let head = "POST /attempt HTTP/1.1\r\ncontent-length: 5\r\n\r\n";
    socket.write_all(head.as_bytes()).expect("the head is taken");
    let mut status = [0; 12];
    socket.read_exact(&mut status).expect("an answer begins");
    String::from_utf8_lossy(&status).into_owned()
}
