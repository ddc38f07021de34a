//! An HTTP client that sends requests on behalf of a client account.

use std::net::SocketAddr;
use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use ntex::client::ClientRequest;
use ntex::client::ClientResponse;
use ntex::http::Method;
use serde::Deserialize;

use crate::chat::Chat;
use crate::http;
use crate::http::Client;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::stream::Stream;

/// Request header that identifies a call which must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header with the id of the last received event of a streamed answer.
const LAST_EVENT_ID: &str = "last-event-id";
/// Response header of an answer that was stored for the same idempotency key.
const REPLAYED: &str = "idempotency-replayed";
/// Data of the event that ends a complete answer.
const DONE: &str = "[DONE]";
/// Name of the event that ends an answer early.
const ERROR_EVENT: &str = "error";

/// A client that sends requests with the bearer token of one client account to
/// servers of the OpenAI chat protocol: entries or engines.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    token: String,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Path below the service's root, with a leading slash.
    pub path: &'a str,
    /// The JSON body.
    pub body: String,
    /// Idempotency key, if the call must run at most once.
    pub key: Option<&'a str>,
}

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    message: Option<Part>,
    delta: Option<Part>,
}

#[derive(Deserialize)]
struct Part {
    content: Option<String>,
}

#[derive(Clone, Copy, Default, Deserialize)]
struct Usage {
    prompt_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Clone, Copy, Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

impl Caller {
    /// Creates a caller with the demonstration token of `account`.
    pub fn new(client: &Client, account: &str) -> Caller {
        Caller { client: client.clone(), token: token(account) }
    }

    /// Requests a chat completion and reads the whole answer.
    pub async fn chat(&self, server: SocketAddr, chat: &Chat) -> Outcome {
        let url = format!("http://{server}/v1/chat/completions");
        let body = serde_json::to_string(chat).unwrap_or_default();
        let start = Instant::now();
        let response = match self.send(self.client.request(Method::POST, &url), body).await {
            Ok(response) => response,
            Err(reason) => return Outcome::Failed(reason),
        };
        if !response.status().is_success() {
            return read_refusal(&response).await;
        }
        if chat.stream {
            read_stream(response, start).await
        } else {
            read_answer(&response, start).await
        }
    }

    /// Requests a streamed chat completion, whose events the caller reads one by one.
    ///
    /// # Errors
    ///
    /// The outcome, if the request is refused or gets no answer.
    pub async fn stream(&self, entry: SocketAddr, chat: &Chat) -> Result<Stream, Outcome> {
        let url = format!("http://{entry}/v1/chat/completions");
        let body = serde_json::to_string(chat).unwrap_or_default();
        let response = self.send(self.client.request(Method::POST, &url), body).await;
        self.open_stream(response.map_err(Outcome::Failed)?, String::new(), String::new()).await
    }

    /// Resumes a streamed answer through an entry, after its last received event.
    ///
    /// # Errors
    ///
    /// The outcome, if the request is refused or gets no answer.
    pub async fn resume(&self, entry: SocketAddr, from: &Stream) -> Result<Stream, Outcome> {
        let request = self.client.request(Method::GET, &from.url(entry)).bearer_auth(&self.token);
        let response = request.header(LAST_EVENT_ID, from.last_event_id.as_str()).send().await;
        let response = response.map_err(|error| Outcome::Failed(error.to_string()))?;
        self.open_stream(response, from.text.clone(), from.last_event_id.clone()).await
    }

    async fn open_stream(
        &self,
        response: ClientResponse,
        text: String,
        last: String,
    ) -> Result<Stream, Outcome> {
        if !response.status().is_success() {
            return Err(read_refusal(&response).await);
        }
        Ok(Stream::new(&response, text, last))
    }

    /// Calls a plain service and reads the whole answer.
    pub async fn call(&self, entry: SocketAddr, call: &Call<'_>) -> Outcome {
        let url = format!("http://{entry}/services/{}{}", call.service, call.path);
        let mut request = self.client.request(Method::POST, &url);
        if let Some(key) = call.key {
            request = request.set_header(IDEMPOTENCY_KEY, key);
        }
        let start = Instant::now();
        let response = match self.send(request, call.body.clone()).await {
            Ok(response) => response,
            Err(reason) => return Outcome::Failed(reason),
        };
        if !response.status().is_success() {
            return read_refusal(&response).await;
        }
        let replayed = response.headers().contains_key(REPLAYED);
        match http::body(&response).await {
            Ok(text) => {
                let total = start.elapsed();
                let answer =
                    Answer { text, first_token: total, total, replayed, ..Answer::default() };
                Outcome::Answer(answer)
            }
            Err(reason) => Outcome::Failed(reason),
        }
    }

    async fn send(&self, request: ClientRequest, body: String) -> Result<ClientResponse, String> {
        let request = request.bearer_auth(&self.token).content_type("application/json");
        request.send_body(body).await.map_err(|error| error.to_string())
    }
}

/// Returns the bearer token of an account in the sample intents.
pub fn token(account: &str) -> String {
    format!("demo-token-of-{account}")
}

async fn read_refusal(response: &ClientResponse) -> Outcome {
    let status = response.status().as_u16();
    let text = match http::body(response).await {
        Ok(text) => text,
        Err(reason) => return Outcome::Failed(reason),
    };
    match serde_json::from_str(&text) {
        Ok(refusal) => Outcome::Refused(refusal),
        Err(_) => Outcome::Refused(Refusal {
            status,
            kind: String::new(),
            detail: text,
            ran: String::new(),
            retry_after: None,
        }),
    }
}

async fn read_answer(response: &ClientResponse, start: Instant) -> Outcome {
    let text = match http::body(response).await {
        Ok(text) => text,
        Err(reason) => return Outcome::Failed(reason),
    };
    let completion: Completion = match serde_json::from_str(&text) {
        Ok(completion) => completion,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let mut answer = Answer::default();
    add_chunk(&mut answer, completion);
    answer.total = start.elapsed();
    answer.first_token = answer.total;
    Outcome::Answer(answer)
}

async fn read_stream(response: ClientResponse, start: Instant) -> Outcome {
    let mut events = response.take_payload().eventsource();
    let mut answer = Answer::default();
    let mut last = None;
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return Outcome::Failed(error.to_string()),
        };
        if event.data == DONE {
            answer.total = start.elapsed();
            // The connection is only reused once its body has been read to the end.
            while events.next().await.is_some() {}
            return Outcome::Answer(answer);
        }
        if event.event == ERROR_EVENT {
            return Outcome::Failed(event.data);
        }
        let Ok(completion) = serde_json::from_str::<Completion>(&event.data) else {
            return Outcome::Failed(format!("no chunk of a completion: {}", event.data));
        };
        if add_chunk(&mut answer, completion) {
            let now = Instant::now();
            match last.replace(now) {
                None => answer.first_token = now - start,
                Some(before) => answer.gaps.push(now - before),
            }
        }
    }
    Outcome::Failed("the stream ended without its last event".to_owned())
}

/// Adds a chunk or a whole answer; returns whether it contained text.
fn add_chunk(answer: &mut Answer, completion: Completion) -> bool {
    let before = answer.text.len();
    for choice in completion.choices {
        let part = choice.message.or(choice.delta);
        answer.text.push_str(&part.and_then(|part| part.content).unwrap_or_default());
    }
    if let Some(usage) = completion.usage {
        answer.prompt_tokens = usage.prompt_tokens;
        answer.cached_tokens = usage.prompt_tokens_details.cached_tokens;
    }
    answer.text.len() > before
}
