//! The numbered chunks of a chat, read from server-sent events.

use std::cell::Cell;
use std::rc::Rc;

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

/// Longest event that is read, in bytes: several times more than a whole generation takes. The parser
/// keeps all bytes until an event is whole, and a broken engine may send them without end.
const EVENT_MAX_BYTES: usize = 256 * 1024;

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
    // Bytes since the last whole event.
    let received = Rc::new(Cell::new(0));
    let total = Rc::clone(&received);
    response
        .take_payload()
        .map(move |bytes| {
            let bytes = bytes.map_err(|error| error.to_string())?;
            total.set(total.get() + bytes.len());
            match total.get() {
                ..=EVENT_MAX_BYTES => Ok(bytes),
                _ => Err(format!("an event is longer than {EVENT_MAX_BYTES} bytes")),
            }
        })
        .eventsource()
        .map(move |event| {
            received.set(0);
            match event {
                Ok(event) => progress.next_chunk(event),
                Err(error) => Err(Error::Cut(error.to_string())),
            }
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
