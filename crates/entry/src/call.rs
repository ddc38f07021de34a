//! `/services/{service}/…`: calls of plain services.

use std::rc::Rc;

use config::service::Kind;
use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::http::header::CONTENT_TYPE;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use ntex::web::types::State;
use wire::Problem;
use wire::Work;
use wire::work;

use crate::attempt::Buffered;
use crate::attempt::Until;
use crate::body;
use crate::dispatch::dispatch;
use crate::meter::Meter;
use crate::problems;
use crate::request::Request;
use crate::worker::Worker;

/// Prefix of the paths of plain services.
const PATH_PREFIX: &str = "/services/";

/// Request header that identifies a call which must not run twice.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Response header of a stored answer that is replayed for the same key.
const IDEMPOTENCY_REPLAYED: &str = "idempotency-replayed";

/// Longest idempotency key, in characters.
const KEY_MAX_LENGTH: usize = 255;

/// Serves a call of a plain service.
pub(crate) async fn serve(
    worker: State<Rc<Worker>>,
    http_request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let answer = answer(&worker, &http_request, &mut payload).await;
    body::finish(answer, payload).await
}

async fn answer(
    worker: &Rc<Worker>,
    http_request: &HttpRequest,
    payload: &mut Payload,
) -> Result<HttpResponse, Problem> {
    let account = worker.admit(http_request.headers())?;
    let (name, path) = split_path(http_request)
        .filter(|(_, path)| is_unambiguous(path))
        .ok_or_else(problems::path)?;
    let document = worker.board().document();
    let service = worker.service(&document, name, &account)?;
    let Kind::Plain(plain) = &service.kind else {
        return Err(problems::kind(name, "POST /v1/chat/completions"));
    };
    let method = http_request.method().as_str();
    let key = match plain.is_idempotent(method, &path) {
        true => None,
        false => Some(idempotency_key(http_request.headers())?),
    };
    let body = body::read(&worker.context, http_request.headers(), payload).await?;
    let work = Work::Call(work::Call {
        pool: plain.pool.clone(),
        method: method.to_owned(),
        path,
        content_type: header_text(http_request.headers(), CONTENT_TYPE.as_str()),
        body,
        key,
    });
    let request = Request::new(worker, &document, service, account, work);
    let mut meter = Meter::new(worker.board(), &document, &request);
    let buffered = dispatch(worker, &request, Until::End, &mut meter).await?;
    meter.record_served();
    Ok(respond(buffered))
}

/// Splits the request's path into the service's name and the path and query sent to its
/// engine.
fn split_path(http_request: &HttpRequest) -> Option<(&str, String)> {
    let below = http_request.uri().path().strip_prefix(PATH_PREFIX)?;
    let (name, tail) = below.split_once('/').unwrap_or((below, ""));
    let path = match http_request.uri().query() {
        Some(query) => format!("/{tail}?{query}"),
        None => format!("/{tail}"),
    };
    Some((name, path))
}

/// Returns whether a path is the same to an engine that normalises and decodes it.
///
/// The configuration matches paths by their prefix, so a path with dot segments, encoded
/// separators or double encoding could get around its rules and is refused.
fn is_unambiguous(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default().to_ascii_lowercase();
    let dots = path.replace("%2e", ".");
    let has_dot_segments = dots.split('/').any(|segment| segment == "." || segment == "..");
    let has_hidden_separators = ["%2f", "%5c", "\\", "%25"].iter().any(|part| path.contains(part));
    !has_dot_segments && !has_hidden_separators
}

fn idempotency_key(headers: &HeaderMap) -> Result<String, Problem> {
    let key = header_text(headers, IDEMPOTENCY_KEY).ok_or_else(problems::key)?;
    let has_valid_length = (1..=KEY_MAX_LENGTH).contains(&key.len());
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if has_valid_length && is_visible { Ok(key) } else { Err(problems::key()) }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn respond(buffered: Buffered) -> HttpResponse {
    let status = StatusCode::from_u16(buffered.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if let Some(kind) = buffered.head.content_type {
        response.content_type(kind);
    }
    if buffered.head.replayed {
        response.set_header(IDEMPOTENCY_REPLAYED, "true");
    }
    let chunks: Vec<bytes::Bytes> = buffered.chunks.into();
    response.body(chunks.concat())
}
