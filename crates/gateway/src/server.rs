//! The HTTP server that clients reach.

use std::io;
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
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Context;
use crate::accept;
use crate::answer::Answer;
use crate::answering::Answering;
use crate::forward;
use crate::headers;
use crate::record;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::worker::Worker;

/// The server itself keeps idle connections longer than any configuration usually
/// allows; the operators' limit is kept by [`sweep`].
const KEEP_ALIVE: Seconds = Seconds(3_600);

/// How long the head of a request may take.
const HEADER_TIME: Seconds = Seconds(3);

/// Slower than this no head of a request may come in, in bytes a second.
const HEADER_RATE: u32 = 256;

/// How long the server may take to stop once no answer is under way.
const SHUTDOWN_TIME: Seconds = Seconds(1);

/// How long a process that starts leaves new connections waiting for its first read
/// of the store. Clients give a connection a second; a read takes some milliseconds.
const FIRST_READ_TIME: Duration = Duration::from_millis(500);

/// How often it is looked at whether the first read has ended.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(5);

/// How long the stop of the server itself is waited for, so that the last answers are
/// written. It may wait for a worker that it lists twice until its own, longer time is
/// over, and connections that come meanwhile are taken by nobody.
const STOP_TIME: Duration = Duration::from_millis(150);

/// How often idle connections of clients and to endpoints are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves clients on a bound listener until the context's token is cancelled, then
/// for a while longer, so that balancers notice, and until requests have ended.
///
/// Has to be called within an ntex system.
///
/// # Errors
///
/// The server can't be started.
pub async fn serve_on(listener: TcpListener, context: Context) -> io::Result<()> {
    let connections = context.connections;
    let (stop, notice, grace) = (context.stop.clone(), context.stop_notice, context.stop_grace);
    let (answers, over) = (context.answers.clone(), context.over.clone());
    wait_for_first_read(&context).await;
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE).set_headers_read_rate(
        HEADER_TIME,
        HEADER_TIME,
        HEADER_RATE,
    );
    let server = HttpServer::new(async move || {
        let worker = Rc::new(Worker::new(context.clone()));
        ntex::rt::spawn(sweep(Rc::clone(&worker)));
        ntex::rt::spawn(drain(Rc::clone(&worker)));
        App::new().state(worker).default_service(web::to(serve))
    })
    .workers(1)
    .maxconn(connections)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIME)
    .config(SharedCfg::new("gateway").add(http))
    .listen(listener)?
    .run();
    let running = server.clone();
    tokio::select! {
        ended = running => ended,
        () = stop.cancelled() => {
            sleep(notice).await;
            answers.close();
            let all_given = async {
                answers.wait().await;
                // Whoever comes from now on is refused; who came before is waited for.
                over.cancel();
                answers.wait().await;
            };
            let is_done = timeout(grace, all_given).await.is_ok();
            over.cancel();
            // The server's own graceful stop breaks off answers that come in pieces, and then
            // waits for those that it has broken off.
            log::info!(is_done, left = answers.len(); "all answers are given, or their time is over");
            if timeout(STOP_TIME, server.stop(is_done)).await.is_err() {
                log::warn!("the server did not stop in time and ends with the process");
            }
            Ok(())
        }
    }
}

/// Connections wait until the process knows what to do with them, as it does a moment
/// after its start, rather than being refused. A store that is away ends the wait.
async fn wait_for_first_read(context: &Context) {
    let known = context.knowledge.completed(FIRST_READ_INTERVAL);
    let known = context.stop.run_until_cancelled(known);
    if timeout(FIRST_READ_TIME, known).await.is_err() {
        log::info!("the first read takes over {FIRST_READ_TIME:?}; clients are told to come back");
    }
}

async fn sweep(worker: Rc<Worker>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        worker.pool.sweep();
        worker.connections.close_idle(worker.context.knowledge.table().limits().idle);
    }
}

/// Takes only requests that end in time once balancers lead new ones elsewhere, so
/// that none of them is cut off as the process ends.
async fn drain(worker: Rc<Worker>) {
    worker.context.stop.cancelled().await;
    sleep(worker.context.stop_notice).await;
    let closed = worker.drain();
    log::info!(closed; "closes idle connections and takes short requests alone");
}

async fn serve(head: HttpRequest, payload: Payload, worker: State<Rc<Worker>>) -> HttpResponse {
    let start = Instant::now();
    let worker = Rc::clone(&worker);
    let Some(answering) = Answering::begin(&worker, &head) else {
        record::refusal(None, head.path(), 0, Refusal::Closing);
        return Refusal::Closing.response();
    };
    let headers = headers::from_client(head.headers());
    let ask = worker.context.dialect.ask(&headers);
    let id = ask.id.clone();
    let table = worker.context.knowledge.table();
    let accepted = match accept::whole(&table, &head, headers, ask, payload, start).await {
        Ok(request) if worker.may_outlast(&request) => Err(Refusal::Closing),
        accepted => accepted,
    };
    let answer = match accepted {
        Ok(request) => forward::run(&worker, &Rc::new(request)).await,
        Err(refusal) => {
            record::refusal(id.as_deref(), head.path(), table.version(), refusal);
            Err(refusal)
        }
    };
    let is_stopping = worker.context.stop.is_cancelled();
    match answer {
        Ok(Answer::Whole(whole)) => {
            let mut response = HttpResponse::build(whole.status);
            headers::to_client(&whole.headers, &mut response);
            close_if(is_stopping, &mut response);
            response.body(ntex::util::Bytes::copy_from_slice(&whole.body))
        }
        Ok(Answer::Stream(relay)) => {
            let mut response = HttpResponse::build(relay.status());
            headers::to_client(relay.headers(), &mut response);
            close_if(is_stopping, &mut response);
            let io = head.io().cloned();
            response.streaming(Box::pin(pieces(relay, io, answering)))
        }
        Err(refusal) => refusal.response(),
    }
}

/// The pieces of a stream. One that breaks off closes the connection at once: the
/// server would write an answer of its own into the middle of this one.
fn pieces(
    relay: Box<Relay>,
    io: Option<IoRef>,
    answering: Answering,
) -> impl Stream<Item = io::Result<ntex::util::Bytes>> {
    stream::unfold((relay, io, answering), |(mut relay, io, answering)| async move {
        let piece = relay.next().await?;
        if piece.is_err()
            && let Some(io) = &io
        {
            io.close();
        }
        let piece = piece.map(|bytes| ntex::util::Bytes::copy_from_slice(&bytes));
        Some((piece, (relay, io, answering)))
    })
}

fn close_if(is_stopping: bool, response: &mut ntex::web::HttpResponseBuilder) {
    if is_stopping {
        response.force_close();
    }
}
