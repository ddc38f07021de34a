//! The HTTP server for messages from entries.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpServer;
use tokio_util::sync::CancellationToken;

use crate::Context;
use crate::EngineFactory;
use crate::Kind;
use crate::flight::Flight;
use crate::gate::Gate;
use crate::handler;
use crate::once::LeaseCache;
use crate::orders;
use crate::probe;
use crate::rules;
use crate::worker::Shared;
use crate::worker::Worker;

/// Time for which idle connections are kept. It is longer than entries keep them,
/// so that no connection is closed while a request is on its way.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(60);

/// Bytes that a sender has to deliver in each [`READ_RATE_PERIOD`].
const READ_MIN_BYTES: u32 = 1024;

/// Period in which a sender has to deliver [`READ_MIN_BYTES`].
const READ_RATE_PERIOD: Seconds = Seconds(2);

/// Time within which a whole message has to arrive.
const READ_TIMEOUT: Seconds = Seconds(30);

/// Time between two checks whether running work has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which connections close once no work is left.
const CLOSE_TIMEOUT: Seconds = Seconds(1);

/// Runs the agent until the token is cancelled and running work has ended or
/// `stop_grace` has passed.
///
/// # Errors
///
/// The address can't be bound or the engine's client can't be built.
pub async fn serve(context: Context, cancel: CancellationToken) -> io::Result<()> {
    let engines = context.engine.factory();
    spawn_orders(&context, cancel.clone()).await?;
    serve_engine(context, engines, cancel).await
}

/// Starts the task that orders a model engine to load and unload models; plain
/// engines take no orders.
async fn spawn_orders(context: &Context, cancel: CancellationToken) -> io::Result<()> {
    if context.engine.kind != Kind::Model {
        return Ok(());
    }
    let client = backend::orders::Client::new(&context.engine.address).await;
    let client = client.map_err(|error| io::Error::other(error.to_string()))?;
    let board = Arc::clone(&context.board);
    let cluster = context.cluster.clone();
    let run = orders::run_owned(board, cluster, (context.store)(), Rc::new(client), cancel);
    ntex::rt::spawn(run);
    Ok(())
}

/// Like [`serve`], but without orders and with any engine client.
///
/// # Errors
///
/// The address can't be bound or the engine's client can't be built.
pub async fn serve_engine(
    context: Context,
    engines: EngineFactory,
    cancel: CancellationToken,
) -> io::Result<()> {
    let gate = Arc::new(build_gate(&context));
    let engine = engines().await.map_err(|error| io::Error::other(error.to_string()))?;
    let probes = CancellationToken::new();
    let board = Arc::clone(&context.board);
    ntex::rt::spawn(probe::run(Arc::clone(&board), Arc::clone(&gate), engine, probes.clone()));
    let shared = Shared::new(gate);
    let server = start_server(&context, engines, shared.clone())?;
    log::info!("agent listens for attempts at {}", context.listen);
    cancel.cancelled().await;
    probe::mark_leaving(&board);
    drain(&shared.flight, context.stop_grace).await;
    probes.cancel();
    server.stop(true).await;
    Ok(())
}

fn build_gate(context: &Context) -> Gate {
    let board = Arc::clone(&context.board);
    let rules = rules::rules(&context.board.document(), context.engine.slots);
    Gate::new(rules, Arc::new(move || board.now()))
}

/// Waits until every answer is sent or the grace period has passed.
async fn drain(flight: &Flight, grace: Duration) {
    let start = Instant::now();
    while flight.count() > 0 {
        if start.elapsed() >= grace {
            log::warn!("{} answers were not sent within the grace period", flight.count());
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

fn start_server(
    context: &Context,
    engines: EngineFactory,
    shared: Shared,
) -> io::Result<ntex::server::Server> {
    let settings = context.clone();
    let factory = async move || {
        let context = settings.clone();
        let engines = Arc::clone(&engines);
        let shared = shared.clone();
        App::new()
            .state_factory(async move || build_worker(context, engines, shared).await)
            .service(web::resource(wire::attempt::PATH).route(web::post().to(handler::attempt)))
            .service(web::resource(wire::cancel::PATH).route(web::post().to(handler::cancel)))
            .service(web::resource(wire::notes::PATH).route(web::post().to(handler::notes)))
    };
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE_TIMEOUT).set_payload_read_rate(
        READ_RATE_PERIOD,
        READ_TIMEOUT,
        READ_MIN_BYTES,
    );
    let server = HttpServer::new(factory)
        .config(SharedCfg::new("agent").add(http))
        .workers(context.workers)
        .disable_signals()
        .shutdown_timeout(CLOSE_TIMEOUT)
        .bind(context.listen)?;
    Ok(server.run())
}

async fn build_worker(
    context: Context,
    engines: EngineFactory,
    shared: Shared,
) -> Result<Rc<Worker>, backend::engine::Error> {
    Ok(Rc::new(Worker {
        engine: engines().await?,
        store: (context.store)(),
        board: context.board,
        cluster: context.cluster,
        lease_cache: LeaseCache::default(),
        shared,
        key: context.key,
        on_stamp: context.on_stamp,
        slots: context.engine.slots,
        body_bytes: context.body_bytes,
        resume_grace: context.resume_grace,
    }))
}
