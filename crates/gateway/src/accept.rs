//! Taking in one request.

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::HOST;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use route::Ask;
use route::Table;
use tokio::time::Instant;

use crate::refusal::Refusal;
use crate::request::Request;

/// Finds what a request is for and reads it whole.
pub(crate) async fn whole(
    table: &Table,
    head: &HttpRequest,
    headers: HeaderMap,
    ask: Ask,
    payload: Payload,
    start: Instant,
) -> Result<Request, Refusal> {
    if table.version() == 0 {
        return Err(Refusal::NoTable);
    }
    let host = host(&headers);
    let rule = table.rule(&host, head.path()).ok_or(Refusal::NoRoute)?.clone();
    let account = match (&ask.key, rule.is_public || !table.has_accounts()) {
        (Some(key), _) if table.account(key).is_some() => table.account(key).cloned(),
        (_, true) => None,
        _ => return Err(Refusal::NoAccount),
    };
    let patience = ask.patience.map_or(rule.timeout, |patience| patience.min(rule.timeout));
    let deadline = start + patience;
    let body = read(payload, table.limits().body_bytes).await?;
    let uri = head.uri();
    let target = uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let service = rule.service(ask.id.as_deref().unwrap_or_default()).clone();
    let method = head.method().clone();
    let version = table.version();
    Ok(Request {
        method,
        target,
        headers,
        body,
        ask,
        rule,
        service,
        account,
        version,
        start,
        deadline,
    })
}

async fn read(mut payload: Payload, most: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            log::info!("a body can't be read: {error}");
            Refusal::BadBody
        })?;
        if body.len() + chunk.len() > most {
            return Err(Refusal::TooLong);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The host that a request names, without its port.
fn host(headers: &HeaderMap) -> String {
    let value = headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let host = value.rsplit_once(':').map_or(value, |(host, _)| host);
    host.to_ascii_lowercase()
}
