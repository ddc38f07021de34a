//! What the client makes of answers, against a server that gives written ones.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use services::Store;
use services::etcd::Client;
use services::store::Commit;
use services::store::Condition;
use services::store::Entry;
use services::store::Error;
use services::store::Outcome;
use services::store::Put;

/// Answers calls in turn; a broken answer closes its connection.
fn serve(answers: &'static [&'static str]) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open: Option<TcpStream> = None;
        for answer in answers {
            let mut stream = next(&listener, open.take());
            stream.write_all(chunked(answer).as_bytes()).unwrap();
            let is_broken = answer.is_empty() || answer.contains("content-length");
            open = (!is_broken).then_some(stream);
        }
    });
    client(address)
}

/// Waits for a whole call, on a new connection if there is none on the open one.
fn next(listener: &TcpListener, open: Option<TcpStream>) -> TcpStream {
    if let Some(mut stream) = open
        && read_call(&mut stream)
    {
        return stream;
    }
    let mut stream = listener.accept().unwrap().0;
    assert!(read_call(&mut stream));
    stream
}

fn read_call(stream: &mut TcpStream) -> bool {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer).unwrap_or_default();
        if length == 0 {
            return false;
        }
        text.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let head = head.to_lowercase();
        let (_, rest) = head.split_once("content-length: ").unwrap();
        let expected: usize = rest.lines().next().unwrap().parse().unwrap();
        if body.len() == expected {
            return true;
        }
    }
}

/// Sends the body in one chunk unless its length is given.
fn chunked(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return answer.to_owned() };
    if head.contains("content-length") {
        return answer.to_owned();
    }
    let length = body.len();
    let chunk = if body.is_empty() { String::new() } else { format!("{length:x}\r\n{body}\r\n") };
    format!("{head}\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
}

fn client(address: SocketAddr) -> Client {
    Client::new(&format!("http://{address}/"))
}

fn write() -> Commit {
    Commit {
        conditions: vec![Condition { key: "k".to_owned(), version: 3 }],
        puts: vec![Put { key: "k".to_owned(), value: b"v".to_vec(), lease: Some(9) }],
        removes: vec!["old".to_owned()],
    }
}

macro_rules! ok {
    ($body:literal) => {
        concat!("HTTP/1.1 200 OK\r\n\r\n", $body)
    };
}

#[ntex::test]
async fn a_key_is_read_with_its_version() {
    let store = serve(&[
        ok!(
            r#"{"header":{"revision":"9"},"kvs":[{"key":"aw==","mod_revision":"7","value":"dg=="}]}"#
        ),
        ok!(r#"{"header":{"revision":"9"}}"#),
    ]);
    let entry = Entry { key: "k".to_owned(), value: b"v".to_vec(), version: 7 };
    assert_eq!(store.read("k").await, Ok(Some(entry)));
    assert_eq!(store.read("k").await, Ok(None));
}

#[ntex::test]
async fn a_commit_is_written_or_conflicts() {
    let store = serve(&[
        ok!(r#"{"header":{"revision":"12"},"succeeded":true}"#),
        ok!(r#"{"header":{"revision":"12"}}"#),
    ]);
    assert_eq!(store.commit(&write()).await, Ok(Outcome::Written(12)));
    assert_eq!(store.commit(&write()).await, Ok(Outcome::Conflict));
}

#[ntex::test]
async fn a_write_is_down_only_if_it_was_surely_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let refused = client(closed).commit(&write()).await;
    assert!(matches!(refused, Err(Error::Down(_))), "{refused:?}");

    let store = serve(&[
        "",
        "HTTP/1.1 503 Service Unavailable\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{",
        ok!("{"),
    ]);
    for _ in 0..4 {
        let outcome = store.commit(&write()).await;
        assert!(matches!(outcome, Err(Error::Lost(_))), "{outcome:?}");
    }
}

#[ntex::test]
async fn a_read_is_never_lost() {
    let store = serve(&["", "HTTP/1.1 503 Service Unavailable\r\n\r\n"]);
    for _ in 0..2 {
        let outcome = store.read("k").await;
        assert!(matches!(outcome, Err(Error::Down(_))), "{outcome:?}");
    }
}

#[ntex::test]
async fn limits_are_told_by_status_or_code() {
    let store = serve(&[
        "HTTP/1.1 429 Too Many Requests\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\n\r\n{\"code\":8}",
    ]);
    assert_eq!(store.commit(&write()).await, Err(Error::Limited));
    assert_eq!(store.commit(&write()).await, Err(Error::Limited));
}

#[ntex::test]
async fn a_watch_gives_the_next_change() {
    let store = serve(&[
        ok!(
            "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[{\"kv\":{\"key\":\"aw==\",\"mod_revision\":\"8\",\"value\":\"dg==\"}}]}}\n"
        ),
        ok!(
            "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{\"key\":\"aw==\"}}]}}\n"
        ),
        ok!("{\"result\":{\"created\":true}}\n"),
    ]);
    let changed = store.watch("k", 7).await.unwrap().unwrap();
    assert_eq!(changed.version, 8);
    assert_eq!(store.watch("k", 8).await, Ok(None));
    let cut = store.watch("k", 8).await;
    assert!(matches!(cut, Err(Error::Down(_))), "{cut:?}");
}

#[ntex::test]
async fn a_watch_of_a_range_gives_all_that_was_written_together() {
    let store = serve(&[
        ok!(
            "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[{\"kv\":{\"key\":\"ZA==\",\"mod_revision\":\"8\",\"value\":\"dg==\"}},{\"kv\":{\"key\":\"aA==\",\"mod_revision\":\"8\",\"value\":\"dg==\"}},{\"type\":\"DELETE\",\"kv\":{\"key\":\"ZQ==\",\"mod_revision\":\"9\"}}]}}\n"
        ),
        ok!("{\"result\":{\"canceled\":true,\"compact_revision\":\"20\"}}\n"),
    ]);
    let change = store.watch_range("d", "h", 7).await.unwrap();
    let written: Vec<&str> = change.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!((change.version, written), (9, vec!["d", "h"]));
    assert_eq!(change.removed, ["e"]);
    let compacted = store.watch_range("d", "h", 7).await;
    assert!(matches!(compacted, Err(Error::Down(_))), "{compacted:?}");
}

#[ntex::test]
async fn a_compacted_watch_reads_what_is_there() {
    let store = serve(&[
        ok!("{\"result\":{\"canceled\":true,\"compact_revision\":\"20\"}}\n"),
        ok!(r#"{"kvs":[{"key":"aw==","mod_revision":"18","value":"dg=="}]}"#),
    ]);
    assert_eq!(store.watch("k", 7).await.unwrap().unwrap().version, 18);
}

#[ntex::test]
async fn a_lapsed_lease_is_not_renewed() {
    let store = serve(&[
        ok!(r#"{"ID":"77","TTL":"10"}"#),
        ok!(r#"{"result":{"ID":"77","TTL":"10"}}"#),
        ok!(r#"{"result":{"ID":"77"}}"#),
    ]);
    assert_eq!(store.grant(10).await, Ok(77));
    assert_eq!(store.renew(77).await, Ok(true));
    assert_eq!(store.renew(77).await, Ok(false));
}
