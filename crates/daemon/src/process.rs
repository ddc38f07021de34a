//! Starts the parts of an entry or agent process and stops them in order.
//!
//! The role stops first, while the controllers still announce to peers that
//! this process is leaving; the controllers stop last.

use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use board::Board;
use board::Identity;
use control::Stamps;
use ntex::rt::System;
use platform::Client;
use policy::placement;
use services::store::StoreFactory;
use settings::Settings;
use telemetry::Readiness;
use telemetry::Reason;
use telemetry::admin::Source;
use telemetry::metrics::Recorder;
use tokio_util::sync::CancellationToken;
use wire::id;
use wire::member::Role;
use wire::member::State;

use crate::Error;
use crate::admin;
use crate::controllers;
use crate::gauges;
use crate::readiness;
use crate::role;
use crate::signals;

/// State that all parts of the process share.
#[derive(Clone)]
pub struct Process {
    /// The settings that the process was started with.
    pub settings: Arc<Settings>,
    /// Configuration, members and loads that this process knows.
    pub board: Arc<Board>,
    /// The reasons, if any, why the process should get no requests.
    pub readiness: Readiness,
    /// The metrics of the process.
    pub recorder: Recorder,
    /// The strategy by which an entry chooses engines.
    pub placement: placement::Kind,
    /// Passes revisions that were seen on messages to the controllers.
    pub stamps: Stamps,
    /// Creates a client of the key-value service on the calling thread.
    pub store: StoreFactory,
    /// Cancelled to stop the role; requests that are running may still end.
    pub stop_role: CancellationToken,
    /// Cancelled after the role has ended; stops the controllers and the upkeep of metrics.
    pub stop_controllers: CancellationToken,
}

/// Runs the process until a signal or a failure ends it.
///
/// # Errors
///
/// The error of the first part that failed.
pub fn run(settings: Settings, placement: placement::Kind) -> Result<(), Error> {
    let incarnation = incarnation();
    let name = telemetry::Process { vm: settings.vm.clone(), incarnation };
    telemetry::log::init(name).map_err(Error::Telemetry)?;
    let recorder = Recorder::install().map_err(Error::Telemetry)?;
    let process = Process { placement, ..build(settings, incarnation, recorder)? };
    let runner = System::new("lycheeknotd", ntex::rt::DefaultRuntime);
    runner.block_on(serve(process))
}

async fn serve(process: Process) -> Result<(), Error> {
    signals::cancel_on_terminate(process.stop_role.clone()).map_err(Error::Signal)?;
    let controllers = controllers::start(&process)?;
    let source =
        Source { recorder: process.recorder.clone(), readiness: process.readiness.clone() };
    let admin = admin::start(process.settings.listen.admin, source)?;
    ntex::rt::spawn(process.recorder.clone().upkeep(process.stop_controllers.clone()));
    ntex::rt::spawn(readiness::update_until_stopped(process.clone()));
    ntex::rt::spawn(gauges::update_until_stopped(process.clone()));
    print_addresses(&process.settings);
    let role_outcome = role::serve(&process).await;
    stop_all(&process);
    telemetry::admin::await_stop(admin.stop(true)).await;
    let controllers_outcome = controllers.join().await;
    role_outcome.and(controllers_outcome)
}

/// Prints the line that scripts wait for before they use the process.
fn print_addresses(settings: &Settings) {
    let listen = &settings.listen;
    println!("listening data={} control={} admin={}", listen.data, listen.control, listen.admin);
    log::info!(role:? = settings.role, centre:% = settings.centre; "started");
}

/// Stops everything that still runs after the role has ended.
fn stop_all(process: &Process) {
    log::info!("stopped serving");
    process.stop_role.cancel();
    process.stop_controllers.cancel();
}

fn build(
    settings: Settings,
    incarnation: id::Incarnation,
    recorder: Recorder,
) -> Result<Process, Error> {
    let key_value = Client::parse_address(&settings.platform.key_value).map_err(Error::Store)?;
    let role = match settings.role {
        settings::Role::Entry => Role::Entry,
        settings::Role::Agent => Role::Agent,
    };
    let identity = Identity {
        vm: settings.vm.clone(),
        incarnation,
        role,
        centre: settings.centre.clone(),
        region: settings.region.clone(),
        data: settings.listen.data,
        control: settings.listen.control,
    };
    Ok(Process {
        settings: Arc::new(settings),
        board: Arc::new(Board::new(identity)),
        readiness: Readiness::new(&[Reason::Starting, Reason::Configuration]),
        recorder,
        placement: placement::Kind::default(),
        stamps: Stamps::default(),
        stop_role: CancellationToken::new(),
        stop_controllers: CancellationToken::new(),
        store: Arc::new(move || Rc::new(Client::new(key_value))),
    })
}

/// Returns the incarnation of this run, the current Unix time in milliseconds.
///
/// If the clock was set back, it is lower than that of an earlier run on the
/// VM, and peers reject this run until its clock has caught up.
pub fn incarnation() -> id::Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    id::Incarnation::try_from(since.as_millis()).unwrap_or(id::Incarnation::MAX)
}

/// Sets the process's own state, which the controllers announce to peers.
pub fn update_state(board: &Board, state: State) {
    board.update_roster(|roster| {
        if roster.own().is_some_and(|own| own.state != state) {
            roster.update_own(|own| own.state = state);
        }
    });
}
