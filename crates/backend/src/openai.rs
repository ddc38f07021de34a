//! Model engines that speak the OpenAI chat protocol with vLLM's extensions.
//!
//! Chats are always streamed, so that an answer that breaks off can go on
//! from its last event. Resume and cancel follow OpenAI's responses protocol.

mod chunk;
mod request;
mod stream;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use wire::Work;
use wire::frame::Head;
use wire::work::Chat;

use crate::engine::Answer;
use crate::engine::Chunk;
use crate::engine::Engine;
use crate::engine::Error;
use crate::engine::Job;
use crate::http;
use crate::openai::chunk::Models;

/// Statuses by which an engine says that it did not take the work on.
const REFUSALS: &[StatusCode] = &[
    StatusCode::UNAUTHORIZED,
    StatusCode::FORBIDDEN,
    StatusCode::NOT_FOUND,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses by which an engine blames the request, which is the caller's answer.
const FAULTS: &[StatusCode] =
    &[StatusCode::BAD_REQUEST, StatusCode::PAYLOAD_TOO_LARGE, StatusCode::UNPROCESSABLE_ENTITY];

/// Statuses by which an engine says that it does not keep an answer, or none at all.
const NOT_KEPT: &[StatusCode] =
    &[StatusCode::NOT_FOUND, StatusCode::METHOD_NOT_ALLOWED, StatusCode::GONE];

/// Statuses by which an engine says that the work to cancel has ended.
const ENDED: &[StatusCode] = &[StatusCode::NOT_FOUND, StatusCode::CONFLICT, StatusCode::GONE];

/// A client of one model engine, local to a worker.
pub struct Client {
    address: String,
    http: ntex::client::Client,
}

impl Client {
    /// A client of the engine at an address such as `http://10.0.0.7:8000`.
    ///
    /// # Errors
    ///
    /// [`Error::Down`] if no HTTP client can be built.
    pub async fn new(address: &str) -> Result<Client, Error> {
        let http = http::client().await?;
        Ok(Client { address: http::base(address), http })
    }

    async fn start_chat(&self, chat: &Chat, priority: i32) -> Result<Answer, Error> {
        let body = request::body(chat, priority)?;
        let url = format!("{}/v1/chat/completions", self.address);
        let request = self.http.post(url).content_type("application/json");
        let response = request.send_body(body).await.map_err(|error| http::failure(&error))?;
        let status = response.status();
        if REFUSALS.contains(&status) {
            return Err(Error::Refused(status.as_u16()));
        }
        if FAULTS.contains(&status) {
            return fault(&response).await;
        }
        answer(response, 0).await
    }

    async fn resume_chat(&self, handle: &str, after: Option<u64>) -> Result<Answer, Error> {
        let after_query = after.map(|after| format!("&starting_after={after}"));
        let query = format!("stream=true{}", after_query.unwrap_or_default());
        let url = format!("{}/v1/chat/completions/{handle}?{query}", self.address);
        let response = self.http.get(url).send().await.map_err(cut)?;
        let status = response.status();
        if NOT_KEPT.contains(&status) {
            return Err(Error::Refused(status.as_u16()));
        }
        answer(response, after.map_or(0, |after| after.saturating_add(1))).await
    }

    async fn cancel_chat(&self, handle: &str) -> Result<(), Error> {
        let url = format!("{}/v1/chat/completions/{handle}/cancel", self.address);
        let request = self.http.post(url).timeout(http::CONTROL_TIMEOUT);
        let status = request.send().await.map_err(cut)?.status();
        if status.is_success() || ENDED.contains(&status) {
            return Ok(());
        }
        Err(Error::Protocol(format!("cancel gave status {status}")))
    }

    async fn models(&self) -> Result<Vec<String>, Error> {
        let url = format!("{}/v1/models", self.address);
        let request = self.http.get(url).timeout(http::CONTROL_TIMEOUT);
        let response = request.send().await.map_err(|error| http::failure(&error))?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().as_u16()));
        }
        Models::read(&http::control_body(&response).await?)
    }
}

impl Engine for Client {
    fn start(&self, job: Job) -> LocalBoxFuture<'_, Result<Answer, Error>> {
        async move {
            match &job.work {
                Work::Chat(chat) => self.start_chat(chat, job.priority).await,
                Work::Call(_) => Err(Error::Refused(StatusCode::NOT_FOUND.as_u16())),
            }
        }
        .boxed_local()
    }

    fn resume<'a>(
        &'a self,
        handle: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>> {
        self.resume_chat(handle, after).boxed_local()
    }

    fn cancel<'a>(&'a self, handle: &'a str) -> LocalBoxFuture<'a, Result<(), Error>> {
        self.cancel_chat(handle).boxed_local()
    }

    fn probe(&self) -> LocalBoxFuture<'_, Result<Vec<String>, Error>> {
        self.models().boxed_local()
    }
}

/// Reads up to the first event, which names the work at the engine; pieces
/// without a number of their own are counted from `next`.
async fn answer(response: ClientResponse, next: u64) -> Result<Answer, Error> {
    let status = response.status();
    if status != StatusCode::OK {
        return Err(Error::Cut(format!("status {status}")));
    }
    let mut chunks = stream::chunks(response, next);
    let first = match chunks.next().await {
        Some(event) => event?,
        None => return Err(Error::Cut("no event came".to_owned())),
    };
    let handle = first.handle.clone();
    let is_counted = matches!(first.chunk, Chunk::Data(number, _) if number == next);
    let rest = chunks.map(|event| event.map(|event| event.chunk));
    Ok(Answer {
        handle: handle.clone(),
        head: Head {
            status: status.as_u16(),
            content_type: Some("text/event-stream".to_owned()),
            replayed: false,
            handle: Some(handle).filter(|handle| is_counted && !handle.is_empty()),
        },
        chunks: futures_util::stream::iter([Ok(first.chunk)]).chain(rest).boxed_local(),
    })
}

/// The engine's own words on a request that it finds wrong.
async fn fault(response: &ClientResponse) -> Result<Answer, Error> {
    let status = response.status().as_u16();
    let body = http::control_body(response).await?;
    let chunks = [Ok(Chunk::Data(0, body.into())), Ok(Chunk::End(Default::default()))];
    Ok(Answer {
        handle: String::new(),
        head: Head {
            status,
            content_type: Some("application/json".to_owned()),
            replayed: false,
            handle: None,
        },
        chunks: futures_util::stream::iter(chunks).boxed_local(),
    })
}

fn cut(error: ntex::client::error::ClientError) -> Error {
    Error::Cut(error.to_string())
}
