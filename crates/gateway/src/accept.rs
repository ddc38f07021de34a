//! Authorises an incoming request and reads its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::HOST;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use policy::quarantine;
use policy::quarantine::Suspect;
use route::Account;
use route::Metadata;
use route::Rule;
use route::Table;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::refusal::Refusal;
use crate::request::Request;

/// Longest body of a refused request that is still read, in bytes.
const REFUSED_BODY_MAX_BYTES: usize = 64 * 1024;

/// Time limit for reading the body of a refused request.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time limit of a request. Clocks hold no deadline that is arbitrarily far away.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// Authorises a request by its head, then reads its whole body.
///
/// # Errors
///
/// The [`Refusal`] that the client is sent: no configuration, route or client account, or a
/// body that is too long or can't be read.
pub(crate) async fn read_request(
    table: &Table,
    head: &HttpRequest,
    headers: HeaderMap,
    metadata: Metadata,
    payload: Payload,
    start: Instant,
) -> Result<Request, Refusal> {
    let host = host(&headers);
    let (rule, account) = match authorise(table, &host, head.path(), &metadata) {
        Ok(authorised) => authorised,
        Err(refusal) => {
            discard(payload).await;
            return Err(refusal);
        }
    };
    let time_limit =
        metadata.timeout.map_or(rule.timeout, |time_limit| time_limit.min(rule.timeout));
    let deadline = start + time_limit.min(MAX_TIME_LIMIT);
    let body = read_body(payload, table.limits().body_bytes).await?;
    let uri = head.uri();
    let target = uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let service = rule.service(metadata.id.as_deref().unwrap_or_default()).clone();
    let method = head.method().clone();
    let version = table.version();
    let caller = account.as_ref().map_or("", |account| &account.name);
    let content = quarantine::content_id(&host, &target, caller, &body);
    let suspect = Suspect::of_request(content, metadata.parts.iter().map(|part| part.id));
    Ok(Request {
        method,
        target,
        headers,
        body,
        content,
        suspect,
        metadata,
        rule,
        service,
        account,
        version,
        start,
        deadline,
    })
}

/// Returns the routing rule that matches a request and the client account that sent it.
///
/// The account is `None` if the rule is public or no accounts are configured, and the
/// request has no known key.
fn authorise(
    table: &Table,
    host: &str,
    path: &str,
    metadata: &Metadata,
) -> Result<(Arc<Rule>, Option<Arc<Account>>), Refusal> {
    if table.version() == 0 {
        return Err(Refusal::NoTable);
    }
    let rule = table.rule(host, path).ok_or(Refusal::NoRoute)?.clone();
    let account = match (&metadata.key, rule.is_public || !table.has_accounts()) {
        (Some(key), _) if table.account(key).is_some() => table.account(key).cloned(),
        (_, true) => None,
        _ => return Err(Refusal::NoAccount),
    };
    Ok((rule, account))
}

/// Reads and drops the body of a refused request. The server closes a connection with an
/// unread body, and the client might then get a TCP reset instead of the response.
async fn discard(payload: Payload) {
    let read = timeout(REFUSED_BODY_TIMEOUT, read_body(payload, REFUSED_BODY_MAX_BYTES)).await;
    if !matches!(read, Ok(Ok(_))) {
        log::info!("the body of a refused request was not read completely");
    }
}

/// Reads a request body of at most `max_bytes`.
async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            log::info!("reading a request body failed: {error}");
            Refusal::BadBody
        })?;
        if body.len() + chunk.len() > max_bytes {
            return Err(Refusal::TooLong);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the host of the `Host` header in lower case, without its port.
fn host(headers: &HeaderMap) -> String {
    let value = headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let host = value.rsplit_once(':').map_or(value, |(host, _)| host);
    host.to_ascii_lowercase()
}
