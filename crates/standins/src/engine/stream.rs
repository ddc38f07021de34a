//! Chat completions as streams of server-sent events and as whole bodies.

use std::io;
use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream;
use ntex::util::Bytes;
use serde::Serialize;
use tokio::sync::watch;

use crate::engine::Faults;
use crate::engine::core::Core;
use crate::engine::generation::End;
use crate::engine::generation::Generation;
use crate::engine::generation::Progress;
use crate::engine::generation::Usage;

/// Last event of every stream that doesn't break off.
const DONE: &str = "data: [DONE]\n\n";

/// A chat completion, or one chunk of a streamed one.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// A choice of a completion, with `message` if it is whole and else with `delta`.
#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Output<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Output<'a>>,
    finish_reason: Option<&'static str>,
}

/// Generated text: a message or the next part of one.
#[derive(Serialize)]
struct Output<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

/// The next action of a stream's reader.
enum Step {
    /// Send this event.
    Event(Bytes),
    /// End the stream.
    Done,
    /// Wait for progress of the generation.
    Wait,
}

/// Reads a generation as a stream of events, while it runs or after its end.
pub(crate) struct Reader {
    generation: Arc<Generation>,
    progress: watch::Receiver<Progress>,
    faults: watch::Receiver<Faults>,
    /// Number of the next event.
    next_number: usize,
    is_done: bool,
}

/// Returns the whole completion of a generation that has ended.
pub(crate) fn completion(generation: &Generation, progress: Progress) -> impl Serialize + use<'_> {
    let text = generation.tokens[..progress.tokens].concat();
    Completion { generation, progress, text }
}

/// A whole completion, built when it is serialised.
struct Completion<'a> {
    generation: &'a Generation,
    progress: Progress,
    text: String,
}

impl Serialize for Completion<'_> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let output = Output { role: Some("assistant"), content: &self.text };
        let choice = Choice {
            index: 0,
            delta: None,
            message: Some(output),
            finish_reason: self.generation.finish_reason(self.progress),
        };
        let usage = Some(self.generation.usage(self.progress));
        chunk(self.generation, "chat.completion", vec![choice], usage).serialize(serializer)
    }
}

impl Reader {
    /// Creates a reader that begins with the event `next_number`.
    pub(crate) fn new(core: &Core, generation: Arc<Generation>, next_number: usize) -> Self {
        Self {
            progress: generation.progress.subscribe(),
            faults: core.faults.subscribe(),
            generation,
            next_number,
            is_done: false,
        }
    }

    /// Returns the events as a response body.
    pub(crate) fn into_events(self) -> impl Stream<Item = io::Result<Bytes>> + Unpin {
        Box::pin(stream::unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        }))
    }

    /// Returns the next event; an error if `Faults::cut_streams` breaks the stream
    /// off, and `None` after its end.
    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.is_done {
                return None;
            }
            if self.faults.borrow().cut_streams {
                self.is_done = true;
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            let progress = *self.progress.borrow_and_update();
            match step_at(&self.generation, progress, self.next_number) {
                Step::Event(event) => {
                    self.next_number += 1;
                    return Some(Ok(event));
                }
                Step::Done => {
                    self.is_done = true;
                    return Some(Ok(Bytes::from_static(DONE.as_bytes())));
                }
                Step::Wait => self.wait_for_change().await,
            }
        }
    }

    /// Waits until the generation's progress or the injected faults change.
    async fn wait_for_change(&mut self) {
        tokio::select! {
            _ = self.progress.changed() => {}
            _ = self.faults.changed() => {}
        }
    }
}

/// Returns what a reader at the event `number` has to do. The events 0 to n-1
/// carry the n tokens, an aborted stream has one more with the finish reason, and
/// the last event carries the token counts if the request asked for them.
fn step_at(generation: &Generation, progress: Progress, number: usize) -> Step {
    let token_count = generation.tokens.len();
    if number < progress.tokens {
        let reason = if number + 1 == token_count { Some("length") } else { None };
        return Step::Event(token_event(generation, number, &generation.tokens[number], reason));
    }
    let Some(end) = progress.end else { return Step::Wait };
    let aborted = usize::from(end == End::Cancelled);
    if number < progress.tokens + aborted {
        return Step::Event(token_event(generation, number, "", Some("abort")));
    }
    if generation.include_usage && number == progress.tokens + aborted {
        let usage = Some(generation.usage(progress));
        return Step::Event(encode_event(
            number,
            &chunk(generation, CHUNK_OBJECT, Vec::new(), usage),
        ));
    }
    Step::Done
}

/// Value of `object` in the chunks of a stream.
const CHUNK_OBJECT: &str = "chat.completion.chunk";

/// Returns the event that carries a token, or the finish reason of an aborted
/// stream.
fn token_event(
    generation: &Generation,
    number: usize,
    content: &str,
    finish_reason: Option<&'static str>,
) -> Bytes {
    let role = if number == 0 { Some("assistant") } else { None };
    let delta = Some(Output { role, content });
    let choice = Choice { index: 0, delta, message: None, finish_reason };
    encode_event(number, &chunk(generation, CHUNK_OBJECT, vec![choice], None))
}

/// Returns a completion or a chunk of one with the fields of `generation`.
fn chunk<'a>(
    generation: &'a Generation,
    object: &'static str,
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
) -> Chunk<'a> {
    Chunk {
        id: &generation.id,
        object,
        created: generation.created,
        model: &generation.model,
        choices,
        usage,
    }
}

/// Returns an event in the format of server-sent events.
fn encode_event(number: usize, chunk: &Chunk<'_>) -> Bytes {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}
