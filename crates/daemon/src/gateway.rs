//! Starts the parts of a gateway process and stops them in order.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use gateway::Context;
use gateway::Limits;
use gateway::Member;
use gateway::Options;
use gateway::Peers;
use gateway::Routing;
use ntex::rt::System;
use platform::Client;
use platform::Codec;
use policy::slow_start::Bounds;
use settings::Gateway;
use telemetry::Readiness;
use telemetry::Reason;
use telemetry::admin::Source;
use telemetry::metrics::Recorder;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::admin;
use crate::memory;
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
    let routing = Arc::new(Routing::new(options(&settings)));
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

/// Returns the optional decisions that the settings switch on.
fn options(settings: &Gateway) -> Options {
    Options {
        slow_start: settings.slow_start.map(|it| Bounds { over: it.over, slack: it.slack }),
        spreads_stale_loads: settings.spread_stale_loads,
        shares_failures: settings.share_failures,
        learns_speed: settings.learn_speed,
        abandons_silent: settings.abandon_silent,
    }
}

fn limits(settings: &Gateway) -> Limits {
    let memory = policy::memory::Limits::of_memory(settings.memory.unwrap_or_else(memory::default));
    let connections = settings.connections.min(memory.connections);
    log::info!(bodies = memory.bodies, reserve = memory.reserve, responses = memory.responses,
        connections, is_set = settings.memory.is_some(); "limits of memory");
    Limits {
        connections,
        memory,
        body_stall: settings.body_stall,
        body_rate: settings.body_rate,
        response_stall: settings.response_stall,
    }
}

fn context(settings: &Gateway, routing: Arc<Routing>, stop: CancellationToken) -> Context {
    Context {
        dialect: Arc::new(Codec),
        routing,
        centre: settings.centre.clone(),
        limits: limits(settings),
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        min_gateways: settings.processes,
        stop_notice: settings.stop_notice,
        stop_grace: settings.stop_grace,
        stop,
        overdue: CancellationToken::new(),
        finished: CancellationToken::new(),
        responses: TaskTracker::new(),
    }
}
