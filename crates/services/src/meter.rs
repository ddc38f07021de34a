//! Counts calls of the key-value service by outcome, and its restores; `docs/METRICS.md` lists the metric.

use std::future::Future;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use metrics::counter;

use crate::store::Error;

/// Returns a future that runs a call and counts it by name and outcome. A call
/// whose future is dropped before its end is not counted.
pub fn counted<'a, T: 'a>(
    call: &'static str,
    work: impl Future<Output = Result<T, Error>> + 'a,
) -> LocalBoxFuture<'a, Result<T, Error>> {
    let work = async move {
        let result = work.await;
        let outcome = outcome(&result);
        counter!("lycheeknot_key_value_calls_total", "call" => call, "outcome" => outcome)
            .increment(1);
        result
    };
    work.boxed_local()
}

/// Counts that the store has come back from a copy.
pub fn restored() {
    counter!("lycheeknot_store_restores_total").increment(1);
}

fn outcome<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(Error::Down(_)) => "down",
        Err(Error::Limited) => "limited",
        Err(Error::Lost(_)) => "lost",
        Err(Error::Compacted) => "compacted",
        Err(Error::Restored) => "restored",
        Err(Error::Protocol(_)) => "protocol",
    }
}
