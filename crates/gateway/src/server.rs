//! The HTTP server for clients.

use std::io;
use std::net::Shutdown;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::io::IoRef;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::HttpServer;
use ntex::web::types::Payload;
use ntex::web::types::State;
use policy::memory::Purpose;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use socket2::Socket;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Context;
use crate::accept;
use crate::forward;
use crate::full;
use crate::headers;
use crate::memory::Held;
use crate::record;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::response::Response;
use crate::response_guard::ResponseGuard;
use crate::worker::Worker;

/// Idle timeout of the server itself. It is longer than configurations usually allow, since
/// [`sweep`] enforces the configured limit.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(3_600);

/// Time limit for receiving the head of a request.
const HEADER_TIMEOUT: Seconds = Seconds(3);

/// Lowest rate at which the head of a request may arrive.
const HEADER_MIN_BYTES_PER_SECOND: u32 = 256;

/// The server's own time limit for its shutdown, once no response is in progress.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// How long a starting process leaves new connections waiting until its first read of the
/// store is complete. Clients wait a second for a connection; a read takes a few milliseconds.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections that may wait to be accepted; the system may allow fewer. The standard library
/// asks for 128, which clients that connect again together after a restart exceed. The system then
/// drops their first packet, and TCP sends it again only a second later.
const BACKLOG: i32 = 4_096;

/// Size of the send and receive buffers of a client's socket, in bytes, as asked for. Linux doubles
/// it and uses half of that for bytes: the usual size of a new connection, which then does not grow.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;

/// Interval between checks whether the first read is complete.
const FIRST_READ_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long to wait for the server to stop, so that the last responses are written. The server
/// may list a worker twice and then wait for it until [`SHUTDOWN_TIMEOUT`] passes, while nobody
/// accepts new connections.
const STOP_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between checks whether the server has accepted all connections, before it stops.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Most such checks: a server that is so late would not answer in time either.
const BACKLOG_CHECKS: u32 = 50;

/// Time for reading and refusing requests on connections that were accepted last.
const LAST_REQUESTS_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval between checks for idle connections, both of clients and to endpoints.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves clients on a bound listener until `context.stop` is cancelled, then shuts down.
///
/// For the time `context.stop_notice` it still accepts all requests, so that load balancers
/// notice that the process isn't ready any more. Then requests in flight have the time
/// `context.stop_grace` to end.
///
/// Has to be called within an ntex system.
///
/// # Errors
///
/// The server can't be started.
pub async fn serve_on(listener: TcpListener, context: Context) -> io::Result<()> {
    let max_connections = context.limits.connections;
    let (stop, notice, grace) = (context.stop.clone(), context.stop_notice, context.stop_grace);
    let (responses, finished) = (context.responses.clone(), context.finished.clone());
    let overdue = context.overdue.clone();
    let accepting = Socket::from(listener.try_clone()?);
    limit_buffers(&accepting);
    accepting.listen(BACKLOG)?;
    wait_for_first_read(&context).await;
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE_TIMEOUT).set_headers_read_rate(
        HEADER_TIMEOUT,
        HEADER_TIMEOUT,
        HEADER_MIN_BYTES_PER_SECOND,
    );
    let server = HttpServer::new(async move || {
        let worker = Rc::new(Worker::new(context.clone()));
        ntex::rt::spawn(sweep(Rc::clone(&worker)));
        ntex::rt::spawn(drain(Rc::clone(&worker)));
        App::new().state(worker).default_service(web::to(serve))
    })
    .workers(1)
    .maxconn(max_connections)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .config(SharedCfg::new("gateway").add(http))
    .listen(listener)?
    .run();
    let running = server.clone();
    tokio::select! {
        ended = running => ended,
        () = stop.cancelled() => {
            sleep(notice).await;
            responses.close();
            let all_sent = async {
                responses.wait().await;
                // From here on new requests are refused; those accepted before are waited for.
                finished.cancel();
                responses.wait().await;
            };
            let is_done = timeout(grace, all_sent).await.is_ok();
            overdue.cancel();
            refuse_connections(&accepting).await;
            finished.cancel();
            // Requests on connections that were accepted until now are read and refused.
            sleep(LAST_REQUESTS_TIMEOUT).await;
            // Streaming responses have to be complete before the server is stopped gracefully:
            // its graceful stop breaks them off, and then waits for those that it broke off.
            log::info!(is_done, left = responses.len();
                "all responses are complete, or the grace period is over");
            if timeout(STOP_TIMEOUT, server.stop(is_done)).await.is_err() {
                log::warn!("the server did not stop in time; it ends with the process");
            }
            Ok(())
        }
    }
}

/// Limits the buffers of the sockets that are accepted. The system would let each of them grow to
/// several megabytes while a client sends faster than the process reads, or does not read.
fn limit_buffers(listener: &Socket) {
    let outcomes = [
        listener.set_recv_buffer_size(SOCKET_BUFFER_BYTES),
        listener.set_send_buffer_size(SOCKET_BUFFER_BYTES),
    ];
    for error in outcomes.into_iter().filter_map(Result::err) {
        log::warn!("the system sizes the buffers of sockets: {error}");
    }
}

/// Stops listening, so that the system refuses further connections at once. The server itself
/// keeps its listener open until the process ends, without accepting from it.
///
/// The system resets connections that the server has not accepted yet, so this waits for a moment
/// without any.
async fn refuse_connections(listener: &Socket) {
    for _ in 0..BACKLOG_CHECKS {
        if !has_backlog(listener) {
            break;
        }
        sleep(BACKLOG_POLL_INTERVAL).await;
    }
    if let Err(error) = listener.shutdown(Shutdown::Both) {
        log::warn!("the listener stays open until the process ends: {error}");
    }
}

/// Whether connections wait to be accepted.
fn has_backlog(listener: &Socket) -> bool {
    let mut polled = [PollFd::new(listener, PollFlags::IN)];
    match poll(&mut polled, Some(&Timespec::default())) {
        Ok(ready) => ready > 0,
        Err(error) => {
            log::debug!("the listener's backlog is not known: {error}");
            false
        }
    }
}

/// Waits until the configuration and the endpoints were read from the store, for at most
/// [`FIRST_READ_TIMEOUT`].
///
/// Connections that arrive meanwhile wait in the listener's backlog rather than being refused.
/// If the store is unavailable, the server starts without its data.
async fn wait_for_first_read(context: &Context) {
    let known = context.routing.wait_until_complete(FIRST_READ_POLL_INTERVAL);
    let known = context.stop.run_until_cancelled(known);
    if timeout(FIRST_READ_TIMEOUT, known).await.is_err() {
        log::info!(
            "the first read of the store takes longer than {FIRST_READ_TIMEOUT:?}; \
            requests are refused until it is complete"
        );
    }
}

/// Closes idle connections at regular intervals.
async fn sweep(worker: Rc<Worker>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        worker.pool.sweep();
        let idle = worker.context.routing.table().limits().idle;
        worker.connections.close_idle(worker.patience(idle));
        let response_stall = worker.context.limits.response_stall;
        record::unread(worker.connections.close_unread(response_stall), response_stall);
        worker.memory.record();
    }
}

/// Starts to drain the worker once load balancers have noticed the stop. From then on only
/// requests that end before the process does are accepted, so that none is cut off.
async fn drain(worker: Rc<Worker>) {
    worker.context.stop.cancelled().await;
    sleep(worker.context.stop_notice).await;
    let closed = worker.drain();
    log::info!(closed;
        "draining: idle connections are closed, and only short requests are accepted");
}

/// Handles one request of a client.
async fn serve(head: HttpRequest, payload: Payload, worker: State<Rc<Worker>>) -> HttpResponse {
    let start = Instant::now();
    let worker = Rc::clone(&worker);
    let Some(guard) = ResponseGuard::begin(&worker, &head) else {
        record::refusal(None, head.path(), 0, Refusal::Closing);
        return Refusal::Closing.response();
    };
    let headers = headers::from_client(head.headers());
    let metadata = worker.context.dialect.metadata(&headers);
    let id = metadata.id.clone();
    let table = worker.context.routing.table();
    let accepted =
        match accept::read_request(&worker, &table, &head, headers, metadata, payload, start).await
        {
            Ok(request) if worker.is_too_late_for(&request) => Err(Refusal::Closing),
            accepted => accepted,
        };
    let result = match accepted {
        Ok(request) => forward::run(&worker, &Rc::new(request)).await,
        Err(refusal) => {
            record::refusal(id.as_deref(), head.path(), table.version(), refusal);
            Err(refusal)
        }
    };
    let is_stopping = worker.context.stop.is_cancelled();
    match result {
        Ok(Response::Full(full)) => {
            let mut response = HttpResponse::build(full.status);
            headers::to_client(&full.headers, &mut response);
            close_if(is_stopping, &mut response);
            response.body(full::body(full, guard))
        }
        Ok(Response::Stream(relay)) => {
            let mut response = HttpResponse::build(relay.status());
            headers::to_client(relay.headers(), &mut response);
            close_if(is_stopping, &mut response);
            let io = head.io().cloned();
            let held = worker.memory.hold(Purpose::Response);
            response.streaming(Box::pin(chunks(relay, io, guard, held)))
        }
        Err(refusal) => refusal.response(),
    }
}

/// Returns the body of a streaming response.
///
/// If the stream breaks off, the connection is closed at once: the server would otherwise
/// write a response of its own into the middle of this one.
fn chunks(
    relay: Box<Relay>,
    io: Option<IoRef>,
    guard: ResponseGuard,
    held: Held,
) -> impl Stream<Item = io::Result<ntex::util::Bytes>> {
    stream::unfold((relay, io, guard, held), |(mut relay, io, guard, held)| async move {
        guard.set_waiting(false);
        held.set(0);
        let chunk = relay.next().await?;
        if chunk.is_err()
            && let Some(io) = &io
        {
            io.close();
        }
        let chunk = chunk.map(|bytes| ntex::util::Bytes::copy_from_slice(&bytes));
        // The server takes the next events once the client has read most of these.
        guard.set_waiting(true);
        held.set(chunk.as_ref().map_or(0, |bytes| bytes.len()) + relay.rest_len());
        Some((chunk, (relay, io, guard, held)))
    })
}

/// Closes the connection after the response if the process is stopping.
fn close_if(is_stopping: bool, response: &mut ntex::web::HttpResponseBuilder) {
    if is_stopping {
        response.force_close();
    }
}
