//! HTTP handlers of the admin server for metrics and health.

use std::time::Duration;

use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::State;
use serde::Serialize;
use tokio::time::timeout;

use crate::metrics::Recorder;
use crate::readiness::Readiness;

/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Longest time that an ending process waits for the admin server. A normal stop of
/// the server takes some milliseconds, and it has no work to lose.
const STOP_TIMEOUT: Duration = Duration::from_millis(50);

/// State that the handlers read.
#[derive(Clone, Debug)]
pub struct Source {
    /// Metrics of the process.
    pub recorder: Recorder,
    /// Readiness of the process.
    pub readiness: Readiness,
}

/// Body of the response of `/readyz`.
#[derive(Debug, Serialize)]
struct Answer {
    ready: bool,
    reasons: Vec<String>,
}

/// Adds the routes `/metrics`, `/healthz` and `/readyz` to a server, as in
/// `App::new().configure(|config| admin::configure(config, source))`.
pub fn configure(config: &mut ServiceConfig, source: Source) {
    config
        .state(source)
        .service(web::resource("/metrics").route(web::get().to(metrics)))
        .service(web::resource("/healthz").route(web::get().to(healthz)))
        .service(web::resource("/readyz").route(web::get().to(readyz)));
}

/// Waits until the admin server has stopped, at most `STOP_TIMEOUT`.
///
/// The server's own stop may take longer: it can register a worker twice that became
/// ready between two checks, and then waits for a second reply of that worker until
/// its own timeout.
pub async fn await_stop(stop: impl Future<Output = ()>) {
    if timeout(STOP_TIMEOUT, stop).await.is_err() {
        log::warn!("the admin server did not stop in time and ends with the process");
    }
}

async fn metrics(source: State<Source>) -> HttpResponse {
    HttpResponse::Ok().content_type(METRICS_TYPE).body(source.recorder.render())
}

/// Returns 200 whenever the process can respond at all.
async fn healthz() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body("ok\n")
}

/// Returns 200 if the process is ready, else 503 with the reasons.
async fn readyz(source: State<Source>) -> HttpResponse {
    let reasons = source.readiness.reasons();
    let answer = Answer {
        ready: reasons.is_empty(),
        reasons: reasons.iter().map(ToString::to_string).collect(),
    };
    if answer.ready {
        HttpResponse::Ok().json(&answer)
    } else {
        HttpResponse::ServiceUnavailable().json(&answer)
    }
}
