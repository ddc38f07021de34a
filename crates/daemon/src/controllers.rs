//! The thread that the controllers run on.
//!
//! It is apart from the workers, so that a busy request path delays neither
//! beats nor configurations.

use std::thread;

use control::Context;
use ntex::rt::System;
use rpc::Key;
use rpc::Keys;
use settings::Peer;
use tokio::sync::oneshot;

use crate::Error;
use crate::process::Process;

/// The running controllers.
pub struct Controllers {
    ended: oneshot::Receiver<Result<(), rpc::Error>>,
}

/// Starts the controllers; they end with the process's `end` token.
///
/// # Errors
///
/// If the thread can't be started.
pub fn start(process: &Process) -> Result<Controllers, Error> {
    let (sender, ended) = oneshot::channel();
    let context = context(process)?;
    let end = process.end.clone();
    let stop = process.stop.clone();
    let run = move || {
        let system = System::new("control", ntex::rt::DefaultRuntime);
        let outcome = system.block_on(control::run(context, end));
        // A process without controllers would serve with an ever older view.
        stop.cancel();
        let _ = sender.send(outcome);
    };
    thread::Builder::new().name("control".to_owned()).spawn(run).map_err(Error::Thread)?;
    Ok(Controllers { ended })
}

impl Controllers {
    /// Waits until the controllers have ended.
    ///
    /// # Errors
    ///
    /// What ended them, unless they were told to.
    pub async fn join(self) -> Result<(), Error> {
        match self.ended.await {
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
