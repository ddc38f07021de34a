//! Runs a gateway.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use gateway::Context;
use gateway::Peers;
use gateway::Routing;
use ntex::rt::System;
use platform::Client;
use platform::Words;
use settings::Gateway;
use telemetry::Readiness;
use telemetry::Reason;
use telemetry::admin::Source;
use telemetry::metrics::Recorder;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::admin;
use crate::process;
use crate::signals;

/// How often it is looked at whether enough is known to serve.
const INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until a signal or a failure ends it.
///
/// # Errors
///
/// The first part that failed.
pub fn run(settings: Gateway) -> Result<(), Error> {
    let name = telemetry::Process { vm: settings.vm.clone(), incarnation: process::incarnation() };
    telemetry::log::init(name).map_err(Error::Telemetry)?;
    let recorder = Recorder::install().map_err(Error::Telemetry)?;
    let runner = System::new("lycheeknotd", ntex::rt::DefaultRuntime);
    runner.block_on(serve(settings, recorder))
}

async fn serve(settings: Gateway, recorder: Recorder) -> Result<(), Error> {
    let stop = CancellationToken::new();
    let end = CancellationToken::new();
    signals::cancel_on_stop(stop.clone()).map_err(Error::Signal)?;
    signals::note_reloads().map_err(Error::Signal)?;
    let readiness = Readiness::new(&[Reason::Configuration]);
    let listener =
        TcpListener::bind(settings.clients).map_err(|error| Error::Listen("clients", error))?;
    let source = Source { recorder: recorder.clone(), readiness: readiness.clone() };
    let admin = admin::start(settings.admin, source)?;
    let routing = Arc::new(Routing::default());
    ntex::rt::spawn(recorder.upkeep(end.clone()));
    let peers = Arc::new(Peers::new(Arc::clone(&routing), settings.seeds.clone()));
    ntex::rt::spawn(answer_peers(settings.control, Arc::clone(&peers), end.clone()));
    ntex::rt::spawn(follow_store(settings.clone(), peers, end.clone()));
    ntex::rt::spawn(follow_readiness(readiness, Arc::clone(&routing), stop.clone()));
    log::info!(clients:% = settings.clients, centre = settings.centre.as_str(); "started");
    let served = gateway::serve_on(listener, context(&settings, routing, stop)).await;
    end.cancel();
    telemetry::admin::await_stop(admin.stop(true)).await;
    log::info!("stopped");
    served.map_err(|error| Error::Listen("clients", error))
}

async fn follow_store(settings: Gateway, peers: Arc<Peers>, end: CancellationToken) {
    let client = Client::new(settings.store);
    let followed = gateway::follow(&Words, &client, &peers, end.clone());
    let Gateway { vm, control, .. } = &settings;
    let registered = gateway::register(&client, &peers, vm, *control, end);
    tokio::join!(followed, registered);
}

/// A gateway whose peers can't ask it serves all the same.
async fn answer_peers(listen: SocketAddr, peers: Arc<Peers>, end: CancellationToken) {
    if let Err(error) = rpc::view::serve(listen, peers, end).await {
        log::error!("peers can't be answered: {error}");
    }
}

/// Makes the process ready once it can serve, and no longer once it is to stop.
async fn follow_readiness(readiness: Readiness, routing: Arc<Routing>, stop: CancellationToken) {
    if stop.run_until_cancelled(routing.wait_until_complete(INTERVAL)).await.is_some() {
        readiness.unblock(Reason::Configuration);
        log::info!(version = routing.table().version(); "ready");
    }
    stop.cancelled().await;
    readiness.block(Reason::Stopping);
}

fn context(settings: &Gateway, routing: Arc<Routing>, stop: CancellationToken) -> Context {
    Context {
        dialect: Arc::new(Words),
        routing,
        centre: settings.centre.clone(),
        max_connections: settings.connections,
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        min_gateways: settings.processes,
        stop_notice: settings.stop_notice,
        stop_grace: settings.stop_grace,
        stop,
        finished: CancellationToken::new(),
        responses: TaskTracker::new(),
    }
}
