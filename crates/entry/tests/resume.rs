//! Checks that interrupted streams are resumed, by the same entry or through another one.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it in test functions; this file serves them"
)]

mod support;

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use entry::Fault;
use support::Entry;
use support::Step;
use support::TOKEN;
use support::accepted;
use support::end;
use support::get;
use support::kept;
use support::post;
use support::refused;
use support::stop;
use support::word;
use wire::Attempt;
use wire::Resume;
use wire::refusal::Ran;
use wire::refusal::Reason;

const CHAT: &str =
    r#"{"model":"briefs","stream":true,"messages":[{"role":"user","content":"hello"}]}"#;
/// Time limit that is reached only if a test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

fn disconnect() -> Step {
    Step::Fault(Fault::Disconnected("reset".into()))
}

/// Returns an answer of one word that then breaks off.
fn interrupted() -> Vec<Step> {
    vec![accepted(), kept("work-1"), word("Good "), disconnect()]
}

/// Returns the rest of an interrupted answer.
fn rest() -> Vec<Step> {
    vec![accepted(), kept("work-1"), word("morning"), stop(), end()]
}

fn words(response: &str) -> Vec<&str> {
    let words = response.split(r#""content":""#).skip(1);
    words.filter_map(|text| text.split('"').next()).collect()
}

/// Returns the resume requests that agents were sent.
fn resumes(entry: &Entry) -> Vec<Resume> {
    entry.attempts().into_iter().filter_map(|attempt| attempt.resume).collect()
}

/// Returns the path by which the caller of a response can resume.
fn resume_path(response: &str) -> String {
    let line = response.lines().find(|line| line.starts_with("< content-location: "));
    line.unwrap().trim_start_matches("< content-location: ").to_owned()
}

fn resume_request(path: &str, token: &str, last: Option<u64>) -> String {
    let last = last.map(|last| format!("\r\nlast-event-id: {last}\r\n\r\n"));
    let request = get(path, token);
    last.map_or_else(|| request.clone(), |last| request.trim_end().to_owned() + &last)
}

fn request_stream(entry: &Entry) -> String {
    entry.raw(&post("/v1/chat/completions", TOKEN, "", CHAT))
}

#[test]
fn an_interrupted_stream_is_resumed_unseen_by_the_caller() {
    let entry = Entry::start(|_, attempt: &Attempt| match &attempt.resume {
        None => interrupted(),
        Some(_) => rest(),
    });
    let response = request_stream(&entry);
    assert_eq!(words(&response), ["Good ", "morning"]);
    assert!(response.ends_with("data: [DONE]\n\n"), "{response}");
    assert_eq!(resumes(&entry), [Resume { handle: "work-1".into(), after: Some(0) }]);
    assert_eq!(entry.cancels(), [], "a resumed attempt is not cancelled");
    let ids: Vec<&str> = response.lines().filter(|line| line.starts_with("id: ")).collect();
    assert_eq!(ids, ["id: 0", "id: 1", "id: 2"]);
}

#[test]
fn an_interrupted_whole_answer_is_resumed_not_run_again() {
    let entry = Entry::start(|_, attempt: &Attempt| match &attempt.resume {
        None => interrupted(),
        Some(_) => rest(),
    });
    let response = entry.chat(&CHAT.replace("true", "false"));
    assert!(response.contains("Good morning"), "{response}");
    assert_eq!(entry.attempts().len(), 2);
}

#[test]
fn an_agent_that_is_down_or_not_ready_is_asked_again_until_it_resumes() {
    let tries = std::sync::Mutex::new(vec![
        rest(),
        vec![refused(Reason::Starting, Ran::Unknown, 1)],
        vec![Step::Fault(Fault::Connect("refused".into()))],
    ]);
    let entry = Entry::start(move |_, attempt: &Attempt| match &attempt.resume {
        None => interrupted(),
        Some(_) => tries.lock().unwrap().pop().unwrap(),
    });
    assert_eq!(words(&request_stream(&entry)), ["Good ", "morning"]);
}

#[test]
fn a_stream_that_its_engine_does_not_keep_ends_with_an_error_event() {
    let entry = Entry::start(|_, _| {
        vec![accepted(), support::head(200, "text/event-stream"), word("Good "), disconnect()]
    });
    let response = request_stream(&entry);
    assert!(response.contains("event: error"), "{response}");
    assert!(!response.contains("[DONE]") && !response.contains("content-location"));
    assert!(resumes(&entry).is_empty());

    let entry = Entry::start(|_, attempt: &Attempt| match &attempt.resume {
        None => interrupted(),
        Some(_) => vec![refused(Reason::Missing, Ran::Unknown, 1)],
    });
    let response = request_stream(&entry);
    assert!(response.contains("event: error") && !response.contains("[DONE]"), "{response}");
    assert_eq!(resumes(&entry).len(), 1);
}

#[test]
fn a_caller_can_resume_through_any_entry() {
    let first = Entry::start(|_, _| vec![accepted(), kept("work-1"), word("Good "), stop(), end()]);
    let path = resume_path(&request_stream(&first));
    let second = Entry::start(|_, _| rest());
    let response = second.raw(&resume_request(&path, TOKEN, Some(0)));
    assert_eq!(words(&response), ["morning"]);
    assert!(response.contains("id: 1\n") && response.ends_with("data: [DONE]\n\n"), "{response}");
    let whole = second.raw(&resume_request(&path, TOKEN, None));
    assert_eq!(words(&whole), ["morning"]);
    let asked = resumes(&second);
    assert_eq!(asked[0], Resume { handle: "work-1".into(), after: Some(0) });
    assert_eq!(asked[1], Resume { handle: "work-1".into(), after: None });
}

#[test]
fn a_foreign_changed_or_invented_handle_is_refused_without_asking_an_agent() {
    let entry = Entry::start(|_, _| vec![accepted(), kept("work-1"), word("Good "), stop(), end()]);
    let path = resume_path(&request_stream(&entry));
    let attempts = entry.attempts().len();
    let mut changed = path.clone();
    changed.replace_range(path.len() - 9..path.len() - 8, "_");
    let foreign = entry.raw(&resume_request(&path, support::OTHER_TOKEN, Some(0)));
    let changed = entry.raw(&resume_request(&changed, TOKEN, Some(0)));
    let invented = entry.raw(&resume_request("/v1/chat/completions/work-1", TOKEN, None));
    assert!(foreign.contains("urn:lycheeknot:problem:answer"), "{foreign}");
    assert_eq!(foreign, changed, "the responses don't reveal whether it exists");
    assert_eq!(foreign, invented);
    let words = entry.raw(
        &resume_request(&path, TOKEN, None).replace("\r\n\r\n", "\r\nlast-event-id: x\r\n\r\n"),
    );
    assert!(words.contains("urn:lycheeknot:problem:position"), "{words}");
    assert_eq!(entry.attempts().len(), attempts);
}

#[test]
fn an_answer_that_is_no_longer_kept_is_not_found() {
    let entry = Entry::start(|_, attempt: &Attempt| match &attempt.resume {
        None => vec![accepted(), kept("work-1"), word("Good "), stop(), end()],
        Some(_) => vec![refused(Reason::Missing, Ran::Unknown, 1)],
    });
    let path = resume_path(&request_stream(&entry));
    let response = entry.raw(&resume_request(&path, TOKEN, Some(0)));
    assert!(response.contains("urn:lycheeknot:problem:answer"), "{response}");
}

#[test]
fn an_attempt_is_cancelled_when_its_caller_left_and_not_before() {
    let entry = Entry::start(|_, _| {
        vec![accepted(), kept("work-1"), word("Good "), Step::Wait(HANG_TIMEOUT), end()]
    });
    let mut stream = entry.connect();
    stream.write_all(post("/v1/chat/completions", TOKEN, "", CHAT).as_bytes()).unwrap();
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("Good") {
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes).unwrap();
        seen.extend_from_slice(&bytes[..count]);
    }
    assert!(entry.cancels().is_empty());
    drop(stream);
    let start = Instant::now();
    while entry.cancels().is_empty() {
        assert!(start.elapsed() < HANG_TIMEOUT, "the agent gets no cancel");
        thread::sleep(Duration::from_millis(10));
    }
    let request = entry.attempts()[0].request;
    assert_eq!(entry.cancels(), [(request, 0)]);
}
