//! Tests failures between caller, entry and agent over real connections.
#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it in test functions; helpers serve them"
)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use support::Entry;
use support::TOKEN;
use support::agent;
use support::agent::Call;
use support::post;

const STREAM: &str =
    r#"{"model":"briefs","stream":true,"messages":[{"role":"user","content":"Greet me"}]}"#;

/// Time limit for noticing a closed connection, generous for slow machines; the time
/// itself is measured elsewhere.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an entry with one agent; the other members of the roster hold no model or pool,
/// so they aren't candidates.
fn entry_with(answer: impl Fn(Call) + Send + Sync + Clone + 'static) -> Entry {
    let agent = agent::listen(1, answer);
    Entry::over_http(&[agent, empty_member(2), empty_member(3)])
}

fn empty_member(number: u16) -> wire::Member {
    let mut member = support::member(number);
    member.version += 1;
    member.holds.clear();
    member
}

fn start_stream(entry: &Entry) -> TcpStream {
    let mut caller = entry.connect();
    let request = post("/v1/chat/completions", TOKEN, "", STREAM);
    caller.write_all(request.as_bytes()).unwrap();
    caller
}

fn read_until(caller: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(text) {
        let mut chunk = [0; 1024];
        let count = caller.read(&mut chunk).unwrap();
        assert!(count > 0, "closed before {text:?}: {}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_streamed_answer_is_complete() {
    let entry = entry_with(|mut call| {
        call.play(support::whole());
        call.finish();
    });
    let session = entry.chat(STREAM);
    assert!(session.contains("Good ") && session.ends_with("data: [DONE]\n\n"), "{session}");
}

#[test]
fn nothing_ran_if_no_agent_is_reachable() {
    let entry = Entry::over_http(&[]);
    let request = post("/services/rounds/book", TOKEN, "idempotency-key: k1\r\n", "{}");
    let session = entry.session(&request);
    assert!(session.contains(r#""ran":"no""#), "{session}");
}

#[test]
fn booking_is_unknown_if_the_agent_closes_without_an_answer() {
    let entry = entry_with(drop);
    let request = post("/services/rounds/book", TOKEN, "idempotency-key: k1\r\n", "{}");
    let session = entry.session(&request);
    assert!(session.contains(r#""ran":"unknown""#), "{session}");
}

#[test]
fn agent_notices_that_the_caller_left_during_a_stream() {
    let (closed, seen) = mpsc::channel();
    let entry = entry_with(move |mut call| {
        call.play(vec![support::accepted(), support::head(200, ""), support::word("Good ")]);
        closed.send(call.is_closed_within(CLOSE_TIMEOUT)).unwrap();
    });
    let mut caller = start_stream(&entry);
    read_until(&mut caller, "Good ");
    drop(caller);
    assert!(seen.recv().unwrap());
}

#[test]
fn agent_notices_that_the_caller_left_before_the_first_token() {
    let (accepted, waiting) = mpsc::channel();
    let (closed, seen) = mpsc::channel();
    let entry = entry_with(move |mut call| {
        call.play(vec![support::accepted()]);
        accepted.send(()).unwrap();
        closed.send(call.is_closed_within(CLOSE_TIMEOUT)).unwrap();
    });
    let caller = start_stream(&entry);
    waiting.recv().unwrap();
    drop(caller);
    assert!(seen.recv().unwrap());
}

#[test]
fn graceful_stop_lets_a_stream_end() {
    let (go_on, stopped) = mpsc::channel();
    let stopped = std::sync::Arc::new(std::sync::Mutex::new(stopped));
    let entry = entry_with(move |mut call| {
        call.play(vec![support::accepted(), support::head(200, ""), support::word("Good ")]);
        let () = stopped.lock().unwrap().recv().unwrap();
        call.play(vec![support::word("morning"), support::end()]);
        call.finish();
    });
    let mut caller = start_stream(&entry);
    read_until(&mut caller, "Good ");
    entry.cancel.cancel();
    std::thread::sleep(Duration::from_millis(300));
    go_on.send(()).unwrap();
    read_until(&mut caller, "data: [DONE]");
    let address = entry.address;
    entry.stop();
    assert!(TcpStream::connect(address).is_err());
}

#[test]
fn a_caller_that_does_not_read_takes_little_memory_and_is_dropped() {
    const CHUNK_BYTES: usize = 1 << 20;
    const MAX_BYTES: usize = 256 << 20;
    let (taken, seen) = mpsc::channel();
    let (closed, given_up) = mpsc::channel();
    let entry = entry_with(move |mut call| {
        call.play(vec![support::accepted(), support::head(200, "")]);
        taken.send(call.flood(&"x".repeat(CHUNK_BYTES), MAX_BYTES)).unwrap();
        closed.send(call.is_closed_within(CLOSE_TIMEOUT)).unwrap();
    });
    let caller = start_stream(&entry);
    let taken = seen.recv().unwrap();
    // The kernel's buffers of the two connections account for a part of it.
    assert!(taken < MAX_BYTES / 4, "{taken} bytes were taken");
    assert!(given_up.recv().unwrap(), "the engine's slot is still held");
    drop(caller);
}

#[test]
fn a_stopping_entry_refuses_on_open_connections() {
    let (accepted, waiting) = mpsc::channel();
    let entry = entry_with(move |mut call| {
        call.play(vec![support::accepted(), support::head(200, "")]);
        accepted.send(()).unwrap();
        call.is_closed_within(CLOSE_TIMEOUT);
    });
    // The stream keeps the entry from stopping at once.
    let streaming = start_stream(&entry);
    waiting.recv().unwrap();
    let mut caller = entry.connect();
    let models = support::get("/v1/models", TOKEN).replace("connection: close\r\n", "");
    caller.write_all(models.as_bytes()).unwrap();
    read_until(&mut caller, "briefs");
    entry.cancel.cancel();
    std::thread::sleep(Duration::from_millis(200));
    let _ = caller.write_all(models.as_bytes());
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer);
    // The connection is closed without a response, or the request is refused.
    let refused = answer.contains("503") && answer.contains("connection: close");
    assert!(answer.is_empty() || refused, "{answer}");
    drop(streaming);
}

#[test]
fn connections_with_slow_heads_are_closed() {
    let entry = entry_with(drop);
    let mut caller = entry.connect();
    caller.write_all(b"POST /v1/chat").unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.is_empty() || answer.contains("408"), "{answer}");
}

/// Idle time, longer than the server's default keep-alive timeout.
const IDLE_TIME: Duration = Duration::from_secs(7);

#[test]
fn an_idle_connection_is_kept_for_the_next_request() {
    let entry = Entry::over_http(&[]);
    let mut caller = entry.connect();
    let request =
        format!("GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n\r\n");
    caller.write_all(request.as_bytes()).unwrap();
    read_until(&mut caller, "]}");
    std::thread::sleep(IDLE_TIME);
    caller.write_all(request.as_bytes()).unwrap();
    assert!(read_until(&mut caller, "]}").starts_with("HTTP/1.1 200"));
}
