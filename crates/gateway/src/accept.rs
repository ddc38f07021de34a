//! Authorises an incoming request and reads its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::HOST;
use ntex::http::error::PayloadError;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use policy::memory::Purpose;
use policy::quarantine;
use policy::quarantine::Suspect;
use route::Account;
use route::Metadata;
use route::Rule;
use route::Table;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::memory::Buffer;
use crate::memory::Held;
use crate::record;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::worker::Worker;

/// Most bytes of the body of a refused request that are still read, and dropped. Most clients send
/// shorter bodies, and get the refusal.
const REFUSED_BODY_MAX_BYTES: usize = 256 * 1024;

/// Time limit for reading the body of a refused request.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which the time limit of a body that is waited for is worked out again.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time limit of a request. Clocks hold no deadline that is arbitrarily far away.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// Authorises a request by its head, then reads its whole body.
///
/// # Errors
///
/// The [`Refusal`] that the client is sent: no configuration, route or client account, or a
/// body that is too long, too slow, for which there is no room, or that can't be read.
pub(crate) async fn read_request(
    worker: &Worker,
    table: &Table,
    head: &HttpRequest,
    headers: HeaderMap,
    metadata: Metadata,
    mut payload: Payload,
    start: Instant,
) -> Result<Request, Refusal> {
    let host = host(&headers);
    let (rule, account) = match authorise(table, &host, head.path(), &metadata) {
        Ok(authorised) => authorised,
        Err(refusal) => {
            discard(&mut payload).await;
            return Err(refusal);
        }
    };
    let time_limit =
        metadata.timeout.map_or(rule.timeout, |time_limit| time_limit.min(rule.timeout));
    let deadline = start + time_limit.min(MAX_TIME_LIMIT);
    let length = length(&headers);
    let max_bytes = table.limits().body_bytes;
    let (body, held) = match read_body(worker, &mut payload, length, max_bytes, deadline).await {
        Ok(read) => read,
        Err(refusal) => {
            if matches!(refusal, Refusal::TooLong | Refusal::Memory) {
                discard(&mut payload).await;
            }
            return Err(refusal);
        }
    };
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
        _held: held,
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

/// Reads and drops the body of a refused request, within bounds. The server closes a connection with
/// an unread body, and the client might then get a TCP reset instead of the response.
async fn discard(payload: &mut Payload) {
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            bytes += chunk.len();
            if bytes > REFUSED_BODY_MAX_BYTES {
                return false;
            }
        }
        true
    };
    if !matches!(timeout(REFUSED_BODY_TIMEOUT, read).await, Ok(true)) {
        log::info!("the body of a refused request was not read completely");
    }
}

/// Reads a request body of at most `max_bytes`, of which the client has announced `length`.
///
/// Memory for the announced length is reserved at once, so that a body for which there is no room is
/// refused before it is read. Without a length, the reservation grows with the body. A body that isn't
/// there at the deadline of its request is refused, since that can't be served any more.
async fn read_body(
    worker: &Worker,
    payload: &mut Payload,
    length: Option<usize>,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, Held), Refusal> {
    if length.is_some_and(|length| length > max_bytes) {
        return Err(Refusal::TooLong);
    }
    let mut buffer = Buffer::new(worker.memory.hold(Purpose::Request), max_bytes);
    if !buffer.reserve(length.unwrap_or_default()) {
        return Err(no_room());
    }
    let start = Instant::now();
    loop {
        let chunk = tokio::select! {
            biased;
            () = buffer.held().evicted() => {
                log::info!(received = buffer.len(), length:?; "a body gives way to others");
                return Err(no_room());
            }
            chunk = next_chunk(worker, payload, start, buffer.len(), deadline) => chunk,
        };
        let chunk = chunk.inspect_err(|_| {
            log::info!(received = buffer.len(), length:?; "a body arrives too slowly");
        })?;
        let Some(chunk) = chunk else { return Ok(buffer.finish()) };
        let chunk = chunk.map_err(|error| {
            log::info!("reading a request body failed: {error}");
            Refusal::BadBody
        })?;
        if buffer.len() + chunk.len() > max_bytes {
            return Err(Refusal::TooLong);
        }
        if !buffer.extend(&chunk) {
            return Err(no_room());
        }
    }
}

/// Returns the next bytes of a body; `None` after its end. `start` is when its first bytes were waited
/// for, and `received` the number of bytes since.
///
/// A crowd of clients may come while it waits, and the body is given up sooner then, so the time limit is
/// worked out again at intervals.
///
/// # Errors
///
/// [`Refusal::Slow`] if no bytes come within the time limit or before the deadline.
async fn next_chunk(
    worker: &Worker,
    payload: &mut Payload,
    start: Instant,
    received: usize,
    deadline: Instant,
) -> Result<Option<Result<ntex::util::Bytes, PayloadError>>, Refusal> {
    let asked = Instant::now();
    let arrival = Duration::from_secs((received / worker.context.limits.body_rate as usize) as u64);
    loop {
        let stall = worker.patience(worker.context.limits.body_stall);
        let due = (start + stall + arrival).min(asked + stall).min(deadline);
        let check = due.min(Instant::now() + STALL_CHECK_INTERVAL);
        match timeout_at(check, payload.next()).await {
            Ok(chunk) => return Ok(chunk),
            Err(_) if Instant::now() < due => {}
            Err(_) => return Err(Refusal::Slow),
        }
    }
}

/// Counts a request body for which there is no room.
fn no_room() -> Refusal {
    record::full("request");
    Refusal::Memory
}

/// Returns the length that a client has announced for a body; the largest if it is not valid.
fn length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(CONTENT_LENGTH)?;
    Some(value.to_str().ok().and_then(|text| text.parse().ok()).unwrap_or(usize::MAX))
}

/// Returns the host of the `Host` header in lower case, without its port.
fn host(headers: &HeaderMap) -> String {
    let value = headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let host = value.rsplit_once(':').map_or(value, |(host, _)| host);
    host.to_ascii_lowercase()
}
