//! The tries of one request.

use std::rc::Rc;

use policy::retry::History;
use policy::retry::Verdict;
use wire::Problem;
use wire::id;

use crate::attempt;
use crate::attempt::Opened;
use crate::attempt::Until;
use crate::choice::Search;
use crate::choice::choose;
use crate::meter::Meter;
use crate::meter::Outcome;
use crate::order::Order;
use crate::problems;
use crate::worker::Worker;

/// Tries engines until one answers or no other try is allowed.
///
/// # Errors
///
/// The problem is final and tells whether the request may have run.
pub(crate) async fn dispatch(
    worker: &Rc<Worker>,
    order: &Order,
    until: Until,
    meter: &mut Meter,
) -> Result<Opened, Problem> {
    let limit = worker.board().document().limit.clone();
    worker.tables.budgets.lock().of(order.rank).earn(limit.retry_percent);
    let mut history = History::new(order.work.is_idempotent());
    let mut search = Search::default();
    let mut detail = String::new();
    while let Some(target) = choose(worker, order, &search) {
        let number: id::Attempt = history.failed_attempts();
        meter.attempt(number > 0);
        let failure = match attempt::run(worker, order, number, &target, until, meter).await {
            Ok(opened) => return Ok(opened),
            Err(failure) => failure,
        };
        search.failed(target.engine, &failure.refusal);
        detail = failure.detail;
        let left = order.left(worker.board().now());
        let mut budgets = worker.tables.budgets.lock();
        let budget = budgets.of(order.rank);
        if history.record_failure(failure.refusal, limit.attempts, left, budget) == Verdict::Stop {
            break;
        }
    }
    let Some(refusal) = history.refusal() else {
        meter.failed(Outcome::Refused, "no engine");
        return Err(problems::holders(order.work.needs()));
    };
    meter.failed(Outcome::Refused, format!("{}, ran: {}", refusal.reason, refusal.ran));
    Err(problems::refused(refusal, &detail))
}
