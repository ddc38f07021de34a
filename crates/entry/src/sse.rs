//! Relays the chunks of a chat completion as server-sent events.

use std::collections::VecDeque;
use std::convert::Infallible;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use ntex::http::header::CACHE_CONTROL;
use ntex::http::header::CONTENT_LOCATION;
use ntex::web::HttpResponse;
use serde::Serialize;
use wire::Problem;
use wire::frame::Payload;
use wire::frame::Usage;
use wire::id;

use crate::attempt::Buffered;
use crate::completion::Tokens;
use crate::completion::is_usage_only;
use crate::expiring::Expiring;
use crate::handle::Handle;
use crate::meter::Meter;
use crate::meter::Outcome;
use crate::problems;
use crate::reply::encode;
use crate::request::Request;
use crate::stream::Stream;
use crate::ticker::Ticker;
use crate::worker::Worker;

/// The content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// The event that ends a complete answer.
const DONE: &str = "data: [DONE]\n\n";

/// Longest pause of a caller in reading, as a multiple of the header timeout.
const READ_PAUSE_HEADER_TIMEOUTS: u32 = 3;

/// Returns a response that streams each chunk as soon as it comes.
///
/// The next chunk is read only when the connection has room for it, so a slow reader
/// takes up no more than the buffers of its two connections. Dropping the response drops
/// the answer, which cancels it at the agent.
pub(crate) fn stream(
    worker: &Worker,
    request: &Request,
    mut buffered: Buffered,
    wants_usage: bool,
    meter: Meter,
) -> HttpResponse {
    buffered.rest.mark_delivered();
    let handle = handle(request, &buffered.rest, wants_usage);
    let state = Relay {
        request: request.id,
        service: request.service.clone(),
        wants_usage,
        next_number: handle.as_ref().map(|_| first_chunk_number(&buffered)),
        read_ahead: buffered.chunks,
        usage: buffered.usage,
        rest: Expiring::new(
            buffered.rest,
            worker.context.header_timeout * READ_PAUSE_HEADER_TIMEOUTS,
        ),
        meter,
        is_ended: false,
    };
    let events = stream::unfold(state, |mut state| async move {
        let event = state.next().await?;
        Some((Ok::<_, Infallible>(ntex::util::Bytes::from(event)), state))
    });
    let mut response = HttpResponse::Ok();
    response.content_type(EVENT_STREAM).set_header(CACHE_CONTROL, "no-cache");
    if let Some(handle) = handle {
        let sealed = handle.seal(&worker.context.key, &request.account);
        response.set_header(CONTENT_LOCATION, format!("/v1/chat/completions/{sealed}"));
    }
    response.streaming(Ticker::new(events.boxed_local()))
}

/// Returns the handle by which the caller can resume, if the engine keeps the answer.
fn handle(request: &Request, stream: &Stream, wants_usage: bool) -> Option<Handle> {
    Some(Handle {
        service: request.service.clone(),
        engine: stream.engine().to_owned(),
        answer: stream.handle()?.to_owned(),
        cost: request.cost,
        wants_usage,
    })
}

/// Returns the number of the first chunk in the buffer.
fn first_chunk_number(buffered: &Buffered) -> u64 {
    let next = buffered.rest.last_chunk().map_or(0, |last| last + 1);
    next.saturating_sub(buffered.chunks.len() as u64)
}

/// An answer that is relayed to the caller.
struct Relay {
    request: id::Request,
    service: id::Service,
    wants_usage: bool,
    /// Number of the next event; `None` if the answer can't be resumed.
    next_number: Option<u64>,
    /// Chunks that were read but not sent yet.
    read_ahead: VecDeque<Bytes>,
    /// The token usage, once the answer is complete.
    usage: Option<Usage>,
    rest: Expiring,
    meter: Meter,
    is_ended: bool,
}

impl Relay {
    /// Returns the next event, or `None` after the last one.
    async fn next(&mut self) -> Option<String> {
        while !self.is_ended {
            if let Some(chunk) = self.read_ahead.pop_front() {
                let number = self.next_number;
                self.next_number = number.map(|number| number + 1);
                if is_usage_only(&chunk) {
                    continue;
                }
                return Some(encode_event(number, &chunk));
            }
            if let Some(usage) = self.usage {
                self.is_ended = true;
                self.meter.record_served();
                return Some(self.final_event(usage));
            }
            if let Some(problem) = self.read().await {
                self.is_ended = true;
                self.meter.record_failure(Outcome::Cut, &problem.detail);
                return Some(encode_error(&problem));
            }
        }
        None
    }

    /// Reads one more payload; returns the problem by which the answer ends early, if
    /// any.
    async fn read(&mut self) -> Option<Problem> {
        match self.rest.next().await {
            Ok(Payload::Data(chunk)) => {
                self.meter.record_chunk();
                self.read_ahead.push_back(chunk);
            }
            Ok(Payload::End(usage)) => self.usage = Some(usage),
            Ok(Payload::Refused(refusal, _)) => {
                return Some(problems::cut(&format!("the agent gave it up: {}", refusal.reason)));
            }
            Ok(Payload::Accepted(_) | Payload::Head(_)) => {}
            Err(fault) => return Some(problems::cut(&fault.to_string())),
        }
        None
    }

    fn final_event(&self, usage: Usage) -> String {
        if !self.wants_usage {
            return DONE.to_owned();
        }
        let chunk = UsageChunk {
            id: format!("chatcmpl-{:032x}", self.request),
            object: "chat.completion.chunk",
            created: 0,
            model: self.service.clone(),
            choices: [],
            usage: usage.into(),
        };
        format!("data: {}\n\n{DONE}", encode(&chunk))
    }
}

/// The chunk that carries the token usage.
#[derive(Serialize)]
struct UsageChunk {
    id: String,
    object: &'static str,
    created: u64,
    model: id::Service,
    choices: [u8; 0],
    usage: Tokens,
}

/// Encodes a chunk as one event; each of its lines needs a `data:` prefix.
fn encode_event(number: Option<u64>, chunk: &[u8]) -> String {
    let text = String::from_utf8_lossy(chunk);
    let mut event = String::with_capacity(text.len() + 16);
    if let Some(number) = number {
        event.push_str(&format!("id: {number}\n"));
    }
    for line in text.lines() {
        event.push_str("data: ");
        event.push_str(line);
        event.push('\n');
    }
    event.push('\n');
    event
}

fn encode_error(problem: &Problem) -> String {
    format!("event: error\ndata: {}\n\n", encode(problem))
}
