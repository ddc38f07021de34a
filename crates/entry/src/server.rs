//! The HTTP server for callers.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;
use ntex::web::HttpServer;
use ntex::web::types::Payload;
use tokio_util::sync::CancellationToken;

use crate::body;
use crate::call;
use crate::chat;
use crate::client::Http;
use crate::context::Context;
use crate::models;
use crate::notes;
use crate::problems;
use crate::resume;
use crate::tables::Tables;
use crate::transport::Factory;
use crate::worker::Worker;

/// Time that idle connections are kept: longer than load balancers and callers usually
/// keep theirs (a minute), so that the server closes none while a request is on its way.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// Lowest rate at which the head of a request may arrive.
const HEADER_MIN_BYTES_PER_SECOND: u32 = 256;

/// Path by which a caller resumes a streamed answer.
const RESUME_PATH: &str = "/v1/chat/completions/{handle}";

/// Serves callers until the token is cancelled, then lets running answers end, for at
/// most `stop_grace`.
///
/// Must be called within an ntex system.
///
/// # Errors
///
/// The address can't be bound, or the server can't be started.
pub async fn serve(context: Context, cancel: CancellationToken) -> io::Result<()> {
    let listener = TcpListener::bind(context.listen)?;
    let factory = Arc::new(Http { key: context.key.clone() });
    serve_on(listener, context, factory, cancel).await
}

/// Serves callers on a bound listener, with transports to the agents that `factory`
/// creates.
///
/// # Errors
///
/// The server can't be started.
pub async fn serve_on(
    listener: TcpListener,
    context: Context,
    factory: Arc<dyn Factory>,
    cancel: CancellationToken,
) -> io::Result<()> {
    let workers = context.workers.max(1);
    let connections = context.connections.div_ceil(workers).max(1);
    let header = seconds(context.header_timeout);
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE_TIMEOUT).set_headers_read_rate(
        header,
        header,
        HEADER_MIN_BYTES_PER_SECOND,
    );
    let grace = seconds(context.stop_grace);
    let stop = cancel.clone();
    let tables = Arc::new(Tables::default());
    let server = HttpServer::new(async move || {
        let worker =
            create_worker(context.clone(), Arc::clone(&tables), &*factory, stop.clone()).await;
        ntex::rt::spawn(notes::send(Rc::clone(&worker)));
        App::new()
            .state(worker)
            .service(web::resource("/v1/chat/completions").route(web::post().to(chat::serve)))
            .service(web::resource(RESUME_PATH).route(web::get().to(resume::serve)))
            .service(web::resource("/v1/models").route(web::get().to(models::serve)))
            .service(web::resource("/services/{tail}*").to(call::serve))
            .default_service(web::to(not_found))
    })
    .workers(workers)
    .maxconn(connections)
    .disable_signals()
    .shutdown_timeout(grace)
    .config(SharedCfg::new("entry").add(http))
    .listen(listener)?
    .run();
    let running = server.clone();
    tokio::select! {
        ended = running => ended,
        () = cancel.cancelled() => {
            server.stop(true).await;
            Ok(())
        }
    }
}

/// Creates the worker of the current thread. If its transport can't be created, all of its
/// attempts fail as not sent.
async fn create_worker(
    context: Context,
    tables: Arc<Tables>,
    factory: &dyn Factory,
    cancel: CancellationToken,
) -> Rc<Worker> {
    match factory.create().await {
        Ok(transport) => Rc::new(Worker::new(context, tables, transport, cancel)),
        Err(error) => {
            log::error!("can't create the HTTP client for the agents: {error}");
            Rc::new(Worker::new(context, tables, crate::transport::unavailable(), cancel))
        }
    }
}

async fn not_found(payload: Payload) -> HttpResponse {
    body::finish(Err(problems::path()), payload).await
}

fn seconds(duration: Duration) -> Seconds {
    Seconds(duration.as_millis().div_ceil(1000).clamp(1, u128::from(u16::MAX)) as u16)
}
