//! Taking in one request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::HOST;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use route::Account;
use route::Ask;
use route::Rule;
use route::Table;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::refusal::Refusal;
use crate::request::Request;

/// The longest body that is read of a request that is refused.
const REFUSED_BYTES: usize = 64 * 1024;

/// How long the body of a request that is refused may take.
const REFUSED_TIME: Duration = Duration::from_millis(500);

/// Finds what a request is for and reads it whole.
pub(crate) async fn whole(
    table: &Table,
    head: &HttpRequest,
    headers: HeaderMap,
    ask: Ask,
    payload: Payload,
    start: Instant,
) -> Result<Request, Refusal> {
    let (rule, account) = match allowed(table, &host(&headers), head.path(), &ask) {
        Ok(allowed) => allowed,
        Err(refusal) => {
            discard(payload).await;
            return Err(refusal);
        }
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

/// The rule that a request goes by, and the client account that sends it.
fn allowed(
    table: &Table,
    host: &str,
    path: &str,
    ask: &Ask,
) -> Result<(Arc<Rule>, Option<Arc<Account>>), Refusal> {
    if table.version() == 0 {
        return Err(Refusal::NoTable);
    }
    let rule = table.rule(host, path).ok_or(Refusal::NoRoute)?.clone();
    let account = match (&ask.key, rule.is_public || !table.has_accounts()) {
        (Some(key), _) if table.account(key).is_some() => table.account(key).cloned(),
        (_, true) => None,
        _ => return Err(Refusal::NoAccount),
    };
    Ok((rule, account))
}

/// Reads what is left of a request that is refused. The server closes a connection
/// whose body was not read, and the client might get a reset in place of the answer.
async fn discard(payload: Payload) {
    let read = timeout(REFUSED_TIME, read(payload, REFUSED_BYTES)).await;
    if !matches!(read, Ok(Ok(_))) {
        log::info!("the body of a refused request was not read to its end");
    }
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
