//! Runs the controllers on a thread of their own.
//!
//! Workers run on other threads, so that a busy request path delays neither
//! heartbeats nor configuration updates.

use std::thread;

use control::Context;
use ntex::rt::System;
use rpc::Key;
use rpc::Keys;
use settings::Peer;
use tokio::sync::oneshot;

use crate::Error;
use crate::process::Process;

/// A handle of the running controllers.
pub struct Controllers {
    outcome: oneshot::Receiver<Result<(), rpc::Error>>,
}

/// Starts the controllers; they run until `stop_controllers` is cancelled or they fail.
///
/// # Errors
///
/// If a peer key is unusable or the thread can't be started.
pub fn start(process: &Process) -> Result<Controllers, Error> {
    let (sender, outcome) = oneshot::channel();
    let context = context(process)?;
    let stop_controllers = process.stop_controllers.clone();
    let stop_role = process.stop_role.clone();
    let run = move || {
        let system = System::new("control", ntex::rt::DefaultRuntime);
        let outcome = system.block_on(control::run(context, stop_controllers));
        // Without controllers the process would go on serving with outdated state.
        stop_role.cancel();
        let _ = sender.send(outcome);
    };
    thread::Builder::new().name("control".to_owned()).spawn(run).map_err(Error::Thread)?;
    Ok(Controllers { outcome })
}

impl Controllers {
    /// Waits until the controllers have ended.
    ///
    /// # Errors
    ///
    /// The error that ended them, if they were not stopped on purpose.
    pub async fn join(self) -> Result<(), Error> {
        match self.outcome.await {
            Ok(outcome) => outcome.map_err(Error::Control),
            Err(_) => Ok(()),
        }
    }
}

fn context(process: &Process) -> Result<Context, Error> {
    let settings = &process.settings;
    Ok(Context {
        board: process.board.clone(),
        cluster: settings.cluster.clone(),
        listen: settings.listen.control,
        keys: keys(&settings.peer).map_err(Error::Control)?,
        store: process.store.clone(),
        vms: settings.platform.vms.clone(),
        stamps: process.stamps.clone(),
    })
}

fn keys(peer: &Peer) -> Result<Keys, rpc::Error> {
    let accepted = peer.accepted_key.as_ref().map(|key| key.expose());
    let key = Key::with_accepted(peer.key.expose(), accepted)?;
    Ok(Keys::with_operators(key, peer.operator_keys.iter().map(|key| key.expose())))
}
