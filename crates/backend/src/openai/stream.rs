//! The numbered chunks of a chat, read from server-sent events.

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

/// The data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// A chunk with the engine's identifier of the work.
pub(crate) struct Identified {
    pub(crate) handle: String,
    pub(crate) chunk: Chunk,
}

/// The numbering and usage of one stream so far.
struct Progress {
    next: u64,
    last_id: String,
    usage: Usage,
}

/// Returns the chunks of an answer. Each has the unchanged text of its event;
/// chunks without a number of their own are numbered from `next`.
pub(crate) fn chunks(
    response: ClientResponse,
    next: u64,
) -> LocalBoxStream<'static, Result<Identified, Error>> {
    let mut progress = Progress { next, last_id: String::new(), usage: Usage::default() };
    response
        .take_payload()
        .eventsource()
        .map(move |event| match event {
            Ok(event) => progress.next_chunk(event),
            Err(error) => Err(Error::Cut(error.to_string())),
        })
        .boxed_local()
}

impl Progress {
    fn next_chunk(&mut self, event: Event) -> Result<Identified, Error> {
        if event.data == DONE {
            return Ok(Identified { handle: String::new(), chunk: Chunk::End(self.usage) });
        }
        let completion: CompletionChunk = serde_json::from_str(&event.data)
            .map_err(|error| Error::Protocol(error.to_string()))?;
        if completion.error.is_some() {
            return Err(Error::Cut("the engine reported an error in its stream".to_owned()));
        }
        if completion.is_aborted() {
            return Err(Error::Cut("the engine aborted the work".to_owned()));
        }
        if let Some(tokens) = &completion.usage {
            self.usage = tokens.usage();
        }
        let number = self.number(event.id);
        Ok(Identified {
            handle: completion.id,
            chunk: Chunk::Data(number, Bytes::from(event.data)),
        })
    }

    /// Returns the number of an event: its id, or one more than the number before.
    /// The parser gives an event without an id the id of the event before it.
    fn number(&mut self, id: String) -> u64 {
        let own_number = id.parse().ok().filter(|_| id != self.last_id);
        let number = own_number.unwrap_or(self.next);
        self.last_id = id;
        self.next = number + 1;
        number
    }
}
