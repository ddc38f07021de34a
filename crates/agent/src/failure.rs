//! Refusals for failed work.

use std::time::Duration;

use backend::engine::Error;
use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

/// Time after which refused work may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The status by which an engine says that it doesn't have the model.
const NOT_FOUND: u16 = 404;

/// Returns a refusal of work that never ran.
pub(crate) fn not_run(reason: Reason) -> Refusal {
    Refusal { reason, ran: Ran::No, retry_after: RETRY_AFTER, hint: None }
}

/// Returns a refusal of work that may have run.
pub(crate) fn unknown(reason: Reason) -> Refusal {
    Refusal { ran: Ran::Unknown, ..not_run(reason) }
}

/// Returns the refusal for an engine error. It says that the work did not run only
/// where the engine's answer or the connection proves it.
pub(crate) fn refusal(error: &Error) -> Refusal {
    match error {
        Error::Refused(NOT_FOUND) => not_run(Reason::Missing),
        Error::Refused(_) | Error::Down(_) => not_run(Reason::Engine),
        Error::Cut(_) | Error::Protocol(_) => unknown(Reason::Engine),
    }
}
