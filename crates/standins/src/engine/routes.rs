//! The engine's HTTP routes.

use std::sync::Arc;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Path;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use serde::Serialize;

use crate::engine::core::Core;
use crate::engine::generation::Generation;
use crate::engine::order;
use crate::engine::request::Request;
use crate::engine::stream;
use crate::engine::stream::Reader;
use crate::engine::transfer;
use crate::json;

/// The body of an error response, as OpenAI's protocol has it.
#[derive(Serialize)]
struct Failure {
    error: Reason,
}

/// The description of an error.
#[derive(Serialize)]
struct Reason {
    message: String,
    r#type: &'static str,
    code: u16,
}

/// The answer to `GET /v1/models`.
#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

/// A model in the list of models.
#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// The query parameters of a call that reads a completion again.
#[derive(Deserialize)]
struct Resume {
    #[serde(default)]
    stream: bool,
    /// Number of the last event that the caller has.
    starting_after: Option<usize>,
}

/// Adds the routes of the engine and of its controls under `/standin`.
pub(crate) fn configure(config: &mut ServiceConfig, core: &Arc<Core>) {
    config
        .state(Arc::clone(core))
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/chat/completions/{id}", web::get().to(resume))
        .route("/v1/chat/completions/{id}/cancel", web::post().to(cancel))
        .route("/v1/models", web::get().to(models))
        .route("/orders", web::post().to(order::execute))
        .route("/cache/events", web::get().to(cache_events))
        .route("/kv/{hash}", web::get().to(transfer::export))
        .route("/kv/{hash}", web::put().to(transfer::import))
        .route("/health", web::get().to(health))
        .route("/metrics", web::get().to(metrics))
        .route("/standin/faults", web::post().to(set_faults))
        .route("/standin/counts", web::get().to(counts));
}

async fn complete(core: State<Arc<Core>>, http: HttpRequest, body: Bytes) -> HttpResponse {
    core.wait_while_frozen().await;
    let request: Request = match json::parse(&body) {
        Ok(request) => request,
        Err(response) => return response,
    };
    if core.faults.borrow().refuse {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the engine takes no requests now");
    }
    if !core.models.lock().is_loaded(&request.model) {
        let message = format!("the model `{}` isn't loaded", request.model);
        return error_response(StatusCode::NOT_FOUND, &message);
    }
    let generation = core.accept(&request);
    if core.options.cancel_on_disconnect {
        ntex::rt::spawn(cancel_on_disconnect(http, Arc::clone(&generation)));
    }
    respond(&core, generation, request.stream, 0).await
}

async fn resume(core: State<Arc<Core>>, id: Path<String>, resume: Query<Resume>) -> HttpResponse {
    core.wait_while_frozen().await;
    let next = resume.starting_after.map_or(0, |number| number + 1);
    match core.generation(&id) {
        Some(generation) => respond(&core, generation, resume.stream, next).await,
        None => unknown_completion(&id),
    }
}

async fn cancel(core: State<Arc<Core>>, id: Path<String>) -> HttpResponse {
    core.wait_while_frozen().await;
    let Some(generation) = core.generation(&id) else { return unknown_completion(&id) };
    generation.cancellation.cancel();
    let progress = generation.wait_for_end().await;
    json::ok(&stream::completion(&generation, progress))
}

async fn models(core: State<Arc<Core>>) -> HttpResponse {
    core.wait_while_frozen().await;
    let model = |id: &String| Model { id: id.clone(), object: "model", owned_by: "standin" };
    let data = core.models.lock().loaded().map(model).collect();
    json::ok(&Models { object: "list", data })
}

async fn cache_events(core: State<Arc<Core>>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/event-stream").streaming(core.events.subscribe())
}

async fn health(core: State<Arc<Core>>) -> HttpResponse {
    core.wait_while_frozen().await;
    HttpResponse::Ok().finish()
}

async fn metrics(core: State<Arc<Core>>) -> HttpResponse {
    core.wait_while_frozen().await;
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(core.load().encode())
}

async fn set_faults(core: State<Arc<Core>>, body: Bytes) -> HttpResponse {
    match json::parse(&body) {
        Ok(faults) => {
            core.faults.send_replace(faults);
            HttpResponse::Ok().finish()
        }
        Err(response) => response,
    }
}

async fn counts(core: State<Arc<Core>>) -> HttpResponse {
    json::ok(&core.counts())
}

/// Answers with a generation: at once as a stream that begins with the event
/// `next`, or whole when it has ended.
async fn respond(
    core: &Core,
    generation: Arc<Generation>,
    stream: bool,
    next: usize,
) -> HttpResponse {
    if stream {
        let reader = Reader::new(core, generation, next);
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(reader.into_events());
    }
    let progress = generation.wait_for_end().await;
    json::ok(&stream::completion(&generation, progress))
}

/// Cancels a generation when its caller disconnects. This watches the connection
/// itself, because the server doesn't always drop a response body that is waiting
/// when its connection closes.
async fn cancel_on_disconnect(http: HttpRequest, generation: Arc<Generation>) {
    let Some(io) = http.io().cloned() else { return };
    drop(http);
    tokio::select! {
        () = io.on_disconnect() => generation.cancellation.cancel(),
        _ = generation.wait_for_end() => {}
    }
}

/// Returns the response to a call for a completion that doesn't exist.
fn unknown_completion(id: &str) -> HttpResponse {
    error_response(StatusCode::NOT_FOUND, &format!("there is no completion `{id}`"))
}

/// Returns an error response as OpenAI's protocol has it.
fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    let kind = if status.is_server_error() { "server_error" } else { "invalid_request_error" };
    let error = Reason { message: message.into(), r#type: kind, code: status.as_u16() };
    HttpResponse::build(status).json(&Failure { error })
}
