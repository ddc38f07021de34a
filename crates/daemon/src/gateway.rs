//! Starts the parts of a gateway process and stops them in order.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use gateway::Context;
use gateway::Member;
use gateway::Peers;
use gateway::Routing;
use ntex::rt::System;
use platform::Client;
use platform::Codec;
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

/// Interval of checks whether the gateway knows enough to serve requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until a signal or a failure ends it.
///
/// # Errors
///
/// The error of the first part that failed.
pub fn run(settings: Gateway) -> Result<(), Error> {
    let name = telemetry::Process { vm: settings.vm.clone(), incarnation: process::incarnation() };
    telemetry::log::init(name).map_err(Error::Telemetry)?;
    let recorder = Recorder::install().map_err(Error::Telemetry)?;
    let runner = System::new("lycheeknotd", ntex::rt::DefaultRuntime);
    runner.block_on(serve(settings, recorder))
}

async fn serve(settings: Gateway, recorder: Recorder) -> Result<(), Error> {
    let stop = CancellationToken::new();
    // Cancelled once all requests have ended; stops the background tasks.
    let stop_background = CancellationToken::new();
    signals::cancel_on_terminate(stop.clone()).map_err(Error::Signal)?;
    signals::ignore_hangups().map_err(Error::Signal)?;
    let readiness = Readiness::new(&[Reason::Configuration]);
    let listener =
        TcpListener::bind(settings.clients).map_err(|error| Error::Listen("clients", error))?;
    let source = Source { recorder: recorder.clone(), readiness: readiness.clone() };
    let admin = admin::start(settings.admin, source)?;
    let routing = Arc::new(routing(&settings));
    ntex::rt::spawn(recorder.upkeep(stop_background.clone()));
    let member = Member {
        vm: settings.vm.clone(),
        centre: settings.centre.clone(),
        address: settings.control,
        capacity: settings.capacity,
        format: Member::FORMAT,
    };
    let seeds = settings.seeds.clone();
    let peers = Peers::new(Arc::clone(&routing), member, process::incarnation(), seeds);
    let peers = Arc::new(peers.with_writes_per_s(settings.writes_per_s));
    ntex::rt::spawn(answer_peers(settings.control, Arc::clone(&peers), stop_background.clone()));
    ntex::rt::spawn(sync_store(settings.clone(), peers, stop_background.clone()));
    ntex::rt::spawn(update_readiness(readiness, Arc::clone(&routing), stop.clone()));
    log::info!(clients:% = settings.clients, centre = settings.centre.as_str(); "started");
    let served = gateway::serve_on(listener, context(&settings, routing, stop)).await;
    stop_background.cancel();
    telemetry::admin::await_stop(admin.stop(true)).await;
    log::info!("stopped");
    served.map_err(|error| Error::Listen("clients", error))
}

/// Follows the store's configuration and endpoints, and keeps this gateway registered in it.
async fn sync_store(settings: Gateway, peers: Arc<Peers>, stop: CancellationToken) {
    let client = Client::new(settings.store);
    let following = gateway::follow(&Codec, &client, &peers, stop.clone());
    let registering = gateway::register(&client, &peers, stop.clone());
    let sharing = gateway::share_loads(&peers, stop);
    tokio::join!(following, registering, sharing);
}

/// Answers peers' queries; a failure is logged and does not stop the gateway.
async fn answer_peers(listen: SocketAddr, peers: Arc<Peers>, stop: CancellationToken) {
    if let Err(error) = rpc::view::serve(listen, peers, stop).await {
        log::error!("peers can't be answered: {error}");
    }
}

/// Marks the process ready once it can serve, and not ready again once it stops.
async fn update_readiness(readiness: Readiness, routing: Arc<Routing>, stop: CancellationToken) {
    if stop.run_until_cancelled(routing.wait_until_complete(POLL_INTERVAL)).await.is_some() {
        readiness.unblock(Reason::Configuration);
        log::info!(version = routing.table().version(); "ready");
    }
    stop.cancelled().await;
    readiness.block(Reason::Stopping);
}

/// Returns the routing with the parts that are switched on.
fn routing(settings: &Gateway) -> Routing {
    let mut routing = Routing::default();
    if settings.share_failures {
        routing = routing.with_shared_failures();
    }
    if settings.abandon_silent {
        routing = routing.with_silent_abandoned();
    }
    routing
}

fn context(settings: &Gateway, routing: Arc<Routing>, stop: CancellationToken) -> Context {
    Context {
        dialect: Arc::new(Codec),
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
