//! The problem documents that an entry responds with; `docs/ERRORS.md` lists them.

use std::time::Duration;

use wire::Problem;
use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

/// Default for the `retry_after` of problems and refusals.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Characters of an engine's error text that the caller is sent.
const ENGINE_TEXT_MAX_CHARS: usize = 500;

/// Returns the problem of a request without a bearer token that names a client account.
pub fn token() -> Problem {
    Problem::new(
        "token",
        "The bearer token names no client account",
        401,
        "Send `Authorization: Bearer <token>` with a token of a confirmed client account.",
    )
}

/// Returns the problem of a service that the client account may not use.
pub fn account(service: &str) -> Problem {
    Problem::new(
        "account",
        "The service does not serve this client account",
        403,
        format!("Ask an operator to confirm an intent that lets the account use `{service}`."),
    )
}

/// Returns the problem of a service that doesn't exist.
pub fn service(name: &str) -> Problem {
    Problem::new(
        "service",
        "There is no such service",
        404,
        format!("No confirmed service is named `{name}`: see GET /v1/models for the names."),
    )
}

/// Returns the problem of a path that doesn't exist, or that an engine might read as
/// another one.
pub fn path() -> Problem {
    Problem::new(
        "path",
        "There is nothing at this path",
        404,
        "Use POST /v1/chat/completions, GET /v1/models or /services/{service}/…, without dot \
         segments or encoded slashes.",
    )
}

/// Returns the problem of a request that the engine rejected as invalid and did not run.
/// `status` and `text` are the engine's response.
pub fn rejected(status: u16, text: &str) -> Problem {
    let text: String = text.chars().take(ENGINE_TEXT_MAX_CHARS).collect();
    Problem::new(
        "rejected",
        "The engine rejected the request",
        400,
        format!("Correct the request; the engine answered with status {status}: {text}"),
    )
}

/// Returns the problem of a body with more than `limit` bytes.
pub fn body(limit: usize) -> Problem {
    Problem::new(
        "body",
        "The body is too large",
        413,
        format!("Send at most {limit} bytes, or ask an operator to raise the limit."),
    )
}

/// Returns the problem of a body that arrived too slowly.
pub fn slow() -> Problem {
    Problem::new(
        "slow",
        "The request came too slowly",
        408,
        "Send the whole request without pauses; nothing of it was kept.",
    )
}

/// Returns the problem of a body that is incomplete or not UTF-8.
pub fn broken(detail: &str) -> Problem {
    Problem::new(
        "broken",
        "The body did not arrive whole",
        400,
        format!("Send the request again: {detail}."),
    )
}

/// Returns the problem of a body that is not JSON, or not a chat completion request.
pub fn json(error: &serde_json::Error) -> Problem {
    Problem::new(
        "json",
        "The body can't be read as a chat completion request",
        400,
        format!("Mend the JSON: {error}."),
    )
}

/// Returns the problem of a service that takes another kind of request; `remedy` names
/// its path.
pub fn kind(service: &str, remedy: &str) -> Problem {
    Problem::new(
        "kind",
        "The service does not take this kind of request",
        400,
        format!("Use {remedy} for `{service}`."),
    )
}

/// Returns the problem of a call that must not run twice and has no valid idempotency
/// key.
pub fn key() -> Problem {
    Problem::new(
        "key",
        "The call needs an Idempotency-Key",
        400,
        "Send `Idempotency-Key` with 1 to 255 visible ASCII characters, new for each new \
         call and the same when a call is repeated.",
    )
}

/// Returns the problem of an entry that has no configuration yet.
pub fn configuration() -> Problem {
    Problem::new(
        "configuration",
        "No configuration is in force here yet",
        503,
        "Ask again, through another entry if you can; operators: confirm a plan.",
    )
    .after(DEFAULT_RETRY_AFTER)
}

/// Returns the problem of an entry that is stopping.
pub fn stopping() -> Problem {
    Problem::new(
        "stopping",
        "This entry is being stopped",
        503,
        "Ask again over a new connection; another entry takes it.",
    )
    .after(DEFAULT_RETRY_AFTER)
}

/// Returns the problem of a service whose model or pool no live engine holds.
pub fn holders(needs: &str) -> Problem {
    Problem::new(
        "holders",
        "No live engine holds what the service needs",
        503,
        format!("Ask again; operators: check that engines are assigned `{needs}` and hold it."),
    )
    .after(DEFAULT_RETRY_AFTER)
}

/// Returns the problem of an answer that can't be resumed, whether it never existed or
/// belongs to another client account.
pub fn answer() -> Problem {
    Problem::new(
        "answer",
        "There is no such answer to go on with",
        404,
        "Use the path of the answer's Content-Location with the token of the account that asked, \
         soon after the answer broke off; else ask again.",
    )
    .unknown()
}

/// Returns the problem of a `Last-Event-ID` that is not a number.
pub fn position() -> Problem {
    Problem::new(
        "position",
        "The Last-Event-ID is no number",
        400,
        "Send the id of the last event that came, or no Last-Event-ID for the whole answer.",
    )
}

/// Returns the problem of an answer that was cut off after a part of it was sent.
pub fn cut(detail: &str) -> Problem {
    Problem::new(
        "cut",
        "The answer broke off",
        502,
        format!("What came before is not the whole answer; ask again: {detail}."),
    )
    .unknown()
    .after(DEFAULT_RETRY_AFTER)
}

/// Returns the problem of a request that agents refused. It has a `retry_after` unless
/// repeating the request is useless.
pub fn refused(refusal: &Refusal, detail: &str) -> Problem {
    let template = template(refusal.reason);
    let detail = match detail.is_empty() {
        true => template.remedy.to_owned(),
        false => format!("{} Cause: {detail}.", template.remedy),
    };
    let slug = refusal.reason.to_string();
    let mut problem = Problem::new(&slug, template.title, template.status, detail);
    if refusal.reason != Reason::Conflict {
        problem = problem.after(refusal.retry_after);
    }
    match refusal.ran {
        Ran::No => problem,
        Ran::Unknown => problem.unknown(),
    }
}

/// Status and texts of the problem for a reason of refusal.
struct Template {
    status: u16,
    title: &'static str,
    remedy: &'static str,
}

fn template(reason: Reason) -> Template {
    let (status, title, remedy) = match reason {
        Reason::Bound => (503, "All engines are at their load bound", "Ask again later."),
        Reason::Queue => (503, "The queues of the engines are full", "Ask again later."),
        Reason::Deadline => (503, "The first token can't come in time", "Ask again later."),
        Reason::Share => (
            429,
            "The client account has used up its share",
            "Send less at once, or ask an operator for a larger share.",
        ),
        Reason::Leaving => (503, "The engine is leaving", "Ask again."),
        Reason::Missing => (503, "The engine does not hold what is needed", "Ask again."),
        Reason::Starting => (503, "The engine is not ready yet", "Ask again."),
        Reason::Engine => (502, "The engine can't be reached or broke off", "Ask again."),
        Reason::Store => (
            503,
            "It can't be checked whether the call already ran",
            "Repeat the call with the same Idempotency-Key later.",
        ),
        Reason::Conflict => {
            (422, "The Idempotency-Key was used with another body", "Use a new key for a new call.")
        }
        Reason::Started => (
            409,
            "A call with this Idempotency-Key was started before",
            "Its outcome isn't known: look the result up before you use a new key.",
        ),
        Reason::Foreign => {
            (502, "Entry and agent could not use each other's messages", "Ask again.")
        }
        Reason::Moved => (503, "The chat's context lies at another engine", "Ask again."),
        Reason::Retries => (503, "The retry budget is used up", "Ask again later."),
    };
    Template { status, title, remedy }
}
