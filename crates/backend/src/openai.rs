//! Model engines that speak the OpenAI chat protocol with vLLM's extensions.
//!
//! Chats are always streamed, so that an answer that breaks off can be resumed
//! after its last event. Resume and cancel follow OpenAI's Responses API.

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

/// Statuses by which an engine says that it did not accept the work.
const REFUSAL_STATUSES: &[StatusCode] = &[
    StatusCode::UNAUTHORIZED,
    StatusCode::FORBIDDEN,
    StatusCode::NOT_FOUND,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses for a faulty request; the engine's answer is forwarded to the caller.
const REQUEST_FAULT_STATUSES: &[StatusCode] =
    &[StatusCode::BAD_REQUEST, StatusCode::PAYLOAD_TOO_LARGE, StatusCode::UNPROCESSABLE_ENTITY];

/// Statuses by which an engine says that it doesn't keep this answer, or no answers.
const NOT_RESUMABLE_STATUSES: &[StatusCode] =
    &[StatusCode::NOT_FOUND, StatusCode::METHOD_NOT_ALLOWED, StatusCode::GONE];

/// Statuses by which an engine says that the work to cancel has already ended.
const WORK_ENDED_STATUSES: &[StatusCode] =
    &[StatusCode::NOT_FOUND, StatusCode::CONFLICT, StatusCode::GONE];

/// A client of one model engine, local to a worker.
pub struct Client {
    address: String,
    http: ntex::client::Client,
}

impl Client {
    /// Returns a client of the engine at an address such as `http://10.0.0.7:8000`.
    ///
    /// # Errors
    ///
    /// [`Error::Down`] if no HTTP client can be built.
    pub async fn new(address: &str) -> Result<Client, Error> {
        let http = http::build_client().await?;
        Ok(Client { address: http::base_url(address), http })
    }

    async fn start_chat(&self, chat: &Chat, priority: i32) -> Result<Answer, Error> {
        let body = request::build_body(chat, priority)?;
        let url = format!("{}/v1/chat/completions", self.address);
        let request = self.http.post(url).content_type("application/json");
        let response =
            request.send_body(body).await.map_err(|error| http::classify_error(&error))?;
        let status = response.status();
        if REFUSAL_STATUSES.contains(&status) {
            return Err(Error::Refused(status.as_u16()));
        }
        if REQUEST_FAULT_STATUSES.contains(&status) {
            return fault_answer(&response).await;
        }
        read_answer(response, 0).await
    }

    async fn resume_chat(&self, handle: &str, after: Option<u64>) -> Result<Answer, Error> {
        let after_query = after.map(|after| format!("&starting_after={after}"));
        let query = format!("stream=true{}", after_query.unwrap_or_default());
        let url = format!("{}/v1/chat/completions/{handle}?{query}", self.address);
        let response = self.http.get(url).send().await.map_err(to_cut)?;
        let status = response.status();
        if NOT_RESUMABLE_STATUSES.contains(&status) {
            return Err(Error::Refused(status.as_u16()));
        }
        read_answer(response, after.map_or(0, |after| after.saturating_add(1))).await
    }

    async fn cancel_chat(&self, handle: &str) -> Result<(), Error> {
        let url = format!("{}/v1/chat/completions/{handle}/cancel", self.address);
        let request = self.http.post(url).timeout(http::CONTROL_TIMEOUT);
        let status = request.send().await.map_err(to_cut)?.status();
        if status.is_success() || WORK_ENDED_STATUSES.contains(&status) {
            return Ok(());
        }
        Err(Error::Protocol(format!("cancel returned status {status}")))
    }

    async fn models(&self) -> Result<Vec<String>, Error> {
        let url = format!("{}/v1/models", self.address);
        let request = self.http.get(url).timeout(http::CONTROL_TIMEOUT);
        let response = request.send().await.map_err(|error| http::classify_error(&error))?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().as_u16()));
        }
        Models::read(&http::read_control_body(&response).await?)
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

/// Reads an answer up to the first event, which carries the engine's identifier
/// of the work. Chunks without a number of their own are numbered from `next`.
async fn read_answer(response: ClientResponse, next: u64) -> Result<Answer, Error> {
    let status = response.status();
    if status != StatusCode::OK {
        return Err(Error::Cut(format!("status {status}")));
    }
    let mut chunks = stream::chunks(response, next);
    let first = match chunks.next().await {
        Some(event) => event?,
        None => return Err(Error::Cut("the stream closed before the first event".to_owned())),
    };
    let handle = first.handle.clone();
    let is_numbered = matches!(first.chunk, Chunk::Data(number, _) if number == next);
    let rest = chunks.map(|event| event.map(|event| event.chunk));
    Ok(Answer {
        handle: handle.clone(),
        head: Head {
            status: status.as_u16(),
            content_type: Some("text/event-stream".to_owned()),
            replayed: false,
            handle: Some(handle).filter(|handle| is_numbered && !handle.is_empty()),
        },
        chunks: futures_util::stream::iter([Ok(first.chunk)]).chain(rest).boxed_local(),
    })
}

/// Returns the engine's own answer to a faulty request.
async fn fault_answer(response: &ClientResponse) -> Result<Answer, Error> {
    let status = response.status().as_u16();
    let body = http::read_control_body(response).await?;
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

fn to_cut(error: ntex::client::error::ClientError) -> Error {
    Error::Cut(error.to_string())
}
