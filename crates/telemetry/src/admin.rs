//! HTTP handlers for metrics and health.

use std::time::Duration;

use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::State;
use serde::Serialize;
use tokio::time::timeout;

use crate::metrics::Recorder;
use crate::readiness::Readiness;

/// Media type of the text format of Prometheus.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// A process that ends waits so long for the admin server, which has no work to lose.
/// Its own stop takes some milliseconds, unless it waits for what does not come.
const STOP_TIME: Duration = Duration::from_millis(50);

/// What the handlers show.
#[derive(Clone, Debug)]
pub struct Source {
    /// Metrics of the process.
    pub recorder: Recorder,
    /// Whether the process may be given work.
    pub readiness: Readiness,
}

/// Body of `/readyz`.
#[derive(Debug, Serialize)]
struct Answer {
    ready: bool,
    reasons: Vec<String>,
}

/// Adds `/metrics`, `/healthz` and `/readyz` to a server, as in
/// `App::new().configure(|config| admin::configure(config, source))`.
pub fn configure(config: &mut ServiceConfig, source: Source) {
    config
        .state(source)
        .service(web::resource("/metrics").route(web::get().to(metrics)))
        .service(web::resource("/healthz").route(web::get().to(healthz)))
        .service(web::resource("/readyz").route(web::get().to(readyz)));
}

/// Waits for the admin server's stop, for a bounded time.
///
/// The server may list a worker twice that was ready between two looks at it. Its
/// stop then waits for a second answer of that worker until its own timeout.
pub async fn stopped(stop: impl Future<Output = ()>) {
    if timeout(STOP_TIME, stop).await.is_err() {
        log::warn!("the admin server did not stop in time and ends with the process");
    }
}

async fn metrics(source: State<Source>) -> HttpResponse {
    HttpResponse::Ok().content_type(METRICS_TYPE).body(source.recorder.render())
}

/// Answers as long as the process can answer at all.
async fn healthz() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body("ok\n")
}

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
