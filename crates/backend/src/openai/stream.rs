//! Server-sent events of a chat as numbered pieces.

use bytes::Bytes;
use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use ntex::client::ClientResponse;
use wire::frame::Usage;

use crate::engine::Chunk;
use crate::engine::Error;
use crate::openai::chunk::CompletionChunk;

/// The text that ends a stream of chunks.
const DONE: &str = "[DONE]";

/// A piece with the name of the work at the engine.
pub(crate) struct Numbered {
    pub(crate) handle: String,
    pub(crate) chunk: Chunk,
}

struct Progress {
    next: u64,
    id: String,
    usage: Usage,
}

/// The pieces of an answer from a number on; each keeps the text of its event unchanged.
pub(crate) fn chunks(
    response: ClientResponse,
    next: u64,
) -> LocalBoxStream<'static, Result<Numbered, Error>> {
    let mut progress = Progress { next, id: String::new(), usage: Usage::default() };
    response
        .take_payload()
        .eventsource()
        .map(move |event| match event {
            Ok(event) => progress.chunk(event),
            Err(error) => Err(Error::Cut(error.to_string())),
        })
        .boxed_local()
}

impl Progress {
    fn chunk(&mut self, event: Event) -> Result<Numbered, Error> {
        if event.data == DONE {
            return Ok(Numbered { handle: String::new(), chunk: Chunk::End(self.usage) });
        }
        let chunk: CompletionChunk = serde_json::from_str(&event.data)
            .map_err(|error| Error::Protocol(error.to_string()))?;
        if chunk.error.is_some() {
            return Err(Error::Cut("the engine reported an error in its stream".to_owned()));
        }
        if chunk.is_aborted() {
            return Err(Error::Cut("the engine aborted the work".to_owned()));
        }
        if let Some(tokens) = &chunk.usage {
            self.usage = tokens.usage();
        }
        let number = self.number(event.id);
        Ok(Numbered { handle: chunk.id, chunk: Chunk::Data(number, Bytes::from(event.data)) })
    }

    /// The event's own number. An event without an id comes with the id of the
    /// event before it; such events are counted.
    fn number(&mut self, id: String) -> u64 {
        let told = id.parse().ok().filter(|_| id != self.id);
        let number = told.unwrap_or(self.next);
        self.id = id;
        self.next = number + 1;
        number
    }
}
