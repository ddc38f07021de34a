//! Checks whether an endpoint at which a request broke off has crashed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::Connection;
use link::Failure;
use route::Endpoint;
use tokio::time::sleep;

use crate::request::Request;
use crate::worker::Worker;

/// Pauses before the connections that are tried. The listener of a process that ends may be
/// closed a little after its connections, and a process that is started again by its VM
/// listens some time later.
const PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(200)];

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
    if routing.quarantine().record_broken(endpoint, suspect, begun, routing.now()) {
        ntex::rt::spawn(check(Rc::clone(worker), Arc::clone(endpoint)));
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
            Err(Failure::Refused(_)) => return worker.context.routing.record_crash(&endpoint),
            Err(failure) => log::debug!(endpoint = &*endpoint.id; "no crash is known: {failure}"),
        }
    }
}
