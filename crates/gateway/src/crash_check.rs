//! Checks whether an endpoint at which a request broke off has crashed, and when it is back.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::Connection;
use link::Failure;
use rand::RngExt;
use route::Endpoint;
use tokio::time::sleep;

use crate::request::Request;
use crate::worker::Worker;

/// Pauses before the connections that are tried. The listener of a process that ends may be
/// closed a little after its connections, and a process that is started again by its VM
/// listens some time later.
const PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(200)];

/// First pause between connections to an endpoint that has ended; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between them: hundreds of gateways may wait for an endpoint.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Records that a request broke off at an endpoint, and starts a check whether the endpoint has
/// crashed.
///
/// `begun` is the time since the first byte of the response, if there was one. `is_repeated` is set
/// if the request had broken off at another endpoint before.
pub(crate) fn start(
    worker: &Rc<Worker>,
    request: &Request,
    endpoint: &Arc<Endpoint>,
    begun: Option<Duration>,
    is_repeated: bool,
) {
    let suspect = request.suspect.clone().repeated(is_repeated);
    let routing = &worker.context.routing;
    let is_suspected = routing.quarantine().record_broken(endpoint, suspect, begun, routing.now());
    let is_doubted = routing.with_directory(|directory, _| directory.doubt(endpoint));
    if is_suspected || is_doubted {
        ntex::rt::spawn(check(Rc::clone(worker), Arc::clone(endpoint)));
    }
}

/// Records that nothing listens at the address of an endpoint, which has ended, and waits until
/// something does again.
pub(crate) fn record_end(worker: &Rc<Worker>, endpoint: &Arc<Endpoint>) {
    let routing = &worker.context.routing;
    routing.record_crash(endpoint);
    if routing.with_directory(|directory, _| directory.end(endpoint)) {
        ntex::rt::spawn(await_listener(Rc::clone(worker), Arc::clone(endpoint)));
    }
}

/// Connects to an endpoint. If nothing listens there any more, it has crashed: endpoints that
/// merely break off responses accept connections, and those that can't be reached don't refuse
/// them.
async fn check(worker: Rc<Worker>, endpoint: Arc<Endpoint>) {
    for pause in PAUSES {
        sleep(pause).await;
        match Connection::open(endpoint.address).await {
            Ok(connection) => worker.pool.put(connection),
            Err(Failure::Refused(_)) => return record_end(&worker, &endpoint),
            Err(failure) => log::debug!(endpoint = &*endpoint.id; "no crash is known: {failure}"),
        }
    }
    worker.context.routing.with_directory(|directory, _| directory.clear_doubt(&endpoint));
}

/// Connects to the address of an endpoint that has ended until something listens there, its next start
/// is announced, or the gateway ends.
async fn await_listener(worker: Rc<Worker>, endpoint: Arc<Endpoint>) {
    let routing = &worker.context.routing;
    let connect = async {
        let mut pause = MIN_PAUSE;
        loop {
            sleep(pause.mul_f64(rand::rng().random_range(0.75..1.25))).await;
            if !routing.with_directory(|directory, _| directory.has_ended(&endpoint)) {
                return;
            }
            if let Ok(connection) = Connection::open(endpoint.address).await {
                routing.with_directory(|directory, now| directory.listen(&endpoint, now));
                return worker.pool.put(connection);
            }
            pause = (pause * 2).min(MAX_PAUSE);
        }
    };
    worker.context.overdue.run_until_cancelled(connect).await;
}
