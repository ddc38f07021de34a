//! Steps of a scripted agent's answer.

use std::time::Duration;

use bytes::Bytes;
use wire::Load;
use wire::Refusal;
use wire::Stamp;
use wire::frame::Head;
use wire::frame::Payload;
use wire::frame::Report;
use wire::frame::Usage;
use wire::refusal::Ran;
use wire::refusal::Reason;

use super::Step;

pub fn accepted() -> Step {
    Step::Send(Payload::Accepted(report()))
}

fn report() -> Report {
    let stamp = Stamp { vm: "engine-1".into(), incarnation: 1, revision: 1 };
    Report { stamp, load: load() }
}

pub fn load() -> Load {
    Load { running: 1, waiting: 0, slots: 8, tokens: 10 }
}

pub fn head(status: u16, kind: &str) -> Step {
    Step::Send(Payload::Head(Head {
        status,
        content_type: Some(kind.into()),
        replayed: false,
        handle: None,
    }))
}

/// Returns the head of an answer that its engine keeps under a handle.
pub fn kept(handle: &str) -> Step {
    Step::Send(Payload::Head(Head {
        status: 200,
        content_type: Some("text/event-stream".into()),
        replayed: false,
        handle: Some(handle.into()),
    }))
}

pub fn data(text: &str) -> Step {
    Step::Send(Payload::Data(Bytes::copy_from_slice(text.as_bytes())))
}

pub fn word(text: &str) -> Step {
    data(&format!(
        r#"{{"id":"c1","object":"chat.completion.chunk","created":7,"model":"llama","choices":[{{"index":0,"delta":{{"role":"assistant","content":"{text}"}},"finish_reason":null}}]}}"#
    ))
}

pub fn stop() -> Step {
    data(
        r#"{"id":"c1","object":"chat.completion.chunk","created":7,"model":"llama","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}"#,
    )
}

pub fn end() -> Step {
    Step::Send(Payload::End(Usage { prompt: 12, cached: 8, output: 2 }))
}

pub fn refused(reason: Reason, ran: Ran, seconds: u64) -> Step {
    hinted(reason, ran, seconds, None)
}

pub fn hinted(reason: Reason, ran: Ran, seconds: u64, hint: Option<&str>) -> Step {
    let retry_after = Duration::from_secs(seconds);
    let hint = hint.map(str::to_owned);
    Step::Send(Payload::Refused(Refusal { reason, ran, retry_after, hint }, report()))
}

/// Returns a complete answer of two words.
pub fn whole() -> Vec<Step> {
    vec![accepted(), head(200, "text/event-stream"), word("Good "), word("morning"), stop(), end()]
}
