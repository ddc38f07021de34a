//! Serves the role that the settings name.

use std::sync::Arc;

use settings::Settings;
use wire::Key;

use crate::Error;
use crate::process::Process;

/// Serves until the process is told to stop and its work has ended.
///
/// # Errors
///
/// If the data address can't be listened on.
pub async fn serve(process: &Process) -> Result<(), Error> {
    let served = match &process.settings.engine {
        None => entry::serve(entry(process), process.stop.clone()).await,
        Some(engine) => agent::serve(agent(process, engine), process.stop.clone()).await,
    };
    served.map_err(|error| Error::Listen("data", error))
}

fn entry(process: &Process) -> entry::Context {
    let settings = &process.settings;
    let notices = process.notices.clone();
    entry::Context {
        board: process.board.clone(),
        listen: settings.listen.data,
        workers: settings.limit.workers,
        body_bytes: settings.limit.body_bytes,
        header_timeout: settings.limit.header_timeout,
        connections: settings.limit.connections,
        stop_grace: settings.limit.stop_grace,
        on_stamp: Arc::new(move |stamp| control::notice(&notices, stamp)),
        key: key(settings),
        placement: process.placement,
    }
}

fn agent(process: &Process, engine: &settings::Engine) -> agent::Context {
    let settings = &process.settings;
    let notices = process.notices.clone();
    agent::Context {
        board: process.board.clone(),
        cluster: settings.cluster.clone(),
        listen: settings.listen.data,
        engine: backend(engine),
        workers: settings.limit.workers,
        body_bytes: settings.limit.body_bytes,
        stop_grace: settings.limit.stop_grace,
        resume_grace: settings.limit.resume_grace,
        key: key(settings),
        notice: Arc::new(move |stamp| control::notice(&notices, stamp)),
        store: process.store.clone(),
    }
}

fn key(settings: &Settings) -> Key {
    let accepted = settings.peer.accepted_key.as_ref();
    Key::with_accepted(settings.peer.key.expose(), accepted.map(|key| key.expose()))
}

fn backend(engine: &settings::Engine) -> agent::Backend {
    agent::Backend {
        kind: match engine.kind {
            settings::Kind::Model => agent::Kind::Model,
            settings::Kind::Plain => {
                agent::Kind::Plain { pools: engine.pool.iter().cloned().collect() }
            }
        },
        address: engine.address.clone(),
        slots: engine.slots,
    }
}
