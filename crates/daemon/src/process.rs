//! Starts the parts of a process and stops them in order.
//!
//! On a stop the role goes first, while controllers still tell peers that this
//! process is leaving; the controllers go last.

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
use crate::ready;
use crate::role;
use crate::signals;

/// What all parts of the process share.
#[derive(Clone)]
pub struct Process {
    /// The settings it was started with.
    pub settings: Arc<Settings>,
    /// What the process knows.
    pub board: Arc<Board>,
    /// Whether it may be given work.
    pub readiness: Readiness,
    /// Metrics of the process.
    pub recorder: Recorder,
    /// How an entry chooses engines.
    pub placement: placement::Kind,
    /// Tells of newer revisions that were seen on messages.
    pub stamps: Stamps,
    /// Opens the key-value service on the thread that calls it.
    pub store: StoreFactory,
    /// Ends the role.
    pub stop: CancellationToken,
    /// Ends the controllers, after the role.
    pub end: CancellationToken,
}

/// Runs the process until a signal or a failure ends it.
///
/// # Errors
///
/// The first part that failed.
pub fn run(settings: Settings, placement: placement::Kind) -> Result<(), Error> {
    let incarnation = incarnation();
    let name = telemetry::Process { vm: settings.vm.clone(), incarnation };
    telemetry::log::init(name).map_err(Error::Telemetry)?;
    let recorder = Recorder::install().map_err(Error::Telemetry)?;
    let process = Process { placement, ..process(settings, incarnation, recorder)? };
    let runner = System::new("lycheeknotd", ntex::rt::DefaultRuntime);
    runner.block_on(serve(process))
}

async fn serve(process: Process) -> Result<(), Error> {
    signals::cancel_on_stop(process.stop.clone()).map_err(Error::Signal)?;
    let controllers = controllers::start(&process)?;
    let source =
        Source { recorder: process.recorder.clone(), readiness: process.readiness.clone() };
    let admin = admin::start(process.settings.listen.admin, source)?;
    ntex::rt::spawn(process.recorder.clone().upkeep(process.end.clone()));
    ntex::rt::spawn(ready::follow(process.clone()));
    ntex::rt::spawn(gauges::follow(process.clone()));
    announce(&process.settings);
    let served = role::serve(&process).await;
    leave(&process);
    telemetry::admin::await_stop(admin.stop(true)).await;
    let controlled = controllers.join().await;
    served.and(controlled)
}

/// Prints one line that scripts can wait for.
fn announce(settings: &Settings) {
    let listen = &settings.listen;
    println!("listening data={} control={} admin={}", listen.data, listen.control, listen.admin);
    log::info!(role:? = settings.role, centre:% = settings.centre; "started");
}

fn leave(process: &Process) {
    log::info!("stopped serving");
    process.stop.cancel();
    process.end.cancel();
}

fn process(
    settings: Settings,
    incarnation: id::Incarnation,
    recorder: Recorder,
) -> Result<Process, Error> {
    let key_value = Client::address(&settings.platform.key_value).map_err(Error::Store)?;
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
        stop: CancellationToken::new(),
        end: CancellationToken::new(),
        store: Arc::new(move || Rc::new(Client::new(key_value))),
    })
}

/// Tells this run apart from earlier ones; a clock that was set back shows as
/// an older run, which peers keep out until its clock has caught up.
pub fn incarnation() -> id::Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    id::Incarnation::try_from(since.as_millis()).unwrap_or(id::Incarnation::MAX)
}

/// Changes the process's own state as peers see it.
pub fn announce_state(board: &Board, state: State) {
    board.update_roster(|roster| {
        if roster.own().is_some_and(|own| own.state != state) {
            roster.update_own(|own| own.state = state);
        }
    });
}
