//! A streamed answer that is read event by event and can be resumed.

use std::net::SocketAddr;

use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use ntex::client::ClientResponse;
use serde::Deserialize;

/// Data of the event that ends a complete answer.
const DONE: &str = "[DONE]";
/// Name of the event that ends an incomplete answer.
const ERROR_EVENT: &str = "error";
/// Response header with the path at which the answer can be resumed.
const RESUME_PATH: &str = "content-location";

/// A streamed answer that is read event by event.
pub struct Stream {
    /// Path at which the answer can be resumed, if it can be.
    pub resume_path: Option<String>,
    /// Id of the last received event.
    pub last_event_id: String,
    /// Text received so far.
    pub text: String,
    events: LocalBoxStream<'static, Result<Event, String>>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

impl Stream {
    /// Reads a response after `text` and the event `last_event_id` were received before.
    pub(crate) fn new(response: &ClientResponse, text: String, last_event_id: String) -> Stream {
        let resume_path = response.header(RESUME_PATH).and_then(|path| path.to_str().ok());
        let resume_path = resume_path.map(str::to_owned);
        let events = response.take_payload().eventsource();
        let events = events.map(|event| event.map_err(|error| error.to_string())).boxed_local();
        Stream { resume_path, last_event_id, text, events }
    }

    /// Reads the next event; returns `false` at the end of a complete answer.
    ///
    /// # Errors
    ///
    /// The reason why the answer is incomplete.
    pub async fn next(&mut self) -> Result<bool, String> {
        let event = self.events.next().await.ok_or("no last event came")??;
        if event.data == DONE {
            return Ok(false);
        }
        if event.event == ERROR_EVENT {
            return Err(event.data);
        }
        let chunk: Chunk = serde_json::from_str(&event.data).map_err(|error| error.to_string())?;
        let deltas = chunk.choices.into_iter().filter_map(|choice| choice.delta);
        self.text.extend(deltas.map(|delta| delta.content));
        self.last_event_id = event.id;
        Ok(true)
    }

    /// Reads to the end of the answer.
    ///
    /// # Errors
    ///
    /// Those of [`Stream::next`].
    pub async fn read_to_end(&mut self) -> Result<(), String> {
        while self.next().await? {}
        Ok(())
    }

    /// Returns the URL at which the answer can be resumed through an entry.
    pub fn url(&self, entry: SocketAddr) -> String {
        format!("http://{entry}{}", self.resume_path.as_deref().unwrap_or_default())
    }
}
