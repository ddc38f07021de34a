//! Tests of the model engine client with HTTP servers that send fixed answers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use backend::Engine;
use backend::engine::Answer;
use backend::engine::Chunk;
use backend::engine::Error;
use backend::engine::Job;
use backend::openai::Client;
use futures_util::StreamExt;
use ntex::time::Millis;
use wire::Work;
use wire::work::Chat;

const EVENTS: &str = "id: 0\ndata: {\"id\":\"chatcmpl-9\",\"choices\":[{}]}\n\n\
    id: 1\ndata: {\"id\":\"chatcmpl-9\",\"choices\":[],\"usage\":{\"prompt_tokens\":8,\
    \"completion_tokens\":3,\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\n";

const DONE: &str = "data: [DONE]\n\n";

/// Answers one connection with fixed bytes. Returns its address and the thread
/// that ends with the request it read.
fn serve_once(reply: String) -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let served = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut seen = vec![0; 4096];
        let mut length = 0;
        while !is_whole(&seen[..length]) {
            let read = socket.read(&mut seen[length..]).expect("bytes");
            length += read;
        }
        socket.write_all(reply.as_bytes()).expect("the reply is taken");
        String::from_utf8_lossy(&seen[..length]).into_owned()
    });
    (address, served)
}

fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).unwrap_or(0) <= body.len()
}

fn reply(status: &str, length: usize, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn job() -> Job {
    let body = r#"{"model":"mine","messages":[],"priority":-9}"#.to_owned();
    Job { work: Work::Chat(Chat { model: "model".to_owned(), chat: 1, body }), priority: 2 }
}

async fn start(reply: String) -> (Result<Answer, Error>, String) {
    let (address, served) = serve_once(reply);
    let client = Client::new(&format!("http://{address}/")).await.expect("a client");
    let answer = client.start(job()).await;
    (answer, served.join().expect("the server ends"))
}

#[ntex::test]
async fn a_chat_is_sent_with_the_configured_model_and_priority_and_streamed_to_its_usage() {
    let body = format!("{EVENTS}{DONE}");
    let (answer, request) = start(reply("200 OK", body.len(), &body)).await;
    assert!(request.contains(r#""model":"model""#));
    assert!(request.contains(r#""priority":2"#));
    assert!(request.contains(r#""stream_options":{"include_usage":true}"#));
    let answer = answer.expect("an answer");
    assert_eq!(answer.handle, "chatcmpl-9");
    let chunks: Vec<Chunk> = answer.chunks.map(|chunk| chunk.expect("a chunk")).collect().await;
    let first = r#"{"id":"chatcmpl-9","choices":[{}]}"#;
    assert_eq!(chunks[0], Chunk::Data(0, first.into()));
    assert!(matches!(chunks[2], Chunk::End(usage) if usage.cached == 5 && usage.output == 3));
}

#[ntex::test]
async fn a_cut_stream_ends_in_an_error() {
    let (answer, _) = start(reply("200 OK", EVENTS.len() + 99, EVENTS)).await;
    let chunks: Vec<_> = answer.expect("an answer").chunks.take(3).collect().await;
    assert!(matches!(chunks[2], Err(Error::Cut(_))));
}

/// Guards against memory that bytes without end fill: an agent keeps all of an event that never ends.
#[ntex::test]
async fn an_event_without_end_is_kept_until_the_engine_closes() {
    for (start, line) in [("", "a".repeat(1_024)), (EVENTS, "data: a\n".repeat(128))] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n{start}data: ");
        let sent = thread::spawn(move || {
            let (mut socket, _) = listener.accept().expect("a connection");
            let length = socket.read(&mut [0; 4_096]).expect("a request");
            assert!(length > 0, "an empty request");
            socket.write_all(head.as_bytes()).expect("the head is taken");
            let mut sent = 0;
            while sent < 64 * 1024 * 1024 && socket.write_all(line.as_bytes()).is_ok() {
                sent += line.len();
            }
            sent
        });
        let client = Client::new(&format!("http://{address}/")).await.expect("a client");
        let answer = client.start(job()).await;
        let error = match answer {
            Ok(answer) => {
                answer.chunks.filter_map(async |chunk| chunk.err()).boxed_local().next().await
            }
            Err(error) => Some(error),
        };
        assert!(matches!(&error, Some(Error::Cut(cause)) if cause.contains("longer")), "{error:?}");
        // The client closes the connection in a task of this runtime.
        while !sent.is_finished() {
            ntex::time::sleep(Millis(5)).await;
        }
        let sent = sent.join().expect("the engine ends");
        assert!(sent < 16 * 1024 * 1024, "the client has taken {sent} bytes");
    }
}

#[ntex::test]
async fn statuses_are_classified_by_whether_the_work_may_have_run() {
    for (status, code) in [("404 Not Found", 404), ("429 Slow", 429), ("503 Busy", 503)] {
        let (answer, _) = start(reply(status, 0, "")).await;
        assert_eq!(answer.err(), Some(Error::Refused(code)));
    }
    for status in ["500 Broken", "502 Gateway", "504 Late"] {
        let (answer, _) = start(reply(status, 0, "")).await;
        assert!(matches!(answer.err(), Some(Error::Cut(_))), "{status}");
    }
}

#[ntex::test]
async fn a_connection_lost_after_sending_is_unknown_and_one_never_made_is_not() {
    let (answer, _) = start(String::new()).await;
    assert!(matches!(answer.err(), Some(Error::Cut(_))));
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = closed.local_addr().expect("an address");
    drop(closed);
    let client = Client::new(&format!("http://{address}")).await.expect("a client");
    assert!(matches!(client.start(job()).await.err(), Some(Error::Down(_))));
}

#[ntex::test]
async fn resume_cancel_and_probe_request_their_paths() {
    let body = format!("{EVENTS}{DONE}");
    let (address, served) = serve_once(reply("200 OK", body.len(), &body));
    let client = Client::new(&format!("http://{address}")).await.expect("a client");
    client.resume("chatcmpl-9", Some(4)).await.expect("an answer");
    let request = served.join().expect("the server ends");
    assert!(
        request.starts_with("GET /v1/chat/completions/chatcmpl-9?stream=true&starting_after=4")
    );

    let (address, served) = serve_once(reply("404 Not Found", 0, ""));
    let client = Client::new(&format!("http://{address}")).await.expect("a client");
    client.cancel("chatcmpl-9").await.expect("ended work is no error");
    let request = served.join().expect("the server ends");
    assert!(request.starts_with("POST /v1/chat/completions/chatcmpl-9/cancel"));

    let list = r#"{"object":"list","data":[{"id":"b"},{"id":"a"}]}"#;
    let (address, _served) = serve_once(reply("200 OK", list.len(), list));
    let client = Client::new(&format!("http://{address}")).await.expect("a client");
    assert_eq!(client.probe().await, Ok(vec!["a".to_owned(), "b".to_owned()]));
}

#[ntex::test]
async fn an_answer_that_is_not_kept_is_refused_and_aborted_work_ends_in_an_error() {
    let (address, _served) = serve_once(reply("404 Not Found", 0, ""));
    let client = Client::new(&format!("http://{address}")).await.expect("a client");
    assert_eq!(client.resume("chatcmpl-9", None).await.err(), Some(Error::Refused(404)));

    let aborted = "id: 2\ndata: {\"id\":\"chatcmpl-9\",\"choices\":[{\"finish_reason\":\
        \"abort\"}]}\n\n";
    let body = format!("{EVENTS}{aborted}{DONE}");
    let (answer, _) = start(reply("200 OK", body.len(), &body)).await;
    let chunks: Vec<_> = answer.expect("an answer").chunks.take(3).collect().await;
    assert!(matches!(chunks[2], Err(Error::Cut(_))), "{chunks:?}");
}

#[ntex::test]
async fn only_an_answer_whose_chunks_are_numbered_from_0_has_a_handle() {
    let (answer, _) = start(reply("200 OK", EVENTS.len(), EVENTS)).await;
    assert_eq!(answer.expect("an answer").head.handle.as_deref(), Some("chatcmpl-9"));
    let other = EVENTS.replace("id: 0", "id: 7");
    let (answer, _) = start(reply("200 OK", other.len(), &other)).await;
    assert_eq!(answer.expect("an answer").head.handle, None);
}
