//! Dispatches one request, with retries at other engines.

use std::rc::Rc;

use policy::retry::History;
use policy::retry::Verdict;
use wire::Problem;
use wire::id;

use crate::attempt;
use crate::attempt::Buffered;
use crate::attempt::Until;
use crate::choice::Search;
use crate::choice::choose;
use crate::meter::Meter;
use crate::meter::Outcome;
use crate::problems;
use crate::request::Request;
use crate::worker::Worker;

/// Sends attempts until an engine answers or no further attempt is allowed.
///
/// # Errors
///
/// The problem is final; it says whether the request may have run.
pub(crate) async fn dispatch(
    worker: &Rc<Worker>,
    request: &Request,
    until: Until,
    meter: &mut Meter,
) -> Result<Buffered, Problem> {
    let limit = worker.board().document().limit.clone();
    worker.tables.budgets.lock().of(request.rank).earn(limit.retry_percent);
    let mut history = History::new(request.work.is_idempotent());
    let mut search = Search::default();
    let mut detail = String::new();
    while let Some(target) = choose(worker, request, &search) {
        let number: id::Attempt = history.made();
        meter.record_attempt(number > 0);
        let failure = match attempt::run(worker, request, number, &target, until, meter).await {
            Ok(buffered) => return Ok(buffered),
            Err(failure) => failure,
        };
        search.record_failure(target.engine, &failure.refusal);
        detail = failure.detail;
        let time_left = request.time_left(worker.board().now());
        let mut budgets = worker.tables.budgets.lock();
        let budget = budgets.of(request.rank);
        if history.failed(failure.refusal, limit.attempts, time_left, budget) == Verdict::Stop {
            break;
        }
    }
    let Some(refusal) = history.refusal() else {
        meter.record_failure(Outcome::Refused, "no engine");
        return Err(problems::holders(request.work.needs()));
    };
    meter.record_failure(Outcome::Refused, format!("{}, ran: {}", refusal.reason, refusal.ran));
    Err(problems::refused(refusal, &detail))
}
